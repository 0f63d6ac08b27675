package node_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"comfreypulley/core/entry"
	"comfreypulley/core/event"
	"comfreypulley/core/model"
)

// Guards against every break of a promise of section 1.1 that the traffic state
// can cause, under any order of answers, failures, timers, views, departures
// and drains. The world checks each effect.
func TestPromisesHoldUnderAnyInterleaving(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		keys := 0
		prints := make(map[model.Key]model.Fingerprint)
		var known []model.Key
		t.Repeat(map[string]func(*rapid.T){
			"query": func(t *rapid.T) {
				w.request(model.Key{}, model.Fingerprint(rapid.IntRange(1, 4).Draw(t, "fp")))
			},
			"run": func(t *rapid.T) {
				keys++
				key := model.NewKey(w.now, [10]byte{byte(keys), byte(keys >> 8)})
				prints[key] = model.Fingerprint(rapid.IntRange(1, 4).Draw(t, "fp"))
				known = append(known, key)
				w.request(key, prints[key])
			},
			"resend": func(t *rapid.T) {
				if len(known) > 0 {
					key := rapid.SampledFrom(known).Draw(t, "key")
					w.request(key, prints[key])
				}
			},
			"answer": func(*rapid.T) {
				if f := w.pick(); f != nil {
					w.answer(f, f.send.Version, trueShards[f.send.Version])
				}
			},
			"answers": func(*rapid.T) {
				for range 3 {
					if f := w.pick(); f != nil {
						w.answer(f, f.send.Version, trueShards[f.send.Version])
					}
				}
			},
			"understated": func(*rapid.T) {
				if f := w.pick(); f != nil {
					w.answer(f, f.send.Version, f.send.Shard+1)
				}
			},
			"other version": func(*rapid.T) {
				if f := w.pick(); f != nil {
					w.answer(f, 15-f.send.Version, 3)
				}
			},
			"fail": func(*rapid.T) {
				if f := w.pick(); f != nil {
					w.failAny(f)
				}
			},
			"repeated answer": func(t *rapid.T) {
				if len(w.answers) > 0 {
					w.reduce(rapid.SampledFrom(w.answers).Draw(t, "answer"))
				}
			},
			"time": func(t *rapid.T) {
				w.pass(time.Duration(rapid.IntRange(0, 30).Draw(t, "ms")) * time.Millisecond)
			},
			"stray timer": func(t *rapid.T) {
				w.reduce(event.Timer{ID: event.TimerID{Kind: event.TimerQuery, N: uint64(rapid.IntRange(1, int(w.nextID)+1).Draw(t, "request"))}})
			},
			"roll": func(t *rapid.T) {
				id := rapid.SampledFrom(w.ids()).Draw(t, "upstream")
				u := w.upstreams[id]
				if _, ok := u.versions[7]; ok && rapid.Bool().Draw(t, "drop") {
					delete(u.versions, 7)
				} else {
					u.versions[7] = []int{rapid.IntRange(0, 1).Draw(t, "shard")}
				}
				w.report(id)
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
				w.report(id)
			},
			"leave": func(t *rapid.T) {
				id := rapid.SampledFrom(w.ids()).Draw(t, "upstream")
				u := w.upstreams[id]
				u.leaving = !u.leaving
				w.report(id)
			},
			"view": func(t *rapid.T) {
				id := rapid.SampledFrom(w.ids()).Draw(t, "upstream")
				if _, ok := w.topology.Upstreams[id]; ok && rapid.IntRange(0, 3).Draw(t, "remove") == 0 {
					delete(w.topology.Upstreams, id)
					w.view()
					return
				}
				u := w.configured[id]
				u.State = model.AdminState(rapid.IntRange(0, 1).Draw(t, "state"))
				w.topology.Upstreams[id] = u
				w.share.Conns[id] = rapid.IntRange(0, 3).Draw(t, "conns")
				w.share.Concurrency["acme"] = rapid.IntRange(1, 4).Draw(t, "concurrency")
				w.view()
			},
			"gone": func(t *rapid.T) {
				if w.nextID == 0 {
					return
				}
				id := model.RequestID(rapid.IntRange(1, int(w.nextID)).Draw(t, "request"))
				if c := w.callers[id]; c.replies+c.refusals == 0 && !c.gone {
					c.gone = true
					w.reduce(event.CallerDisconnected{Request: id})
				}
			},
			"commit":      func(*rapid.T) { w.propose(entry.StatusOK, true) },
			"no majority": func(*rapid.T) { w.propose(entry.StatusNoMajority, false) },
			"unknown":     func(t *rapid.T) { w.propose(entry.StatusUnknown, rapid.Bool().Draw(t, "applied")) },
			"strike": func(t *rapid.T) {
				w.reduce(event.CrashReport{
					Fingerprint: model.Fingerprint(rapid.IntRange(1, 4).Draw(t, "fp")), Upstreams: []model.UpstreamID{"u0a"},
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
		w.settle()
	})
}
