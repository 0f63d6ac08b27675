package serve

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/oklog/run"

	"comfreypulley/core/event"
	"comfreypulley/core/model"
	"comfreypulley/io/admin"
	"comfreypulley/io/disk"
	"comfreypulley/io/loop"
	"comfreypulley/io/peer"
	"comfreypulley/io/proxy"
)

// Parameters of a PlatformVM.
const (
	callerIdleTimeout   = 2 * time.Minute // of callers' connections, unless the document states a shorter time
	memoryLimitFraction = 0.7             // of the VM's memory; near this limit the Go runtime collects garbage more often
	gcPercent           = 200             // more than the default of 100, because the heap is small and collections cost CPU time
	maxDiskWait         = time.Hour       // for retries of writes to a full or stalled disk; the replica does not respond meanwhile
)

// PlatformVM is the process of a VM that receives its settings from the
// platform and registers itself with the fleet: an entry VM without a disk, or
// a VM with a disk that replicates the log. Make it with NewPlatformVM.
type PlatformVM struct {
	settings *PlatformSettings
	grace    atomic.Int64 // PlatformSettings.ShutdownGrace in nanoseconds
	logger   log.Interface
	counters *Counters

	control   *loop.Loop
	executor  *controlExecutor
	proxy     *proxyExecutor // nil on a VM that serves no callers
	peers     *peer.Transport
	store     *disk.Store // nil on a VM without a disk
	operators *admin.Server

	callerServer *httpActor // nil on a VM that serves no callers
	otherServers []*httpActor
	peerListener net.Listener
}

// NewPlatformVM opens the listeners and the data folder of a VM.
func NewPlatformVM(settings *PlatformSettings, logger log.Interface) (p *PlatformVM, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("vm %s: %w", settings.VM.ID, err)
		}
	}()
	debug.SetGCPercent(gcPercent)
	p = &PlatformVM{settings: settings, logger: logger, counters: newCounters()}
	p.applyLimits(settings)
	p.executor = &controlExecutor{counters: p.counters, logger: logger, lister: settings.UpstreamLister, drained: make(chan struct{})}
	p.control = loop.New(p.executor)
	p.executor.loop = p.control
	p.operators = &admin.Server{Post: p.control.Post, Vars: p.counters}
	p.executor.operators = p.operators
	reader := &documentReader{post: p.control.Post, read: settings.CompleteDocument}
	if settings.DataFolder != "" {
		if p.store, err = disk.Open(settings.DataFolder, reader.Post); err != nil {
			return nil, err
		}
		p.store.RetryTimeout, p.store.Logger = maxDiskWait, logger
		p.executor.store = p.store
	}
	p.peers = &peer.Transport{Self: settings.VM, Post: reader.Post, Logger: logger}
	p.executor.peers = p.peers
	p.counters.AddGroup("peer", p.peers.Counters())
	peerAddr := settings.VM.PeerAddr
	if settings.PeerListenAddr.IsValid() {
		peerAddr = settings.PeerListenAddr
	}
	if p.peerListener, err = listen(peerAddr); err != nil {
		return nil, err
	}
	if settings.CallerAddr.IsValid() {
		p.assembleProxy()
		l, err := listen(settings.CallerAddr)
		if err != nil {
			return nil, err
		}
		p.callerServer = newHTTPActor(p.proxy.server, l)
		p.callerServer.server.ConnContext = proxy.ConnContext
		p.proxy.limitIdle = p.callerServer.limitIdle
		if err = p.openPortionServer(); err != nil {
			return nil, err
		}
		if err = p.openServer(settings.ReadyAddr, settings.NewHealthHandler(p.proxy.server.Ready)); err != nil {
			return nil, err
		}
	}
	if settings.OperatorAddr.IsValid() {
		if err = p.openServer(settings.OperatorAddr, settings.NewOperatorHandler(p.operators)); err != nil {
			return nil, err
		}
	}
	return p, p.openServer(settings.MetricsAddr, p.operators)
}

func (p *PlatformVM) assembleProxy() {
	e := &proxyExecutor{
		control: p.control, counters: p.counters, logger: p.logger, drained: make(chan struct{}),
		traces: &traceLog{logger: p.logger, counters: p.counters}, operators: p.operators,
	}
	e.loop = loop.New(e)
	p.operators.PostTraffic = e.loop.Post
	e.server = &proxy.Server{HeaderNames: p.settings.HeaderNames, Post: e.loop.Post}
	e.client = &proxy.Client{
		LocalAddr: p.settings.VM.PeerAddr.Addr(), HeaderNames: p.settings.HeaderNames, Post: e.loop.Post, CallerRequest: e.server.CallerRequest,
	}
	p.proxy = e
	p.executor.trafficLoops = []*loop.Loop{e.loop}
}

