package cmds

import (
	"fmt"

	"comfreypulley/core/model"
	"comfreypulley/io/admin"
)

// zoneCommand groups the operator commands that take the upstreams of a zone out of use.
type zoneCommand struct {
	Out  zoneOut  `cmd:"" help:"Send nothing more to the upstreams of a zone."`
	Back zoneBack `cmd:"" help:"Use the upstreams of a zone again."`
	List zoneList `cmd:"" help:"Print the zones whose upstreams are out of use."`
}

type zoneOut struct {
	changeFlags
	Zone string `arg:"" help:"Availability zone."`
}

// Run implements the command zone out.
func (c *zoneOut) Run(rc *runContext) (err error) {
	return c.send(func(client *admin.Client) (admin.Result, error) {
		return client.TakeZoneOut(rc.ctx, c.change(), model.Zone(c.Zone))
	})
}

type zoneBack struct {
	changeFlags
	Zone string `arg:"" help:"Availability zone."`
}

// Run implements the command zone back.
func (c *zoneBack) Run(rc *runContext) (err error) {
	return c.send(func(client *admin.Client) (admin.Result, error) {
		return client.PutZoneBack(rc.ctx, c.change(), model.Zone(c.Zone))
	})
}

type zoneList struct {
	adminFlags
}

// Run implements the command zone list.
func (c *zoneList) Run(rc *runContext) (err error) {
	client, err := c.client()
	if err != nil {
		return err
	}
	zones, err := client.ZonesOut(rc.ctx)
	if err != nil {
		return err
	}
	for _, zone := range zones {
		fmt.Println(zone)
	}
	return nil
}
