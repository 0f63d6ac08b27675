package cmds

import (
	"encoding/json"
	"os"
)

// statusCommand prints what a VM knows of the fleet.
type statusCommand struct {
	adminFlags
	Current bool `help:"Fail unless the leader confirms that the VM's configuration is the newest."`
}

// Run implements the subcommand.
func (c *statusCommand) Run(s *scope) (err error) {
	client, err := c.client()
	if err != nil {
		return err
	}
	status, err := client.FleetStatus(s.ctx, c.Current)
	if err != nil {
		return err
	}
	encoder := json.NewEncoder(os.Stdout)
	encoder.SetIndent("", "  ")
	return encoder.Encode(status)
}
