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

// TestMain fixes the seed of the property tests, so that every run generates the
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

// queryHarness is a query state with simulated callers, upstreams and ledger. Its
// actions deliver events in any order, and execute checks every effect against the
// guarantees to callers.
type queryHarness struct {
	t              *rapid.T
	state          node.State
	now            time.Time
	timers         map[event.TimerID]time.Time
	topology       model.Topology
	quota          model.Quota
	configured     map[model.UpstreamID]model.Upstream // including temporarily removed ones
	upstreams      map[model.UpstreamID]*fakeUpstream
	attempts       map[model.AttemptID]*fakeAttempt
	callers        map[model.RequestID]*fakeCaller
	ledger         map[model.Key]*fakeClaim
	proposals      []event.ProposeRequest
	answers        []event.AnswerReceived // that were delivered and may be repeated
	probes         []model.UpstreamID
	runs           map[model.Key]int
	charged        map[model.Key]int
	nextID         model.RequestID
	draining       bool
	drainedReports int
	demand         map[string]int // of the last DemandReport
}

type fakeUpstream struct {
	versions map[model.SnapshotVersion][]int
	draining bool
}

// fakeAttempt is an attempt on a fakeUpstream.
type fakeAttempt struct {
	send      effect.Send
	ran       bool
	reported  model.Ran // whether it ran, as stated to the query state at its end
	ended     bool
	cancelled bool
}

type fakeCaller struct {
	request      event.QueryRequest
	attempts     []*fakeAttempt
	answers      int
	refusals     int
	charges      int
	ran          model.Ran // as stated by the refusal
	disconnected bool
	shards       map[model.SnapshotVersion]int // highest number of shards that answers to the request stated
}

type fakeClaim struct {
	holder      entry.ClaimHolder
	fingerprint model.Fingerprint
	outcome     *entry.Outcome
}

// shardCounts is the number of shards of each version of the index.
var shardCounts = map[model.SnapshotVersion]int{7: 2, 8: 3}

