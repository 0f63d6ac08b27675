package cmds

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/oklog/run"

	"comfreypulley/io/fault"
)

// faultCommand runs a TCP proxy that injects network faults.
type faultCommand struct {
	Listen  string        `default:"127.0.0.1:0" help:"Address that clients use."`
	Target  string        `required:"" help:"Address that connections are forwarded to."`
	Control string        `default:"127.0.0.1:0" help:"HTTP address of /v1/rules and /v1/reset."`
	Cut     bool          `help:"Start with a partition."`
	Delay   time.Duration `default:"0s" help:"Delay in each direction."`
	Jitter  time.Duration `default:"0s" help:"Further delay of each delivery, drawn below this."`
	Skew    time.Duration `default:"0s" help:"Further delay of each connection, drawn below this."`
	Pieces  int           `default:"1" help:"Writes that each delivery is split into."`
	Gap     time.Duration `default:"0s" help:"Time between the pieces."`
	Seed    uint64        `default:"1" help:"Seed of its random source."`
}

// Run implements the command fault.
func (c *faultCommand) Run(rc *runContext) (err error) {
	addr, err := netip.ParseAddrPort(c.Listen)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	target, err := netip.ParseAddrPort(c.Target)
	if err != nil {
		return fmt.Errorf("target: %w", err)
	}
	proxy, err := fault.Listen(addr, target, c.Seed)
	if err != nil {
		return err
	}
	flow := fault.StreamRules{Delay: c.Delay, Jitter: c.Jitter, Pieces: c.Pieces, PieceGap: c.Gap}
	if err := proxy.SetRules(fault.Rules{Cut: c.Cut, MaxConnDelay: c.Skew, Up: flow, Down: flow}); err != nil {
		proxy.Close()
		return err
	}
	var group run.Group
	group.Add(proxy.Run, func(error) { proxy.Close() })
	if err := addHTTPServer(&group, c.Control, &fault.Control{Proxy: proxy}, rc, "control"); err != nil {
		proxy.Close()
		return err
	}
	addCancellation(rc.ctx, &group)
	rc.logger.WithField("addr", proxy.Addr().String()).Info("serving")
	return group.Run()
}
