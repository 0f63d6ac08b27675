package cmds

import (
	"encoding/json"
	"net/netip"
	"os"
	"time"

	"comfreypulley/io/bench"
)

// loadCommand sends queries.
type loadCommand struct {
	Target   []string      `required:"" help:"Callers' addresses of the entry VMs."`
	Customer string        `required:"" help:"Customer of the contract."`
	Secret   string        `required:"" help:"Secret of the contract."`
	Index    string        `required:"" help:"Index to query."`
	Wait     time.Duration `default:"200ms" help:"How long a caller can wait."`
	Rate     float64       `default:"100" help:"Queries a second."`
	For      time.Duration `default:"10s" help:"Length of the load."`
	Bodies   int           `default:"1000" help:"Distinct queries."`
}

// Run implements the subcommand.
func (c *loadCommand) Run(s *scope) (err error) {
	l := &bench.Load{
		Customer: c.Customer, Secret: c.Secret, Index: c.Index, Wait: c.Wait, Rate: c.Rate, Period: c.For, Bodies: c.Bodies,
	}
	for _, text := range c.Target {
		addr, err := netip.ParseAddrPort(text)
		if err != nil {
			return err
		}
		l.Targets = append(l.Targets, addr)
	}
	report, _, err := l.Run(s.ctx)
	if err != nil {
		return err
	}
	return json.NewEncoder(os.Stdout).Encode(report)
}