// openPortionServer serves portions of other VMs' requests. When the peer
// listener is behind a port forwarder, the portion listener is on the next port.
func (p *PlatformVM) openPortionServer() error {
	addr := p.settings.PortionAddr
	if !addr.IsValid() {
		return nil
	}
	if p.settings.PeerListenAddr.IsValid() {
		addr = netip.AddrPortFrom(p.settings.PeerListenAddr.Addr(), p.settings.PeerListenAddr.Port()+1)
	}
	return p.openServer(addr, &proxy.PortionHandler{Server: p.proxy.server})
}

func (p *PlatformVM) openServer(addr netip.AddrPort, handler http.Handler) error {
	l, err := listen(addr)
	if err != nil {
		return err
	}
	p.otherServers = append(p.otherServers, newHTTPActor(handler, l))
	return nil
}

// Reload applies changed settings to the running VM: the seeds, the tolerated
// losses, the limits of the machine, the retry budget, the grace period and the
// time bound of changes. Other settings take effect at the next start.
func (p *PlatformVM) Reload(settings *PlatformSettings) {
	p.applyLimits(settings)
	changed := event.SettingsChanged{
		Peers: settings.Seeds, ToleratedDiskLosses: settings.ToleratedDiskLosses, CPUCores: settings.CPUCores,
		RetryBudgetRatio: settings.RetryBudgetRatio, RetryBudgetExtra: settings.RetryBudgetExtra, RetryBudgetWindow: settings.RetryBudgetWindow,
		ChangeBound: settings.ChangeBound,
	}
	p.control.Post(changed)
	if p.proxy != nil {
		p.proxy.loop.Post(changed)
	}
}

// applyLimits applies the settings that concern the process as a whole.
func (p *PlatformVM) applyLimits(settings *PlatformSettings) {
	p.grace.Store(int64(settings.ShutdownGrace))
	if settings.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(memoryLimitFraction * float64(settings.MemoryBytes)))
	}
}

// httpActors returns the HTTP servers of the VM.
func (p *PlatformVM) httpActors() []*httpActor {
	if p.callerServer == nil {
		return p.otherServers
	}
	return append([]*httpActor{p.callerServer}, p.otherServers...)
}

// Run serves until ctx is done, then drains and stops.
func (p *PlatformVM) Run(ctx context.Context) (err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("vm %s: %w", p.settings.VM.ID, err)
		}
	}()
	p.logger.WithField("disk", p.settings.VM.HasDisk).Info("started")
	for _, problem := range p.settings.IgnoredSettings {
		p.logger.WithField("cause", problem).Warn("setting ignored")
	}
	defer p.logger.Info("stopped")
	var group run.Group
	start := p.startEvent()
	if p.proxy != nil {
		start.Role = event.RoleProxy
		proxyStart := start
		group.Add(func() error { return p.proxy.loop.Run(proxyStart) }, p.proxy.loop.Stop)
	}
	start.Role = event.RoleControl
	group.Add(func() error { return p.control.Run(start) }, p.control.Stop)
	for _, a := range p.httpActors() {
		group.Add(a.run, a.stop)
	}
	if p.store != nil {
		group.Add(p.store.Run, p.store.Stop)
	}
	group.Add(func() error { return p.peers.Serve(p.peerListener) }, func(error) { p.peers.Close() })
	s := &platformVMShutdown{vm: p, ctx: ctx, stopped: make(chan struct{})}
	group.Add(s.run, s.stop)
	err = group.Run()
	if p.proxy != nil {
		p.proxy.client.Close()
	}
	return err
}

func (p *PlatformVM) startEvent() event.Start {
	now := time.Now()
	start := event.Start{
		VM: p.settings.VM, Seed: uint64(now.UnixNano()), ProcessStart: now, Loops: 1, SelfRegistration: true,
		ToleratedDiskLosses: p.settings.ToleratedDiskLosses,
		RetryBudgetRatio:    p.settings.RetryBudgetRatio, RetryBudgetExtra: p.settings.RetryBudgetExtra,
		RetryBudgetWindow: p.settings.RetryBudgetWindow, ChangeBound: p.settings.ChangeBound,
		Tolerance: p.settings.Tolerance,
		CPUCores:  p.settings.CPUCores, Peers: p.settings.Seeds, PortionAddr: p.settings.PortionAddr, MinShardsToDelegate: p.settings.MinShardsToDelegate,
	}
	if p.settings.Bootstrap {
		start.InitialConfig = &model.Topology{VMs: make(map[model.VMID]model.VM)}
		for _, vm := range p.settings.Seeds {
			start.InitialConfig.VMs[vm.ID] = vm
		}
	}
	return start
}
