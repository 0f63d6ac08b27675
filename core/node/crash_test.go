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

// fleet is several VMs in front of the same upstreams, each with a control and
// a traffic state. A message between VMs takes at most hopTime and may come
// twice.
type fleet struct {
	random   *rand.Rand
	now      time.Time
	vms      []*fixture
	controls []node.State
	timers   []map[event.TimerID]time.Time
	due      []delivery
	crashed  map[model.UpstreamID]time.Time
	crashes  int
	messages int // between VMs
	refused  []model.Rejection
	crashIn  time.Duration // from the start of an attempt
}

// delivery is an event on its way to a VM.
type delivery struct {
	at   time.Time
	vm   int
	body event.Body
	send *effect.Send // ends in a crash when set
}

const (
	hopTime  = 40 * time.Millisecond
	downTime = 2 * time.Second
)

func newFleet(seed uint64, vms, zones int, crashIn time.Duration) *fleet {
	w := &fleet{
		random: rand.New(rand.NewPCG(seed, 0)), now: began, crashIn: crashIn,
		crashed: make(map[model.UpstreamID]time.Time), controls: make([]node.State, vms),
	}
	topology := &model.Topology{VMs: make(map[model.VMID]model.VM)}
	for n := range vms {
		vm := model.VM{ID: vmID(n), Zone: model.Zone(rune('a' + n%zones))}
		topology.VMs[vm.ID] = vm
	}
	for n := range vms {
		w.vms = append(w.vms, newFixture())
		w.timers = append(w.timers, make(map[event.TimerID]time.Time))
		w.control(n, event.Start{Role: event.RoleControl, VM: topology.VMs[vmID(n)], Loops: 1, InitialConfig: topology})
	}
	return w
}

func vmID(n int) model.VMID { return model.VMID(fmt.Sprintf("vm%02d", n)) }

// control feeds the control state of a VM and carries its messages.
func (w *fleet) control(vm int, body event.Body) {
	for _, e := range w.controls[vm].Reduce(event.Event{At: w.now, Body: body}, nil) {
		switch e := e.(type) {
		case effect.SendMessage:
			w.messages++
			var to int
			if _, err := fmt.Sscanf(string(e.To), "vm%d", &to); err != nil {
				panic(err)
			}
			for range 1 + w.random.IntN(2) {
				w.due = append(w.due, delivery{
					at: w.now.Add(time.Duration(w.random.Int64N(int64(hopTime)))), vm: to,
					body: event.PeerMessage{From: vmID(vm), Message: e.Message},
				})
			}
		case effect.ToTraffic:
			if s, ok := e.Body.(event.CrashReport); ok {
				w.reduce(vm, s)
			}
		}
	}
}

func (w *fleet) reduce(vm int, body event.Body) {
	f := w.vms[vm]
	f.now = w.now
	for _, e := range f.reduce(body) {
		switch e := e.(type) {
		case effect.SetTimer:
			w.timers[vm][e.ID] = e.At
		case effect.StopTimer:
			delete(w.timers[vm], e.ID)
		case effect.Send:
			w.due = append(w.due, delivery{at: w.now.Add(w.crashIn), vm: vm, send: &e})
		case effect.Probe:
			down := w.now.Sub(w.crashed[e.Upstream]) < downTime
			r := event.ProbeResult{Upstream: e.Upstream, Reachable: !down, Snapshots: []model.HeldSnapshot{{
				Index: "pairing", Version: 7, ShardCount: 2, HeldShards: []int{int(e.Upstream[1] - '0')},
			}}}
			w.due = append(w.due, delivery{at: w.now.Add(time.Millisecond), vm: vm, body: r})
		case effect.ToControl:
			w.control(vm, e.Body)
		case effect.Refuse:
			w.refused = append(w.refused, e.Rejection)
		}
	}
}

