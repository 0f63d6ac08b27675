package node_test

import (
	"cmp"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"comfreypulley/core/effect"
	"comfreypulley/core/event"
	"comfreypulley/core/model"
	"comfreypulley/core/node"
)

// crashFleet simulates several VMs, each with a control and a query state, whose
// upstreams crash on every attempt. A message between VMs takes at most
// maxMessageDelay and may be delivered twice.
type crashFleet struct {
	random     *rand.Rand
	now        time.Time
	vms        []*fixture
	controls   []node.State
	timers     []map[event.TimerID]time.Time
	queue      []delivery
	crashedAt  map[model.UpstreamID]time.Time
	crashes    int
	messages   int // between VMs
	refusals   []model.Refusal
	crashDelay time.Duration // from the start of an attempt
}

// delivery is an event that a VM receives at a later time.
type delivery struct {
	at       time.Time
	vm       int
	body     event.Body
	crashing *effect.Send // instead of body: an attempt that ends with a crash of its upstream
}

const (
	maxMessageDelay = 40 * time.Millisecond
	restartTime     = 2 * time.Second // during which a crashed upstream refuses connections
)

func newCrashFleet(seed uint64, vms, zones int, crashDelay time.Duration) *crashFleet {
	w := &crashFleet{
		random: rand.New(rand.NewPCG(seed, 0)), now: startTime, crashDelay: crashDelay,
		crashedAt: make(map[model.UpstreamID]time.Time), controls: make([]node.State, vms),
	}
	topology := &model.Topology{VMs: make(map[model.VMID]model.VM)}
	for n := range vms {
		vm := model.VM{ID: vmID(n), Zone: model.Zone(rune('a' + n%zones))}
		topology.VMs[vm.ID] = vm
	}
	for n := range vms {
		w.vms = append(w.vms, newFixture())
		w.timers = append(w.timers, make(map[event.TimerID]time.Time))
		w.reduceControl(n, event.Start{Role: event.RoleControl, VM: topology.VMs[vmID(n)], Loops: 1, InitialConfig: topology})
	}
	return w
}

func vmID(n int) model.VMID { return model.VMID(fmt.Sprintf("vm%02d", n)) }

// reduceControl passes an event to the control state of a VM and delivers its
// messages.
func (w *crashFleet) reduceControl(vm int, body event.Body) {
	for _, e := range w.controls[vm].Reduce(event.Event{At: w.now, Body: body}, nil) {
		switch e := e.(type) {
		case effect.SendMessage:
			w.messages++
			var to int
			if _, err := fmt.Sscanf(string(e.To), "vm%d", &to); err != nil {
				panic(err)
			}
			for range 1 + w.random.IntN(2) {
				w.queue = append(w.queue, delivery{
					at: w.now.Add(time.Duration(w.random.Int64N(int64(maxMessageDelay)))), vm: to,
					body: event.PeerMessage{From: vmID(vm), Message: e.Message},
				})
			}
		case effect.ToTraffic:
			if s, ok := e.Body.(event.CrashReport); ok {
				w.reduceQuery(vm, s)
			}
		}
	}
}

// learnLatencies has every VM answer queries that crash nothing, so that it knows
// how long an upstream usually takes, which is less than a crash takes.
func (w *crashFleet) learnLatencies() {
	const (
		queries = 20
		latency = time.Millisecond
	)
	for _, f := range w.vms {
		for n := range queries {
			harmless := f.newRequest(model.RequestID(1000 + n))
			harmless.Fingerprint = 10
			f.now = w.now
			for sends := effectsOf[effect.Send](f.reduce(harmless)); len(sends) > 0; sends = sends[1:] {
				f.now = f.now.Add(latency)
				sends = append(sends, effectsOf[effect.Send](f.answer(sends[0], 7))...)
			}
		}
		w.now = f.now
	}
}

func (w *crashFleet) reduceQuery(vm int, body event.Body) {
	f := w.vms[vm]
	f.now = w.now
	for _, e := range f.reduce(body) {
		switch e := e.(type) {
		case effect.SetTimer:
			w.timers[vm][e.ID] = e.At
		case effect.StopTimer:
			delete(w.timers[vm], e.ID)
		case effect.Send:
			w.queue = append(w.queue, delivery{at: w.now.Add(w.crashDelay), vm: vm, crashing: &e})
		case effect.Probe:
			down := w.now.Sub(w.crashedAt[e.Upstream]) < restartTime
			r := event.ProbeResult{Upstream: e.Upstream, Reachable: !down, Snapshots: []model.HeldSnapshot{{
				Index: "pairing", Version: 7, ShardCount: 2, HeldShards: []int{int(e.Upstream[1] - '0')},
			}}}
			w.queue = append(w.queue, delivery{at: w.now.Add(time.Millisecond), vm: vm, body: r})
		case effect.ToControl:
			w.reduceControl(vm, e.Body)
		case effect.Refuse:
			w.refusals = append(w.refusals, e.Refusal)
		}
	}
}

