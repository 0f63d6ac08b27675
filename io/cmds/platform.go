package cmds

import (
	"net/netip"
	"os"
	"os/signal"
	"sync"
	"syscall"

	"github.com/apex/log"
	"github.com/apex/log/handlers/json"
	"github.com/oklog/run"

	"comfreypulley/io/serve"
	"comfreypulley/io/spool"
	"comfreypulley/platform"
)

// platformCommand runs an entry or control process on the deployment platform,
// which provides the process with a settings file.
type platformCommand struct {
	Role    platform.VMRole `arg:"" enum:"entry,control" help:"What the process does: entry takes requests, control keeps the configuration."`
	Metrics uint16          `help:"Port on which counters are served; the tenth internal port when it is 0."`
}

// Run implements the command platform.
func (c *platformCommand) Run(rc *runContext) (err error) {
	// SIGHUP ends a process that does not handle it, so this comes first.
	hangup := newHangupHandler(rc.logger)
	defer hangup.stop(nil)
	// The platform collects logs from standard output.
	logWriter := spool.New(os.Stdout)
	defer logWriter.Close()
	hangup.logger = &log.Logger{Handler: json.New(logWriter), Level: log.InfoLevel}
	defer func() {
		if err != nil {
			hangup.logger.WithError(err).Error("process failed")
		}
	}()
	settings, err := platform.ReadSettings()
	if err != nil {
		return err
	}
	cfg, err := settings.PlatformSettings(c.Role)
	if err != nil {
		return err
	}
	if c.Metrics > 0 {
		cfg.MetricsAddr = netip.AddrPortFrom(cfg.VM.PeerAddr.Addr(), c.Metrics)
	}
	logger := hangup.logger.WithFields(log.Fields{"vm": string(cfg.VM.ID), "zone": string(cfg.VM.Zone)})
	process, err := serve.NewPlatformVM(cfg, logger)
	if err != nil {
		return err
	}
	hangup.logger = logger
	var group run.Group
	group.Add(func() error { return process.Run(rc.ctx) }, func(error) {})
	group.Add(hangup.run, hangup.stop)
	return group.Run()
}

// hangupHandler handles SIGHUP, by which the platform reports that the settings
// file has changed. It only checks that the file can be read: addresses and limits
// are fixed once a process runs, and the seeds are used only at its start, so all
// changes take effect at the next start.
type hangupHandler struct {
	logger  log.Interface
	signals chan os.Signal
	stopped chan struct{}
	once    sync.Once
}

func newHangupHandler(logger log.Interface) *hangupHandler {
	h := &hangupHandler{logger: logger, signals: make(chan os.Signal, 1), stopped: make(chan struct{})}
	signal.Notify(h.signals, syscall.SIGHUP)
	return h
}

func (h *hangupHandler) run() error {
	defer signal.Stop(h.signals)
	for {
		select {
		case <-h.signals:
			if _, err := platform.ReadSettings(); err != nil {
				h.logger.WithError(err).Error("cannot read the settings file; the settings in use stay in force")
				continue
			}
			h.logger.Info("settings file read; changes take effect at the next start")
		case <-h.stopped:
			return nil
		}
	}
}

func (h *hangupHandler) stop(error) { h.once.Do(func() { close(h.stopped) }) }
