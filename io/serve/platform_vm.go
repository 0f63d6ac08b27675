package serve

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"runtime/debug"
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

// Parameters of a Resident.
const (
	callerIdleTimeout    = 2 * time.Minute        // callers on the platform close idle connections earlier
	memoryLimitFraction  = 0.7                    // of the VM's memory; near this limit the Go runtime collects garbage more often
	gcPercent            = 200                    // more than the default of 100, because the heap is small and collections cost CPU time
	maxDiskWait          = time.Hour              // for retries of writes to a full or stalled disk; the replica does not respond meanwhile
	finalResponseTimeout = 300 * time.Millisecond // for a server to write its last responses, and for the control loop to drain
	closeListenerAt      = 0.5                    // fraction of the grace period after which no new connections are accepted
	refuseRequestsAt     = 0.75                   // fraction of the grace period after which requests on open connections are refused
	cutOffAt             = 0.92                   // fraction of the grace period after which requests in flight are cut off
	flushTime            = 30 * time.Millisecond  // for the last responses to be sent
)

// PlatformVM is the process of a VM that is configured by the platform and registers
// itself with the fleet: an entry VM without a disk, or a VM with a disk that
// replicates the log. Make it with NewResident.
type PlatformVM struct {
	site     *PlatformConfig
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
func NewPlatformVM(site *PlatformConfig, logger log.Interface) (r *PlatformVM, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("vm %s: %w", site.VM.ID, err)
		}
	}()
	if site.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(memoryLimitFraction * float64(site.MemoryBytes)))
	}
	debug.SetGCPercent(gcPercent)
	r = &PlatformVM{site: site, logger: logger, counters: newCounters()}
	r.executor = &controlExecutor{counters: r.counters, logger: logger, lister: site.UpstreamLister, drained: make(chan struct{})}
	r.control = loop.New(r.executor)
	r.executor.loop = r.control
	r.operators = &admin.Server{Post: r.control.Post, Vars: r.counters}
	r.executor.operators = r.operators
	if site.DataFolder != "" {
		if r.store, err = disk.Open(site.DataFolder, r.control.Post); err != nil {
			return nil, err
		}
		r.store.Patience, r.store.Logger = maxDiskWait, logger
		r.executor.store = r.store
	}
	r.peers = &peer.Transport{Self: site.VM, Post: r.control.Post, Logger: logger}
	r.executor.peers = r.peers
	r.counters.AddGroup("peer", r.peers.Counters())
	peerAddr := site.VM.PeerAddr
	if site.PeerListenAddr.IsValid() {
		peerAddr = site.PeerListenAddr
	}
	if r.peerListener, err = listen(peerAddr); err != nil {
		return nil, err
	}
	if site.CallerAddr.IsValid() {
		r.assembleProxy()
		l, err := listen(site.CallerAddr)
		if err != nil {
			return nil, err
		}
		r.callerServer = newHTTPActor(r.proxy.server, l, finalResponseTimeout)
		r.callerServer.server.ConnContext = proxy.ConnContext
		if err = r.openPortionServer(); err != nil {
			return nil, err
		}
		if err = r.openServer(site.ReadyAddr, site.NewHealthHandler(r.proxy.server.Ready)); err != nil {
			return nil, err
		}
	}
	if site.OperatorAddr.IsValid() {
		if err = r.openServer(site.OperatorAddr, site.NewOperatorHandler(r.operators)); err != nil {
			return nil, err
		}
	}
	return r, r.openServer(site.MetricsAddr, r.operators)
}

func (r *PlatformVM) assembleProxy() {
	e := &proxyExecutor{
		control: r.control, counters: r.counters, logger: r.logger, drained: make(chan struct{}),
		traces: &traceLog{logger: r.logger, counters: r.counters},
	}
	e.loop = loop.New(e)
	e.server = &proxy.Server{HeaderNames: r.site.HeaderNames, Post: e.loop.Post}
	e.client = &proxy.Client{
		LocalAddr: r.site.VM.PeerAddr.Addr(), HeaderNames: r.site.HeaderNames, Post: e.loop.Post, CallerRequest: e.server.CallerRequest,
	}
	r.proxy = e
	r.executor.trafficLoops = []*loop.Loop{e.loop}
}

// openPortionServer serves portions of other VMs' requests. When the peer listener
// is behind a port forwarder, the portion listener is on the next port.
func (r *PlatformVM) openPortionServer() error {
	addr := r.site.PortionAddr
	if !addr.IsValid() {
		return nil
	}
	if r.site.PeerListenAddr.IsValid() {
		addr = netip.AddrPortFrom(r.site.PeerListenAddr.Addr(), r.site.PeerListenAddr.Port()+1)
	}
	return r.openServer(addr, &proxy.PortionHandler{Server: r.proxy.server})
}

func (r *PlatformVM) openServer(addr netip.AddrPort, handler http.Handler) error {
	l, err := listen(addr)
	if err != nil {
		return err
	}
	r.otherServers = append(r.otherServers, newHTTPActor(handler, l, finalResponseTimeout))
	return nil
}

// Run serves until ctx is done, then drains and stops.
func (r *PlatformVM) Run(ctx context.Context) (err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("vm %s: %w", r.site.VM.ID, err)
		}
	}()
	r.logger.WithField("disk", r.site.VM.HasDisk).Info("started")
	for _, problem := range r.site.IgnoredSettings {
		r.logger.WithField("cause", problem).Warn("setting ignored")
	}
	defer r.logger.Info("stopped")
	var group run.Group
	start := r.startEvent()
	if r.proxy != nil {
		start.Role = event.RoleProxy
		proxyStart := start
		group.Add(func() error { return r.proxy.loop.Run(proxyStart) }, r.proxy.loop.Stop)
	}
	start.Role = event.RoleControl
	group.Add(func() error { return r.control.Run(start) }, r.control.Stop)
	if r.callerServer != nil {
		group.Add(r.callerServer.run, r.callerServer.stop)
	}
	for _, a := range r.otherServers {
		group.Add(a.run, a.stop)
	}
	if r.store != nil {
		group.Add(r.store.Run, r.store.Stop)
	}
	group.Add(func() error { return r.peers.Serve(r.peerListener) }, func(error) { r.peers.Close() })
	s := &platformVMShutdown{resident: r, ctx: ctx, stopped: make(chan struct{})}
	group.Add(s.run, s.stop)
	err = group.Run()
	if r.proxy != nil {
		r.proxy.client.Close()
	}
	return err
}

func (r *PlatformVM) startEvent() event.Start {
	now := time.Now()
	start := event.Start{
		VM: r.site.VM, Seed: uint64(now.UnixNano()), ProcessStart: now, Loops: 1, SelfRegistration: true,
		ToleratedDiskLosses: r.site.ToleratedDiskLosses,
		RetryBudgetRatio:    r.site.RetryBudgetRatio, RetryBudgetExtra: r.site.RetryBudgetExtra, RetryBudgetWindow: r.site.RetryBudgetWindow,
		CPUCores: r.site.CPUCores, Peers: r.site.Seeds, PortionAddr: r.site.PortionAddr, MinShardsToDelegate: r.site.MinShardsToDelegate,
	}
	if r.site.Bootstrap {
		start.InitialConfig = &model.Topology{VMs: make(map[model.VMID]model.VM)}
		for _, vm := range r.site.Seeds {
			start.InitialConfig.VMs[vm.ID] = vm
		}
	}
	return start
}