// step delivers the next event, at the latest after a millisecond.
func (w *fleet) step() {
	w.now = w.now.Add(time.Millisecond)
	for {
		i := slices.IndexFunc(w.due, func(d delivery) bool { return !d.at.After(w.now) })
		if i < 0 {
			break
		}
		d := w.due[i]
		w.due = slices.Delete(w.due, i, i+1)
		if _, ok := d.body.(event.PeerMessage); ok {
			w.control(d.vm, d.body)
			continue
		}
		if d.send == nil {
			w.reduce(d.vm, d.body)
			continue
		}
		end := event.AttemptFailed{Attempt: d.send.Attempt, Reason: model.FailedRefused, Ran: model.RanNo}
		if w.now.Sub(w.crashed[d.send.Upstream]) >= downTime {
			w.crashed[d.send.Upstream] = w.now
			w.crashes++
			end.Reason, end.Ran = model.FailedReset, model.RanUnknown
		}
		w.reduce(d.vm, end)
	}
	for vm, timers := range w.timers {
		for _, kind := range []event.TimerKind{event.TimerQuery, event.TimerProbe, event.TimerSweep} {
			due := slices.DeleteFunc(slices.Collect(maps.Keys(timers)), func(id event.TimerID) bool {
				return id.Kind != kind || timers[id].After(w.now)
			})
			slices.SortFunc(due, func(a, b event.TimerID) int { return cmp.Compare(a.N, b.N) })
			for _, id := range due {
				delete(timers, id)
				w.reduce(vm, event.Timer{ID: id})
			}
		}
	}
}

// Guards against a request that crashes one upstream after another, or one
// upstream after each of its restarts: it is sent again through the next VM
// each time it is refused. Also guards against strikes that reach only the VM
// that found them, and against messages that grow with the resends.
func TestCrashingRequestCrashesTwoUpstreamsAtMost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		vms := rapid.IntRange(1, 9).Draw(t, "vms")
		zones := rapid.IntRange(1, 4).Draw(t, "zones")
		crashIn := time.Duration(rapid.IntRange(1, 99).Draw(t, "crash in ms")) * time.Millisecond
		w := newFleet(rapid.Uint64().Draw(t, "seed"), vms, zones, crashIn)
		gap := rapid.IntRange(1, 100).Draw(t, "gap ms")
		for n := range 20 {
			w.reduce(n%vms, w.vms[0].newRequest(model.RequestID(n+1)))
			for range 300 {
				if len(w.refused) > n {
					break
				}
				w.step()
			}
			if len(w.refused) != n+1 {
				t.Fatalf("got %d refusals of %d requests", len(w.refused), n+1)
			}
			for range gap {
				w.step()
			}
		}
		if w.crashes > 2 {
			t.Errorf("got %d crashes, want at most 2", w.crashes)
		}
		if last := w.refused[19]; w.crashes == 2 && (last.Reason != model.RefusedQuarantine || last.Ran != model.RanNo) {
			t.Errorf("got last refusal %+v, want a quarantine, ran: no", last)
		}
		// Each of two strikes is told once to every other VM.
		if most := 2 * (vms - 1); w.messages > most {
			t.Errorf("got %d messages, want at most %d", w.messages, most)
		}
	})
}

// Guards against the quarantine of innocent requests when a zone is cut off:
// attempts of known and of new requests are reset at once.
func TestZoneCutQuarantinesNobody(t *testing.T) {
	f := newFixture()
	f.warm()
	sends := all[effect.Send](f.request(1))
	sends = append(sends, all[effect.Send](f.request(2))...)
	cut := []model.UpstreamID{"u0a", "u1a"}
	for range 3 {
		var again []effect.Send
		for _, s := range sends {
			if slices.Contains(cut, s.Upstream) {
				out := f.reduce(event.AttemptFailed{Attempt: s.Attempt, Reason: model.FailedReset, Ran: model.RanUnknown})
				again = append(again, all[effect.Send](out)...)
				for _, p := range all[effect.Probe](out) {
					f.reduce(event.ProbeResult{Upstream: p.Upstream})
				}
				continue
			}
			again = append(again, all[effect.Send](f.answer(s, 7))...)
		}
		f.now = f.now.Add(5 * time.Millisecond)
		for id := range uint64(2) {
			again = append(again, all[effect.Send](f.reduce(event.Timer{ID: event.TimerID{Kind: event.TimerQuery, N: id + 1}}))...)
		}
		sends = again
	}
	for id := range model.RequestID(3) {
		for _, r := range all[effect.Refuse](f.request(id + 10)) {
			t.Errorf("request %d was refused as %s after a zone cut", r.Rejection.Request, r.Rejection.Reason)
		}
	}
}
