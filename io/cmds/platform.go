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

// platformCommand runs a process on the users' platform, whose settings file
// says where and with which limits.
type platformCommand struct {
	Role    platform.VMRole `arg:"" enum:"entry,control" help:"What the process does: entry takes requests, control keeps the configuration."`
	Metrics uint16          `help:"Port on which counters are served; the tenth internal port when it is 0."`
}

// Run implements the subcommand.
func (c *platformCommand) Run(s *scope) (err error) {
	// Taken before anything else: a hangup ends a process that does not take it.
	h := newHangups(s.logger)
	defer h.stop(nil)
	// The platform collects standard output.
	lines := spool.New(os.Stdout)
	defer lines.Close()
	h.logger = &log.Logger{Handler: json.New(lines), Level: log.InfoLevel}
	defer func() {
		if err != nil {
			h.logger.WithError(err).Error("ended")
		}
	}()
	settings, err := platform.ReadSettings()
	if err != nil {
		return err
	}
	site, err := settings.PlatformSettings(c.Role)
	if err != nil {
		return err
	}
	if c.Metrics > 0 {
		site.MetricsAddr = netip.AddrPortFrom(site.VM.PeerAddr.Addr(), c.Metrics)
	}
	logger := h.logger.WithFields(log.Fields{"vm": string(site.VM.ID), "zone": string(site.VM.Zone)})
	resident, err := serve.NewPlatformVM(site, logger)
	if err != nil {
		return err
	}
	h.logger = logger
	var group run.Group
	group.Add(func() error { return resident.Run(s.ctx) }, func(error) {})
	group.Add(h.run, h.stop)
	return group.Run()
}

// hangups takes SIGHUP, which says that the settings file changed. What a
// running process uses of it stays in force until its next start: addresses and
// limits are fixed by then, and the seeds count only for a start.
type hangups struct {
	logger  log.Interface
	signals chan os.Signal
	stopped chan struct{}
	once    sync.Once
}

func newHangups(logger log.Interface) *hangups {
	h := &hangups{logger: logger, signals: make(chan os.Signal, 1), stopped: make(chan struct{})}
	signal.Notify(h.signals, syscall.SIGHUP)
	return h
}

func (h *hangups) run() error {
	defer signal.Stop(h.signals)
	for {
		select {
		case <-h.signals:
			if _, err := platform.ReadSettings(); err != nil {
				h.logger.WithError(err).Error("settings not read again; the old ones stay in use")
				continue
			}
			h.logger.Info("settings read again")
		case <-h.stopped:
			return nil
		}
	}
}

func (h *hangups) stop(error) { h.once.Do(func() { close(h.stopped) }) }
