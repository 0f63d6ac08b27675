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
	serviceTime       = 3 * time.Millisecond // median service time of a stub
	serviceTimeSigma  = 0.3                  // sigma of the log-normal service time
	readyPollInterval = 20 * time.Millisecond
	readyTimeout      = 20 * time.Second
	settleTime        = 300 * time.Millisecond // after the load, until cancelled runs are in the run logs
	drainTime         = 2 * time.Second        // in which a VM ends its requests before it stops
	zoneBits          = 24                     // length of the address prefix that the VMs of a zone share
	firstPeerPort     = 10_000                 // lowest port of the VMs' peer listeners
	peerPortCount     = 5000
)

// system is an example fleet with stub upstreams in this process.
type system struct {
	example         *example
	baseline        bool
	useFaultProxies bool
	seed            uint64
	logger          log.Interface

	dataFolder string // holds the data folders of the VMs
	stubs      map[model.UpstreamID]*stub.Stub
	servers    map[model.UpstreamID]*stub.Server
	vms        []*serve.VM
	proxies    []*fault.Proxy   // one for each VM when useFaultProxies is set
	targets    []netip.AddrPort // to which callers send requests
}

// run starts the system, sends the load of a stage and checks the answers.
func (sys *system) run(ctx context.Context, st stage, period time.Duration) (o outcome, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if sys.dataFolder, err = os.MkdirTemp("", "comfreypulley-demo-"); err != nil {
		return o, err
	}
	defer os.RemoveAll(sys.dataFolder)
	var group run.Group
	if err := sys.start(ctx, &group, st); err != nil {
		return o, err
	}
	if st.setUp != nil {
		if err := st.setUp(sys); err != nil {
			return o, err
		}
	}
	runner := &loadRunner{system: sys, stage: st, period: period}
	group.Add(func() error { return runner.run(ctx) }, func(error) { cancel() })
	if err := group.Run(); err != nil {
		return o, err
	}
	return runner.outcome, nil
}

// start starts the stubs and VMs.
func (sys *system) start(ctx context.Context, group *run.Group, st stage) error {
	sys.stubs = make(map[model.UpstreamID]*stub.Stub)
	sys.servers = make(map[model.UpstreamID]*stub.Server)
	var indexes []string
	for _, c := range st.callers {
		if !slices.Contains(indexes, c.Index) {
			indexes = append(indexes, c.Index)
		}
	}
	for _, index := range indexes {
		if err := sys.startStubs(group, index); err != nil {
			return err
		}
	}
	peers := sys.peerAddrs()
	for i := range sys.example.settings {
		if err := sys.startVM(ctx, group, i, peers); err != nil {
			return err
		}
	}
	return nil
}

// makeStubs makes the stubs of an index without listeners.
func (sys *system) makeStubs(index string) (stubs map[model.UpstreamID]*stub.Stub, err error) {
	stubs = make(map[model.UpstreamID]*stub.Stub)
	snapshots := sys.example.snapshots(index)
	for i, u := range sys.example.upstreams(index) {
		stubs[u.ID], err = stub.New(stub.Config{ID: string(u.ID), Seed: sys.seed*1000 + uint64(i), Settings: stub.Settings{
			Slots: u.Slots, MaxQueued: 2 * u.Slots, MaxConns: u.MaxConns, DialCost: u.DialCost,
			MedianServiceTime: serviceTime, ServiceTimeSigma: serviceTimeSigma,
			Snapshots: []stub.HeldSnapshot{snapshots[u.ID]},
		}})
		if err != nil {
			return nil, err
		}
	}
	return stubs, nil
}

// startStubs starts the stubs of an index. VMs in the zone of a stub have no added
// latency to it.
func (sys *system) startStubs(group *run.Group, index string) error {
	stubs, err := sys.makeStubs(index)
	if err != nil {
		return err
	}
	for id, s := range stubs {
		zoneAddr := sys.sourceAddr(sys.example.topology.Upstreams[id].Zone, 0)
		endpoint := stub.Endpoint{
			Addr: loopback(), Latency: sys.example.zoneLatency, SameZone: netip.PrefixFrom(zoneAddr, zoneBits).Masked(),
		}
		server, err := stub.Listen(s, endpoint)
		if err != nil {
			return err
		}
		group.Add(server.Run, func(error) { server.Close() })
		sys.stubs[id], sys.servers[id] = s, server
	}
	return nil
}

// startVM starts the nth VM with the settings of the example, except for
// addresses, policy, seed, drain time and folders.
func (sys *system) startVM(ctx context.Context, group *run.Group, n int, peers []netip.AddrPort) error {
	settings := *sys.example.settings[n]
	settings.VM.PeerAddr = peers[n]
	settings.CallerAddr, settings.AdminAddr = loopback(), loopback()
	settings.Baseline = sys.baseline
	settings.Seed = int(sys.seed)*100 + n + 1
	settings.DrainDelay, settings.DrainTimeout, settings.UsageFile = 0, drainTime, ""
	if settings.DataFolder != "" {
		settings.DataFolder = filepath.Join(sys.dataFolder, string(settings.VM.ID))
	}
	vm, err := serve.New(&settings, sys.topologyAt(peers), sys.logger)
	if err != nil {
		return err
	}
	sys.vms = append(sys.vms, vm)
	cancelScript, cancel := context.WithCancel(ctx)
	group.Add(func() error { return vm.Run(cancelScript) }, func(error) { cancel() })
	target := vm.Addr()
	if sys.useFaultProxies {
		p, err := fault.Listen(loopback(), target, sys.seed+uint64(n))
		if err != nil {
			return err
		}
		group.Add(p.Run, func(error) { p.Close() })
		sys.proxies = append(sys.proxies, p)
		target = p.Addr()
	}
	sys.targets = append(sys.targets, target)
	return nil
}

