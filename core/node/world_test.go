package node_test

import (
	"crypto/sha256"
	"flag"
	"fmt"
	"maps"
	"net/netip"
	"os"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"comfreypulley/core/effect"
	"comfreypulley/core/entry"
	"comfreypulley/core/event"
	"comfreypulley/core/model"
	"comfreypulley/core/node"
)

// TestMain fixes the seed of the property tests, so that every run draws the
// same cases.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == f.DefValue {
		_ = flag.Set("rapid.seed", "20260101")
	}
	if f := flag.Lookup("rapid.checks"); f.Value.String() == f.DefValue {
		_ = flag.Set("rapid.checks", "1000")
	}
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// world is a traffic state with callers, upstreams and a ledger in memory. Its
// actions deliver events in any order; execute checks every effect against the
// promises of the design.
type world struct {
	t          *rapid.T
	state      node.State
	now        time.Time
	timers     map[event.TimerID]time.Time
	topology   model.Topology
	share      model.Quota
	configured map[model.UpstreamID]model.Upstream // also those removed for a time
	upstreams  map[model.UpstreamID]*fakeUpstream
	flights    map[model.AttemptID]*flight
	callers    map[model.RequestID]*fakeCaller
	ledger     map[model.Key]*fakeClaim
	proposals  []event.ProposeRequest
	answers    []event.AnswerReceived // delivered, to be repeated
	probes     []model.UpstreamID
	runs       map[model.Key]int
	paid       map[model.Key]int
	nextID     model.RequestID
	draining   bool
	drained    int
	demand     map[string]int // as last summed up
}

type fakeUpstream struct {
	versions map[model.SnapshotVersion][]int
	leaving  bool
}

// flight is one attempt on a fake upstream.
type flight struct {
	send   effect.Send
	ran    bool
	told   model.Ran // what the tier was told at its end
	ended  bool
	cancel bool
}

type fakeCaller struct {
	request  event.QueryRequest
	flights  []*flight
	replies  int
	refusals int
	charges  int
	ran      model.Ran // as refused
	gone     bool
	shards   map[model.SnapshotVersion]int // most shards stated to the tier by the request's answers
}

type fakeClaim struct {
	holder  entry.Holder
	fp      model.Fingerprint
	outcome *entry.Outcome
}

// trueShards is the size of each version of the index.
var trueShards = map[model.SnapshotVersion]int{7: 2, 8: 3}

func newWorld(t *rapid.T) *world {
	w := &world{
		t: t, now: began, timers: make(map[event.TimerID]time.Time),
		upstreams: make(map[model.UpstreamID]*fakeUpstream), flights: make(map[model.AttemptID]*flight),
		callers: make(map[model.RequestID]*fakeCaller), ledger: make(map[model.Key]*fakeClaim),
		runs: make(map[model.Key]int), paid: make(map[model.Key]int),
	}
	w.reduce(event.Start{
		Role: event.RoleQuery, VM: model.VM{ID: "vm0", Zone: "a"}, Seed: rapid.Uint64().Draw(t, "seed"), Loops: 1, ProcessStart: began,
		Baseline: rapid.Bool().Draw(t, "plain"),
	})
	w.topology = model.Topology{
		Revision: 1,
		Contracts: map[string]model.Contract{"acme": {
			Customer: "acme", Credential: sha256.Sum256([]byte("secret")), Indexes: []string{"pairing"},
			Concurrency: 10, Capacity: 1, RetryBudget: 1, Retention: time.Hour,
			Classes: []model.Class{
				{Name: "now", Wait: 20 * time.Millisecond, Price: 5, Weight: 1, MinCoverage: 0.4},
				{Name: "late", Wait: 200 * time.Millisecond, Price: 2, Weight: 1, MinCoverage: 1},
			},
		}},
		Upstreams: make(map[model.UpstreamID]model.Upstream),
	}
	w.share = model.Quota{Concurrency: map[string]int{"acme": rapid.IntRange(1, 4).Draw(t, "concurrency")}, Conns: make(map[model.UpstreamID]int)}
	for shard := range 3 {
		for replica := range 2 {
			id := model.UpstreamID(fmt.Sprintf("u%d%c", shard, 'a'+replica))
			w.topology.Upstreams[id] = model.Upstream{
				ID: id, Addr: netip.MustParseAddrPort("127.0.0.1:1"), Zone: model.Zone([]string{"a", "b"}[replica]), Index: "pairing", Slots: 2,
			}
			w.share.Conns[id] = 2
			w.upstreams[id] = &fakeUpstream{versions: make(map[model.SnapshotVersion][]int)}
			for v, n := range trueShards {
				if shard < n {
					w.upstreams[id].versions[v] = []int{shard}
				}
			}
		}
	}
	w.configured = maps.Clone(w.topology.Upstreams)
	w.view()
	for _, id := range w.ids() {
		w.report(id)
	}
	return w
}

