package demo

import (
	"context"
	"fmt"
	"maps"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"time"

	"github.com/apex/log"
	"github.com/oklog/run"

	"comfreypulley/core/model"
	"comfreypulley/io/bench"
	"comfreypulley/io/fault"
	"comfreypulley/io/serve"
	"comfreypulley/io/stub"
)

const (
	serviceTime = 3 * time.Millisecond // median service time of a stand-in
	spread      = 0.3                  // sigma of its log-normal distribution
	readyPoll   = 20 * time.Millisecond
	readyWithin = 20 * time.Second
	settleTime  = 300 * time.Millisecond // after the load, for cancelled work to reach the run logs
	finish      = 2 * time.Second        // drain time of a VM
	zoneBits    = 24                     // of the addresses that the VMs of a zone share
	firstPort   = 10_000                 // of the VMs' peer listeners
	portRange   = 5000
)

// world is one fleet with its stand-ins in this process.
type world struct {
	like    *like
	plain   bool
	proxied bool
	seed    uint64
	logger  log.Interface

	folder  string // of the data folders
	stubs   map[model.UpstreamID]*stub.Stub
	hosts   map[model.UpstreamID]*stub.Host
	vms     []*serve.VM
	proxies []*fault.Proxy // one before each VM, when proxied
	targets []netip.AddrPort
}

// run builds the world, sends the load of a stage and checks it.
func (w *world) run(ctx context.Context, st stage, period time.Duration) (o outcome, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if w.folder, err = os.MkdirTemp("", "comfreypulley-demo-"); err != nil {
		return o, err
	}
	defer os.RemoveAll(w.folder)
	var group run.Group
	if err := w.build(ctx, &group, st); err != nil {
		return o, err
	}
	if st.tune != nil {
		if err := st.tune(w); err != nil {
			return o, err
		}
	}
	d := &driver{world: w, stage: st, period: period}
	group.Add(func() error { return d.run(ctx) }, func(error) { cancel() })
	if err := group.Run(); err != nil {
		return o, err
	}
	return d.outcome, nil
}

// build starts the stand-ins and VMs.
func (w *world) build(ctx context.Context, group *run.Group, st stage) error {
	w.stubs = make(map[model.UpstreamID]*stub.Stub)
	w.hosts = make(map[model.UpstreamID]*stub.Host)
	var indexes []string
	for _, c := range st.callers {
		if !slices.Contains(indexes, c.Index) {
			indexes = append(indexes, c.Index)
		}
	}
	for _, index := range indexes {
		if err := w.addStubs(group, index); err != nil {
			return err
		}
	}
	peers := w.peerAddrs()
	for i := range w.like.settings {
		if err := w.addVM(ctx, group, i, peers); err != nil {
			return err
		}
	}
	return nil
}

// newStubs makes the stand-ins of an index.
func (w *world) newStubs(index string) (stubs map[model.UpstreamID]*stub.Stub, err error) {
	stubs = make(map[model.UpstreamID]*stub.Stub)
	holdings := w.like.holdings(index)
	for i, u := range w.like.upstreams(index) {
		stubs[u.ID], err = stub.New(stub.Config{ID: string(u.ID), Seed: w.seed*1000 + uint64(i), Settings: stub.Settings{
			Slots: u.Slots, Queue: 2 * u.Slots, Conns: u.MaxConns, Dial: u.DialCost, Service: serviceTime, Spread: spread,
			Holds: []stub.Holding{holdings[u.ID]},
		}})
		if err != nil {
			return nil, err
		}
	}
	return stubs, nil
}

// addStubs starts the stand-ins of an index, each with one door for each zone.
func (w *world) addStubs(group *run.Group, index string) error {
	stubs, err := w.newStubs(index)
	if err != nil {
		return err
	}
	for id, s := range stubs {
		near := w.source(w.like.fleet.Upstreams[id].Zone, 0)
		door := stub.Door{Addr: loopback(), Distance: w.like.distance, Near: netip.PrefixFrom(near, zoneBits).Masked()}
		h, err := stub.Listen(s, door)
		if err != nil {
			return err
		}
		group.Add(h.Run, func(error) { h.Close() })
		w.stubs[id], w.hosts[id] = s, h
	}
	return nil
}

// addVM starts one VM on loopback, with the settings of the example.
func (w *world) addVM(ctx context.Context, group *run.Group, n int, peers []netip.AddrPort) error {
	settings := *w.like.settings[n]
	settings.VM.PeerAddr = peers[n]
	settings.Caller, settings.Admin = loopback(), loopback()
	settings.Plain = w.plain
	settings.Seed = int(w.seed)*100 + n + 1
	settings.Grace, settings.Finish, settings.Usage = 0, finish, ""
	if settings.Data != "" {
		settings.Data = filepath.Join(w.folder, string(settings.VM.ID))
	}
	vm, err := serve.New(&settings, w.fleetAt(peers), w.logger)
	if err != nil {
		return err
	}
	w.vms = append(w.vms, vm)
	stop, cancel := context.WithCancel(ctx)
	group.Add(func() error { return vm.Run(stop) }, func(error) { cancel() })
	target := vm.Addr()
	if w.proxied {
		p, err := fault.Listen(loopback(), target, w.seed+uint64(n))
		if err != nil {
			return err
		}
		group.Add(p.Run, func(error) { p.Close() })
		w.proxies = append(w.proxies, p)
		target = p.Addr()
	}
	w.targets = append(w.targets, target)
	return nil
}

