package soak

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"github.com/zeebo/errs"

	"comfreypulley/core/model"
	"comfreypulley/core/soak"
	"comfreypulley/io/fault"
)

// class annotates errors of this package.
var class = errs.Class("soak")

// Size and limits of the fleet.
const (
	zones    = 3
	controls = 5 // bear one lost disk beside one that is down
	entries  = 6
	callers  = 5 // of each entry VM
	losses   = 1
	grace    = 3 * time.Second
	ratio    = 0.2
	extra    = 40
	window   = 10 * time.Second // in which extra attempts are counted
	spread   = 3                // shards from which portions go to other entry VMs
)

// Upstreams.
const (
	firstHost   = 100 // last byte of its address
	hostSlots   = 4
	hostQueue   = 8
	hostConns   = 64
	hostService = 8 * time.Millisecond
	hostSpread  = 0.3
	hostRare    = 0.05 // share of requests that take hostRareBy times as long
	hostRareBy  = 110
	hostRestart = 700 * time.Millisecond
)

const (
	headerTimeout = time.Second // of the list's server
	tickEvery     = 20 * time.Millisecond
	stallAfter    = 250 * time.Millisecond // without a turn of the control loop, after which the vm did not run the soak
	queued        = 4096                   // events
)

// soaks counts those of this process.
var soaks atomic.Int64

// apart keeps the numbers of soaks of one process away from the next process ids.
const apart = 7919

// anyPort is a loopback address with a free port.
var anyPort = netip.MustParseAddrPort("127.0.0.1:0")

// Soak is one run. The exported fields are set before use.
type Soak struct {
	Seed    uint64
	Period  time.Duration // with faults
	Program string        // file of the program
	Folder  string        // for settings, data and logs
	Rig     Rig

	number  int             // tells the addresses of soaks apart that run at the same time
	ctx     context.Context // of traffic; ends before the processes do
	over    chan struct{}   // closed when no event is taken any more
	events  chan stamped
	state   *soak.State
	faults  *bufio.Writer // log of what was done and found
	vms     []*vm
	hosts   []*host
	lister  netip.AddrPort
	newest  atomic.Int64 // change whose routes callers may use, plus one
	roster  atomic.Pointer[soak.SetUpstreamList]
	traffic sync.WaitGroup

	mu       sync.Mutex
	orders   map[uint64]int    // orders by the bytes of their document
	services map[string]string // by the id of an upstream
	proxies  []*fault.Proxy
}

// stamped is an event and when it was seen.
type stamped struct {
	at   time.Time
	body soak.Body
}

// Run runs the soak and returns its report.
func (s *Soak) Run(ctx context.Context) (report soak.Report, err error) {
	defer class.WrapP(&err)
	if err := os.MkdirAll(s.Folder, freshMode); err != nil {
		return report, err
	}
	file, err := os.Create(filepath.Join(s.Folder, "faults"))
	if err != nil {
		return report, err
	}
	s.faults = bufio.NewWriter(file)
	defer func() { err = errors.Join(err, s.faults.Flush(), file.Close()) }()
	s.events, s.orders, s.over = make(chan stamped, queued), make(map[uint64]int), make(chan struct{})
	s.services = make(map[string]string)
	s.roster.Store(&soak.SetUpstreamList{})
	s.number = os.Getpid() + apart*int(soaks.Add(1))
	traffic, cancel := context.WithCancel(ctx)
	defer cancel()
	s.ctx = traffic
	defer s.close()
	defer close(s.over)
	if err := s.assemble(); err != nil {
		return report, err
	}
	now := time.Now()
	s.state = soak.New(soak.Config{
		Seed: s.Seed, FaultPeriod: s.Period, StartedAt: now, LogVMs: controls, EntryVMs: entries, Zones: zones,
		ShutdownGrace: grace, RetryBudgetRatio: ratio, RetryBudgetExtra: extra, RetryBudgetWindow: window, Upstreams: soak.Upstreams(),
	})
	if err := s.carry(s.state.Start(now)); err != nil {
		return report, err
	}
	s.startTraffic()
	if err := s.control(ctx); err != nil {
		return report, err
	}
	cancel()
	if err := s.drain(); err != nil {
		return report, err
	}
	s.state.JudgeEnd()
	err = s.carry(s.state.Step(time.Now(), soak.Tick{}))
	return s.state.Report(), err
}

// control steps the reducer over all events until the soak is over.
func (s *Soak) control(ctx context.Context) error {
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	last := time.Now()
	for !s.state.Over() {
		var e stamped
		select {
		case <-ctx.Done():
			return ctx.Err()
		case at := <-ticker.C:
			e = stamped{at, soak.Tick{}}
		case e = <-s.events:
		}
		now := time.Now()
		if now.Sub(last) > stallAfter {
			if err := s.carry(s.state.Step(now, soak.HarnessStalled{From: last})); err != nil {
				return err
			}
		}
		last = now
		if err := s.carry(s.state.Step(e.at, e.body)); err != nil {
			return err
		}
	}
	return nil
}

// drain takes the last events until the callers have ended.
func (s *Soak) drain() error {
	ended := make(chan struct{})
	go s.await(ended)
	for {
		select {
		case e := <-s.events:
			if err := s.carry(s.state.Step(e.at, e.body)); err != nil {
				return err
			}
		case <-ended:
			return nil
		}
	}
}

func (s *Soak) await(ended chan<- struct{}) {
	s.traffic.Wait()
	close(ended)
}

// post hands an event to the reducer. It blocks when the reducer is behind, so
// that nothing is lost; the times are those of the call.
func (s *Soak) post(body soak.Body) {
	select {
	case s.events <- stamped{time.Now(), body}:
	case <-s.over:
	}
}

// assemble opens upstreams, the list and the proxies.
func (s *Soak) assemble() (err error) {
	for n, h := range soak.Upstreams() {
		if err := s.addHost(n, h.Service); err != nil {
			return err
		}
	}
	l, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(anyPort))
	if err != nil {
		return err
	}
	s.lister = l.Addr().(*net.TCPAddr).AddrPort()
	server := &http.Server{Handler: s.Rig.List(s.list), ReadHeaderTimeout: headerTimeout}
	go (&listServer{server: server, listener: l, soak: s}).run()
	context.AfterFunc(s.ctx, func() { _ = server.Close() })
	var seeds []model.VM
	for n := range controls + entries {
		v, err := s.newVM(n, byte(n%zones), n < controls)
		if err != nil {
			return err
		}
		s.vms = append(s.vms, v)
		if n < zones {
			seeds = append(seeds, v.site.VM)
		}
	}
	for _, v := range s.vms {
		v.site.Seeds = seeds
	}
	return nil
}

// close ends the processes, upstreams and proxies.
func (s *Soak) close() {
	for _, v := range s.vms {
		if err := v.end(); err != nil {
			fmt.Fprintln(s.faults, "end:", err)
		}
	}
	for _, h := range s.hosts {
		h.host.Close()
	}
	for _, p := range s.proxies {
		p.Close()
	}
}

// order returns the number of the order with these bytes.
func (s *Soak) order(document []byte) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if n, ok := s.orders[hash(document)]; ok {
		return n
	}
	return -1
}

func hash(b []byte) uint64 {
	h := fnv.New64a()
	_, _ = h.Write(b) // never fails
	return h.Sum64()
}