func (w *world) ids() []model.UpstreamID {
	return slices.Sorted(maps.Keys(w.upstreams))
}

// view publishes a copy of the configuration, which the state may keep.
func (w *world) view() {
	topology := w.topology
	topology.Upstreams = maps.Clone(w.topology.Upstreams)
	w.reduce(event.View{Topology: &topology, Quota: model.Quota{
		Concurrency: maps.Clone(w.share.Concurrency), Conns: maps.Clone(w.share.Conns),
	}})
}

// report delivers what an upstream holds. It may understate the shards.
func (w *world) report(id model.UpstreamID) {
	u := w.upstreams[id]
	r := event.ProbeResult{Upstream: id, Reachable: true, Draining: u.leaving, Load: model.Load{Slots: 2}}
	for _, v := range slices.Sorted(maps.Keys(u.versions)) {
		stated := trueShards[v]
		if rapid.IntRange(0, 5).Draw(w.t, "understate") == 0 {
			stated = u.versions[v][0] + 1
		}
		r.Snapshots = append(r.Snapshots, model.HeldSnapshot{Index: "pairing", Version: v, ShardCount: stated, HeldShards: u.versions[v]})
	}
	w.reduce(r)
}

func (w *world) reduce(body event.Body) {
	for _, e := range w.state.Reduce(event.Event{At: w.now, Body: body}, nil) {
		w.execute(e)
	}
}

// content is what a shard answers to a request.
func content(fp model.Fingerprint, v model.SnapshotVersion, shard int) []model.Item {
	return []model.Item{{ID: fmt.Sprintf("%d/%d/%d", fp, v, shard), Rank: float64(shard)}}
}

func (w *world) execute(e effect.Effect) {
	switch e := e.(type) {
	case effect.SetTimer:
		w.timers[e.ID] = e.At
	case effect.StopTimer:
		delete(w.timers, e.ID)
	case effect.Send:
		w.send(e)
	case effect.Cancel:
		f := w.flights[e.Attempt]
		if !f.send.Key.IsZero() {
			w.t.Fatalf("attempt %d of a non-idempotent request was cancelled", e.Attempt)
		}
		f.cancel = true
	case effect.Probe:
		w.probes = append(w.probes, e.Upstream)
	case effect.ToControl:
		if p, ok := e.Body.(event.ProposeRequest); ok {
			w.proposals = append(w.proposals, p)
		}
		if s, ok := e.Body.(event.DemandReport); ok {
			w.demand = s.Demand
		}
	case effect.SendAnswer:
		w.reply(e.Answer)
	case effect.Refuse:
		w.refuse(e.Rejection)
	case effect.Charge:
		c := w.callers[e.Request]
		c.charges++
		if key := c.request.Key; !key.IsZero() {
			if w.paid[key]++; w.paid[key] > 1 {
				w.t.Fatalf("key %v was charged %d times", key, w.paid[key])
			}
		}
	case effect.Drained:
		w.endOfDrain()
	}
}

func (w *world) send(e effect.Send) {
	if u, ok := w.topology.Upstreams[e.Upstream]; !ok || w.upstreams[e.Upstream].leaving || u.State == model.StateDraining {
		w.t.Fatalf("attempt %d was sent to upstream %s, which is leaving", e.Attempt, e.Upstream)
	}
	c := w.callers[e.Request]
	if c.refusals > 0 || c.replies > 0 || c.gone {
		w.t.Fatalf("attempt %d was sent for request %d after its end", e.Attempt, e.Request)
	}
	f := &flight{send: e}
	if !e.Key.IsZero() {
		for id, other := range w.flights {
			if other.send.Key == e.Key && (!other.ended || other.told != model.RanNo) {
				w.t.Fatalf("attempt %d of key %v was sent although attempt %d may have run", e.Attempt, e.Key, id)
			}
		}
		if c := w.ledger[e.Key]; c == nil || c.holder.Request != e.Request {
			w.t.Fatalf("attempt %d of key %v was sent without a claim", e.Attempt, e.Key)
		}
	}
	w.flights[e.Attempt] = f
	c.flights = append(c.flights, f)
}

