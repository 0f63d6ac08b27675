package node_test

import (
	"crypto/sha256"
	"net/netip"
	"testing"
	"time"

	"comfreypulley/core/effect"
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
}

func newFixture() *fixture {
	f := &fixture{now: began}
	f.reduce(event.Start{Role: event.RoleTraffic, VM: model.VM{ID: "vm0", Zone: "a"}, Seed: 1, Loops: 1})
	topology := &model.Topology{
		Revision: 1,
		Contracts: map[string]model.Contract{"acme": {
			Customer: "acme", Credential: sha256.Sum256([]byte("secret")), Indexes: []string{"pairing"},
			Concurrency: 10, Capacity: 1, Extra: 1, Retention: time.Hour,
			Classes: []model.Class{{Name: "now", Wait: 100 * time.Millisecond, Price: 5, Weight: 1, Coverage: 0.5}},
		}},
		Upstreams: make(map[model.UpstreamID]model.Upstream),
	}
	share := model.Share{Concurrency: map[string]int{"acme": 10}, Conns: make(map[model.UpstreamID]int)}
	for _, id := range []model.UpstreamID{"u0a", "u0b", "u1a", "u1b"} {
		topology.Upstreams[id] = model.Upstream{ID: id, Addr: netip.MustParseAddrPort("127.0.0.1:1"), Zone: "a", Index: "pairing", Slots: 4}
		share.Conns[id] = 4
	}
	f.reduce(event.View{Topology: topology, Share: share})
	for id, shard := range map[model.UpstreamID]int{"u0a": 0, "u0b": 0, "u1a": 1, "u1b": 1} {
		f.reduce(event.Reported{
			Upstream: id, Reachable: true,
			Holdings: []model.Holding{{Index: "pairing", Version: 7, Shards: 2, Holds: []int{shard}}},
		})
	}
	return f
}

func (f *fixture) reduce(body event.Body) []effect.Effect {
	f.out = f.state.Reduce(event.Event{At: f.now, Body: body}, nil)
	return f.out
}

func (f *fixture) request(id model.RequestID) []effect.Effect {
	return f.reduce(event.Request{
		ID: id, Customer: "acme", Credential: sha256.Sum256([]byte("secret")), Index: "pairing",
		Body: []byte("q"), Fingerprint: 9, Wait: 100 * time.Millisecond,
	})
}

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
	sends := all[effect.Send](f.request(1))
	if got, want := len(sends), 2; got != want {
		t.Fatalf("got %d attempts, want %d", got, want)
	}
	f.reduce(event.Answered{Attempt: sends[0].Attempt, Version: 7, Shards: 2, Shard: sends[0].Shard, Items: []model.Item{{ID: "a", Rank: 1}}})
	out := f.reduce(event.Answered{Attempt: sends[1].Attempt, Version: 6, Shards: 2, Shard: sends[1].Shard, Items: []model.Item{{ID: "old", Rank: 9}}})
	if got := len(all[effect.Reply](out)); got != 0 {
		t.Fatalf("got %d replies with an answer of version 6, want 0", got)
	}
	again := f.next()
	out = f.reduce(event.Answered{Attempt: again.Attempt, Version: 7, Shards: 2, Shard: again.Shard, Items: []model.Item{{ID: "b", Rank: 2}}})
	replies := all[effect.Reply](out)
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