// fleetAt returns the fleet at the addresses of this world, with only those
// upstreams that it has.
func (w *world) fleetAt(peers []netip.AddrPort) *model.Topology {
	fleet := *w.like.fleet
	fleet.Upstreams = maps.Clone(fleet.Upstreams)
	maps.DeleteFunc(fleet.Upstreams, func(id model.UpstreamID, _ model.Upstream) bool { return w.hosts[id] == nil })
	for id, u := range fleet.Upstreams {
		u.Addr = w.hosts[id].Addr(0)
		fleet.Upstreams[id] = u
	}
	fleet.VMs = make(map[model.VMID]model.VM)
	for i, other := range w.like.settings {
		vm := w.like.fleet.VMs[other.VM.ID]
		vm.PeerAddr = peers[i]
		fleet.VMs[vm.ID] = vm
	}
	return &fleet
}

// each changes the settings of all stand-ins of an index.
func (w *world) each(index string, edit func(*stub.Settings)) error {
	for _, u := range w.like.upstreams(index) {
		if err := w.stubs[u.ID].Change(edit); err != nil {
			return err
		}
	}
	return nil
}

// logs returns the logs of all stand-ins.
func (w *world) logs() []stub.Log {
	var list []stub.Log
	for _, s := range w.stubs {
		list = append(list, s.Log())
	}
	return list
}

// ready waits until every VM is ready.
func (w *world) ready(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyWithin)
	defer cancel()
	for _, vm := range w.vms {
		for {
			response, err := get(ctx, fmt.Sprintf("http://%s/ready", vm.Addr()))
			if err == nil && response == http.StatusOK {
				break
			}
			if !sleep(ctx, readyPoll) {
				return fmt.Errorf("VM at %s is not ready after %v", vm.Addr(), readyWithin)
			}
		}
	}
	return nil
}

func get(ctx context.Context, url string) (status int, err error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return 0, err
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, err
	}
	return response.StatusCode, response.Body.Close()
}

func loopback() netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), 0)
}

// source is the address from which the n-th VM connects. Its first three bytes
// are those of the availability zone.
func (w *world) source(zone model.Zone, n int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, byte(1 + os.Getpid()%250), byte(1 + slices.Index(w.like.zones, zone)), byte(1 + n)})
}

// peerAddrs are the addresses of the VMs for each other. The port is below the
// ephemeral range, where an outgoing connection could take it before the VM
// listens, and differs between processes.
func (w *world) peerAddrs() []netip.AddrPort {
	port := uint16(firstPort + os.Getpid()/250%portRange)
	addrs := make([]netip.AddrPort, len(w.like.settings))
	for n, s := range w.like.settings {
		addrs[n] = netip.AddrPortFrom(w.source(s.VM.Zone, n), port)
	}
	return addrs
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

// driver sends the load of a stage and plays its script.
type driver struct {
	world   *world
	stage   stage
	period  time.Duration
	outcome outcome
}

func (d *driver) run(ctx context.Context) (err error) {
	w := d.world
	if err := w.ready(ctx); err != nil {
		return err
	}
	load := &bench.Load{Targets: w.targets, Callers: d.stage.callers, Rate: d.stage.rate, Period: d.period, Seed: w.seed}
	p := &player{world: w, script: d.stage.script, done: make(chan error, 1)}
	playing, stop := context.WithCancel(ctx)
	defer stop()
	go p.run(playing)
	results, err := load.Run(ctx)
	stop()
	if played := <-p.done; err == nil {
		err = played
	}
	if err != nil {
		return err
	}
	for _, proxy := range w.proxies {
		if err := proxy.SetRules(fault.Rules{}); err != nil {
			return err
		}
	}
	if !sleep(ctx, settleTime) {
		return ctx.Err()
	}
	logs := w.logs()
	report := bench.Measure(results)
	bench.NewEvidence(logs).Check(report, results)
	d.outcome = outcome{report: report, results: results, period: d.period}
	for _, l := range logs {
		d.outcome.crashes += l.Crashes
	}
	return nil
}

// player plays the script of a stage.
type player struct {
	world  *world
	script []step
	done   chan error
}

func (p *player) run(ctx context.Context) {
	began := time.Now()
	for _, s := range p.script {
		if !sleep(ctx, time.Until(began.Add(s.at))) {
			break
		}
		if err := s.do(p.world); err != nil {
			p.done <- err
			return
		}
	}
	p.done <- nil
}
