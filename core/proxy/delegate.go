package proxy

import (
	"maps"
	"slices"
	"time"

	"comfreypulley/core/effect"
	"comfreypulley/core/event"
	"comfreypulley/core/model"
)

// When a portion is given away and when its shards are tried directly.
const (
	delegateTime  = 2 * leastTime // a portion with less time left is not given away
	portionFactor = 1.5           // of the hedge delay of first frames, after which the shards of a portion are tried directly
	portionWays   = 1.4           // in margins before the objective: the time beyond the latest first frame, after which they are in any case
)

// delegation is a portion at another VM.
type delegation struct {
	id      model.AttemptID
	call    *call
	daemon  *daemon
	tries   []*attempt // one for each shard
	sent    time.Time
	heard   bool // something of it has come
	overdue bool // its shards are tried directly before anything has come
	ended   bool // cancelled after its call ended without it
}

// delegate gives portions of a new call to other VMs. Shards of which none takes
// a portion are left to this VM.
func (t *Table) delegate(at time.Time, c *call, out []effect.Effect) []effect.Effect {
	if t.start.MinShardsToDelegate <= 0 || len(c.legs) < t.start.MinShardsToDelegate || !c.scatter() || c.event.Portion != nil || c.deadline.Sub(at) < delegateTime {
		return out
	}
	for _, p := range t.portionsOf(at, c.route) {
		if d := t.helper(at, p); d != nil && d.ID != t.start.VM.ID {
			out = t.give(at, c, p.legs, d, out)
		}
	}
	return out
}

// give sends a portion to another VM.
func (t *Table) give(at time.Time, c *call, legs []int, d *daemon, out []effect.Effect) []effect.Effect {
	t.next++
	g := &delegation{id: t.next, call: c, daemon: d, sent: at}
	placeholder := &host{upstream: model.Upstream{ID: peerOf(d.ID)}}
	for _, n := range legs {
		l := c.legs[n]
		a := &attempt{id: g.id, call: c, leg: l, host: placeholder, sent: at, delegation: g}
		l.tries = append(l.tries, a)
		l.pending++
		g.tries = append(g.tries, a)
	}
	t.spread.delegations[g.id] = g
	out = append(out, effect.Count{Counter: effect.CountAttempts, Reason: "portion", N: 1})
	return append(out, effect.Forward{
		Attempt: g.id, Request: c.event.ID, Upstream: placeholder.upstream.ID, Addr: d.PortionAddr, Timeout: c.deadline.Sub(at), BodyOnly: true,
		Portion: &model.Portion{DocumentVersion: c.version, Shards: legs},
	})
}

// Gathered takes pieces from another VM. Merged records replace the parts that
// came directly meanwhile, unless the origin has all of them already.
func (t *Table) Gathered(at time.Time, e event.PortionResult, out []effect.Effect) []effect.Effect {
	g, ok := t.spread.delegations[e.Attempt]
	if !ok {
		return out
	}
	if f, ok := t.spread.failing[g.daemon.Zone]; ok {
		f.daemon = nil
	}
	out = t.reached(at, g.daemon.Zone, g.sent, out)
	c := g.call
	if !g.heard {
		g.heard = true
		t.portionPace(c.route).add(c.route, at.Sub(g.sent))
	}
	pieces := make(map[*leg]model.ShardResult, len(e.Results))
	news := false
	for _, p := range e.Results {
		if p.Shard < 0 || p.Shard >= len(c.legs) {
			continue
		}
		l := c.legs[p.Shard]
		pieces[l] = p
		news = news || p.Receipt != "" && l.part == nil
	}
	records := e.Records
	for _, a := range g.tries {
		p, told := pieces[a.leg]
		if a.outcome != "" || !told && e.More {
			continue
		}
		if p.Pending {
			a.host = t.known(p.Upstream)
			continue
		}
		t.settle(at, a, p)
		if p.Receipt != "" && news {
			a.leg.part = &part{receipt: p.Receipt, reply: model.Response{Body: records}}
			records = nil
		}
	}
	if news {
		t.suspects.clear(c.event.Fingerprint)
		c.flow = at
	}
	if !e.More {
		delete(t.spread.delegations, g.id)
	}
	return t.step(at, c, out)
}