// step advances the time by a millisecond and delivers everything that is due.
func (w *crashFleet) step() {
	w.now = w.now.Add(time.Millisecond)
	for {
		i := slices.IndexFunc(w.queue, func(d delivery) bool { return !d.at.After(w.now) })
		if i < 0 {
			break
		}
		d := w.queue[i]
		w.queue = slices.Delete(w.queue, i, i+1)
		if _, ok := d.body.(event.PeerMessage); ok {
			w.reduceControl(d.vm, d.body)
			continue
		}
		if d.crashing == nil {
			w.reduceQuery(d.vm, d.body)
			continue
		}
		end := event.AttemptFailed{Attempt: d.crashing.Attempt, Reason: model.FailedRefused, Ran: model.RanNo}
		if w.now.Sub(w.crashedAt[d.crashing.Upstream]) >= restartTime {
			w.crashedAt[d.crashing.Upstream] = w.now
			w.crashes++
			end.Reason, end.Ran = model.FailedReset, model.RanUnknown
		}
		w.reduceQuery(d.vm, end)
	}
	for vm, timers := range w.timers {
		for _, kind := range []event.TimerKind{event.TimerQuery, event.TimerProbe, event.TimerSweep} {
			due := slices.DeleteFunc(slices.Collect(maps.Keys(timers)), func(id event.TimerID) bool {
				return id.Kind != kind || timers[id].After(w.now)
			})
			slices.SortFunc(due, func(a, b event.TimerID) int { return cmp.Compare(a.N, b.N) })
			for _, id := range due {
				delete(timers, id)
				w.reduceQuery(vm, event.Timer{ID: id})
			}
		}
	}
}

// Guards against a request that crashes one upstream after another, or one
// upstream after each of its restarts, when the caller resends it through the next
// VM after each refusal, also when a crash takes longer than an answer usually does.
// Also guards against crash reports that do not reach the
// other VMs, and against a number of messages that grows with the resends.
func TestCrashingRequestCrashesTwoUpstreamsAtMost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		vms := rapid.IntRange(1, 9).Draw(t, "vms")
		zones := rapid.IntRange(1, 4).Draw(t, "zones")
		crashDelay := time.Duration(rapid.IntRange(1, 99).Draw(t, "crash in ms")) * time.Millisecond
		w := newCrashFleet(rapid.Uint64().Draw(t, "seed"), vms, zones, crashDelay)
		if rapid.Bool().Draw(t, "latencies known") {
			w.learnLatencies()
		}
		gap := rapid.IntRange(1, 100).Draw(t, "gap ms")
		for n := range 20 {
			w.reduceQuery(n%vms, w.vms[0].newRequest(model.RequestID(n+1)))
			for range 300 {
				if len(w.refusals) > n {
					break
				}
				w.step()
			}
			if len(w.refusals) != n+1 {
				t.Fatalf("got %d refusals of %d requests", len(w.refusals), n+1)
			}
			for range gap {
				w.step()
			}
		}
		if w.crashes > 2 {
			t.Errorf("got %d crashes, want at most 2", w.crashes)
		}
		if last := w.refusals[19]; w.crashes == 2 && (last.Reason != model.RefusedQuarantine || last.Ran != model.RanNo) {
			t.Errorf("got last refusal %+v, want a quarantine, ran: no", last)
		}
		// Each of the two crashes is reported once to every other VM.
		if most := 2 * (vms - 1); w.messages > most {
			t.Errorf("got %d messages, want at most %d", w.messages, most)
		}
	})
}

// Guards against the quarantine of requests that crashed nothing: when a zone is
// cut off, several attempts are reset at once.
func TestZoneCutQuarantinesNobody(t *testing.T) {
	f := newFixture()
	f.confirmFingerprint()
	sends := effectsOf[effect.Send](f.request(1))
	sends = append(sends, effectsOf[effect.Send](f.request(2))...)
	cut := []model.UpstreamID{"u0a", "u1a"}
	for range 3 {
		var again []effect.Send
		for _, s := range sends {
			if slices.Contains(cut, s.Upstream) {
				out := f.reduce(event.AttemptFailed{Attempt: s.Attempt, Reason: model.FailedReset, Ran: model.RanUnknown})
				again = append(again, effectsOf[effect.Send](out)...)
				for _, p := range effectsOf[effect.Probe](out) {
					f.reduce(event.ProbeResult{Upstream: p.Upstream})
				}
				continue
			}
			again = append(again, effectsOf[effect.Send](f.answer(s, 7))...)
		}
		f.now = f.now.Add(5 * time.Millisecond)
		for id := range uint64(2) {
			again = append(again, effectsOf[effect.Send](f.reduce(event.Timer{ID: event.TimerID{Kind: event.TimerQuery, N: id + 1}}))...)
		}
		sends = again
	}
	for id := range model.RequestID(3) {
		for _, r := range effectsOf[effect.Refuse](f.request(id + 10)) {
			t.Errorf("request %d was refused as %s after a zone cut", r.Refusal.Request, r.Refusal.Reason)
		}
	}
}
