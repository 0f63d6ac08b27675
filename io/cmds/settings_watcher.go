package cmds

import (
	"maps"
	"os"
	"os/signal"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/apex/log"

	"comfreypulley/io/serve"
	"comfreypulley/platform"
)

// settingsInterval is the time between two reads of the settings file, which may
// change without a signal.
const settingsInterval = 2 * time.Second

// reloader is a process whose settings can change while it runs.
type reloader interface {
	Reload(cfg *serve.PlatformSettings)
}

// settingsWatcher applies changes of the settings file to a running process. It
// reads the file on SIGHUP and at intervals. A file that is not valid leaves the
// settings in force.
type settingsWatcher struct {
	logger  log.Interface
	inForce platform.Settings
	config  func(platform.Settings) (*serve.PlatformSettings, error)
	process reloader

	seen    platform.Settings // the last ones that were applied or rejected
	partial platform.Settings // the last ones that were read, which may still be in the middle of being written
	problem string            // the last error of a read, so that it is logged once
	signals chan os.Signal
	stopped chan struct{}
	once    sync.Once
}

func newSettingsWatcher(logger log.Interface) *settingsWatcher {
	w := &settingsWatcher{logger: logger, signals: make(chan os.Signal, 1), stopped: make(chan struct{})}
	signal.Notify(w.signals, syscall.SIGHUP)
	return w
}

func (w *settingsWatcher) run() error {
	defer signal.Stop(w.signals)
	ticker := time.NewTicker(settingsInterval)
	defer ticker.Stop()
	w.seen = w.inForce
	for {
		select {
		case <-w.signals:
			w.read(true)
		case <-ticker.C:
			w.read(false)
		case <-w.stopped:
			return nil
		}
	}
}

// read reads the file and applies it. Without a signal it applies only what two
// reads have found, because the file may be in the middle of being written.
func (w *settingsWatcher) read(signalled bool) {
	next, err := platform.ReadSettings()
	if err != nil {
		if w.problem != err.Error() {
			w.problem = err.Error()
			w.logger.WithError(err).Error("cannot read the settings file; the settings in use stay in force")
		}
		return
	}
	w.problem = ""
	complete := signalled || maps.Equal(next, w.partial)
	w.partial = next
	if complete && !maps.Equal(next, w.seen) {
		w.seen = next
		w.apply(next)
	}
}

// apply applies changed settings to the process.
func (w *settingsWatcher) apply(next platform.Settings) {
	applied, deferred, err := w.inForce.Changes(next)
	if err == nil {
		var cfg *serve.PlatformSettings
		if cfg, err = w.config(next); err == nil {
			w.process.Reload(cfg)
		}
	}
	if err != nil {
		w.logger.WithError(err).Error("settings file is not valid; the settings in use stay in force")
		return
	}
	w.inForce = next
	fields := log.Fields{"applied": strings.Join(applied, " ")}
	if len(deferred) > 0 {
		fields["deferred"] = strings.Join(deferred, " ") // until the next start
	}
	w.logger.WithFields(fields).Info("settings changed")
}

func (w *settingsWatcher) stop(error) { w.once.Do(func() { close(w.stopped) }) }
