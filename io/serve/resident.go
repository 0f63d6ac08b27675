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

// Bounds of a resident's servers and its part of the VM's memory.
const (
	callerIdle     = 2 * time.Minute // the platform's callers give up idle connections earlier
	memoryShare    = 0.7             // of the VM's memory, above which the runtime collects garbage eagerly
	gcPercent      = 200             // a small heap is cheap to let grow, and collections cost processor time
	diskPatience   = time.Hour       // a full or stalled disk is waited for; the replica stays silent meanwhile
	lastAnswers    = 300 * time.Millisecond
	unreadyShare   = 0.5                   // of the grace period, until no new connections are accepted
	refuseShare    = 0.75                  // of the grace period, until requests on open connections are refused
	finishingShare = 0.92                  // of the grace period, until requests in flight are cut off
	flushPause     = 30 * time.Millisecond // for the last answers to leave
)

// Resident is a process of a fleet that enrols by itself: an entry VM without a
// disk, or a VM that replicates the log. Make it with NewResident.
type Resident struct {
	site     *Site
	logger   log.Interface
	counters *Counters

	control  *loop.Loop
	executor *control
	routed   *routed // nil on a VM that takes no callers
	peers    *peer.Transport
	store    *disk.Store // nil on a VM without a disk
	admin    *admin.Server

	callers *web // nil on a VM that takes no callers
	others  []*web
	peering net.Listener
}

// NewResident opens the listeners and files of a process.
func NewResident(site *Site, logger log.Interface) (r *Resident, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("vm %s: %w", site.VM.ID, err)
		}
	}()
	if site.Memory > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(site.Memory)))
	}
	debug.SetGCPercent(gcPercent)
	r = &Resident{site: site, logger: logger, counters: newCounters()}
	r.executor = &control{counters: r.counters, logger: logger, lister: site.Lister, drained: make(chan struct{})}
	r.control = loop.New(r.executor)
	r.executor.self = r.control
	r.admin = &admin.Server{Post: r.control.Post, Vars: r.counters}
	r.executor.operators = r.admin
	if site.Data != "" {
		if r.store, err = disk.Open(site.Data, r.control.Post); err != nil {
			return nil, err
		}
		r.store.Patience, r.store.Logger = diskPatience, logger
		r.executor.store = r.store
	}
	r.peers = &peer.Transport{Self: site.VM, Post: r.control.Post, Logger: logger}
	r.executor.peers = r.peers
	r.counters.Share("peer", r.peers.Counters())
	peering := site.VM.PeerAddr
	if site.Peering.IsValid() {
		peering = site.Peering
	}
	if r.peering, err = listen(peering); err != nil {
		return nil, err
	}
	if site.Callers.IsValid() {
		r.assembleRouted()
		l, err := listen(site.Callers)
		if err != nil {
			return nil, err
		}
		r.callers = newWeb(r.routed.server, l, lastAnswers)
		r.callers.server.ConnContext = proxy.ConnContext
		if err = r.openGatherer(); err != nil {
			return nil, err
		}
		if err = r.open(site.Ready, site.Probe(r.routed.server.Ready)); err != nil {
			return nil, err
		}
	}
	if site.Control.IsValid() {
		if err = r.open(site.Control, site.Operator(r.admin)); err != nil {
			return nil, err
		}
	}
	return r, r.open(site.Metrics, r.admin)
}

func (r *Resident) assembleRouted() {
	t := &routed{
		control: r.control, counters: r.counters, logger: r.logger, drained: make(chan struct{}),
		traces: &traces{logger: r.logger, counters: r.counters},
	}
	t.loop = loop.New(t)
	t.server = &proxy.Server{HeaderNames: r.site.Dialect, Post: t.loop.Post}
	t.client = &proxy.Client{LocalAddr: r.site.VM.PeerAddr.Addr(), HeaderNames: r.site.Dialect, Post: t.loop.Post, CallerRequest: t.server.CallerRequest}
	r.routed = t
	r.executor.loops = []*loop.Loop{t.loop}
}

// openGatherer takes portions of other VMs' requests. Behind a forwarder, the
// port follows that of the peers.
func (r *Resident) openGatherer() error {
	addr := r.site.Gathers
	if !addr.IsValid() {
		return nil
	}
	if r.site.Peering.IsValid() {
		addr = netip.AddrPortFrom(r.site.Peering.Addr(), r.site.Peering.Port()+1)
	}
	return r.open(addr, &proxy.PortionHandler{Server: r.routed.server})
}

func (r *Resident) open(addr netip.AddrPort, handler http.Handler) error {
	l, err := listen(addr)
	if err != nil {
		return err
	}
	r.others = append(r.others, newWeb(handler, l, lastAnswers))
	return nil
}

// Run serves until ctx ends, then drains and stops.
func (r *Resident) Run(ctx context.Context) (err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("vm %s: %w", r.site.VM.ID, err)
		}
	}()
	r.logger.WithField("disk", r.site.VM.HasDisk).Info("started")
	for _, problem := range r.site.Ignored {
		r.logger.WithField("cause", problem).Warn("setting ignored")
	}
	defer r.logger.Info("stopped")
	var group run.Group
	start := r.begin()
	if r.routed != nil {
		start.Role = event.RoleProxy
		begin := start
		group.Add(func() error { return r.routed.loop.Run(begin) }, r.routed.loop.Stop)
	}
	start.Role = event.RoleControl
	group.Add(func() error { return r.control.Run(start) }, r.control.Stop)
	if r.callers != nil {
		group.Add(r.callers.run, r.callers.stop)
	}
	for _, w := range r.others {
		group.Add(w.run, w.stop)
	}
	if r.store != nil {
		group.Add(r.store.Run, r.store.Stop)
	}
	group.Add(func() error { return r.peers.Serve(r.peering) }, func(error) { r.peers.Close() })
	l := &leaver{resident: r, ctx: ctx, stopped: make(chan struct{})}
	group.Add(l.run, l.stop)
	err = group.Run()
	if r.routed != nil {
		r.routed.client.Close()
	}
	return err
}

func (r *Resident) begin() event.Start {
	now := time.Now()
	start := event.Start{
		VM: r.site.VM, Seed: uint64(now.UnixNano()), ProcessStart: now, Loops: 1, SelfRegistration: true, ToleratedDiskLosses: r.site.Losses,
		RetryBudgetRatio: r.site.Ratio, RetryBudgetExtra: r.site.Extra, RetryBudgetWindow: r.site.Window, CPUCores: r.site.Speed, Peers: r.site.Seeds,
		PortionAddr: r.site.Gathers, MinShardsToDelegate: r.site.Spread,
	}
	if r.site.Founding {
		start.InitialConfig = &model.Topology{VMs: make(map[model.VMID]model.VM)}
		for _, vm := range r.site.Seeds {
			start.InitialConfig.VMs[vm.ID] = vm
		}
	}
	return start
}
