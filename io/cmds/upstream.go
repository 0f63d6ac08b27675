package cmds

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"time"

	"comfreypulley/io/stub"
)

// upstreamCommand runs a stand-in upstream.
type upstreamCommand struct {
	Listen  string        `default:"127.0.0.1:0" help:"Address."`
	Index   string        `required:"" help:"Index it holds."`
	Version uint64        `default:"1" help:"Version it holds."`
	Shards  int           `default:"1" help:"Shards of the version."`
	Holds   []int         `default:"0" help:"Shards it holds."`
	Slots   int           `default:"3" help:"Requests run at once."`
	Queue   int           `default:"6" help:"Requests that wait for a slot."`
	Conns   int           `default:"65" help:"Connections it reports to accept."`
	Service time.Duration `default:"3ms" help:"Median service time."`
	Spread  float64       `default:"0.3" help:"Sigma of the log-normal service time."`
	Seed    uint64        `default:"1" help:"Seed of its random source."`
}

// Run implements the subcommand.
func (c *upstreamCommand) Run(s *scope) (err error) {
	addr, err := netip.ParseAddrPort(c.Listen)
	if err != nil {
		return err
	}
	l, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(addr))
	if err != nil {
		return err
	}
	stand := stub.New(stub.Config{
		ID: c.Listen, Slots: c.Slots, Queue: c.Queue, Conns: c.Conns, Service: c.Service, Spread: c.Spread, Seed: c.Seed,
		Holds: []stub.Holding{{Index: c.Index, Version: c.Version, Shards: c.Shards, Shard: c.Holds}},
	})
	server := &http.Server{Handler: stand, ReadHeaderTimeout: time.Second}
	stop := context.AfterFunc(s.ctx, func() { _ = server.Close() })
	defer stop()
	s.logger.WithField("addr", l.Addr().String()).Info("serving")
	if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}
