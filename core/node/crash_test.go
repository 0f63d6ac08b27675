package node_test

import (
	"cmp"
	"maps"
	"slices"
	"testing"
	"time"

	"comfreypulley/core/effect"
	"comfreypulley/core/event"
	"comfreypulley/core/model"
)

// fleet is several VMs in front of the same upstreams. A strike reaches the
// other VMs after shareTime.
type fleet struct {
	now     time.Time
	vms     []*fixture
	timers  []map[event.TimerID]time.Time
	due     []delivery
	crashed map[model.UpstreamID]time.Time
	refused []model.Rejection
	replies int
	crashIn time.Duration // from the start of an attempt
}

// delivery is an event on its way to a VM.
type delivery struct {
	at   time.Time
	vm   int
	body event.Body
	send *effect.Send // ends in a crash when set
}

const (
	shareTime = 40 * time.Millisecond
	downTime  = 2 * time.Second
)

func newFleet(vms int, crashIn time.Duration) *fleet {
	w := &fleet{now: began, crashed: make(map[model.UpstreamID]time.Time), crashIn: crashIn}
	for range vms {
		w.vms = append(w.vms, newFixture())
		w.timers = append(w.timers, make(map[event.TimerID]time.Time))
	}
	return w
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
			r := event.Reported{Upstream: e.Upstream, Reachable: !down, Holdings: []model.Holding{{
				Index: "pairing", Version: 7, Shards: 2, Holds: []int{int(e.Upstream[1] - '0')},
			}}}
			w.due = append(w.due, delivery{at: w.now.Add(time.Millisecond), vm: vm, body: r})
		case effect.ToControl:
			if s, ok := e.Body.(event.Struck); ok {
				for other := range w.vms {
					w.due = append(w.due, delivery{at: w.now.Add(shareTime), vm: other, body: s})
				}
			}
		case effect.Refuse:
			w.refused = append(w.refused, e.Rejection)
		case effect.Reply:
			w.replies++
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
		if d.send == nil {
			w.reduce(d.vm, d.body)
			continue
		}
		end := event.Failed{Attempt: d.send.Attempt, Reason: model.FailedRefused, Ran: model.RanNo}
		if w.now.Sub(w.crashed[d.send.Upstream]) >= downTime {
			w.crashed[d.send.Upstream] = w.now
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

// Guards against a request that crashes one upstream after another: it is sent
// again through the next VM each time it is refused.
func TestCrashingRequestCrashesTwoUpstreamsAtMost(t *testing.T) {
	for _, crashIn := range []time.Duration{time.Millisecond, 4 * time.Millisecond, 60 * time.Millisecond} {
		w := newFleet(4, crashIn)
		for n := range 20 {
			w.reduce(n%4, w.vms[0].newRequest(model.RequestID(n+1)))
			for range 300 {
				if len(w.refused) > n {
					break
				}
				w.step()
			}
			if len(w.refused) != n+1 {
				t.Fatalf("crash after %v: got %d refusals of %d requests", crashIn, len(w.refused), n+1)
			}
		}
		if got := len(w.crashed); got > 2 {
			t.Errorf("crash after %v: got %d upstreams crashed, want at most 2", crashIn, got)
		}
		if last := w.refused[19]; last.Reason != model.RefusedQuarantine || last.Ran != model.RanNo {
			t.Errorf("crash after %v: got last refusal %+v, want a quarantine, ran: no", crashIn, last)
		}
	}
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
				out := f.reduce(event.Failed{Attempt: s.Attempt, Reason: model.FailedReset, Ran: model.RanUnknown})
				again = append(again, all[effect.Send](out)...)
				for _, p := range all[effect.Probe](out) {
					f.reduce(event.Reported{Upstream: p.Upstream})
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
