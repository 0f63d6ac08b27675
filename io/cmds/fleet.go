package cmds

import (
	"fmt"
	"net/netip"
	"os"
	"text/tabwriter"
	"time"

	"comfreypulley/core/model"
	"comfreypulley/io/admin"
)

// fleetCommand groups the operator commands that change and list the VMs and
// upstreams of a fleet. The top-level command upstream is another one: it runs a
// simulated upstream.
type fleetCommand struct {
	Upstream fleetUpstream `cmd:"" help:"Add, drain, remove or list the upstreams of the fleet."`
	VM       fleetVM       `cmd:"" name:"vm" help:"Add, drain, remove or list the VMs of the fleet."`
}

type fleetUpstream struct {
	Add    upstreamAdd    `cmd:"" help:"Add an upstream, or change it with --expect."`
	Drain  upstreamDrain  `cmd:"" help:"Send an upstream no new work."`
	Remove upstreamRemove `cmd:"" help:"Remove an upstream."`
	List   upstreamList   `cmd:"" help:"List the upstreams."`
}

type fleetVM struct {
	Add    vmAdd    `cmd:"" help:"Add a VM, or change it with --expect."`
	Drain  vmDrain  `cmd:"" help:"Take a VM that is leaving out of the log."`
	Remove vmRemove `cmd:"" help:"Remove a VM."`
	List   vmList   `cmd:"" help:"List the VMs."`
}

type upstreamAdd struct {
	changeFlags
	ID    string         `arg:"" help:"Name of the upstream."`
	Addr  netip.AddrPort `required:"" help:"Address it listens on."`
	Zone  string         `required:"" help:"Availability zone."`
	Index string         `required:"" help:"Index it holds."`
	Slots int            `required:"" help:"Requests it runs at once."`
	Conns int            `required:"" help:"Connections it accepts in total."`
	Dial  time.Duration  `default:"1ms" help:"Cost of a new connection."`
}

// Run implements the command fleet upstream add.
func (c *upstreamAdd) Run(rc *runContext) (err error) {
	return c.send(func(client *admin.Client) (admin.Result, error) {
		return client.PutUpstream(rc.ctx, c.change(), model.Upstream{
			ID: model.UpstreamID(c.ID), Addr: c.Addr, Zone: model.Zone(c.Zone), Index: c.Index, Slots: c.Slots, MaxConns: c.Conns,
			DialCost: c.Dial,
		})
	})
}

type upstreamDrain struct {
	changeFlags
	ID string `arg:"" help:"Name of the upstream."`
}

// Run implements the command fleet upstream drain.
func (c *upstreamDrain) Run(rc *runContext) (err error) {
	return c.send(func(client *admin.Client) (admin.Result, error) {
		return client.Drain(rc.ctx, c.change(), "upstream", c.ID)
	})
}

type upstreamRemove struct {
	changeFlags
	ID string `arg:"" help:"Name of the upstream."`
}

// Run implements the command fleet upstream remove.
func (c *upstreamRemove) Run(rc *runContext) (err error) {
	return c.send(func(client *admin.Client) (admin.Result, error) {
		return client.Remove(rc.ctx, c.change(), "upstream", c.ID)
	})
}

type upstreamList struct {
	adminFlags
}

// Run implements the command fleet upstream list.
func (c *upstreamList) Run(rc *runContext) (err error) {
	client, err := c.client()
	if err != nil {
		return err
	}
	upstreams, err := client.Upstreams(rc.ctx)
	if err != nil {
		return err
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "id\tzone\taddr\tindex\tslots\tconns\tdial\tstate\trevision")
	for _, u := range upstreams {
		fmt.Fprintf(w, "%s\t%s\t%v\t%s\t%d\t%d\t%v\t%v\t%d\n", u.ID, u.Zone, u.Addr, u.Index, u.Slots, u.MaxConns, u.DialCost, u.State, u.Revision)
	}
	return w.Flush()
}

type vmAdd struct {
	changeFlags
	ID   string         `arg:"" help:"Name of the VM."`
	Zone string         `required:"" help:"Availability zone."`
	Peer netip.AddrPort `required:"" help:"Address it listens on for the other VMs."`
	Disk bool           `help:"The VM has a data folder and may replicate the log."`
}

// Run implements the command fleet vm add.
func (c *vmAdd) Run(rc *runContext) (err error) {
	return c.send(func(client *admin.Client) (admin.Result, error) {
		return client.PutVM(rc.ctx, c.change(), model.VM{
			ID: model.VMID(c.ID), Zone: model.Zone(c.Zone), PeerAddr: c.Peer, HasDisk: c.Disk,
		})
	})
}

type vmDrain struct {
	changeFlags
	ID string `arg:"" help:"Name of the VM."`
}

// Run implements the command fleet vm drain.
func (c *vmDrain) Run(rc *runContext) (err error) {
	return c.send(func(client *admin.Client) (admin.Result, error) {
		return client.Drain(rc.ctx, c.change(), "vm", c.ID)
	})
}

type vmRemove struct {
	changeFlags
	ID string `arg:"" help:"Name of the VM."`
}

// Run implements the command fleet vm remove.
func (c *vmRemove) Run(rc *runContext) (err error) {
	return c.send(func(client *admin.Client) (admin.Result, error) {
		return client.Remove(rc.ctx, c.change(), "vm", c.ID)
	})
}

type vmList struct {
	adminFlags
}

// Run implements the command fleet vm list.
func (c *vmList) Run(rc *runContext) (err error) {
	client, err := c.client()
	if err != nil {
		return err
	}
	vms, err := client.VMs(rc.ctx)
	if err != nil {
		return err
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "id\tzone\tpeer\tdisk\tstate\trevision")
	for _, v := range vms {
		fmt.Fprintf(w, "%s\t%s\t%v\t%v\t%v\t%d\n", v.ID, v.Zone, v.PeerAddr, v.HasDisk, v.State, v.Revision)
	}
	return w.Flush()
}
