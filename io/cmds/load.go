package cmds

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"time"

	"comfreypulley/io/bench"
)

// loadCommand sends test queries and prints a report.
type loadCommand struct {
	Target   []string      `required:"" help:"Callers' addresses of the entry VMs; with --scatter, one upstream for each shard in order."`
	Customer string        `help:"Customer of the contract."`
	Secret   string        `help:"Secret of the contract."`
	Index    string        `required:"" help:"Index to query."`
	Version  uint64        `default:"1" help:"Version to query with --scatter."`
	Wait     time.Duration `default:"200ms" help:"How long a caller can wait."`
	Rate     float64       `default:"100" help:"Requests a second, at random intervals."`
	For      time.Duration `default:"10s" help:"Length of the load."`
	Bodies   int           `default:"1000" help:"Distinct queries; 0 makes every query differ."`
	Runs     bool          `help:"Send non-idempotent requests, each with a new key."`
	Resends  int           `default:"0" help:"Further sends of a request whose answer was lost, under the same key."`
	Closed   int           `default:"0" help:"Send this many queries at once, one after the other, instead of the rate."`
	Scatter  int           `default:"0" help:"Baseline: scatter this many queries at once straight to the upstreams."`
	Seed     uint64        `default:"1" help:"Seed of times and queries."`
}

// Run implements the command load.
func (c *loadCommand) Run(rc *runContext) (err error) {
	var targets []netip.AddrPort
	for _, address := range c.Target {
		addr, err := netip.ParseAddrPort(address)
		if err != nil {
			return fmt.Errorf("target: %w", err)
		}
		targets = append(targets, addr)
	}
	result, err := c.send(rc, targets)
	if err != nil {
		return err
	}
	return json.NewEncoder(os.Stdout).Encode(result)
}

// send sends the load and returns its report: a bench.Throughput with --scatter
// or --closed, a bench.Report otherwise.
func (c *loadCommand) send(rc *runContext, targets []netip.AddrPort) (result any, err error) {
	if c.Scatter > 0 {
		scatter := &bench.DirectLoop{Upstreams: targets, Index: c.Index, Version: c.Version, Workers: c.Scatter, Period: c.For}
		return scatter.Run(rc.ctx)
	}
	load := &bench.OpenLoop{Targets: targets, Rate: c.Rate, Period: c.For, Seed: c.Seed, Callers: []bench.Caller{{
		Name: "load", Customer: c.Customer, Secret: c.Secret, Index: c.Index, Wait: c.Wait, DistinctQueries: c.Bodies,
		NonIdempotent: c.Runs, MaxResends: c.Resends,
	}}}
	if c.Closed > 0 {
		closed := &bench.ClosedLoop{OpenLoop: load, Workers: c.Closed}
		return closed.Run(rc.ctx)
	}
	results, err := load.Run(rc.ctx)
	if err != nil {
		return nil, err
	}
	return bench.Measure(results), nil
}
