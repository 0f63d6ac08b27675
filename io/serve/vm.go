package serve

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/apex/log"
	"github.com/oklog/run"

	"comfreypulley/core/event"
	"comfreypulley/core/model"
	"comfreypulley/io/admin"
	"comfreypulley/io/caller"
	"comfreypulley/io/conf"
	"comfreypulley/io/dialer"
	"comfreypulley/io/disk"
	"comfreypulley/io/loop"
	"comfreypulley/io/peer"
)

// Bounds of the HTTP servers.
const (
	headerTimeout = 5 * time.Second
	maxHeader     = 16 << 10
	cutTimeout    = 5 * time.Second // to write the last answers after the drain
)

// VM is an entry VM. Make it with New.
type VM struct {
	settings *conf.Settings
	fleet    *model.Topology
	logger   log.Interface
	counters *Counters
	usage    *Usage
	caller   *caller.Server
	store    *disk.Store     // nil on a VM without a data folder
	peers    *peer.Transport // nil on a VM without a peer address
	incoming net.Listener    // of the peers
	control  *loop.Loop
	executor *control
	drained  chan struct{} // closed when the control loop has drained
	traffics []*traffic
	listener net.Listener
	admin    net.Listener

	operators *admin.Server
}

// New opens the listeners and files of a VM.
func New(settings *conf.Settings, fleet *model.Topology, logger log.Interface) (vm *VM, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("vm %s: %w", settings.VM.ID, err)
		}
	}()
	vm = &VM{settings: settings, fleet: fleet, logger: logger.WithField("vm", string(settings.VM.ID)), counters: newCounters()}
	if vm.usage, err = OpenUsage(settings.Usage); err != nil {
		return nil, err
	}
	if vm.listener, err = listen(settings.Caller); err != nil {
		return nil, err
	}
	if vm.admin, err = listen(settings.Admin); err != nil {
		return nil, err
	}
	vm.assemble()
	if settings.Data != "" {
		if vm.store, err = disk.Open(settings.Data, vm.control.Post); err != nil {
			return nil, err
		}
		vm.executor.store = vm.store
	}
	if settings.VM.PeerAddr.IsValid() {
		if err = vm.openPeers(); err != nil {
			return nil, err
		}
	}
	return vm, nil
}

// openPeers opens the listener for the other VMs.
func (vm *VM) openPeers() (err error) {
	vm.peers = &peer.Transport{
		Self: vm.settings.VM, Post: vm.control.Post, Logger: vm.logger,
		Keys: peer.Keys{Authority: vm.settings.CA, Certificate: vm.settings.Cert, Key: vm.settings.Key},
	}
	if err := vm.peers.Reload(); err != nil {
		return err
	}
	vm.executor.peers = vm.peers
	vm.admin = vm.peers.Secure(vm.admin)
	vm.counters.Share("peer", vm.peers.Counters())
	vm.incoming, err = listen(vm.settings.VM.PeerAddr)
	return err
}

// Reload reads the TLS keys again. After an error the old ones stay in use.
func (vm *VM) Reload() error {
	if vm.peers == nil {
		return nil
	}
	return vm.peers.Reload()
}

// Addr returns the callers' address.
func (vm *VM) Addr() netip.AddrPort {
	return vm.listener.Addr().(*net.TCPAddr).AddrPort()
}

func (vm *VM) assemble() {
	executor := &control{counters: vm.counters, logger: vm.logger, drained: make(chan struct{})}
	vm.executor = executor
	vm.control = loop.New(executor)
	vm.drained = executor.drained
	vm.operators = &admin.Server{Post: vm.control.Post, Vars: vm.counters}
	executor.operators = vm.operators
	origin := fmt.Sprintf("%s-%d", vm.settings.VM.ID, time.Now().UnixNano())
	vm.caller = &caller.Server{RequestIDPrefix: origin}
	for range vm.settings.Loops {
		t := &traffic{
			control: vm.control, caller: vm.caller, counters: vm.counters, usage: vm.usage, logger: vm.logger,
			verbose: vm.settings.Verbose, drained: make(chan struct{}),
		}
		t.loop = loop.New(t)
		t.dialer = &dialer.Dialer{Post: t.loop.Post, RequestIDPrefix: origin, LocalAddr: vm.settings.VM.PeerAddr.Addr()}
		vm.traffics = append(vm.traffics, t)
		vm.caller.Posts = append(vm.caller.Posts, t.loop.Post)
		executor.loops = append(executor.loops, t.loop)
	}
}

// Run serves until ctx ends, then drains and stops.
func (vm *VM) Run(ctx context.Context) (err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("vm %s: %w", vm.settings.VM.ID, err)
		}
		err = errors.Join(err, vm.usage.Close())
	}()
	var group run.Group
	start := event.Start{
		VM: vm.settings.VM, Seed: vm.seed(), ProcessStart: time.Now(), Loops: vm.settings.Loops, Baseline: vm.settings.Plain, InitialConfig: vm.fleet,
	}
	for i, t := range vm.traffics {
		start.Role, start.Loop = event.RoleQuery, i
		begin := start
		group.Add(func() error { return t.loop.Run(begin) }, t.loop.Stop)
	}
	start.Role = event.RoleControl
	group.Add(func() error { return vm.control.Run(start) }, vm.control.Stop)
	callers := newServer(vm.caller)
	group.Add(func() error { return serveHTTP(callers, vm.listener) }, func(error) { shutdown(callers) })
	operators := newServer(vm.operators)
	group.Add(func() error { return serveHTTP(operators, vm.admin) }, func(error) { shutdown(operators) })
	if vm.store != nil {
		group.Add(vm.store.Run, vm.store.Stop)
	}
	if vm.peers != nil {
		group.Add(func() error { return vm.peers.Serve(vm.incoming) }, func(error) { vm.peers.Close() })
	}
	d := &drainer{vm: vm, ctx: ctx, stopped: make(chan struct{})}
	group.Add(d.run, d.stop)
	err = group.Run()
	for _, t := range vm.traffics {
		t.dialer.Close()
	}
	return err
}

func (vm *VM) seed() uint64 {
	if vm.settings.Seed != 0 {
		return uint64(vm.settings.Seed)
	}
	return uint64(time.Now().UnixNano())
}

func newServer(handler http.Handler) *http.Server {
	return &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeader}
}

func serveHTTP(s *http.Server, l net.Listener) error {
	if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// shutdown lets answers that are being written end.
func shutdown(s *http.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), cutTimeout)
	defer cancel()
	_ = s.Shutdown(ctx)
}

func listen(addr netip.AddrPort) (net.Listener, error) {
	return net.ListenTCP("tcp", net.TCPAddrFromAddrPort(addr))
}
