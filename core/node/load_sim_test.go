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

// loadSim simulates several VMs and their upstreams in virtual time, under load
// from customers. The service time of an upstream has a log-normal distribution.
type loadSim struct {
	baseline       bool // as in event.Start
	seed           uint64
	vms            int
	shards         int
	slots          int                          // requests that an upstream runs concurrently
	conns          int                          // connections of a VM to an upstream
	capacity       float64                      // of each contract
	serviceTime    time.Duration                // median
	slowFactor     map[model.UpstreamID]float64 // by which the upstream's service time is multiplied
	slowAnswerRate float64                      // fraction of the attempts that take ten times as long
	loads          []*customerLoad
	duration       time.Duration
	warmUp         time.Duration                    // time at the start that is not measured
	actions        map[time.Duration]func(*loadSim) // by time since the start
	splitFrom      model.SnapshotVersion            // first version with two more shards

	now                time.Time
	random             *rand.Rand
	queue              simEventQueue
	states             []*node.State
	timers             []map[event.TimerID]int // by VM; number of the SetTimer effect in force
	upstreams          map[model.UpstreamID]*simUpstream
	requests           map[simRequestID]*simRequest
	attempts           map[simAttemptID]*simAttempt
	lastSeq            int
	attemptCount       int // after the warm-up
	attemptsByUpstream map[model.UpstreamID]int
	neededAttempts     int // one for each shard in an answer
	mixedAnswers       int // answers with items of a version other than the stated one
	wrongTotals        int // answers that state another number of shards than their version has
	falseRefusals      int // requests refused with "ran: no" although an attempt ran
}

// customerLoad describes the requests of one customer and collects their results.
type customerLoad struct {
	customer         string
	rate             float64 // requests per second
	wait             time.Duration
	requests         int
	answered         int
	refused          map[model.RefusalReason]int
	latencies        []time.Duration
	refusalLatencies []time.Duration
}

type simRequestID struct {
	vm int
	id model.RequestID
}

type simAttemptID struct {
	vm int
	id model.AttemptID
}

type simRequest struct {
	load *customerLoad
	sent time.Time
	ran  bool
}

type simUpstream struct {
	id       model.UpstreamID
	shard    int
	versions []model.SnapshotVersion
	down     bool
	running  int
	queued   []*simAttempt
}

type simAttempt struct {
	key      simAttemptID
	request  simRequestID
	send     effect.Send
	upstream *simUpstream
	running  bool
	ended    bool
}

type simEvent struct {
	at  time.Time
	seq int
	do  func()
}

type simEventQueue []simEvent

