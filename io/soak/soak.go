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

// class marks errors of this package.
var class = errs.Class("soak")

// Size and limits of the fleet.
const (
	zones               = 3
	logVMs              = 5 // tolerate one lost disk while another VM is down
	entryVMs            = 6
	callersPerVM        = 5 // number per entry VM
	toleratedDiskLosses = 1
	shutdownGrace       = 3 * time.Second
	retryBudgetRatio    = 0.2
	retryBudgetExtra    = 40
	retryBudgetWindow   = 10 * time.Second // in which retries and hedges are counted
	minShardsToDelegate = 3                // fewest shards of a request for which a VM delegates portions to other entry VMs
)

// Properties of the upstreams.
const (
	firstUpstreamByte = 100 // last byte of the first upstream's address
	upstreamSlots     = 4
	upstreamQueue     = 8
	upstreamConns     = 64
	serviceTime       = 8 * time.Millisecond // median
	serviceTimeSpread = 0.3                  // sigma of the log-normal service time
	slowFraction      = 0.05                 // fraction of requests that take slowFactor times as long
	slowFactor        = 110
	restartTime       = 700 * time.Millisecond // after a crash
)

const (
	headerTimeout    = time.Second // of the server of the list of upstreams
	tickInterval     = 20 * time.Millisecond
	stallThreshold   = 250 * time.Millisecond // between two iterations of runLoop, from which on the machine counts as stalled
	eventQueueLength = 4096
)

// soakCount is the number of soak tests of this process.
var soakCount atomic.Int64

// soakNumberStep keeps the numbers of a process's soak tests apart from those of
// processes with similar ids.
const soakNumberStep = 7919

// anyPort is a loopback address with a free port.
var anyPort = netip.MustParseAddrPort("127.0.0.1:0")

// Soak is one soak test. Set the exported fields before Run.
type Soak struct {
	Seed        uint64
	FaultPeriod time.Duration // in which faults are injected
	Program     string        // file of the program under test
	Folder      string        // for settings, data and logs of the VMs
	Platform    Platform

	number        int             // separates the addresses of soak tests that run at the same time
	ctx           context.Context // of callers and operators; ends before the processes do
	done          chan struct{}   // closed when no more events are accepted
	events        chan timedEvent
	state         *soak.State
	faultLog      *bufio.Writer // log of injected faults and findings
	vms           []*vm
	upstreams     []*upstream
	listAddr      netip.AddrPort
	usableChanges atomic.Int64 // number of the first change whose routes callers may not use yet
	listState     atomic.Pointer[soak.SetUpstreamList]
	traffic       sync.WaitGroup

	mu          sync.Mutex
	submissions map[uint64]int    // numbers of submissions by the hash of their document
	services    map[string]string // by upstream id
	proxies     []*fault.Proxy
}

// timedEvent is an event and the time when it was observed.
type timedEvent struct {
	at   time.Time
	body soak.Body
}

// Run runs the soak test and returns its report.
func (s *Soak) Run(ctx context.Context) (report soak.Report, err error) {
	defer class.WrapP(&err)
	if err := os.MkdirAll(s.Folder, dirMode); err != nil {
		return report, err
	}
	file, err := os.Create(filepath.Join(s.Folder, "faults"))
	if err != nil {
		return report, err
	}
	s.faultLog = bufio.NewWriter(file)
	defer func() { err = errors.Join(err, s.faultLog.Flush(), file.Close()) }()
	s.events, s.submissions, s.done = make(chan timedEvent, eventQueueLength), make(map[uint64]int), make(chan struct{})
	s.services = make(map[string]string)
	s.listState.Store(&soak.SetUpstreamList{})
	s.number = os.Getpid() + soakNumberStep*int(soakCount.Add(1))
	traffic, cancel := context.WithCancel(ctx)
	defer cancel()
	s.ctx = traffic
	defer s.close()
	defer close(s.done)
	if err := s.startHarness(); err != nil {
		return report, err
	}
	now := time.Now()
	s.state = soak.New(soak.Config{
		Seed: s.Seed, FaultPeriod: s.FaultPeriod, StartedAt: now, LogVMs: logVMs, EntryVMs: entryVMs, Zones: zones,
		ShutdownGrace: shutdownGrace, RetryBudgetRatio: retryBudgetRatio, RetryBudgetExtra: retryBudgetExtra, RetryBudgetWindow: retryBudgetWindow,
		Upstreams: soak.Upstreams(),
	})
	if err := s.applyEffects(s.state.Start(now)); err != nil {
		return report, err
	}
	s.startTraffic()
	if err := s.runLoop(ctx); err != nil {
		return report, err
	}
	cancel()
	if err := s.drainEvents(); err != nil {
		return report, err
	}
	s.state.JudgeEnd()
	err = s.applyEffects(s.state.Step(time.Now(), soak.Tick{}))
	return s.state.Report(), err
}