func (w *world) reply(a model.Answer) {
	c := w.callers[a.Request]
	c.replies++
	w.once(a.Request)
	if !c.request.Key.IsZero() {
		if o := w.ledger[c.request.Key].outcome; o == nil || o.Items[0].ID != a.Items[0].ID {
			w.t.Fatalf("request %d was answered before its outcome was recorded", a.Request)
		}
		return
	}
	cover := a.Coverage
	if got, want := cover.Total, c.shards[a.Snapshot]; got < want || cover.Answered+len(cover.Missing) != got {
		w.t.Fatalf("request %d: got coverage %+v, upstreams stated %d shards", a.Request, cover, want)
	}
	var want []string
	for shard := cover.Total - 1; shard >= 0; shard-- {
		if !slices.Contains(cover.Missing, shard) {
			want = append(want, content(c.request.Fingerprint, a.Snapshot, shard)[0].ID)
		}
	}
	var got []string
	for _, item := range a.Items {
		got = append(got, item.ID)
	}
	if !slices.Equal(got, want) {
		w.t.Fatalf("request %d: got items %v, want %v for coverage %+v of version %d", a.Request, got, want, cover, a.Snapshot)
	}
}

func (w *world) refuse(r model.Rejection) {
	c := w.callers[r.Request]
	c.refusals++
	c.ran = r.Ran
	w.once(r.Request)
	ran := false
	for _, f := range c.flights {
		ran = ran || f.ran
		if r.Ran == model.RanNo && (f.ran || !f.ended) {
			w.t.Fatalf("request %d was refused as %s, ran: no, but attempt %d ran or may still run", r.Request, r.Reason, f.send.Attempt)
		}
	}
	if r.Ran == model.RanYes && !ran {
		w.t.Fatalf("request %d was refused as %s, ran: yes, but no attempt ran", r.Request, r.Reason)
	}
	if r.Reason == model.RefusedDraining && !w.draining {
		w.t.Fatalf("request %d was refused as draining before the drain", r.Request)
	}
}

func (w *world) once(id model.RequestID) {
	c := w.callers[id]
	if c.replies+c.refusals > 1 || c.gone {
		w.t.Fatalf("request %d got %d answers and %d refusals, caller gone: %v", id, c.replies, c.refusals, c.gone)
	}
}

func (w *world) endOfDrain() {
	w.drained++
	if w.drained > 1 {
		w.t.Fatalf("the end of the drain was reported %d times", w.drained)
	}
	for id, c := range w.callers {
		if c.replies+c.refusals == 0 && !c.gone {
			w.t.Fatalf("the drain ended before request %d was answered", id)
		}
	}
	for id, f := range w.flights {
		if !f.send.Key.IsZero() && !f.ended {
			w.t.Fatalf("the drain ended while attempt %d of key %v was in flight", id, f.send.Key)
		}
	}
}

// request sends a caller's request.
func (w *world) request(key model.Key, fp model.Fingerprint) {
	w.nextID++
	r := event.QueryRequest{
		ID: w.nextID, Customer: "acme", Credential: sha256.Sum256([]byte("secret")), Index: "pairing", Body: []byte("q"),
		Fingerprint: fp, Key: key,
		Wait: rapid.SampledFrom([]time.Duration{20 * time.Millisecond, 200 * time.Millisecond}).Draw(w.t, "wait"),
	}
	w.callers[r.ID] = &fakeCaller{request: r, shards: make(map[model.SnapshotVersion]int)}
	w.reduce(r)
}

// pick draws a flight that has not ended, oldest first in the draw's order.
func (w *world) pick() *flight {
	var ids []model.AttemptID
	for id, f := range w.flights {
		if !f.ended {
			ids = append(ids, id)
		}
	}
	if len(ids) == 0 {
		return nil
	}
	slices.Sort(ids)
	return w.flights[rapid.SampledFrom(ids).Draw(w.t, "attempt")]
}

// run lets the fake upstream run an attempt.
func (w *world) run(f *flight) {
	f.ran = true
	if key := f.send.Key; !key.IsZero() {
		if w.runs[key]++; w.runs[key] > 1 {
			w.t.Fatalf("key %v ran %d times", key, w.runs[key])
		}
	}
}

func (w *world) answer(f *flight, version model.SnapshotVersion, stated int) {
	w.run(f)
	f.ended, f.told = true, model.RanYes
	c := w.callers[f.send.Request]
	a := event.AnswerReceived{
		Attempt: f.send.Attempt, Version: version, ShardCount: stated, Shard: f.send.Shard,
		Items: content(c.request.Fingerprint, version, f.send.Shard), Load: &model.Load{Slots: 2},
	}
	if !f.cancel && version == f.send.Version && c.replies+c.refusals == 0 {
		c.shards[version] = max(c.shards[version], stated)
	}
	w.answers = append(w.answers, a)
	w.reduce(a)
}

func (w *world) fail(f *flight, reason model.FailureReason, ran bool, told model.Ran) {
	if ran {
		w.run(f)
	}
	f.ended, f.told = true, told
	w.reduce(event.AttemptFailed{Attempt: f.send.Attempt, Reason: reason, Ran: told, RetryAfter: rapid.SampledFrom([]time.Duration{0, 10 * time.Millisecond}).Draw(w.t, "after")})
}