func (q simEventQueue) Len() int { return len(q) }
func (q simEventQueue) Less(i, j int) bool {
	return q[i].at.Before(q[j].at) || q[i].at.Equal(q[j].at) && q[i].seq < q[j].seq
}
func (q simEventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *simEventQueue) Push(x any)   { *q = append(*q, x.(simEvent)) }
func (q *simEventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

const (
	simMaxQueued    = 6 // requests in the queue of an upstream
	simNetworkDelay = 500 * time.Microsecond
)

func simUpstreamID(shard, replica int) model.UpstreamID {
	return model.UpstreamID(fmt.Sprintf("u%d-%d", shard, replica))
}

func (s *loadSim) schedule(d time.Duration, do func()) {
	s.lastSeq++
	heap.Push(&s.queue, simEvent{at: s.now.Add(d), seq: s.lastSeq, do: do})
}

func (s *loadSim) run() {
	s.now = startTime
	s.random = rand.New(rand.NewPCG(s.seed, 11))
	s.upstreams = make(map[model.UpstreamID]*simUpstream)
	s.requests = make(map[simRequestID]*simRequest)
	s.attempts = make(map[simAttemptID]*simAttempt)
	s.attemptsByUpstream = make(map[model.UpstreamID]int)
	topology := &model.Topology{Contracts: make(map[string]model.Contract), Upstreams: make(map[model.UpstreamID]model.Upstream)}
	quota := model.Quota{Concurrency: make(map[string]int), Conns: make(map[model.UpstreamID]int)}
	for _, load := range s.loads {
		load.refused = make(map[model.RefusalReason]int)
		topology.Contracts[load.customer] = model.Contract{
			Customer: load.customer, Credential: sha256.Sum256([]byte("secret")), Indexes: []string{"pairing"}, Capacity: s.capacity,
			RetryBudget: 0.05, Retention: time.Hour, Classes: []model.Class{{Name: "now", Wait: load.wait, Weight: 1, MinCoverage: 1}},
		}
		quota.Concurrency[load.customer] = 1000
	}
	for shard := range s.shards {
		for replica := range 3 {
			id := simUpstreamID(shard, replica)
			topology.Upstreams[id] = model.Upstream{ID: id, Addr: netip.MustParseAddrPort("127.0.0.1:1"), Index: "pairing", Slots: s.slots}
			quota.Conns[id] = s.conns
			s.upstreams[id] = &simUpstream{id: id, shard: shard, versions: []model.SnapshotVersion{1}}
		}
	}
	for vm := range s.vms {
		s.states = append(s.states, &node.State{})
		s.timers = append(s.timers, make(map[event.TimerID]int))
		s.reduce(vm, event.Start{Role: event.RoleQuery, Seed: uint64(vm + 1), Loops: 1, Baseline: s.baseline})
		s.reduce(vm, event.View{Topology: topology, Quota: quota})
	}
	for _, load := range s.loads {
		s.schedule(100*time.Millisecond, func() { s.arrive(load, 1) })
	}
	for d, do := range s.actions {
		s.schedule(d, func() { do(s) })
	}
	end := startTime.Add(s.duration)
	for len(s.queue) > 0 && s.queue[0].at.Before(end) {
		item := heap.Pop(&s.queue).(simEvent)
		s.now = item.at
		item.do()
	}
}

// arrive schedules the next request of a customer and sends the nth one.
func (s *loadSim) arrive(load *customerLoad, n int) {
	s.schedule(time.Duration(s.random.ExpFloat64()/load.rate*float64(time.Second)), func() { s.arrive(load, n+1) })
	vm := s.random.IntN(s.vms)
	id := simRequestID{vm, model.RequestID(s.lastSeq)}
	s.requests[id] = &simRequest{load: load, sent: s.now}
	s.reduce(vm, event.QueryRequest{
		ID: id.id, Customer: load.customer, Credential: sha256.Sum256([]byte("secret")), Index: "pairing", Body: []byte("q"),
		Fingerprint: model.Fingerprint(n % 20), Wait: load.wait,
	})
}

func (s *loadSim) reduce(vm int, body event.Body) {
	for _, e := range s.states[vm].Reduce(event.Event{At: s.now, Body: body}, nil) {
		s.execute(vm, e)
	}
}

func (s *loadSim) execute(vm int, e effect.Effect) {
	switch e := e.(type) {
	case effect.SetTimer:
		s.timers[vm][e.ID]++
		generation := s.timers[vm][e.ID]
		s.schedule(max(0, e.At.Sub(s.now)), func() {
			if s.timers[vm][e.ID] == generation {
				delete(s.timers[vm], e.ID)
				s.reduce(vm, event.Timer{ID: e.ID})
			}
		})
	case effect.StopTimer:
		delete(s.timers[vm], e.ID)
	case effect.Send:
		w := &simAttempt{key: simAttemptID{vm, e.Attempt}, request: simRequestID{vm, e.Request}, send: e, upstream: s.upstreams[e.Upstream]}
		s.attempts[w.key] = w
		if s.measured() {
			s.attemptCount++
			s.attemptsByUpstream[e.Upstream]++
		}
		s.schedule(simNetworkDelay, func() { s.arriveAtUpstream(w) })
	case effect.Cancel:
		w := s.attempts[simAttemptID{vm, e.Attempt}]
		s.schedule(simNetworkDelay, func() { s.cancel(w) })
		s.schedule(0, func() { s.fail(w, model.FailedCancelled, model.RanUnknown) })
	case effect.Probe:
		u := s.upstreams[e.Upstream]
		s.schedule(2*simNetworkDelay, func() {
			s.reduce(vm, event.ProbeResult{
				Upstream: u.id, Reachable: !u.down, Load: s.load(u), Snapshots: s.snapshots(u),
			})
		})
	case effect.SendAnswer:
		for _, item := range e.Answer.Items {
			if item.ID != strconv.FormatUint(uint64(e.Answer.Snapshot), 10) {
				s.mixedAnswers++
				break
			}
		}
		if e.Answer.Coverage.Total != s.shardCount(e.Answer.Snapshot) {
			s.wrongTotals++
		}
		s.recordEnd(simRequestID{vm, e.Answer.Request}, "", true, e.Answer.Coverage.Answered)
	case effect.Refuse:
		s.recordEnd(simRequestID{vm, e.Refusal.Request}, e.Refusal.Reason, e.Refusal.Ran != model.RanNo, 0)
	}
}

func (s *loadSim) measured() bool { return s.now.Sub(startTime) >= s.warmUp }

func (s *loadSim) recordEnd(id simRequestID, reason model.RefusalReason, mayRun bool, needed int) {
	r := s.requests[id]
	if r.ran && !mayRun {
		s.falseRefusals++
	}
	if !s.measured() {
		return
	}
	r.load.requests++
	took := s.now.Sub(r.sent)
	if reason != "" {
		r.load.refused[reason]++
		r.load.refusalLatencies = append(r.load.refusalLatencies, took)
		return
	}
	r.load.answered++
	s.neededAttempts += needed
	r.load.latencies = append(r.load.latencies, took)
}

// shardCount returns the number of shards of a version.
func (s *loadSim) shardCount(v model.SnapshotVersion) int {
	if s.splitFrom > 0 && v >= s.splitFrom {
		return s.shards + 2
	}
	return s.shards
}

// snapshots returns the snapshots that an upstream reports.
func (s *loadSim) snapshots(u *simUpstream) []model.HeldSnapshot {
	var snapshots []model.HeldSnapshot
	for _, v := range u.versions {
		h := model.HeldSnapshot{Index: "pairing", Version: v, ShardCount: s.shardCount(v), HeldShards: []int{u.shard}}
		if extra := s.shards + u.shard; extra < h.ShardCount {
			h.HeldShards = append(h.HeldShards, extra)
		}
		snapshots = append(snapshots, h)
	}
	return snapshots
}

func (s *loadSim) load(u *simUpstream) model.Load {
	return model.Load{InFlight: u.running, Queued: len(u.queued), Slots: s.slots}
}

// arriveAtUpstream runs, queues or rejects an attempt.
func (s *loadSim) arriveAtUpstream(w *simAttempt) {
	u := w.upstream
	switch {
	case w.ended:
	case u.down:
		s.schedule(simNetworkDelay, func() { s.fail(w, model.FailedRefused, model.RanNo) })
	case !slices.Contains(u.versions, w.send.Version):
		s.schedule(simNetworkDelay, func() { s.fail(w, model.FailedVersion, model.RanNo) })
	case u.running < s.slots:
		s.startWork(w)
	case len(u.queued) < simMaxQueued:
		u.queued = append(u.queued, w)
	default:
		s.schedule(simNetworkDelay, func() { s.fail(w, model.FailedShed, model.RanNo) })
	}
}

func (s *loadSim) startWork(w *simAttempt) {
	w.running = true
	w.upstream.running++
	s.requests[w.request].ran = true
	took := float64(s.serviceTime) * math.Exp(0.3*s.random.NormFloat64())
	if f, ok := s.slowFactor[w.upstream.id]; ok {
		took *= f
	}
	if s.random.Float64() < s.slowAnswerRate {
		took *= 10
	}
	s.schedule(time.Duration(took), func() {
		if !w.running {
			return
		}
		load := s.load(w.upstream)
		s.freeSlot(w)
		s.schedule(simNetworkDelay, func() {
			if w.ended {
				return
			}
			w.ended = true
			delete(s.attempts, w.key)
			s.reduce(w.key.vm, event.AnswerReceived{
				Attempt: w.key.id, Version: w.send.Version, ShardCount: s.shardCount(w.send.Version), Shard: w.send.Shard, Load: &load,
				Items: []model.Item{{ID: strconv.FormatUint(uint64(w.send.Version), 10)}},
			})
		})
	})
}

// freeSlot ends a running attempt and starts the next one in the queue.
func (s *loadSim) freeSlot(w *simAttempt) {
	w.running = false
	u := w.upstream
	u.running--
	for len(u.queued) > 0 && u.running < s.slots {
		next := u.queued[0]
		u.queued = u.queued[1:]
		s.startWork(next)
	}
}

func (s *loadSim) cancel(w *simAttempt) {
	if w.running {
		s.freeSlot(w)
		return
	}
	w.upstream.queued = slices.DeleteFunc(w.upstream.queued, func(o *simAttempt) bool { return o == w })
}

func (s *loadSim) fail(w *simAttempt, reason model.FailureReason, ran model.Ran) {
	if w.ended {
		return
	}
	w.ended = true
	delete(s.attempts, w.key)
	load := s.load(w.upstream)
	s.reduce(w.key.vm, event.AttemptFailed{Attempt: w.key.id, Reason: reason, Ran: ran, Load: &load})
}

func (s *loadSim) attemptsPerShard() float64 {
	return float64(s.attemptCount) / float64(max(1, s.neededAttempts))
}

// quantile returns the q quantile of durations.
func quantile(d []time.Duration, q float64) time.Duration {
	if len(d) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(d))
	return sorted[int(q*float64(len(sorted)-1))]
}