func newQueryHarness(t *rapid.T) *queryHarness {
	w := &queryHarness{
		t: t, now: startTime, timers: make(map[event.TimerID]time.Time),
		upstreams: make(map[model.UpstreamID]*fakeUpstream), attempts: make(map[model.AttemptID]*fakeAttempt),
		callers: make(map[model.RequestID]*fakeCaller), ledger: make(map[model.Key]*fakeClaim),
		runs: make(map[model.Key]int), charged: make(map[model.Key]int),
	}
	w.reduce(event.Start{
		Role: event.RoleQuery, VM: model.VM{ID: "vm0", Zone: "a"}, Seed: rapid.Uint64().Draw(t, "seed"), Loops: 1, ProcessStart: startTime,
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
	w.quota = model.Quota{
		Concurrency: map[string]int{"acme": rapid.IntRange(1, 4).Draw(t, "concurrency")}, Conns: make(map[model.UpstreamID]int),
	}
	for shard := range 3 {
		for replica := range 2 {
			id := model.UpstreamID(fmt.Sprintf("u%d%c", shard, 'a'+replica))
			w.topology.Upstreams[id] = model.Upstream{
				ID: id, Addr: netip.MustParseAddrPort("127.0.0.1:1"), Zone: model.Zone([]string{"a", "b"}[replica]), Index: "pairing", Slots: 2,
			}
			w.quota.Conns[id] = 2
			w.upstreams[id] = &fakeUpstream{versions: make(map[model.SnapshotVersion][]int)}
			for v, n := range shardCounts {
				if shard < n {
					w.upstreams[id].versions[v] = []int{shard}
				}
			}
		}
	}
	w.configured = maps.Clone(w.topology.Upstreams)
	w.publishView()
	for _, id := range w.upstreamIDs() {
		w.reportUpstream(id)
	}
	return w
}

func (w *queryHarness) upstreamIDs() []model.UpstreamID {
	return slices.Sorted(maps.Keys(w.upstreams))
}

// publishView delivers a copy of the configuration and the quota.
func (w *queryHarness) publishView() {
	topology := w.topology
	topology.Upstreams = maps.Clone(w.topology.Upstreams)
	w.reduce(event.View{Topology: &topology, Quota: model.Quota{
		Concurrency: maps.Clone(w.quota.Concurrency), Conns: maps.Clone(w.quota.Conns),
	}})
}

// reportUpstream delivers a probe result of an upstream. It may state too few
// shards.
func (w *queryHarness) reportUpstream(id model.UpstreamID) {
	u := w.upstreams[id]
	r := event.ProbeResult{Upstream: id, Reachable: true, Draining: u.draining, Load: model.Load{Slots: 2}}
	for _, v := range slices.Sorted(maps.Keys(u.versions)) {
		stated := shardCounts[v]
		if rapid.IntRange(0, 5).Draw(w.t, "understate") == 0 {
			stated = u.versions[v][0] + 1
		}
		r.Snapshots = append(r.Snapshots, model.HeldSnapshot{Index: "pairing", Version: v, ShardCount: stated, HeldShards: u.versions[v]})
	}
	w.reduce(r)
}

func (w *queryHarness) reduce(body event.Body) {
	for _, e := range w.state.Reduce(event.Event{At: w.now, Body: body}, nil) {
		w.execute(e)
	}
}

// shardItems returns a shard's items in the answer to a request.
func shardItems(fingerprint model.Fingerprint, v model.SnapshotVersion, shard int) []model.Item {
	return []model.Item{{ID: fmt.Sprintf("%d/%d/%d", fingerprint, v, shard), Rank: float64(shard)}}
}

func (w *queryHarness) execute(e effect.Effect) {
	switch e := e.(type) {
	case effect.SetTimer:
		w.timers[e.ID] = e.At
	case effect.StopTimer:
		delete(w.timers, e.ID)
	case effect.Send:
		w.checkSend(e)
	case effect.Cancel:
		f := w.attempts[e.Attempt]
		if !f.send.Key.IsZero() {
			w.t.Fatalf("attempt %d of a non-idempotent request was cancelled", e.Attempt)
		}
		f.cancelled = true
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
		w.checkAnswer(e.Answer)
	case effect.Refuse:
		w.checkRefusal(e.Refusal)
	case effect.Charge:
		c := w.callers[e.Request]
		c.charges++
		if key := c.request.Key; !key.IsZero() {
			if w.charged[key]++; w.charged[key] > 1 {
				w.t.Fatalf("key %v was charged %d times", key, w.charged[key])
			}
		}
	case effect.Drained:
		w.checkDrained()
	}
}

func (w *queryHarness) checkSend(e effect.Send) {
	if u, ok := w.topology.Upstreams[e.Upstream]; !ok || w.upstreams[e.Upstream].draining || u.State == model.StateDraining {
		w.t.Fatalf("attempt %d was sent to upstream %s, which is draining or removed", e.Attempt, e.Upstream)
	}
	c := w.callers[e.Request]
	if c.refusals > 0 || c.answers > 0 || c.disconnected {
		w.t.Fatalf("attempt %d was sent for request %d after its end", e.Attempt, e.Request)
	}
	f := &fakeAttempt{send: e}
	if !e.Key.IsZero() {
		for id, other := range w.attempts {
			if other.send.Key == e.Key && (!other.ended || other.reported != model.RanNo) {
				w.t.Fatalf("attempt %d of key %v was sent although attempt %d may have run", e.Attempt, e.Key, id)
			}
		}
		if c := w.ledger[e.Key]; c == nil || c.holder.Request != e.Request {
			w.t.Fatalf("attempt %d of key %v was sent without a claim", e.Attempt, e.Key)
		}
	}
	w.attempts[e.Attempt] = f
	c.attempts = append(c.attempts, f)
}

func (w *queryHarness) checkAnswer(a model.Answer) {
	c := w.callers[a.Request]
	c.answers++
	w.checkAnsweredOnce(a.Request)
	if !c.request.Key.IsZero() {
		if o := w.ledger[c.request.Key].outcome; o == nil || o.Items[0].ID != a.Items[0].ID {
			w.t.Fatalf("request %d was answered before its outcome was recorded", a.Request)
		}
		return
	}
	coverage := a.Coverage
	if got, want := coverage.Total, c.shards[a.Snapshot]; got < want || coverage.Answered+len(coverage.Missing) != got {
		w.t.Fatalf("request %d: got coverage %+v, upstreams stated %d shards", a.Request, coverage, want)
	}
	var want []string
	for shard := coverage.Total - 1; shard >= 0; shard-- {
		if !slices.Contains(coverage.Missing, shard) {
			want = append(want, shardItems(c.request.Fingerprint, a.Snapshot, shard)[0].ID)
		}
	}
	var got []string
	for _, item := range a.Items {
		got = append(got, item.ID)
	}
	if !slices.Equal(got, want) {
		w.t.Fatalf("request %d: got items %v, want %v for coverage %+v of version %d", a.Request, got, want, coverage, a.Snapshot)
	}
}

func (w *queryHarness) checkRefusal(r model.Refusal) {
	c := w.callers[r.Request]
	c.refusals++
	c.ran = r.Ran
	w.checkAnsweredOnce(r.Request)
	ran := false
	for _, f := range c.attempts {
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

func (w *queryHarness) checkAnsweredOnce(id model.RequestID) {
	c := w.callers[id]
	if c.answers+c.refusals > 1 || c.disconnected {
		w.t.Fatalf("request %d got %d answers and %d refusals, caller disconnected: %v", id, c.answers, c.refusals, c.disconnected)
	}
}

func (w *queryHarness) checkDrained() {
	w.drainedReports++
	if w.drainedReports > 1 {
		w.t.Fatalf("the end of the drain was reported %d times", w.drainedReports)
	}
	for id, c := range w.callers {
		if c.answers+c.refusals == 0 && !c.disconnected {
			w.t.Fatalf("the drain ended before request %d was answered", id)
		}
	}
	for id, f := range w.attempts {
		if !f.send.Key.IsZero() && !f.ended {
			w.t.Fatalf("the drain ended while attempt %d of key %v was in flight", id, f.send.Key)
		}
	}
}

// request sends a caller's request.
func (w *queryHarness) request(key model.Key, fingerprint model.Fingerprint) {
	w.nextID++
	r := event.QueryRequest{
		ID: w.nextID, Customer: "acme", Credential: sha256.Sum256([]byte("secret")), Index: "pairing", Body: []byte("q"),
		Fingerprint: fingerprint, Key: key,
		Wait: rapid.SampledFrom([]time.Duration{20 * time.Millisecond, 200 * time.Millisecond}).Draw(w.t, "wait"),
	}
	w.callers[r.ID] = &fakeCaller{request: r, shards: make(map[model.SnapshotVersion]int)}
	w.reduce(r)
}

// drawAttempt chooses an attempt that has not ended. Candidates are ordered oldest
// first.
func (w *queryHarness) drawAttempt() *fakeAttempt {
	var ids []model.AttemptID
	for id, f := range w.attempts {
		if !f.ended {
			ids = append(ids, id)
		}
	}
	if len(ids) == 0 {
		return nil
	}
	slices.Sort(ids)
	return w.attempts[rapid.SampledFrom(ids).Draw(w.t, "attempt")]
}

// runAttempt records that the upstream runs an attempt.
func (w *queryHarness) runAttempt(f *fakeAttempt) {
	f.ran = true
	if key := f.send.Key; !key.IsZero() {
		if w.runs[key]++; w.runs[key] > 1 {
			w.t.Fatalf("key %v ran %d times", key, w.runs[key])
		}
	}
}

func (w *queryHarness) answer(f *fakeAttempt, version model.SnapshotVersion, stated int) {
	w.runAttempt(f)
	f.ended, f.reported = true, model.RanYes
	c := w.callers[f.send.Request]
	a := event.AnswerReceived{
		Attempt: f.send.Attempt, Version: version, ShardCount: stated, Shard: f.send.Shard,
		Items: shardItems(c.request.Fingerprint, version, f.send.Shard), Load: &model.Load{Slots: 2},
	}
	if !f.cancelled && version == f.send.Version && c.answers+c.refusals == 0 {
		c.shards[version] = max(c.shards[version], stated)
	}
	w.answers = append(w.answers, a)
	w.reduce(a)
}

func (w *queryHarness) fail(f *fakeAttempt, reason model.FailureReason, ran bool, reported model.Ran) {
	if ran {
		w.runAttempt(f)
	}
	f.ended, f.reported = true, reported
	w.reduce(event.AttemptFailed{
		Attempt: f.send.Attempt, Reason: reason, Ran: reported,
		RetryAfter: rapid.SampledFrom([]time.Duration{0, 10 * time.Millisecond}).Draw(w.t, "after"),
	})
}

// failAny ends an attempt with any failure that states truthfully whether it ran.
func (w *queryHarness) failAny(f *fakeAttempt) {
	reason := rapid.SampledFrom(model.FailureReasons()).Draw(w.t, "reason")
	switch reason {
	case model.FailedReset, model.FailedTimeout, model.FailedInvalid, model.FailedCancelled:
		w.fail(f, reason, rapid.Bool().Draw(w.t, "ran"), model.RanUnknown)
	default:
		w.fail(f, reason, false, model.RanNo)
	}
}

// decideProposal delivers the result of one proposal. With apply set, the ledger
// applies the command, also when the status does not say so.
func (w *queryHarness) decideProposal(status entry.Status, apply bool) {
	if len(w.proposals) == 0 {
		return
	}
	i := rapid.IntRange(0, len(w.proposals)-1).Draw(w.t, "proposal")
	p := w.proposals[i]
	w.proposals = slices.Delete(w.proposals, i, i+1)
	result := entry.Result{Status: status}
	if apply {
		result = w.applyCommand(p.Command)
		if status != entry.StatusOK {
			result = entry.Result{Status: status}
		}
	}
	w.reduce(event.ProposeResponse{Request: p.Request, Command: p.Command, Result: result})
}

func (w *queryHarness) applyCommand(c entry.Command) entry.Result {
	switch c := c.(type) {
	case entry.Claim:
		known, ok := w.ledger[c.Key]
		switch {
		case !ok:
			w.ledger[c.Key] = &fakeClaim{holder: c.Holder, fingerprint: c.Fingerprint}
		case known.fingerprint != c.Fingerprint:
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

// advance advances the time and fires the timers that become due, in order.
func (w *queryHarness) advance(d time.Duration) {
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

// finish ends everything in flight and drains the state.
func (w *queryHarness) finish() {
	for range 200 {
		for _, id := range slices.Sorted(maps.Keys(w.attempts)) {
			if f := w.attempts[id]; !f.ended {
				w.fail(f, model.FailedTimeout, false, model.RanUnknown)
			}
		}
		for len(w.proposals) > 0 {
			w.decideProposal(entry.StatusOK, true)
		}
		w.advance(100 * time.Millisecond)
	}
	if !w.draining {
		w.draining = true
		w.reduce(event.Drain{})
	}
	if w.drainedReports != 1 {
		w.t.Fatalf("got %d reports of the end of the drain, want 1", w.drainedReports)
	}
	w.checkEnd()
}

// checkEnd checks the guarantees that hold once nothing is in flight any more.
func (w *queryHarness) checkEnd() {
	if len(w.demand) != 0 {
		w.t.Fatalf("got demand %v after the last request, want none", w.demand)
	}
	for id, c := range w.callers {
		if got := c.answers + c.refusals; got != 1 && !c.disconnected {
			w.t.Fatalf("request %d got %d answers, want 1", id, got)
		}
		if c.answers == 1 && c.request.Key.IsZero() && c.charges != 1 || c.charges > c.answers {
			w.t.Fatalf("request %d got %d answers and %d charges", id, c.answers, c.charges)
		}
		if c.ran == model.RanNo && c.refusals > 0 && slices.ContainsFunc(c.attempts, func(f *fakeAttempt) bool { return f.ran }) {
			w.t.Fatalf("request %d was refused as not run, but it ran", id)
		}
	}
	for key, claim := range w.ledger {
		if claim.outcome != nil {
			continue
		}
		if !slices.ContainsFunc(w.callers[claim.holder.Request].attempts, func(f *fakeAttempt) bool { return f.reported != model.RanNo }) {
			w.t.Fatalf("the claim of key %v remains, although request %d certainly did not run", key, claim.holder.Request)
		}
	}
}
