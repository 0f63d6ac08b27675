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

// startTime is the time of the first event in every test.
var startTime = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// fixture is a query state with one index of two shards, each with two replicas.
type fixture struct {
	state node.State
	now   time.Time
	out   []effect.Effect
	view  event.View
}

func newFixture() *fixture {
	return newFixtureWithCoverage(0.5)
}

// newFixtureWithCoverage returns a fixture whose class has another minimum
// coverage.
func newFixtureWithCoverage(coverage float64) *fixture {
	f := newFixtureWithoutReports(coverage)
	f.reportAll()
	return f
}

// newFixtureWithoutReports returns a fixture without probe results.
func newFixtureWithoutReports(coverage float64) *fixture {
	f := &fixture{now: startTime}
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
	quota := model.Quota{Concurrency: map[string]int{"acme": 10}, Conns: make(map[model.UpstreamID]int)}
	for _, id := range []model.UpstreamID{"u0a", "u0b", "u1a", "u1b"} {
		topology.Upstreams[id] = model.Upstream{ID: id, Addr: netip.MustParseAddrPort("127.0.0.1:1"), Zone: "a", Index: "pairing", Slots: 4}
		quota.Conns[id] = 4
	}
	f.view = event.View{Topology: topology, Quota: quota}
	f.reduce(f.view)
	return f
}

// reportAll delivers the first probe result of each upstream and returns the
// effects.
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
	return f.requestWithKey(id, model.Key{})
}

// requestWithKey sends a request with an idempotency key.
func (f *fixture) requestWithKey(id model.RequestID, key model.Key) []effect.Effect {
	r := f.newRequest(id)
	r.Key = key
	return f.reduce(r)
}

// newRequest returns an idempotent request. All of them have the same fingerprint.
func (f *fixture) newRequest(id model.RequestID) event.QueryRequest {
	return event.QueryRequest{
		ID: id, Customer: "acme", Credential: sha256.Sum256([]byte("secret")), Index: "pairing",
		Body: []byte("q"), Fingerprint: 9, Wait: 100 * time.Millisecond,
	}
}

// answer delivers an upstream's answer to an attempt, at a version.
func (f *fixture) answer(s effect.Send, version model.SnapshotVersion) []effect.Effect {
	id := fmt.Sprintf("%d/%d", version, s.Shard)
	return f.reduce(event.AnswerReceived{
		Attempt: s.Attempt, Version: version, ShardCount: 2, Shard: s.Shard, Items: []model.Item{{ID: id, Rank: float64(s.Shard)}},
	})
}

// confirmFingerprint has the requests' fingerprint answered once. Later requests
// then need no canary attempt.
func (f *fixture) confirmFingerprint() {
	for _, canary := range effectsOf[effect.Send](f.request(1000)) {
		for _, s := range effectsOf[effect.Send](f.answer(canary, 7)) {
			f.answer(s, 7)
		}
	}
}

// advance advances the time and fires the timer of request 1.
func (f *fixture) advance(d time.Duration) []effect.Effect {
	f.now = f.now.Add(d)
	return f.reduce(event.Timer{ID: event.TimerID{Kind: event.TimerQuery, N: 1}})
}

// proposals returns the proposed commands of one type.
func proposals[C entry.Command](out []effect.Effect) []C {
	var found []C
	for _, e := range effectsOf[effect.ToControl](out) {
		if p, ok := e.Body.(event.ProposeRequest); ok {
			if c, ok := p.Command.(C); ok {
				found = append(found, c)
			}
		}
	}
	return found
}

// answerProposal delivers the result of a command that request 1 proposed.
func (f *fixture) answerProposal(c entry.Command, status entry.Status) []effect.Effect {
	return f.reduce(event.ProposeResponse{Request: 1, Command: c, Result: entry.Result{Status: status}})
}

// sendWithClaim sends request 1 with a key, grants its claim and returns its
// attempt.
func (f *fixture) sendWithClaim() effect.Send {
	claim := proposals[entry.Claim](f.requestWithKey(1, testKey))[0]
	return effectsOf[effect.Send](f.answerProposal(claim, entry.StatusOK))[0]
}

var testKey = model.NewKey(startTime, [10]byte{1})

// effectsOf returns the effects of one type.
func effectsOf[T effect.Effect](out []effect.Effect) []T {
	var found []T
	for _, e := range out {
		if e, ok := e.(T); ok {
			found = append(found, e)
		}
	}
	return found
}

// Guards against answers that mix snapshots: an attempt that is answered at another
// version than the query's is retried, and its answer is not merged.
func TestAnswerOfAnotherVersionIsRetried(t *testing.T) {
	f := newFixture()
	f.confirmFingerprint()
	sends := effectsOf[effect.Send](f.request(1))
	if got, want := len(sends), 2; got != want {
		t.Fatalf("got %d attempts, want %d", got, want)
	}
	f.reduce(event.AnswerReceived{
		Attempt: sends[0].Attempt, Version: 7, ShardCount: 2, Shard: sends[0].Shard, Items: []model.Item{{ID: "a", Rank: 1}},
	})
	out := f.reduce(event.AnswerReceived{
		Attempt: sends[1].Attempt, Version: 6, ShardCount: 2, Shard: sends[1].Shard, Items: []model.Item{{ID: "old", Rank: 9}},
	})
	if got := len(effectsOf[effect.SendAnswer](out)); got != 0 {
		t.Fatalf("got %d answers to the caller after an upstream answered at version 6, want 0", got)
	}
	retry := f.nextSend()
	out = f.reduce(event.AnswerReceived{
		Attempt: retry.Attempt, Version: 7, ShardCount: 2, Shard: retry.Shard, Items: []model.Item{{ID: "b", Rank: 2}},
	})
	answers := effectsOf[effect.SendAnswer](out)
	if got, want := len(answers), 1; got != want {
		t.Fatalf("got %d answers, want %d", got, want)
	}
	got, want := answers[0].Answer.Items, []string{"b", "a"}
	for i := range want {
		if got[i].ID != want[i] {
			t.Errorf("item %d: got %s, want %s", i, got[i].ID, want[i])
		}
	}
}

// nextSend advances the time until an attempt is sent and returns it.
func (f *fixture) nextSend() effect.Send {
	for range 100 {
		if sends := effectsOf[effect.Send](f.out); len(sends) > 0 {
			return sends[0]
		}
		f.now = f.now.Add(time.Millisecond)
		f.reduce(event.Timer{ID: event.TimerID{Kind: event.TimerQuery, N: 1}})
	}
	return effect.Send{}
}
