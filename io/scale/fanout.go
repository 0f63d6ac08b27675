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
	customer = "load"
	index    = "wide"
	slots    = 64                     // no replica is at its limit, which leaves the fan-out alone to measure
	wait     = time.Second            // deadline of a query
	gap      = 100 * time.Millisecond // between queries
	warmUp   = 50                     // queries before the measured ones
	watch    = 50 * time.Millisecond  // probes of the upstreams are answered at once
)

// Fanout sends queries one after the other to a traffic state whose upstreams
// answer after sampled times.
type Fanout struct {
	Shards   int
	Replicas int // of each shard
	Queries  int // measured, after some to warm up
	Extra    float64
	Plain    bool
	Seed     uint64
	Times    Times

	state   node.State
	now     time.Time
	random  *rand.Rand
	queue   schedule
	n       int
	open    map[model.AttemptID]bool
	reports map[model.UpstreamID]event.ProbeResult
	sent    time.Time
	out     []effect.Effect
	result  Result
}

// Result is the outcome of a run.
type Result struct {
	P50   time.Duration
	P99   time.Duration
	Worst time.Duration
	Extra float64 // attempts per shard of the answered queries
	Late  int     // queries without a whole answer within their deadline

	took     []time.Duration
	attempts int
	answered int
	refused  int
}

// due is an event at its time, in the order of its scheduling.
type due struct {
	event.Event
	n int
}

// schedule is a heap of events.
type schedule []due

// Len implements heap.Interface.
func (s schedule) Len() int { return len(s) }

// Less implements heap.Interface.
func (s schedule) Less(i, j int) bool {
	return s[i].At.Before(s[j].At) || s[i].At.Equal(s[j].At) && s[i].n < s[j].n
}

// Swap implements heap.Interface.
func (s schedule) Swap(i, j int) { s[i], s[j] = s[j], s[i] }

// Push implements heap.Interface.
func (s *schedule) Push(x any) { *s = append(*s, x.(due)) }

// Pop implements heap.Interface.
func (s *schedule) Pop() any {
	last := (*s)[len(*s)-1]
	*s = (*s)[:len(*s)-1]
	return last
}

// Run sends all queries.
func (f *Fanout) Run() (r Result, err error) {
	if f.Shards < 1 || f.Replicas < 1 || f.Queries < 1 {
		return r, fmt.Errorf("fan-out: needs shards, replicas and queries above 0, not %d, %d and %d", f.Shards, f.Replicas, f.Queries)
	}
	f.start()
	request := event.QueryRequest{
		Customer: customer, Credential: sha256.Sum256([]byte(customer)), Index: index, Body: []byte("q"), Fingerprint: 1, Wait: wait,
	}
	for i := range warmUp + f.Queries {
		if i == warmUp {
			f.result = Result{}
		}
		request.ID++
		f.sent = f.now
		f.reduce(request)
		f.pass(gap)
	}
	f.pass(wait)
	r = f.result
	r.Late = f.Queries - r.answered
	if r.answered == 0 {
		return r, fmt.Errorf("fan-out: none of %d queries was answered, %d were refused", f.Queries, r.refused)
	}
	slices.Sort(r.took)
	at := func(q float64) time.Duration { return r.took[int(q*float64(len(r.took)-1))] }
	r.P50, r.P99, r.Worst = at(0.5), at(0.99), at(1)
	r.Extra = float64(r.attempts) / float64(f.Shards*r.answered)
	return r, nil
}

// start gives the state its configuration and the reports of the upstreams.
func (f *Fanout) start() {
	f.now = time.Unix(1_700_000_000, 0)
	f.random = rand.New(rand.NewPCG(f.Seed, 5))
	f.open = make(map[model.AttemptID]bool)
	f.reports = make(map[model.UpstreamID]event.ProbeResult)
	f.reduce(event.Start{Role: event.RoleQuery, VM: model.VM{ID: "vm", Zone: "a"}, Seed: f.Seed, Loops: 1, ProcessStart: f.now, Baseline: f.Plain})
	topology := &model.Topology{
		Revision: 1, Upstreams: make(map[model.UpstreamID]model.Upstream),
		Contracts: map[string]model.Contract{customer: {
			Customer: customer, Credential: sha256.Sum256([]byte(customer)), Indexes: []string{index}, Concurrency: slots,
			Capacity: 1, RetryBudget: f.Extra, Retention: time.Hour,
			Classes: []model.Class{{Name: "now", Wait: wait, Weight: 1, MinCoverage: 1}},
		}},
	}
	share := model.Quota{Concurrency: map[string]int{customer: slots}, Conns: make(map[model.UpstreamID]int)}
	for shard := range f.Shards {
		for replica := range f.Replicas {
			id := model.UpstreamID(fmt.Sprintf("u%04d-%d", shard, replica))
			topology.Upstreams[id] = model.Upstream{
				ID: id, Addr: netip.AddrPortFrom(netip.IPv4Unspecified(), 1), Zone: "a", Index: index, Slots: slots, MaxConns: slots,
			}
			share.Conns[id] = slots
			f.reports[id] = event.ProbeResult{Upstream: id, Reachable: true, Load: model.Load{Slots: slots}, Snapshots: []model.HeldSnapshot{
				{Index: index, Version: 1, ShardCount: f.Shards, HeldShards: []int{shard}},
			}}
		}
	}
	f.reduce(event.View{Topology: topology, Quota: share})
	f.pass(watch)
}

func (f *Fanout) push(at time.Time, body event.Body) {
	f.n++
	heap.Push(&f.queue, due{Event: event.Event{At: at, Body: body}, n: f.n})
}

// pass lets time pass and delivers what is due.
func (f *Fanout) pass(d time.Duration) {
	end := f.now.Add(d)
	for len(f.queue) > 0 && !f.queue[0].At.After(end) {
		next := heap.Pop(&f.queue).(due)
		f.now = next.At
		if a, ok := next.Body.(event.AnswerReceived); ok {
			if !f.open[a.Attempt] {
				continue
			}
			delete(f.open, a.Attempt)
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
			f.open[e.Attempt] = true
			f.push(f.now.Add(f.Times.Draw(f.random)), event.AnswerReceived{
				Attempt: e.Attempt, Version: 1, ShardCount: f.Shards, Shard: e.Shard, Load: &model.Load{Slots: slots},
			})
		case effect.Cancel:
			delete(f.open, e.Attempt)
			f.push(f.now, event.AttemptFailed{Attempt: e.Attempt, Reason: model.FailedCancelled, Ran: model.RanUnknown})
		case effect.Probe:
			f.push(f.now, f.reports[e.Upstream])
		case effect.SetTimer:
			// A timer that was set again fires early too, which the state tolerates.
			f.push(e.At, event.Timer{ID: e.ID})
		case effect.SendAnswer:
			f.result.answered++
			f.result.took = append(f.result.took, f.now.Sub(f.sent))
		case effect.Refuse:
			f.result.refused++
		}
	}
}
