package cmds

import (
	"os"
	"os/signal"
	"syscall"

	"github.com/apex/log"
	"github.com/oklog/run"

	"comfreypulley/io/conf"
	"comfreypulley/io/serve"
)

// serveCommand runs an entry VM.
type serveCommand struct {
	Settings string `arg:"" type:"existingfile" help:"Settings file in INI."`
}

// Run implements the subcommand.
func (c *serveCommand) Run(s *scope) (err error) {
	settings, err := conf.ReadSettings(c.Settings)
	if err != nil {
		return err
	}
	fleet, err := conf.ReadFleet(settings.FleetFile)
	if err != nil {
		return err
	}
	vm, err := serve.New(settings, fleet, s.logger)
	if err != nil {
		return err
	}
	r := &reloader{vm: vm, logger: s.logger, stopped: make(chan struct{})}
	var group run.Group
	group.Add(func() error { return vm.Run(s.ctx) }, func(error) {})
	group.Add(r.run, r.stop)
	return group.Run()
}

// reloader reads the TLS keys again on SIGHUP.
type reloader struct {
	vm      *serve.VM
	logger  log.Interface
	stopped chan struct{}
}

func (r *reloader) run() error {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	for {
		select {
		case <-hangups:
			if err := r.vm.Reload(); err != nil {
				r.logger.WithError(err).Error("keys not reloaded; the old ones stay in use")
				continue
			}
			r.logger.Info("keys reloaded")
		case <-r.stopped:
			return nil
		}
	}
}

func (r *reloader) stop(error) {
	close(r.stopped)
}
