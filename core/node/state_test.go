package node_test

import (
	"crypto/sha256"
	"fmt"
	"net/netip"
	"testing"
	"time"

	"comfreypulley/core/effect"
	"comfreypulley/core/entry"
	"comfreypulley/core/event"
	"comfreypulley/core/model"
	"comfreypulley/core/node"
)

// began is the time of the first event in every test.
var began = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// fixture is a traffic state with one index of two shards, each with two
// replicas.
type fixture struct {
	state node.State
	now   time.Time
	out   []effect.Effect
	view  event.View
}

func newFixture() *fixture {
	return newFixtureCovering(0.5)
}

// newFixtureCovering has a class with another least coverage.
func newFixtureCovering(coverage float64) *fixture {
	f := newUnreported(coverage)
	f.reportAll()
	return f
}

// newUnreported has upstreams that have not reported yet.
func newUnreported(coverage float64) *fixture {
	f := &fixture{now: began}
	f.reduce(event.Start{Role: event.RoleQuery, VM: model.VM{ID: "vm0", Zone: "a"}, Seed: 1, Loops: 1})
	topology := &model.Topology{
		Revision: 1,
		Contracts: map[string]model.Contract{"acme": {
			Customer: "acme", Credential: sha256.Sum256([]byte("secret")), Indexes: []string{"pairing"},
			Concurrency: 10, Capacity: 1, RetryBudget: 1, Retention: time.Hour,
			Classes: []model.Class{{Name: "now", Wait: 100 * time.Millisecond, Price: 5, Weight: 1, MinCoverage: coverage}},
		}},
		Upstreams: make(map[model.UpstreamID]model.Upstream),
	}
	share := model.Quota{Concurrency: map[string]int{"acme": 10}, Conns: make(map[model.UpstreamID]int)}
	for _, id := range []model.UpstreamID{"u0a", "u0b", "u1a", "u1b"} {
		topology.Upstreams[id] = model.Upstream{ID: id, Addr: netip.MustParseAddrPort("127.0.0.1:1"), Zone: "a", Index: "pairing", Slots: 4}
		share.Conns[id] = 4
	}
	f.view = event.View{Topology: topology, Quota: share}
	f.reduce(f.view)
	return f
}

// reportAll delivers the first report of each upstream, and returns the effects.
func (f *fixture) reportAll() (out []effect.Effect) {
	for _, u := range []struct {
		id    model.UpstreamID
		shard int
	}{{"u0a", 0}, {"u0b", 0}, {"u1a", 1}, {"u1b", 1}} {
		out = append(out, f.reduce(event.ProbeResult{
			Upstream: u.id, Reachable: true,
			Snapshots: []model.HeldSnapshot{{Index: "pairing", Version: 7, ShardCount: 2, HeldShards: []int{u.shard}}},
		})...)
	}
	return out
}

func (f *fixture) reduce(body event.Body) []effect.Effect {
	f.out = f.state.Reduce(event.Event{At: f.now, Body: body}, nil)
	return f.out
}

func (f *fixture) request(id model.RequestID) []effect.Effect {
	return f.run(id, model.Key{})
}

// run sends a request with an idempotency key.
func (f *fixture) run(id model.RequestID, key model.Key) []effect.Effect {
	r := f.newRequest(id)
	r.Key = key
	return f.reduce(r)
}

// newRequest is an idempotent request with the fingerprint of all of them.
func (f *fixture) newRequest(id model.RequestID) event.QueryRequest {
	return event.QueryRequest{
		ID: id, Customer: "acme", Credential: sha256.Sum256([]byte("secret")), Index: "pairing",
		Body: []byte("q"), Fingerprint: 9, Wait: 100 * time.Millisecond,
	}
}

// answer answers an attempt as an upstream does that holds the version.
func (f *fixture) answer(s effect.Send, version model.SnapshotVersion) []effect.Effect {
	id := fmt.Sprintf("%d/%d", version, s.Shard)
	return f.reduce(event.AnswerReceived{
		Attempt: s.Attempt, Version: version, ShardCount: 2, Shard: s.Shard, Items: []model.Item{{ID: id, Rank: float64(s.Shard)}},
	})
}