// settle ends the attempt of one shard of a portion.
func (t *Table) settle(at time.Time, a *attempt, p model.ShardResult) {
	a.leg.pending--
	a.took = at.Sub(a.sent)
	if h, ok := t.hosts[p.Upstream]; ok {
		failed := 0.0
		if p.Receipt == "" {
			failed = 1
		}
		h.fails.add(at, failed, 0)
	}
	switch {
	case p.Receipt != "":
		a.outcome = "answered"
		a.leg.ran = model.RanYes
		a.call.pace.add(a.call.route, a.took)
	case p.Upstream != "":
		a.outcome = string(model.FailedTimeout)
		a.host = t.known(p.Upstream)
		a.leg.uncertain()
	default:
		a.outcome = string(model.FailedRefused)
	}
}

// known returns an upstream, or a stand-in for one that is not listed here.
func (t *Table) known(id model.UpstreamID) *host {
	if h, ok := t.hosts[id]; ok {
		return h
	}
	return &host{upstream: model.Upstream{ID: id}}
}

// undelegated takes the end of a delegation without an answer.
func (t *Table) undelegated(at time.Time, g *delegation, e event.AttemptFailed, out []effect.Effect) []effect.Effect {
	delete(t.spread.delegations, g.id)
	outcome := e.Reason
	switch {
	case e.Reason == model.FailedCancelled:
	case e.Ran == model.RanNo && e.Reason == model.FailedShed:
		g.daemon.avoid = at.Add(avoidRefusing)
	default:
		out = t.avoid(at, g.daemon, out)
	}
	if e.Ran == model.RanNo {
		outcome = model.FailedRefused // no upstream was asked
	}
	for _, a := range g.tries {
		if a.outcome != "" {
			continue
		}
		a.leg.pending--
		a.took, a.outcome = at.Sub(a.sent), string(outcome)
		if e.Ran != model.RanNo {
			a.leg.uncertain()
		}
	}
	out = append(out, effect.Count{Counter: effect.CountFailed, Reason: "portion " + string(e.Reason), N: 1})
	return t.step(at, g.call, out)
}

// overdue avoids a VM whose portion is overdue once a shard of it is tried
// directly. As long as nothing of the call has come, this VM may be what is late.
func (t *Table) overdue(at time.Time, a *attempt, out []effect.Effect) []effect.Effect {
	g := a.delegation
	if g == nil || a.outcome != "" || g.heard || g.overdue || !g.call.flow.After(g.call.arrived) {
		return out
	}
	g.overdue = true
	t.exclude(at, g.daemon, avoidLate)
	return out
}

// sweepDelegations cancels portions that outlived their call.
func (t *Table) sweepDelegations(at time.Time, out []effect.Effect) []effect.Effect {
	for _, id := range slices.Sorted(maps.Keys(t.spread.delegations)) {
		g := t.spread.delegations[id]
		if g.call.ended && at.Sub(g.sent) >= abandonAfter+objective(g.call.route) && !g.ended {
			g.ended = true
			out = t.avoid(at, g.daemon, out)
			out = append(out, effect.Cancel{Attempt: g.id})
		}
	}
	return out
}

// portionPace is what is known of the time to the first frames of a route's
// portions.
func (t *Table) portionPace(r *model.Route) *pace { return t.paceOf(r.Name + " portions") }

// delegationDue returns when the shards of a delegation are tried directly.
func (t *Table) delegationDue(g *delegation) time.Time {
	r := g.call.route
	delay := time.Duration(portionFactor * float64(t.portionPace(r).hedge(r, 0)))
	latest := time.Duration(firstLatest*float64(objective(r)) + portionWays*float64(t.margin()))
	return g.sent.Add(min(delay, latest))
}
