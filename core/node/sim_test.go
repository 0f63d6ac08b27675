package node_test

import (
	"container/heap"
	"crypto/sha256"
	"fmt"
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strconv"
	"time"

	"comfreypulley/core/effect"
	"comfreypulley/core/event"
	"comfreypulley/core/model"
	"comfreypulley/core/node"
)

// sim runs several VMs and their upstreams in virtual time.
type sim struct {
	plain     bool
	seed      uint64
	vms       int
	shards    int
	slots     int
	conns     int
	capacity  float64
	service   time.Duration
	slow      map[model.UpstreamID]float64
	rare      float64 // share of answers that take ten times as long
	streams   []*stream
	period    time.Duration
	warm      time.Duration // not measured
	at        map[time.Duration]func(*sim)
	splitFrom model.SnapshotVersion // first version with two more shards

	now       time.Time
	random    *rand.Rand
	queue     simQueue
	states    []*node.State
	timers    []map[event.TimerID]int // generation
	upstreams map[model.UpstreamID]*simUpstream
	requests  map[simID]*simRequest
	attempts  map[simAttempt]*simWork
	sequence  int
	sends     int
	sentTo    map[model.UpstreamID]int
	needed    int
	mixed     int // answers with items of another version
	untrue    int // answers with another shard count than their version
	false     int // refused as not run although an attempt ran
}

// stream is the load of one customer.
type stream struct {
	customer string
	rate     float64 // requests a second
	wait     time.Duration
	requests int
	whole    int
	refused  map[model.RefusalReason]int
	took     []time.Duration
	refusals []time.Duration
}

type simID struct {
	vm int
	id model.RequestID
}

type simAttempt struct {
	vm int
	id model.AttemptID
}

type simRequest struct {
	stream *stream
	sent   time.Time
	ran    bool
}

type simUpstream struct {
	id       model.UpstreamID
	shard    int
	versions []model.SnapshotVersion
	down     bool
	running  int
	queued   []*simWork
}

type simWork struct {
	key     simAttempt
	request simID
	send    effect.Send
	on      *simUpstream
	running bool
	ended   bool
}

type simItem struct {
	at time.Time
	n  int
	do func()
}

type simQueue []simItem

