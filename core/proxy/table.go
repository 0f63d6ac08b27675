package proxy

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"comfreypulley/core/effect"
	"comfreypulley/core/event"
	"comfreypulley/core/model"
	"comfreypulley/core/retry"
)

// sweepPeriod is the time between two looks at attempts that outlived their call.
const sweepPeriod = 100 * time.Millisecond

// Table is the state of the traffic along routes. The zero value refuses every
// call until it has a document and a list of upstreams.
type Table struct {
	start     event.Start
	random    *rand.Rand
	document  *model.Document
	routes    routes
	earlier   []generation // oldest first
	limits    map[string]model.Service
	read      time.Time // when the list of upstreams was read
	listed    bool
	stamp     uint64 // of the list
	fleet     int
	hosts     map[model.UpstreamID]*host
	services  map[string][]*host
	paces     map[string]*pace
	turns     map[string]*turn
	extras    map[string]*retry.Allowance
	calls     map[model.RequestID]*call
	early     map[model.RequestID]early // requests that came before the first document or list
	attempts  map[model.AttemptID]*attempt
	next      model.AttemptID
	suspects  suspects
	spread    spreading
	isolation isolation
	draining  bool
}

// Start takes over the settings.
func (t *Table) Start(at time.Time, start event.Start, out []effect.Effect) []effect.Effect {
	t.start = start
	t.random = rand.New(rand.NewPCG(start.Seed, uint64(start.Loop)))
	t.hosts = make(map[model.UpstreamID]*host)
	t.services = make(map[string][]*host)
	t.paces = make(map[string]*pace)
	t.turns = make(map[string]*turn)
	t.extras = make(map[string]*retry.Allowance)
	t.calls = make(map[model.RequestID]*call)
	t.attempts = make(map[model.AttemptID]*attempt)
	t.spread.failing = make(map[model.Zone]*failing)
	t.spread.delegations = make(map[model.AttemptID]*delegation)
	return append(out, effect.SetTimer{ID: event.TimerID{Kind: event.TimerSweep}, At: at.Add(sweepPeriod)})
}

// View takes the document in force. One of a lower version than before is
// ignored.
func (t *Table) View(at time.Time, v event.View, out []effect.Effect) []effect.Effect {
	d := v.Topology.Document
	if d == nil || t.document != nil && d.Version <= t.document.Version {
		return out
	}
	t.keepEarlier(at)
	t.document, t.routes, t.spread.portions = d, newRoutes(d), nil
	t.limits = make(map[string]model.Service, len(d.Services))
	for _, s := range d.Services {
		t.limits[s.Name] = s
	}
	out = append(out, effect.Note{At: at, Subject: "document", Action: "in force", Cause: versionText(d.Version)})
	return t.ready(at, out)
}

// Roster takes the list of upstreams.
func (t *Table) Roster(at time.Time, r event.UpstreamList, out []effect.Effect) []effect.Effect {
	resized := t.fleet != r.EntryVMCount
	t.read, t.fleet = r.ReadAt, r.EntryVMCount
	if resized {
		for _, a := range t.extras {
			a.Limit(t.extra())
		}
	}
	if t.listed && r.Checksum == t.stamp {
		return out
	}
	t.listed, t.stamp, t.spread.portions = true, r.Checksum, nil
	before := t.hosts
	t.hosts = make(map[model.UpstreamID]*host, len(r.Upstreams))
	t.services = make(map[string][]*host)
	for _, u := range r.Upstreams {
		h, known := before[u.ID]
		if !known || h.upstream.Addr != u.Addr || h.upstream.Index != u.Index {
			h = &host{live: make(map[model.AttemptID]*attempt)}
		}
		if u.WarmUpLeft > 0 && h.coldTo.IsZero() {
			h.coldTo = r.ReadAt.Add(u.WarmUpLeft)
		}
		h.upstream = u
		t.hosts[u.ID] = h
		t.services[u.Index] = append(t.services[u.Index], h)
	}
	for id, h := range before {
		if now, ok := t.hosts[id]; !ok || now != h {
			out = append(out, effect.CloseIdleConns{Upstream: id})
		}
	}
	return t.ready(at, out)
}

// ready tells the balancer's check once requests can be served.
func (t *Table) ready(at time.Time, out []effect.Effect) []effect.Effect {
	if t.document == nil || !t.listed || t.draining {
		return out
	}
	out = t.rotate(at, out)
	out = append(out, effect.Ready{Ready: !t.isolation.away})
	return t.admit(at, out)
}

// Struck takes what other VMs hold against a request.
func (t *Table) Struck(at time.Time, s event.CrashReport, out []effect.Effect) []effect.Effect {
	_, _ = t.suspects.add(at, s.Fingerprint, s.Upstreams...)
	return out
}

// Drain reports effect.Drained once no call is left.
func (t *Table) Drain(_ time.Time, out []effect.Effect) []effect.Effect {
	t.draining = true
	for _, w := range t.waiting() {
		out = t.expire(w, out)
	}
	return t.drained(out)
}

func (t *Table) drained(out []effect.Effect) []effect.Effect {
	if t.draining && len(t.calls) == 0 {
		out = append(out, effect.Drained{})
	}
	return out
}

// Timer takes a timer.
func (t *Table) Timer(at time.Time, id event.TimerID, out []effect.Effect) []effect.Effect {
	switch id.Kind {
	case event.TimerProxyRequest:
		if c, ok := t.calls[model.RequestID(id.N)]; ok {
			c.timer = time.Time{}
			return t.step(at, c, out)
		}
		if w, ok := t.early[model.RequestID(id.N)]; ok {
			return t.expire(w, out)
		}
	case event.TimerSweep:
		t.suspects.sweep(at)
		out = t.sweep(at, out)
		return append(out, effect.SetTimer{ID: id, At: at.Add(sweepPeriod)})
	default:
	}
	return out
}

// sweep cancels attempts that outlived their call, so that upstreams do not go
// on working for nobody.
func (t *Table) sweep(at time.Time, out []effect.Effect) []effect.Effect {
	for _, id := range slices.Sorted(maps.Keys(t.attempts)) {
		a := t.attempts[id]
		if a.call.ended && at.Sub(a.sent) >= abandonAfter && !a.call.route.AtMostOnce && !a.abandoned {
			a.abandoned = true
			out = t.blame(at, a.host, model.FailedTimeout, out)
			out = append(out, effect.Cancel{Attempt: a.id})
		}
	}
	return t.sweepDelegations(at, out)
}
