package node_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"comfreypulley/core/entry"
	"comfreypulley/core/event"
	"comfreypulley/core/model"
)

// Guards against violations of the guarantees to callers that a query state can
// cause, under any order of answers, failures, timers, views, disconnects and
// drains. queryHarness checks each effect.
func TestPromisesHoldUnderAnyInterleaving(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newQueryHarness(t)
		keyCount := 0
		fingerprints := make(map[model.Key]model.Fingerprint)
		var keys []model.Key
		t.Repeat(map[string]func(*rapid.T){
			"query": func(t *rapid.T) {
				w.request(model.Key{}, model.Fingerprint(rapid.IntRange(1, 4).Draw(t, "fp")))
			},
			"run": func(t *rapid.T) {
				keyCount++
				key := model.NewKey(w.now, [10]byte{byte(keyCount), byte(keyCount >> 8)})
				fingerprints[key] = model.Fingerprint(rapid.IntRange(1, 4).Draw(t, "fp"))
				keys = append(keys, key)
				w.request(key, fingerprints[key])
			},
			"resend": func(t *rapid.T) {
				if len(keys) > 0 {
					key := rapid.SampledFrom(keys).Draw(t, "key")
					w.request(key, fingerprints[key])
				}
			},
			"answer": func(*rapid.T) {
				if f := w.drawAttempt(); f != nil {
					w.answer(f, f.send.Version, shardCounts[f.send.Version])
				}
			},
			"answers": func(*rapid.T) {
				for range 3 {
					if f := w.drawAttempt(); f != nil {
						w.answer(f, f.send.Version, shardCounts[f.send.Version])
					}
				}
			},
			"understated": func(*rapid.T) {
				if f := w.drawAttempt(); f != nil {
					w.answer(f, f.send.Version, f.send.Shard+1)
				}
			},
			"other version": func(*rapid.T) {
				if f := w.drawAttempt(); f != nil {
					w.answer(f, 15-f.send.Version, 3)
				}
			},
			"fail": func(*rapid.T) {
				if f := w.drawAttempt(); f != nil {
					w.failAny(f)
				}
			},
			"repeated answer": func(t *rapid.T) {
				if len(w.answers) > 0 {
					w.reduce(rapid.SampledFrom(w.answers).Draw(t, "answer"))
				}
			},
			"time": func(t *rapid.T) {
				w.advance(time.Duration(rapid.IntRange(0, 30).Draw(t, "ms")) * time.Millisecond)
			},
			"stray timer": func(t *rapid.T) {
				w.reduce(event.Timer{ID: event.TimerID{Kind: event.TimerQuery, N: uint64(rapid.IntRange(1, int(w.nextID)+1).Draw(t, "request"))}})
			},
			"roll": func(t *rapid.T) {
				id := rapid.SampledFrom(w.upstreamIDs()).Draw(t, "upstream")
				u := w.upstreams[id]
				if _, ok := u.versions[7]; ok && rapid.Bool().Draw(t, "drop") {
					delete(u.versions, 7)
				} else {
					u.versions[7] = []int{rapid.IntRange(0, 1).Draw(t, "shard")}
				}
				w.reportUpstream(id)
			},
			"probe": func(t *rapid.T) {
				if len(w.probes) == 0 {
					return
				}
				id := w.probes[0]
				w.probes = w.probes[1:]
				if rapid.IntRange(0, 4).Draw(t, "lost") == 0 {
					w.reduce(event.ProbeResult{Upstream: id})
					return
				}
				w.reportUpstream(id)
			},
			"leave": func(t *rapid.T) {
				id := rapid.SampledFrom(w.upstreamIDs()).Draw(t, "upstream")
				u := w.upstreams[id]
				u.draining = !u.draining
				w.reportUpstream(id)
			},
			"view": func(t *rapid.T) {
				id := rapid.SampledFrom(w.upstreamIDs()).Draw(t, "upstream")
				if _, ok := w.topology.Upstreams[id]; ok && rapid.IntRange(0, 3).Draw(t, "remove") == 0 {
					delete(w.topology.Upstreams, id)
					w.publishView()
					return
				}
				u := w.configured[id]
				u.State = model.AdminState(rapid.IntRange(0, 1).Draw(t, "state"))
				w.topology.Upstreams[id] = u
				w.quota.Conns[id] = rapid.IntRange(0, 3).Draw(t, "conns")
				w.quota.Concurrency["acme"] = rapid.IntRange(1, 4).Draw(t, "concurrency")
				w.publishView()
			},
			"gone": func(t *rapid.T) {
				if w.nextID == 0 {
					return
				}
				id := model.RequestID(rapid.IntRange(1, int(w.nextID)).Draw(t, "request"))
				if c := w.callers[id]; c.answers+c.refusals == 0 && !c.disconnected {
					c.disconnected = true
					w.reduce(event.CallerDisconnected{Request: id})
				}
			},
			"commit":      func(*rapid.T) { w.decideProposal(entry.StatusOK, true) },
			"no majority": func(*rapid.T) { w.decideProposal(entry.StatusNoMajority, false) },
			"unknown":     func(t *rapid.T) { w.decideProposal(entry.StatusUnknown, rapid.Bool().Draw(t, "applied")) },
			"strike": func(t *rapid.T) {
				w.reduce(event.CrashReport{
					Fingerprint: model.Fingerprint(rapid.IntRange(1, 4).Draw(t, "fp")), Crashes: []model.Crash{{Upstream: "u0a", Number: rapid.IntRange(1, 3).Draw(t, "number")}},
					Quarantine: time.Duration(rapid.IntRange(0, 1).Draw(t, "quarantine")) * 100 * time.Millisecond,
				})
			},
			"drain": func(t *rapid.T) {
				if !w.draining && rapid.IntRange(0, 9).Draw(t, "now") == 0 {
					w.draining = true
					w.reduce(event.Drain{})
				}
			},
		})
		w.finish()
	})
}
