package demo

import (
	"context"
	"crypto/sha256"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/apex/log"
	"github.com/oklog/run"

	"comfreypulley/core/model"
	"comfreypulley/io/bench"
	"comfreypulley/io/conf"
	"comfreypulley/io/serve"
	"comfreypulley/io/stub"
)

// Shape of the demo.
const (
	zones    = 3
	shards   = 10
	replicas = 3
	index    = "pairing"
	customer = "tabadul"
	secret   = "demo-secret"
	warmUp   = 500 * time.Millisecond
)

// Demo is one run. The zero value runs nothing; Period is set before use.
type Demo struct {
	Period time.Duration
	Rate   float64 // queries a second; 0 means 200
	Plain  bool    // plain baseline policy
	Logger log.Interface

	fleet *model.Topology
	stubs []*stub.Stub
	vms   []*serve.VM
}

// Run starts everything, sends the load and returns the checked report.
func (d *Demo) Run(ctx context.Context) (report *bench.Report, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("demo: %w", err)
		}
	}()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var group run.Group
	if err := d.addStubs(&group); err != nil {
		return nil, err
	}
	if err := d.addVMs(ctx, &group); err != nil {
		return nil, err
	}
	load := d.load()
	done := make(chan struct{})
	group.Add(func() (err error) {
		defer close(done)
		if !sleep(ctx, warmUp) {
			return ctx.Err()
		}
		var results []bench.Result
		report, results, err = load.Run(ctx)
		if err != nil {
			return err
		}
		var runs []stub.Run
		for _, s := range d.stubs {
			runs = append(runs, s.Runs()...)
		}
		bench.Check(report, results, index, runs)
		return nil
	}, func(error) {
		cancel()
		<-done
	})
	if err := group.Run(); err != nil {
		return nil, err
	}
	return report, nil
}

func (d *Demo) load() *bench.Load {
	load := &bench.Load{
		Customer: customer, Secret: secret, Index: index, Wait: 200 * time.Millisecond,
		Rate: d.Rate, Period: d.Period, Bodies: 1000,
	}
	if load.Rate == 0 {
		load.Rate = 200
	}
	for _, vm := range d.vms {
		load.Targets = append(load.Targets, vm.Addr())
	}
	return load
}

// addStubs starts the stand-ins and describes them in the fleet.
func (d *Demo) addStubs(group *run.Group) error {
	d.fleet = &model.Topology{
		Revision:  1,
		Contracts: map[string]model.Contract{customer: contract()},
		Upstreams: make(map[model.UpstreamID]model.Upstream),
		VMs:       make(map[model.VMID]model.VM),
	}
	for shard := range shards {
		for replica := range replicas {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				return err
			}
			id := fmt.Sprintf("%s-%d-%d", index, shard, replica)
			s := stub.New(stub.Config{
				ID: id, Slots: 3, Queue: 6, Conns: 65, Service: 3 * time.Millisecond, Spread: 0.3, Seed: uint64(shard*replicas + replica + 1),
				Holds: []stub.Holding{{Index: index, Version: 1, Shards: shards, Shard: []int{shard}}},
			})
			d.stubs = append(d.stubs, s)
			server := &http.Server{Handler: s, ReadHeaderTimeout: time.Second}
			group.Add(func() error { return server.Serve(l) }, func(error) { _ = server.Close() })
			d.fleet.Upstreams[model.UpstreamID(id)] = model.Upstream{
				ID: model.UpstreamID(id), Addr: l.Addr().(*net.TCPAddr).AddrPort(), Zone: zone(replica % zones), Index: index,
				Slots: 3, Conns: 65, Dial: time.Millisecond,
			}
		}
	}
	return nil
}

// addVMs starts one entry VM in each zone.
func (d *Demo) addVMs(ctx context.Context, group *run.Group) error {
	for i := range zones {
		id := model.VMID(fmt.Sprintf("vm%d", i))
		d.fleet.VMs[id] = model.VM{ID: id, Zone: zone(i)}
	}
	for i := range zones {
		settings := &conf.Settings{
			VM: d.fleet.VMs[model.VMID(fmt.Sprintf("vm%d", i))], Caller: loopback(), Admin: loopback(), Loops: 1, Plain: d.Plain,
			Seed: i + 1, Finish: time.Second,
		}
		vm, err := serve.New(settings, d.fleet, d.Logger)
		if err != nil {
			return err
		}
		d.vms = append(d.vms, vm)
		stop, cancel := context.WithCancel(ctx)
		group.Add(func() error { return vm.Run(stop) }, func(error) { cancel() })
	}
	return nil
}

func contract() model.Contract {
	return model.Contract{
		Customer: customer, Credential: sha256.Sum256([]byte(secret)), Indexes: []string{index},
		Concurrency: 300, Capacity: 1, Extra: 0.05, Retention: time.Hour,
		Classes: []model.Class{
			{Name: "now", Wait: 50 * time.Millisecond, Price: 30, Weight: 4, Coverage: 0.5},
			{Name: "soon", Wait: 200 * time.Millisecond, Price: 10, Weight: 2, Coverage: 0.9},
			{Name: "later", Wait: 2 * time.Second, Price: 1, Weight: 1, Coverage: 1},
		},
	}
}

func zone(n int) model.Zone {
	return model.Zone(fmt.Sprintf("zone%d", n))
}

func loopback() netip.AddrPort {
	return netip.MustParseAddrPort("127.0.0.1:0")
}

// sleep waits and reports false when ctx ends first.
func sleep(ctx context.Context, period time.Duration) bool {
	timer := time.NewTimer(period)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
