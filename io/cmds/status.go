package cmds

import (
	"encoding/json"
	"os"
)

// statusCommand prints the state of the fleet as one VM knows it.
type statusCommand struct {
	adminFlags
	Current bool `help:"Fail unless the leader confirms that the VM's configuration is the newest."`
}

// Run implements the command status.
func (c *statusCommand) Run(rc *runContext) (err error) {
	client, err := c.client()
	if err != nil {
		return err
	}
	status, err := client.FleetStatus(rc.ctx, c.Current)
	if err != nil {
		return err
	}
	encoder := json.NewEncoder(os.Stdout)
	encoder.SetIndent("", "  ")
	return encoder.Encode(status)
}