// topologyAt returns the example's topology with the addresses of this system and
// only those upstreams that were started.
func (sys *system) topologyAt(peers []netip.AddrPort) *model.Topology {
	fleet := *sys.example.topology
	fleet.Upstreams = maps.Clone(fleet.Upstreams)
	maps.DeleteFunc(fleet.Upstreams, func(id model.UpstreamID, _ model.Upstream) bool { return sys.servers[id] == nil })
	for id, u := range fleet.Upstreams {
		u.Addr = sys.servers[id].Addr(0)
		fleet.Upstreams[id] = u
	}
	fleet.VMs = make(map[model.VMID]model.VM)
	for i, other := range sys.example.settings {
		vm := sys.example.topology.VMs[other.VM.ID]
		vm.PeerAddr = peers[i]
		fleet.VMs[vm.ID] = vm
	}
	return &fleet
}

// changeStubs changes the settings of all stubs of an index.
func (sys *system) changeStubs(index string, edit func(*stub.Settings)) error {
	for _, u := range sys.example.upstreams(index) {
		if err := sys.stubs[u.ID].Change(edit); err != nil {
			return err
		}
	}
	return nil
}

// runLogs returns the run logs of all stubs.
func (sys *system) runLogs() []stub.RunLog {
	var list []stub.RunLog
	for _, s := range sys.stubs {
		list = append(list, s.RunLog())
	}
	return list
}

// awaitReady waits until every VM is ready.
func (sys *system) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for _, vm := range sys.vms {
		for {
			response, err := get(ctx, fmt.Sprintf("http://%s/ready", vm.Addr()))
			if err == nil && response == http.StatusOK {
				break
			}
			if !sleep(ctx, readyPollInterval) {
				return fmt.Errorf("VM at %s is not ready after %v", vm.Addr(), readyTimeout)
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

// sourceAddr returns the loopback address from which the nth VM connects. All VMs
// of a zone have the same first three bytes, which differ between processes.
func (sys *system) sourceAddr(zone model.Zone, n int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, byte(1 + os.Getpid()%250), byte(1 + slices.Index(sys.example.zones, zone)), byte(1 + n)})
}

// peerAddrs returns the VMs' addresses for messages from other VMs. The port
// depends on the process. It is below the range of ephemeral ports, from which an
// outgoing connection could be given it before the VM listens.
func (sys *system) peerAddrs() []netip.AddrPort {
	port := uint16(firstPeerPort + os.Getpid()/250%peerPortCount)
	addrs := make([]netip.AddrPort, len(sys.example.settings))
	for n, s := range sys.example.settings {
		addrs[n] = netip.AddrPortFrom(sys.sourceAddr(s.VM.Zone, n), port)
	}
	return addrs
}

// sleep pauses for d. It reports false when ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// loadRunner sends the load of a stage while its script runs.
type loadRunner struct {
	system  *system
	stage   stage
	period  time.Duration
	outcome outcome
}

func (r *loadRunner) run(ctx context.Context) (err error) {
	sys := r.system
	if err := sys.awaitReady(ctx); err != nil {
		return err
	}
	load := &bench.OpenLoop{Targets: sys.targets, Callers: r.stage.callers, Rate: r.stage.rate, Period: r.period, Seed: sys.seed}
	script := &scriptRunner{system: sys, script: r.stage.script, done: make(chan error, 1)}
	scriptCtx, cancelScript := context.WithCancel(ctx)
	defer cancelScript()
	go script.run(scriptCtx)
	results, err := load.Run(ctx)
	cancelScript()
	if scriptErr := <-script.done; err == nil {
		err = scriptErr
	}
	if err != nil {
		return err
	}
	for _, proxy := range sys.proxies {
		if err := proxy.SetRules(fault.Rules{}); err != nil {
			return err
		}
	}
	if !sleep(ctx, settleTime) {
		return ctx.Err()
	}
	logs := sys.runLogs()
	report := bench.Measure(results)
	bench.NewChecker(logs).Check(report, results)
	r.outcome = outcome{report: report, results: results, period: r.period}
	for _, l := range logs {
		r.outcome.crashes += l.Crashes
	}
	return nil
}

// scriptRunner applies the steps of a script at their times.
type scriptRunner struct {
	system *system
	script []scriptStep
	done   chan error
}

func (r *scriptRunner) run(ctx context.Context) {
	began := time.Now()
	for _, s := range r.script {
		if !sleep(ctx, time.Until(began.Add(s.at))) {
			break
		}
		if err := s.apply(r.system); err != nil {
			r.done <- err
			return
		}
	}
	r.done <- nil
}
