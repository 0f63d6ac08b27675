package cmds

import (
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
	fleet, err := conf.ReadFleet(settings.Fleet)
	if err != nil {
		return err
	}
	vm, err := serve.New(settings, fleet, s.logger)
	if err != nil {
		return err
	}
	return vm.Run(s.ctx)
}
