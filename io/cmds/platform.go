package cmds

import (
	"net/netip"
	"os"

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
	watcher := newSettingsWatcher(rc.logger)
	defer watcher.stop(nil)
	// The platform collects logs from standard output.
	logWriter := spool.New(os.Stdout)
	defer logWriter.Close()
	watcher.logger = &log.Logger{Handler: json.New(logWriter), Level: log.InfoLevel}
	defer func() {
		if err != nil {
			watcher.logger.WithError(err).Error("process failed")
		}
	}()
	settings, err := platform.ReadSettings()
	if err != nil {
		return err
	}
	cfg, err := c.config(settings)
	if err != nil {
		return err
	}
	logger := watcher.logger.WithFields(log.Fields{"vm": string(cfg.VM.ID), "zone": string(cfg.VM.Zone)})
	process, err := serve.NewPlatformVM(cfg, logger)
	if err != nil {
		return err
	}
	watcher.logger, watcher.inForce, watcher.config, watcher.process = logger, settings, c.config, process
	var group run.Group
	group.Add(func() error { return process.Run(rc.ctx) }, func(error) {})
	group.Add(watcher.run, watcher.stop)
	return group.Run()
}

// config converts the settings file to the settings of the process.
func (c *platformCommand) config(settings platform.Settings) (cfg *serve.PlatformSettings, err error) {
	cfg, err = settings.PlatformSettings(c.Role)
	if err == nil && c.Metrics > 0 {
		cfg.MetricsAddr = netip.AddrPortFrom(cfg.VM.PeerAddr.Addr(), c.Metrics)
	}
	return cfg, err
}
