package cmds

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/oklog/run"

	"comfreypulley/io/fault"
)

// faultCommand runs a fault-injecting TCP proxy.
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

// Run implements the subcommand.
func (c *faultCommand) Run(s *scope) (err error) {
	addr, err := netip.ParseAddrPort(c.Listen)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	target, err := netip.ParseAddrPort(c.Target)
	if err != nil {
		return fmt.Errorf("target: %w", err)
	}
	p, err := fault.Listen(addr, target, c.Seed)
	if err != nil {
		return err
	}
	flow := fault.StreamRules{Delay: c.Delay, Jitter: c.Jitter, Pieces: c.Pieces, PieceGap: c.Gap}
	if err := p.SetRules(fault.Rules{Cut: c.Cut, MaxConnDelay: c.Skew, Up: flow, Down: flow}); err != nil {
		p.Close()
		return err
	}
	var group run.Group
	group.Add(p.Run, func(error) { p.Close() })
	if err := addControl(&group, c.Control, &fault.Control{Proxy: p}, s, "control"); err != nil {
		p.Close()
		return err
	}
	addStop(s.ctx, &group)
	s.logger.WithField("addr", p.Addr().String()).Info("serving")
	return group.Run()
}
