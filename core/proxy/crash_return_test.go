package proxy_test

import (
	"cmp"
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"testing"
	"time"

	"comfreypulley/core/effect"
	"comfreypulley/core/event"
	"comfreypulley/core/model"
)

// crashWorld plays a request that crashes each upstream which runs it, at a router whose
// upstreams come back under their ids.
type crashWorld struct {
	*testRouter
	downUntil map[model.UpstreamID]time.Time
	timers    map[event.TimerID]time.Time
	due       []crashEvent                         // in the order of their times
	running   map[model.AttemptID]model.UpstreamID // other requests
	crashes   []time.Time
	reports   int // of crashes, to all VMs
}

type crashEvent struct {
	at   time.Time
	body event.Body
}

const (
	crashDowntime   = 2 * time.Second
	crashWork       = 5 * time.Millisecond // from the arrival of the request to the crash
	deadly          = model.Fingerprint(7)
	deadlyRequests  = model.RequestID(1 << 32) // ids of the requests that crash upstreams begin above
	otherWork       = 90 * time.Millisecond
	crashStep       = 5 * time.Millisecond
	otherInterval   = 40 * time.Millisecond
	crashPlay       = 92 * time.Second
	afterThirdCrash = 4 * time.Second
)

// newCrashWorld returns a world with a number of upstreams of the service that the request
// goes to, and some of another service if the path of the other requests goes there.
func newCrashWorld(upstreams, attempts int, others string) *crashWorld {
	route := unshardedRoute(false)
	route.MaxAttempts = attempts
	w := &crashWorld{testRouter: newTestRouter(route, "s"), downUntil: make(map[model.UpstreamID]time.Time), timers: make(map[event.TimerID]time.Time)}
	w.running = make(map[model.AttemptID]model.UpstreamID)
	other := unshardedRoute(false)
	other.PathPrefix, other.Targets = "/other/", []model.Target{{Service: "t", Weight: 1}}
	w.setRoutes(route, other)
	var list []model.Upstream
	add := func(service string, n int) {
		list = append(list, model.Upstream{
			ID: model.UpstreamID(fmt.Sprintf("%s/%d", service, n)), Index: service, Slots: 6, Zone: model.Zone(rune('a' + n%3)),
			Addr: netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), uint16(1+len(list))),
		})
	}
	for n := range upstreams {
		add("s", n)
	}
	for n := range 3 {
		if others == "/other/x" {
			add("t", n)
		}
	}
	w.router.HandleUpstreamList(w.now, event.UpstreamList{Upstreams: list, Checksum: 2, ReadAt: w.now, EntryVMCount: 1}, nil)
	w.timers[event.TimerID{Kind: event.TimerSweep}] = w.now
	return w
}

func (w *crashWorld) schedule(d time.Duration, body event.Body) {
	w.due = append(w.due, crashEvent{at: w.now.Add(d), body: body})
}

// execute lets the upstreams respond to effects.
func (w *crashWorld) execute(out []effect.Effect) {
	for _, e := range out {
		switch e := e.(type) {
		case effect.SetTimer:
			w.timers[e.ID] = e.At
		case effect.StopTimer:
			delete(w.timers, e.ID)
		case effect.ToControl:
			if report, ok := e.Body.(event.CrashReport); ok && len(report.Crashes) > 0 {
				w.reports++
			}
		case effect.OpenConn:
			w.schedule(time.Millisecond, event.ConnChecked{Upstream: e.Upstream, Opened: !w.now.Before(w.downUntil[e.Upstream])})
		case effect.Forward:
			switch {
			case w.now.Before(w.downUntil[e.Upstream]):
				w.schedule(time.Millisecond, event.AttemptFailed{Attempt: e.Attempt, Reason: model.FailedRefused, Ran: model.RanNo})
			case e.Request >= deadlyRequests:
				w.crash(e)
			default:
				w.running[e.Attempt] = e.Upstream
				w.schedule(otherWork, event.ResponseReceived{Attempt: e.Attempt, Receipt: "r", Response: model.Response{Status: 200}})
			}
		}
	}
}

// crash lets an upstream crash, which resets what else it runs.
func (w *crashWorld) crash(e effect.Forward) {
	w.downUntil[e.Upstream] = w.now.Add(crashWork + crashDowntime)
	w.crashes = append(w.crashes, w.now)
	w.running[e.Attempt] = e.Upstream
	for _, id := range slices.Sorted(maps.Keys(w.running)) {
		if w.running[id] == e.Upstream {
			w.reset(id, crashWork)
		}
	}
}

// reset resets the connection of an attempt that runs.
func (w *crashWorld) reset(id model.AttemptID, d time.Duration) {
	delete(w.running, id)
	w.due = slices.DeleteFunc(w.due, func(d crashEvent) bool {
		r, ok := d.body.(event.ResponseReceived)
		return ok && r.Attempt == id
	})
	w.schedule(d, event.AttemptFailed{Attempt: id, Reason: model.FailedReset, Ran: model.RanUnknown})
}