// runLoop passes all events to the reducer until the run is over.
func (s *Soak) runLoop(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	last := time.Now()
	for !s.state.Over() {
		var e timedEvent
		select {
		case <-ctx.Done():
			return ctx.Err()
		case at := <-ticker.C:
			e = timedEvent{at, soak.Tick{}}
		case e = <-s.events:
		}
		now := time.Now()
		if now.Sub(last) > stallThreshold {
			if err := s.applyEffects(s.state.Step(now, soak.HarnessStalled{From: last})); err != nil {
				return err
			}
		}
		last = now
		if err := s.applyEffects(s.state.Step(e.at, e.body)); err != nil {
			return err
		}
	}
	return nil
}

// drainEvents passes the remaining events to the reducer until all callers and
// operators have ended.
func (s *Soak) drainEvents() error {
	ended := make(chan struct{})
	go s.awaitTraffic(ended)
	for {
		select {
		case e := <-s.events:
			if err := s.applyEffects(s.state.Step(e.at, e.body)); err != nil {
				return err
			}
		case <-ended:
			return nil
		}
	}
}

// awaitTraffic closes ended once all callers and operators have ended.
func (s *Soak) awaitTraffic(ended chan<- struct{}) {
	s.traffic.Wait()
	close(ended)
}

// post queues an event for the reducer, with the current time. It blocks while the
// queue is full, so that no event is lost.
func (s *Soak) post(body soak.Body) {
	select {
	case s.events <- timedEvent{time.Now(), body}:
	case <-s.done:
	}
}

// startHarness starts the upstreams, their list and the proxies of the VMs.
func (s *Soak) startHarness() (err error) {
	for n, u := range soak.Upstreams() {
		if err := s.addUpstream(n, u.Service); err != nil {
			return err
		}
	}
	l, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(anyPort))
	if err != nil {
		return err
	}
	s.listAddr = l.Addr().(*net.TCPAddr).AddrPort()
	server := &http.Server{Handler: s.Platform.List(s.listUpstreams), ReadHeaderTimeout: headerTimeout}
	go (&listServer{server: server, listener: l, soak: s}).run()
	context.AfterFunc(s.ctx, func() { _ = server.Close() })
	var seeds []model.VM
	for n := range logVMs + entryVMs {
		v, err := s.newVM(n, byte(n%zones), n < logVMs)
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
		if err := v.kill(); err != nil {
			fmt.Fprintln(s.faultLog, "kill at the end of the run:", err)
		}
	}
	for _, u := range s.upstreams {
		u.server.Close()
	}
	for _, p := range s.proxies {
		p.Close()
	}
}

// submissionOf returns the number of the first submission with these bytes, or -1.
func (s *Soak) submissionOf(document []byte) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if n, ok := s.submissions[hash(document)]; ok {
		return n
	}
	return -1
}

func hash(b []byte) uint64 {
	h := fnv.New64a()
	_, _ = h.Write(b) // never fails
	return h.Sum64()
}
