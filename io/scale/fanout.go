package scale

import (
	"container/heap"
	"crypto/sha256"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"comfreypulley/core/effect"
	"comfreypulley/core/event"
	"comfreypulley/core/model"
	"comfreypulley/core/node"
)

const (
	customer      = "load"
	index         = "wide"
	slots         = 64 // limit of every kind of concurrency; high enough that no request waits
	queryWait     = time.Second
	queryInterval = 100 * time.Millisecond
	warmUpQueries = 50                    // queries before the measured ones
	probeTime     = 50 * time.Millisecond // time before the first query in which every upstream is probed
)

// Fanout sends queries one after the other to a traffic state whose upstreams
// answer after random service times.
type Fanout struct {
	Shards       int
	Replicas     int     // of each shard
	Queries      int     // number of measured queries
	RetryBudget  float64 // as in model.Contract
	Baseline     bool    // simple policy for comparisons, without hedges
	Seed         uint64
	ServiceTimes ServiceTimes

	state        node.State
	now          time.Time // virtual
	random       *rand.Rand
	queue        eventQueue
	eventCount   int // events scheduled so far
	inFlight     map[model.AttemptID]bool
	probeResults map[model.UpstreamID]event.ProbeResult
	sentAt       time.Time // when the last query was sent
	out          []effect.Effect
	result       Result
}

// Result is the result of a run.
type Result struct {
	P50          time.Duration
	P99          time.Duration
	Max          time.Duration // highest latency
	AttemptRatio float64       // attempts divided by the shards of the answered queries
	Unanswered   int           // queries without a complete answer by their deadline

	latencies []time.Duration // of the answered queries
	attempts  int
	answered  int
	refused   int
}

// scheduledEvent is an event in the queue.
type scheduledEvent struct {
	event.Event
	seq int // orders events of the same time
}

// eventQueue is a heap of events, earliest first.
type eventQueue []scheduledEvent

// Len implements heap.Interface.
func (s eventQueue) Len() int { return len(s) }

// Less implements heap.Interface.
func (s eventQueue) Less(i, j int) bool {
	return s[i].At.Before(s[j].At) || s[i].At.Equal(s[j].At) && s[i].seq < s[j].seq
}

// Swap implements heap.Interface.
func (s eventQueue) Swap(i, j int) { s[i], s[j] = s[j], s[i] }

// Push implements heap.Interface.
func (s *eventQueue) Push(x any) { *s = append(*s, x.(scheduledEvent)) }

// Pop implements heap.Interface.
func (s *eventQueue) Pop() any {
	last := (*s)[len(*s)-1]
	*s = (*s)[:len(*s)-1]
	return last
}

// Run sends the queries and measures their latency.
func (f *Fanout) Run() (r Result, err error) {
	if f.Shards < 1 || f.Replicas < 1 || f.Queries < 1 {
		return r, fmt.Errorf("a fan-out needs shards, replicas and queries above 0, not %d, %d and %d", f.Shards, f.Replicas, f.Queries)
	}
	f.start()
	request := event.QueryRequest{
		Customer: customer, Credential: sha256.Sum256([]byte(customer)), Index: index, Body: []byte("q"), Fingerprint: 1, Wait: queryWait,
	}
	for i := range warmUpQueries + f.Queries {
		if i == warmUpQueries {
			f.result = Result{}
		}
		request.ID++
		f.sentAt = f.now
		f.reduce(request)
		f.advance(queryInterval)
	}
	f.advance(queryWait)
	r = f.result
	r.Unanswered = f.Queries - r.answered
	if r.answered == 0 {
		return r, fmt.Errorf("none of %d queries was answered and %d were refused", f.Queries, r.refused)
	}
	slices.Sort(r.latencies)
	quantile := func(q float64) time.Duration { return r.latencies[int(q*float64(len(r.latencies)-1))] }
	r.P50, r.P99, r.Max = quantile(0.5), quantile(0.99), quantile(1)
	r.AttemptRatio = float64(r.attempts) / float64(f.Shards*r.answered)
	return r, nil
}

