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

// Run implements the command serve.
func (c *serveCommand) Run(rc *runContext) (err error) {
	settings, err := conf.ReadSettings(c.Settings)
	if err != nil {
		return err
	}
	fleet, err := conf.ReadFleet(settings.FleetFile)
	if err != nil {
		return err
	}
	vm, err := serve.New(settings, fleet, rc.logger)
	if err != nil {
		return err
	}
	reloader := &tlsReloader{vm: vm, logger: rc.logger, stopped: make(chan struct{})}
	var group run.Group
	group.Add(func() error { return vm.Run(rc.ctx) }, func(error) {})
	group.Add(reloader.run, reloader.stop)
	return group.Run()
}

// tlsReloader reloads the TLS certificates and keys on SIGHUP.
type tlsReloader struct {
	vm      *serve.VM
	logger  log.Interface
	stopped chan struct{}
}

func (r *tlsReloader) run() error {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	defer signal.Stop(signals)
	for {
		select {
		case <-signals:
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

func (r *tlsReloader) stop(error) {
	close(r.stopped)
}
