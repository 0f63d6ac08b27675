package cmds

import (
	"fmt"

	"comfreypulley/io/conf"
)

// checkCommand validates a settings or fleet file.
type checkCommand struct {
	Settings string `help:"Settings file of an entry VM; its fleet file is checked too." xor:"file" required:""`
	Fleet    string `help:"Fleet file." xor:"file" required:""`
}

// Run implements the command check.
func (c *checkCommand) Run(*runContext) (err error) {
	file := c.Fleet
	if c.Settings != "" {
		settings, err := conf.ReadSettings(c.Settings)
		if err != nil {
			return err
		}
		file = settings.FleetFile
	}
	fleet, err := conf.ReadFleet(file)
	if err != nil {
		return err
	}
	fmt.Printf("ok: %d contracts, %d VMs, %d upstreams\n", len(fleet.Contracts), len(fleet.VMs), len(fleet.Upstreams))
	return nil
}
