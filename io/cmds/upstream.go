package cmds

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"time"

	"github.com/oklog/run"

	"comfreypulley/io/stub"
)

const controlHeaderTimeout = 5 * time.Second // for reading the headers of a request to a control address

// upstreamCommand runs a simulated upstream for tests.
type upstreamCommand struct {
	Listen   string        `default:"127.0.0.1:0" help:"Address."`
	Control  string        `help:"Second address, which a crash does not close and the connection cap does not bound."`
	Name     string        `default:"upstream" help:"Name in run ids."`
	Hold     []string      `required:"" sep:"none" help:"Holdings, such as pairing/1/10/0,3 for shards 0 and 3 of 10."`
	State    string        `default:"active" enum:"active,cold,drained" help:"State: ${enum}."`
	Slots    int           `default:"3" help:"Requests run at once."`
	Queue    int           `default:"6" help:"Requests that wait for a slot; more are shed."`
	Conns    int           `default:"65" help:"Connections accepted at once; 0 means no cap."`
	Dial     time.Duration `default:"0s" help:"Time from accepting a connection to its first request."`
	Distance time.Duration `default:"0s" help:"One-way latency added in each direction."`
	Service  time.Duration `default:"3ms" help:"Median service time."`
	Spread   float64       `default:"0.3" help:"Sigma of the log-normal service time."`
	Slow     float64       `default:"1" help:"Factor on every service time."`
	Rare     float64       `default:"0" help:"Share of requests that take rare-by times as long."`
	RareBy   float64       `default:"10" help:"Factor on rare requests."`
	Wrong    float64       `default:"0" help:"Share of answers from another version or shard than asked."`
	Cold     time.Duration `default:"0s" help:"Cold time after a start."`
	Warm     time.Duration `default:"0s" help:"Slower time after the cold time."`
	WarmBy   float64       `default:"4" help:"Factor on service times when the warm time begins."`
	Restart  time.Duration `default:"0s" help:"Time from a crash to the next start; 0 means never."`
	Lag      time.Duration `default:"0s" help:"Age of the loads and reports it gives."`
	Lie      []int         `help:"Load it gives instead of the true one: in flight, queued and slots."`
	LieState string        `help:"State it reports instead of the true one."`
	Log      string        `help:"File that the run log is appended to."`
	Seed     uint64        `default:"1" help:"Seed of its random source."`
}

// Run implements the command upstream.
func (c *upstreamCommand) Run(rc *runContext) (err error) {
	addr, err := netip.ParseAddrPort(c.Listen)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	cfg := stub.Config{ID: c.Name, Seed: c.Seed, RunLogFile: c.Log, Settings: stub.Settings{
		State: c.State, Slots: c.Slots, MaxQueued: c.Queue, MaxConns: c.Conns, DialCost: c.Dial, MedianServiceTime: c.Service, ServiceTimeSigma: c.Spread,
		SlowFactor: c.Slow, RareFraction: c.Rare, RareFactor: c.RareBy, WrongFraction: c.Wrong, ColdPeriod: c.Cold, WarmUpPeriod: c.Warm, WarmUpFactor: c.WarmBy, RestartDelay: c.Restart, ReportAge: c.Lag,
	}}
	if cfg.Settings.FalseReport, err = c.falseReport(); err != nil {
		return err
	}
	for _, spec := range c.Hold {
		holding, err := stub.ParseHeldSnapshot(spec)
		if err != nil {
			return err
		}
		cfg.Settings.Snapshots = append(cfg.Settings.Snapshots, holding)
	}
	upstream, err := stub.New(cfg)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, upstream.Close()) }()
	host, err := stub.Listen(upstream, stub.Endpoint{Addr: addr, Latency: c.Distance})
	if err != nil {
		return err
	}
	var group run.Group
	group.Add(host.Run, func(error) { host.Close() })
	if c.Control != "" {
		if err := addHTTPServer(&group, c.Control, upstream, rc, "control"); err != nil {
			host.Close()
			return err
		}
	}
	addCancellation(rc.ctx, &group)
	rc.logger.WithField("addr", host.Addr(0).String()).Info("serving")
	return group.Run()
}

// falseReport returns the load and state that the upstream reports instead of its
// actual ones. It returns nil when it reports the actual ones.
func (c *upstreamCommand) falseReport() (*stub.FalseReport, error) {
	switch {
	case len(c.Lie) == 0 && c.LieState == "":
		return nil, nil
	case len(c.Lie) != 3:
		return nil, fmt.Errorf("--lie must be three numbers (requests in flight, requests queued, slots), not %v", c.Lie)
	}
	return &stub.FalseReport{Load: stub.Load{InFlight: c.Lie[0], Queued: c.Lie[1], Slots: c.Lie[2]}, State: c.LieState}, nil
}

// addHTTPServer adds an HTTP server to the group and logs its address. The name is
// the log message and the prefix of errors.
func addHTTPServer(group *run.Group, address string, handler http.Handler, rc *runContext, name string) error {
	listener, err := listen(address)
	if err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: controlHeaderTimeout}
	group.Add(func() error { return server.Serve(listener) }, func(error) { _ = server.Close() })
	rc.logger.WithField("addr", listener.Addr().String()).Info(name)
	return nil
}

// addCancellation makes the group stop when ctx is cancelled.
func addCancellation(ctx context.Context, group *run.Group) {
	groupCtx, cancel := context.WithCancel(ctx)
	group.Add(func() error {
		<-groupCtx.Done()
		return nil
	}, func(error) { cancel() })
}