// step advances the time and delivers what is due.
func (w *crashWorld) step() {
	w.now = w.now.Add(crashStep)
	ids := slices.SortedFunc(maps.Keys(w.timers), func(a, b event.TimerID) int { return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.N, b.N)) })
	for _, id := range ids {
		if at, ok := w.timers[id]; ok && !at.After(w.now) {
			delete(w.timers, id)
			w.execute(w.router.HandleTimer(w.now, id, nil))
		}
	}
	due := w.due
	w.due = nil
	for _, e := range due {
		if e.at.After(w.now) {
			w.due = append(w.due, e)
			continue
		}
		switch body := e.body.(type) {
		case event.ConnChecked:
			w.execute(w.router.HandleConnChecked(w.now, body, nil))
		case event.AttemptFailed:
			w.execute(w.router.HandleAttemptFailed(w.now, body, nil))
		case event.ResponseReceived:
			delete(w.running, body.Attempt)
			w.execute(w.router.HandleResponseReceived(w.now, body, nil))
		}
	}
}

func (w *crashWorld) send(id model.RequestID, path string, fp model.Fingerprint) {
	w.execute(w.router.HandleProxyRequest(w.now, event.ProxyRequest{ID: id, Host: "h", Path: path, Wait: 2 * time.Second, Fingerprint: fp}, nil))
}

// play sends the deadly request at an interval, and others all the time if there is a path for
// them. It returns the times of the crashes.
func (w *crashWorld) play(interval time.Duration, others string) []time.Time {
	start := w.now
	nextDeadly, nextOther := start, start
	for id := model.RequestID(1); w.now.Sub(start) < crashPlay; id++ {
		if others != "" && !w.now.Before(nextOther) {
			nextOther = nextOther.Add(otherInterval)
			w.send(id, others, 8)
		}
		if !w.now.Before(nextDeadly) {
			nextDeadly = nextDeadly.Add(interval)
			w.send(deadlyRequests+id, "/x", deadly)
		}
		w.step()
	}
	return w.crashes
}

// Guards against upstreams that a request crashes without end, because they come back under
// the ids that they had and their crashes were not counted again.
func TestUpstreamsThatComeBackAreNotCrashedWithoutEnd(t *testing.T) {
	const maxLater = 3
	for _, upstreams := range []int{1, 2, 3, 4} {
		for _, attempts := range []int{1, 2, 3} {
			for _, interval := range []time.Duration{time.Second, 4 * time.Second} {
				for _, others := range []string{"", "/x", "/other/x"} {
					crashes := newCrashWorld(upstreams, attempts, others).play(interval, others)
					if len(crashes) < 3 {
						t.Errorf("%d upstreams, %d attempts, each %v, others %q: got %d crashes, want the request to cause some", upstreams, attempts, interval, others, len(crashes))
						continue
					}
					later := 0
					for _, at := range crashes {
						if at.After(crashes[2].Add(afterThirdCrash)) {
							later++
						}
					}
					if later > maxLater {
						t.Errorf("%d upstreams, %d attempts, each %v, others %q: got %d crashes %v after the third, want at most %d",
							upstreams, attempts, interval, others, later, afterThirdCrash, maxLater)
					}
				}
			}
		}
	}
}

// Guards against harmless requests that are quarantined, or reported to all VMs, since the
// links of a VM fail while they are in flight: several times with answers between, or twice.
func TestFailuresOfLinksAreNotTakenForCrashes(t *testing.T) {
	for failures, answered := range map[int]bool{6: true, 2: false} {
		w := newCrashWorld(3, 2, "")
		for round := range failures {
			w.failLinks(model.RequestID(1000 * (round + 1)))
			if answered {
				w.sendAll(model.RequestID(1000*(round+1)+500), 1)
				w.run(time.Second)
			}
		}
		for fp := range model.Fingerprint(1000 * (failures + 1)) {
			out := w.router.HandleProxyRequest(w.now, event.ProxyRequest{ID: model.RequestID(100000 + fp), Host: "h", Path: "/x", Wait: 2 * time.Second, Fingerprint: fp}, nil)
			for _, refusal := range refusals(out) {
				if refusal.Reason == model.RefusedQuarantine {
					t.Errorf("request %d is in quarantine after %d failures of links", fp, failures)
				}
			}
		}
		if answered && w.reports > 0 {
			t.Errorf("got %d reports of crashes to all VMs, want none", w.reports)
		}
	}
}

// sendAll sends some requests, whose fingerprints begin with a number.
func (w *crashWorld) sendAll(id model.RequestID, first model.Fingerprint) {
	for n := range 10 {
		w.send(id+model.RequestID(n), "/x", first+model.Fingerprint(n))
	}
}

// failLinks resets all connections while requests are in flight, some that come each time and
// some that come only now.
func (w *crashWorld) failLinks(id model.RequestID) {
	w.sendAll(id, 1)
	w.sendAll(id+100, model.Fingerprint(id))
	w.step()
	for n := range 3 {
		w.downUntil[model.UpstreamID(fmt.Sprintf("s/%d", n))] = w.now.Add(crashDowntime)
	}
	for _, id := range slices.Sorted(maps.Keys(w.running)) {
		w.reset(id, time.Millisecond)
	}
	w.run(crashDowntime + time.Second)
}

func (w *crashWorld) run(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.step()
	}
}