// start gives the traffic state its configuration and lets it probe the upstreams.
func (f *Fanout) start() {
	f.now = time.Unix(1_700_000_000, 0)
	f.random = rand.New(rand.NewPCG(f.Seed, 5))
	f.inFlight = make(map[model.AttemptID]bool)
	f.probeResults = make(map[model.UpstreamID]event.ProbeResult)
	f.reduce(event.Start{
		Role: event.RoleQuery, VM: model.VM{ID: "vm", Zone: "a"}, Seed: f.Seed, Loops: 1, ProcessStart: f.now, Baseline: f.Baseline,
	})
	topology := &model.Topology{
		Revision: 1, Upstreams: make(map[model.UpstreamID]model.Upstream),
		Contracts: map[string]model.Contract{customer: {
			Customer: customer, Credential: sha256.Sum256([]byte(customer)), Indexes: []string{index}, Concurrency: slots,
			Capacity: 1, RetryBudget: f.RetryBudget, Retention: time.Hour,
			Classes: []model.Class{{Name: "now", Wait: queryWait, Weight: 1, MinCoverage: 1}},
		}},
	}
	quota := model.Quota{Concurrency: map[string]int{customer: slots}, Conns: make(map[model.UpstreamID]int)}
	for shard := range f.Shards {
		for replica := range f.Replicas {
			id := model.UpstreamID(fmt.Sprintf("u%04d-%d", shard, replica))
			topology.Upstreams[id] = model.Upstream{
				ID: id, Addr: netip.AddrPortFrom(netip.IPv4Unspecified(), 1), Zone: "a", Index: index, Slots: slots, MaxConns: slots,
			}
			quota.Conns[id] = slots
			f.probeResults[id] = event.ProbeResult{Upstream: id, Reachable: true, Load: model.Load{Slots: slots}, Snapshots: []model.HeldSnapshot{
				{Index: index, Version: 1, ShardCount: f.Shards, HeldShards: []int{shard}},
			}}
		}
	}
	f.reduce(event.View{Topology: topology, Quota: quota})
	f.advance(probeTime)
}

func (f *Fanout) schedule(at time.Time, body event.Body) {
	f.eventCount++
	heap.Push(&f.queue, scheduledEvent{Event: event.Event{At: at, Body: body}, seq: f.eventCount})
}

// advance moves the virtual time forward and delivers the events that become due.
func (f *Fanout) advance(d time.Duration) {
	end := f.now.Add(d)
	for len(f.queue) > 0 && !f.queue[0].At.After(end) {
		next := heap.Pop(&f.queue).(scheduledEvent)
		f.now = next.At
		if a, ok := next.Body.(event.AnswerReceived); ok {
			if !f.inFlight[a.Attempt] {
				continue
			}
			delete(f.inFlight, a.Attempt)
		}
		f.reduce(next.Body)
	}
	f.now = end
}

func (f *Fanout) reduce(body event.Body) {
	f.out = f.state.Reduce(event.Event{At: f.now, Body: body}, f.out[:0])
	for _, e := range f.out {
		switch e := e.(type) {
		case effect.Send:
			f.result.attempts++
			f.inFlight[e.Attempt] = true
			f.schedule(f.now.Add(f.ServiceTimes.Sample(f.random)), event.AnswerReceived{
				Attempt: e.Attempt, Version: 1, ShardCount: f.Shards, Shard: e.Shard, Load: &model.Load{Slots: slots},
			})
		case effect.Cancel:
			delete(f.inFlight, e.Attempt)
			f.schedule(f.now, event.AttemptFailed{Attempt: e.Attempt, Reason: model.FailedCancelled, Ran: model.RanUnknown})
		case effect.Probe:
			f.schedule(f.now, f.probeResults[e.Upstream])
		case effect.SetTimer:
			// The queue keeps earlier times of a timer that is set again, because
			// the state tolerates timers that fire early.
			f.schedule(e.At, event.Timer{ID: e.ID})
		case effect.SendAnswer:
			f.result.answered++
			f.result.latencies = append(f.result.latencies, f.now.Sub(f.sentAt))
		case effect.Refuse:
			f.result.refused++
		}
	}
}