func (q simQueue) Len() int { return len(q) }
func (q simQueue) Less(i, j int) bool {
	return q[i].at.Before(q[j].at) || q[i].at.Equal(q[j].at) && q[i].n < q[j].n
}
func (q simQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *simQueue) Push(x any)   { *q = append(*q, x.(simItem)) }
func (q *simQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

const (
	simQueueLimit = 6
	simTrip       = 500 * time.Microsecond
)

func simName(shard, replica int) model.UpstreamID {
	return model.UpstreamID(fmt.Sprintf("u%d-%d", shard, replica))
}

func (s *sim) after(d time.Duration, do func()) {
	s.sequence++
	heap.Push(&s.queue, simItem{at: s.now.Add(d), n: s.sequence, do: do})
}

func (s *sim) run() {
	s.now = began
	s.random = rand.New(rand.NewPCG(s.seed, 11))
	s.upstreams = make(map[model.UpstreamID]*simUpstream)
	s.requests = make(map[simID]*simRequest)
	s.attempts = make(map[simAttempt]*simWork)
	s.sentTo = make(map[model.UpstreamID]int)
	topology := &model.Topology{Contracts: make(map[string]model.Contract), Upstreams: make(map[model.UpstreamID]model.Upstream)}
	share := model.Quota{Concurrency: make(map[string]int), Conns: make(map[model.UpstreamID]int)}
	for _, st := range s.streams {
		st.refused = make(map[model.RefusalReason]int)
		topology.Contracts[st.customer] = model.Contract{
			Customer: st.customer, Credential: sha256.Sum256([]byte("secret")), Indexes: []string{"pairing"}, Capacity: s.capacity,
			RetryBudget: 0.05, Retention: time.Hour, Classes: []model.Class{{Name: "now", Wait: st.wait, Weight: 1, MinCoverage: 1}},
		}
		share.Concurrency[st.customer] = 1000
	}
	for shard := range s.shards {
		for replica := range 3 {
			id := simName(shard, replica)
			topology.Upstreams[id] = model.Upstream{ID: id, Addr: netip.MustParseAddrPort("127.0.0.1:1"), Index: "pairing", Slots: s.slots}
			share.Conns[id] = s.conns
			s.upstreams[id] = &simUpstream{id: id, shard: shard, versions: []model.SnapshotVersion{1}}
		}
	}
	for vm := range s.vms {
		s.states = append(s.states, &node.State{})
		s.timers = append(s.timers, make(map[event.TimerID]int))
		s.reduce(vm, event.Start{Role: event.RoleQuery, Seed: uint64(vm + 1), Loops: 1, Baseline: s.plain})
		s.reduce(vm, event.View{Topology: topology, Quota: share})
	}
	for _, st := range s.streams {
		s.after(100*time.Millisecond, func() { s.arrive(st, 1) })
	}
	for d, do := range s.at {
		s.after(d, func() { do(s) })
	}
	end := began.Add(s.period)
	for len(s.queue) > 0 && s.queue[0].at.Before(end) {
		item := heap.Pop(&s.queue).(simItem)
		s.now = item.at
		item.do()
	}
}

func (s *sim) arrive(st *stream, n int) {
	s.after(time.Duration(s.random.ExpFloat64()/st.rate*float64(time.Second)), func() { s.arrive(st, n+1) })
	vm := s.random.IntN(s.vms)
	id := simID{vm, model.RequestID(s.sequence)}
	s.requests[id] = &simRequest{stream: st, sent: s.now}
	s.reduce(vm, event.QueryRequest{
		ID: id.id, Customer: st.customer, Credential: sha256.Sum256([]byte("secret")), Index: "pairing", Body: []byte("q"),
		Fingerprint: model.Fingerprint(n % 20), Wait: st.wait,
	})
}

func (s *sim) reduce(vm int, body event.Body) {
	for _, e := range s.states[vm].Reduce(event.Event{At: s.now, Body: body}, nil) {
		s.execute(vm, e)
	}
}

func (s *sim) execute(vm int, e effect.Effect) {
	switch e := e.(type) {
	case effect.SetTimer:
		s.timers[vm][e.ID]++
		generation := s.timers[vm][e.ID]
		s.after(max(0, e.At.Sub(s.now)), func() {
			if s.timers[vm][e.ID] == generation {
				delete(s.timers[vm], e.ID)
				s.reduce(vm, event.Timer{ID: e.ID})
			}
		})
	case effect.StopTimer:
		delete(s.timers[vm], e.ID)
	case effect.Send:
		w := &simWork{key: simAttempt{vm, e.Attempt}, request: simID{vm, e.Request}, send: e, on: s.upstreams[e.Upstream]}
		s.attempts[w.key] = w
		if s.measured() {
			s.sends++
			s.sentTo[e.Upstream]++
		}
		s.after(simTrip, func() { s.receive(w) })
	case effect.Cancel:
		w := s.attempts[simAttempt{vm, e.Attempt}]
		s.after(simTrip, func() { s.cancel(w) })
		s.after(0, func() { s.fail(w, model.FailedCancelled, model.RanUnknown) })
	case effect.Probe:
		u := s.upstreams[e.Upstream]
		s.after(2*simTrip, func() {
			s.reduce(vm, event.ProbeResult{
				Upstream: u.id, Reachable: !u.down, Load: s.load(u), Snapshots: s.holdings(u),
			})
		})
	case effect.SendAnswer:
		for _, item := range e.Answer.Items {
			if item.ID != strconv.FormatUint(uint64(e.Answer.Snapshot), 10) {
				s.mixed++
				break
			}
		}
		if e.Answer.Coverage.Total != s.total(e.Answer.Snapshot) {
			s.untrue++
		}
		s.ended(simID{vm, e.Answer.Request}, "", true, e.Answer.Coverage.Answered)
	case effect.Refuse:
		s.ended(simID{vm, e.Rejection.Request}, e.Rejection.Reason, e.Rejection.Ran != model.RanNo, 0)
	}
}

func (s *sim) measured() bool { return s.now.Sub(began) >= s.warm }

func (s *sim) ended(id simID, reason model.RefusalReason, mayRun bool, needed int) {
	r := s.requests[id]
	if r.ran && !mayRun {
		s.false++
	}
	if !s.measured() {
		return
	}
	r.stream.requests++
	took := s.now.Sub(r.sent)
	if reason != "" {
		r.stream.refused[reason]++
		r.stream.refusals = append(r.stream.refusals, took)
		return
	}
	r.stream.whole++
	s.needed += needed
	r.stream.took = append(r.stream.took, took)
}

// total is the number of shards of a version.
func (s *sim) total(v model.SnapshotVersion) int {
	if s.splitFrom > 0 && v >= s.splitFrom {
		return s.shards + 2
	}
	return s.shards
}

// holdings is what an upstream reports.
func (s *sim) holdings(u *simUpstream) []model.HeldSnapshot {
	var holdings []model.HeldSnapshot
	for _, v := range u.versions {
		h := model.HeldSnapshot{Index: "pairing", Version: v, ShardCount: s.total(v), HeldShards: []int{u.shard}}
		if extra := s.shards + u.shard; extra < h.ShardCount {
			h.HeldShards = append(h.HeldShards, extra)
		}
		holdings = append(holdings, h)
	}
	return holdings
}

func (s *sim) load(u *simUpstream) model.Load {
	return model.Load{Inflight: u.running, Queued: len(u.queued), Slots: s.slots}
}

// receive is the arrival of an attempt at its upstream.
func (s *sim) receive(w *simWork) {
	u := w.on
	switch {
	case w.ended:
	case u.down:
		s.after(simTrip, func() { s.fail(w, model.FailedRefused, model.RanNo) })
	case !slices.Contains(u.versions, w.send.Version):
		s.after(simTrip, func() { s.fail(w, model.FailedVersion, model.RanNo) })
	case u.running < s.slots:
		s.start(w)
	case len(u.queued) < simQueueLimit:
		u.queued = append(u.queued, w)
	default:
		s.after(simTrip, func() { s.fail(w, model.FailedShed, model.RanNo) })
	}
}

func (s *sim) start(w *simWork) {
	w.running = true
	w.on.running++
	s.requests[w.request].ran = true
	took := float64(s.service) * math.Exp(0.3*s.random.NormFloat64())
	if f, ok := s.slow[w.on.id]; ok {
		took *= f
	}
	if s.random.Float64() < s.rare {
		took *= 10
	}
	s.after(time.Duration(took), func() {
		if !w.running {
			return
		}
		load := s.load(w.on)
		s.free(w)
		s.after(simTrip, func() {
			if w.ended {
				return
			}
			w.ended = true
			delete(s.attempts, w.key)
			s.reduce(w.key.vm, event.AnswerReceived{
				Attempt: w.key.id, Version: w.send.Version, ShardCount: s.total(w.send.Version), Shard: w.send.Shard, Load: &load,
				Items: []model.Item{{ID: strconv.FormatUint(uint64(w.send.Version), 10)}},
			})
		})
	})
}

// free gives the slot of a running attempt to the next in the queue.
func (s *sim) free(w *simWork) {
	w.running = false
	u := w.on
	u.running--
	for len(u.queued) > 0 && u.running < s.slots {
		next := u.queued[0]
		u.queued = u.queued[1:]
		s.start(next)
	}
}

func (s *sim) cancel(w *simWork) {
	if w.running {
		s.free(w)
		return
	}
	w.on.queued = slices.DeleteFunc(w.on.queued, func(o *simWork) bool { return o == w })
}

func (s *sim) fail(w *simWork, reason model.FailureReason, ran model.Ran) {
	if w.ended {
		return
	}
	w.ended = true
	delete(s.attempts, w.key)
	load := s.load(w.on)
	s.reduce(w.key.vm, event.AttemptFailed{Attempt: w.key.id, Reason: reason, Ran: ran, Load: &load})
}

func (s *sim) extra() float64 { return float64(s.sends) / float64(max(1, s.needed)) }

// quantile returns the q quantile of durations.
func quantile(d []time.Duration, q float64) time.Duration {
	if len(d) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(d))
	return sorted[int(q*float64(len(sorted)-1))]
}