// warm has the fingerprint answered once, so that it needs no canary request.
func (f *fixture) warm() {
	for _, canary := range all[effect.Send](f.request(1000)) {
		for _, s := range all[effect.Send](f.answer(canary, 7)) {
			f.answer(s, 7)
		}
	}
}

// wait lets time pass and fires the timer of request 1.
func (f *fixture) wait(d time.Duration) []effect.Effect {
	f.now = f.now.Add(d)
	return f.reduce(event.Timer{ID: event.TimerID{Kind: event.TimerQuery, N: 1}})
}

// proposed returns the commands proposed to the ledger.
func proposed[C entry.Command](out []effect.Effect) []C {
	var found []C
	for _, e := range all[effect.ToControl](out) {
		if p, ok := e.Body.(event.ProposeRequest); ok {
			if c, ok := p.Command.(C); ok {
				found = append(found, c)
			}
		}
	}
	return found
}

// decide answers a proposal of request 1.
func (f *fixture) decide(c entry.Command, status entry.Status) []effect.Effect {
	return f.reduce(event.ProposeResponse{Request: 1, Command: c, Result: entry.Result{Status: status}})
}

// dispatched sends run request 1 whose claim is granted and returns its
// attempt.
func (f *fixture) dispatched() effect.Send {
	claim := proposed[entry.Claim](f.run(1, testKey))[0]
	return all[effect.Send](f.decide(claim, entry.StatusOK))[0]
}

var testKey = model.NewKey(began, [10]byte{1})

// all returns the effects of one type.
func all[T effect.Effect](out []effect.Effect) []T {
	var found []T
	for _, e := range out {
		if e, ok := e.(T); ok {
			found = append(found, e)
		}
	}
	return found
}

// Guards against answers that mix snapshots: an answer of another version than
// the pinned one is retried, never merged.
func TestAnswerOfAnotherVersionIsRetried(t *testing.T) {
	f := newFixture()
	f.warm()
	sends := all[effect.Send](f.request(1))
	if got, want := len(sends), 2; got != want {
		t.Fatalf("got %d attempts, want %d", got, want)
	}
	f.reduce(event.AnswerReceived{Attempt: sends[0].Attempt, Version: 7, ShardCount: 2, Shard: sends[0].Shard, Items: []model.Item{{ID: "a", Rank: 1}}})
	out := f.reduce(event.AnswerReceived{Attempt: sends[1].Attempt, Version: 6, ShardCount: 2, Shard: sends[1].Shard, Items: []model.Item{{ID: "old", Rank: 9}}})
	if got := len(all[effect.SendAnswer](out)); got != 0 {
		t.Fatalf("got %d replies with an answer of version 6, want 0", got)
	}
	again := f.next()
	out = f.reduce(event.AnswerReceived{Attempt: again.Attempt, Version: 7, ShardCount: 2, Shard: again.Shard, Items: []model.Item{{ID: "b", Rank: 2}}})
	replies := all[effect.SendAnswer](out)
	if got, want := len(replies), 1; got != want {
		t.Fatalf("got %d replies, want %d", got, want)
	}
	got, want := replies[0].Answer.Items, []string{"b", "a"}
	for i := range want {
		if got[i].ID != want[i] {
			t.Errorf("item %d: got %s, want %s", i, got[i].ID, want[i])
		}
	}
}

// next returns the next attempt that is sent, letting time pass until then.
func (f *fixture) next() effect.Send {
	for range 100 {
		if sends := all[effect.Send](f.out); len(sends) > 0 {
			return sends[0]
		}
		f.now = f.now.Add(time.Millisecond)
		f.reduce(event.Timer{ID: event.TimerID{Kind: event.TimerQuery, N: 1}})
	}
	return effect.Send{}
}
