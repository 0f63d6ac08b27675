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

// Limits of the HTTP servers.
const (
	headerTimeout   = 5 * time.Second
	maxHeaderBytes  = 16 << 10
	shutdownTimeout = 5 * time.Second // for a server to write its last responses
)

// VM is the process of a VM that reads its settings from files. Make it with
// New.
type VM struct {
	settings         *conf.Settings
	fleet            *model.Topology
	logger           log.Interface
	counters         *Counters
	usage            *UsageLog
	caller           *caller.Server
	store            *disk.Store     // nil on a VM without a data folder
	peers            *peer.Transport // nil on a VM without a peer address
	peerListener     net.Listener    // for other VMs
	control          *loop.Loop
	controlExecutor  *controlExecutor
	drained          chan struct{} // closed when the control loop has drained
	queryExecutors   []*queryExecutor
	callerListener   net.Listener
	operatorListener net.Listener

	operators *admin.Server
}

// New opens the listeners, the usage log and the data folder of a VM.
func New(settings *conf.Settings, fleet *model.Topology, logger log.Interface) (vm *VM, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("vm %s: %w", settings.VM.ID, err)
		}
	}()
	vm = &VM{settings: settings, fleet: fleet, logger: logger.WithField("vm", string(settings.VM.ID)), counters: newCounters()}
	if vm.usage, err = OpenUsageLog(settings.UsageFile); err != nil {
		return nil, err
	}
	if vm.callerListener, err = listen(settings.CallerAddr); err != nil {
		return nil, err
	}
	if vm.operatorListener, err = listen(settings.AdminAddr); err != nil {
		return nil, err
	}
	vm.assemble()
	if settings.DataFolder != "" {
		if vm.store, err = disk.Open(settings.DataFolder, vm.control.Post); err != nil {
			return nil, err
		}
		vm.controlExecutor.store = vm.store
	}
	if settings.VM.PeerAddr.IsValid() {
		if err = vm.openPeers(); err != nil {
			return nil, err
		}
	}
	return vm, nil
}

// openPeers opens the listener for messages from other VMs, and secures the
// operators' listener with the same TLS keys.
func (vm *VM) openPeers() (err error) {
	vm.peers = &peer.Transport{
		Self: vm.settings.VM, Post: vm.control.Post, Logger: vm.logger,
		TLSFiles: peer.TLSFiles{CA: vm.settings.CAFile, Cert: vm.settings.CertFile, Key: vm.settings.KeyFile},
	}
	if err := vm.peers.LoadTLS(); err != nil {
		return err
	}
	vm.controlExecutor.peers = vm.peers
	vm.operatorListener = vm.peers.TLSListener(vm.operatorListener)
	vm.counters.AddGroup("peer", vm.peers.Counters())
	vm.peerListener, err = listen(vm.settings.VM.PeerAddr)
	return err
}

// Reload reads the TLS keys again. After an error the old ones remain in use.
func (vm *VM) Reload() error {
	if vm.peers == nil {
		return nil
	}
	return vm.peers.LoadTLS()
}

// Addr returns the address of the listener for callers.
func (vm *VM) Addr() netip.AddrPort {
	return vm.callerListener.Addr().(*net.TCPAddr).AddrPort()
}

func (vm *VM) assemble() {
	executor := &controlExecutor{counters: vm.counters, logger: vm.logger, drained: make(chan struct{})}
	vm.controlExecutor = executor
	vm.control = loop.New(executor)
	vm.drained = executor.drained
	vm.operators = &admin.Server{Post: vm.control.Post, Vars: vm.counters}
	executor.operators = vm.operators
	requestIDPrefix := fmt.Sprintf("%s-%d", vm.settings.VM.ID, time.Now().UnixNano())
	vm.caller = &caller.Server{RequestIDPrefix: requestIDPrefix}
	for range vm.settings.Loops {
		q := &queryExecutor{
			control: vm.control, caller: vm.caller, operators: vm.operators, counters: vm.counters, usage: vm.usage, logger: vm.logger,
			verbose: vm.settings.Verbose, drained: make(chan struct{}),
		}
		q.loop = loop.New(q)
		q.dialer = &dialer.Dialer{Post: q.loop.Post, RequestIDPrefix: requestIDPrefix, LocalAddr: vm.settings.VM.PeerAddr.Addr()}
		vm.queryExecutors = append(vm.queryExecutors, q)
		vm.caller.Posts = append(vm.caller.Posts, q.loop.Post)
		executor.trafficLoops = append(executor.trafficLoops, q.loop)
	}
	// Each loop chooses by what it has seen itself; one of them answers for all.
	vm.operators.PostTraffic = vm.queryExecutors[0].loop.Post
}

// Run serves until ctx is done, then drains and stops.
func (vm *VM) Run(ctx context.Context) (err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("vm %s: %w", vm.settings.VM.ID, err)
		}
		err = errors.Join(err, vm.usage.Close())
	}()
	var group run.Group
	start := event.Start{
		VM: vm.settings.VM, Seed: vm.seed(), ProcessStart: time.Now(), Loops: vm.settings.Loops, Baseline: vm.settings.Baseline,
		InitialConfig: vm.fleet,
	}
	for i, q := range vm.queryExecutors {
		start.Role, start.Loop = event.RoleQuery, i
		queryStart := start
		group.Add(func() error { return q.loop.Run(queryStart) }, q.loop.Stop)
	}
	start.Role = event.RoleControl
	group.Add(func() error { return vm.control.Run(start) }, vm.control.Stop)
	callers := newServer(vm.caller)
	group.Add(func() error { return serveHTTP(callers, vm.callerListener) }, func(error) { shutdown(callers) })
	operators := newServer(vm.operators)
	group.Add(func() error { return serveHTTP(operators, vm.operatorListener) }, func(error) { shutdown(operators) })
	if vm.store != nil {
		group.Add(vm.store.Run, vm.store.Stop)
	}
	if vm.peers != nil {
		group.Add(func() error { return vm.peers.Serve(vm.peerListener) }, func(error) { vm.peers.Close() })
	}
	s := &vmShutdown{vm: vm, ctx: ctx, stopped: make(chan struct{})}
	group.Add(s.run, s.stop)
	err = group.Run()
	for _, q := range vm.queryExecutors {
		q.dialer.Close()
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
	return &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeaderBytes}
}

func serveHTTP(s *http.Server, l net.Listener) error {
	if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// shutdown stops a server after it has written the responses in progress.
func shutdown(s *http.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	_ = s.Shutdown(ctx)
}

func listen(addr netip.AddrPort) (net.Listener, error) {
	return net.ListenTCP("tcp", net.TCPAddrFromAddrPort(addr))
}