// failAny ends a flight in any way that tells no lie about the run.
func (w *world) failAny(f *flight) {
	reason := rapid.SampledFrom(model.FailureReasons()).Draw(w.t, "reason")
	switch reason {
	case model.FailedReset, model.FailedTimeout, model.FailedInvalid, model.FailedCancelled:
		w.fail(f, reason, rapid.Bool().Draw(w.t, "ran"), model.RanUnknown)
	default:
		w.fail(f, reason, false, model.RanNo)
	}
}

// propose lets the ledger decide one proposal.
func (w *world) propose(status entry.Status, apply bool) {
	if len(w.proposals) == 0 {
		return
	}
	i := rapid.IntRange(0, len(w.proposals)-1).Draw(w.t, "proposal")
	p := w.proposals[i]
	w.proposals = slices.Delete(w.proposals, i, i+1)
	result := entry.Result{Status: status}
	if apply {
		result = w.commit(p.Command)
		if status != entry.StatusOK {
			result = entry.Result{Status: status}
		}
	}
	w.reduce(event.ProposeResponse{Request: p.Request, Command: p.Command, Result: result})
}

func (w *world) commit(c entry.Command) entry.Result {
	switch c := c.(type) {
	case entry.Claim:
		known, ok := w.ledger[c.Key]
		switch {
		case !ok:
			w.ledger[c.Key] = &fakeClaim{holder: c.Holder, fp: c.Fingerprint}
		case known.fp != c.Fingerprint:
			return entry.Result{Status: entry.StatusConflict}
		case known.outcome != nil:
			return entry.Result{Status: entry.StatusSettled, Outcome: known.outcome}
		case known.holder != c.Holder:
			return entry.Result{Status: entry.StatusPending}
		}
	case entry.Settle:
		if known, ok := w.ledger[c.Key]; ok && known.holder == c.Holder {
			known.outcome = &c.Outcome
			return entry.Result{Status: entry.StatusOK}
		}
		return entry.Result{Status: entry.StatusConflict}
	case entry.Release:
		if known, ok := w.ledger[c.Key]; ok && known.holder == c.Holder && known.outcome == nil {
			delete(w.ledger, c.Key)
		}
	}
	return entry.Result{Status: entry.StatusOK}
}

// pass lets time pass and fires the timers that are due, in their order.
func (w *world) pass(d time.Duration) {
	end := w.now.Add(d)
	for {
		var next event.TimerID
		var due time.Time
		for id, at := range w.timers {
			if due.IsZero() || at.Before(due) || at.Equal(due) && (id.Kind < next.Kind || id.Kind == next.Kind && id.N < next.N) {
				next, due = id, at
			}
		}
		if due.IsZero() || due.After(end) {
			w.now = end
			return
		}
		delete(w.timers, next)
		if due.After(w.now) {
			w.now = due
		}
		w.reduce(event.Timer{ID: next})
	}
}

// settle lets everything in flight end.
func (w *world) settle() {
	for range 200 {
		for _, id := range slices.Sorted(maps.Keys(w.flights)) {
			if f := w.flights[id]; !f.ended {
				w.fail(f, model.FailedTimeout, false, model.RanUnknown)
			}
		}
		for len(w.proposals) > 0 {
			w.propose(entry.StatusOK, true)
		}
		w.pass(100 * time.Millisecond)
	}
	if !w.draining {
		w.draining = true
		w.reduce(event.Drain{})
	}
	if w.drained != 1 {
		w.t.Fatalf("got %d reports of the end of the drain, want 1", w.drained)
	}
	w.checkEnd()
}

// checkEnd checks what has to hold when nothing is in flight any more.
func (w *world) checkEnd() {
	if len(w.demand) != 0 {
		w.t.Fatalf("got demand %v after the last request, want none", w.demand)
	}
	for id, c := range w.callers {
		if got := c.replies + c.refusals; got != 1 && !c.gone {
			w.t.Fatalf("request %d got %d answers, want 1", id, got)
		}
		if c.replies == 1 && c.request.Key.IsZero() && c.charges != 1 || c.charges > c.replies {
			w.t.Fatalf("request %d got %d answers and %d charges", id, c.replies, c.charges)
		}
		if c.ran == model.RanNo && c.refusals > 0 && slices.ContainsFunc(c.flights, func(f *flight) bool { return f.ran }) {
			w.t.Fatalf("request %d was refused as not run, but it ran", id)
		}
	}
	for key, claim := range w.ledger {
		if claim.outcome != nil {
			continue
		}
		if !slices.ContainsFunc(w.callers[claim.holder.Request].flights, func(f *flight) bool { return f.told != model.RanNo }) {
			w.t.Fatalf("the claim of key %v stays, although request %d provably did not run", key, claim.holder.Request)
		}
	}
}
