package proxy

import (
	"strconv"
	"time"

	"comfreypulley/core/effect"
	"comfreypulley/core/event"
	"comfreypulley/core/model"
)

// Times of one call.
const (
	wayMargin    = 5 * time.Millisecond    // before the objective, for the ways from and to the caller
	dialMargin   = 8 * time.Millisecond    // the same for the ways of a caller that has just connected
	workMargin   = 1100 * time.Microsecond // the same for the work on request and answer, at the speed of a whole core
	flowGap      = 4 * time.Millisecond    // without a part of a call, after which the missing ones count as overdue
	lastMargin   = 15 * time.Millisecond   // before the caller's deadline
	lastPart     = 8                       // part of the caller's time that the margin before its deadline may take
	mostExpected = 2                       // typical latencies that an answer is expected to take at the most
	leastTime    = 4 * time.Millisecond    // an attempt with less time left is not made
	repick       = 3 * time.Millisecond    // until an upstream is looked for again
	recheck      = 8 * time.Millisecond    // until the allowance for extra attempts is looked at again
	giveUpAfter  = 12 * time.Millisecond   // without an allowance, when the call cannot succeed without the leg
	fewLegs      = 2                       // legs that a call may lack to have a claim on the last extra attempts
	keptExtra    = 0.4                     // extra attempts kept for such calls, of the two or three that a VM of a large fleet has
	abandonAfter = 300 * time.Millisecond
	strayIdle    = 3 * time.Second // of connections that this VM seldom uses
)

func versionText(version uint64) string { return "version " + strconv.FormatUint(version, 10) }

// Call takes a request.
func (t *Table) Call(at time.Time, e event.ProxyRequest, out []effect.Effect) []effect.Effect {
	if t.document == nil || !t.listed {
		return t.await(at, e, out)
	}
	version, known := t.document.Version, &t.routes
	if e.Portion != nil {
		version = e.Portion.DocumentVersion
		if known = t.routesOf(at, version); known == nil {
			return t.refuseEarly(e, nil, model.RefusedStale, out)
		}
	}
	route := known.find(e.Host, e.Path)
	switch {
	case route == nil:
		return t.refuseEarly(e, nil, model.RefusedRoute, out)
	case e.Portion == nil && t.outOfReach(route):
		return t.refuseEarly(e, route, model.RefusedIsolated, out)
	case t.suspects.quarantined(at, e.Fingerprint):
		return t.refuseEarly(e, route, model.RefusedQuarantine, out)
	}
	c := &call{
		event: e, route: route, pace: t.pace(route), version: version, arrived: at, flow: at, roster: at.Sub(t.read),
	}
	wait := route.Timeout
	if e.Wait > 0 {
		wait = min(wait, e.Wait)
	}
	c.deadline = at.Add(wait - min(lastMargin, wait/lastPart))
	c.cutoff = at.Add(objective(route) - t.margin())
	if e.NewConn {
		c.cutoff = c.cutoff.Add(-dialMargin)
	}
	if e.Portion != nil {
		if !t.narrow(c) {
			return t.refuseEarly(e, route, model.RefusedStale, out)
		}
		t.calls[e.ID] = c
		return t.step(at, c, out)
	}
	for _, service := range t.target(route) {
		c.legs = append(c.legs, &leg{service: service, ran: model.RanNo})
		t.allowance(at, service).Earn()
	}
	t.calls[e.ID] = c
	out = t.delegate(at, c, out)
	return t.step(at, c, out)
}

// margin is how long before the objective an answer has to leave.
func (t *Table) margin() time.Duration {
	if t.start.CPUCores <= 0 {
		return wayMargin + workMargin
	}
	return wayMargin + time.Duration(float64(workMargin)/t.start.CPUCores)
}

// target returns the services that a request of the route goes to.
func (t *Table) target(r *model.Route) []string {
	if len(r.Shards) > 0 {
		return r.Shards
	}
	if len(r.Targets) == 1 {
		return []string{r.Targets[0].Service}
	}
	next, ok := t.turns[r.Name]
	if !ok {
		next = &turn{}
		t.turns[r.Name] = next
	}
	return []string{next.next(r, t.random.Float64)}
}

func (t *Table) pace(r *model.Route) *pace { return t.paceOf(r.Name) }

func (t *Table) paceOf(name string) *pace {
	p, ok := t.paces[name]
	if !ok {
		p = &pace{}
		t.paces[name] = p
	}
	return p
}

// step sends what is due and ends the call when nothing more can come.
func (t *Table) step(at time.Time, c *call, out []effect.Effect) []effect.Effect {
	if c.ended {
		return out
	}
	if c.event.Portion != nil {
		return t.stepPortion(at, c, out)
	}
	open := 0
	for _, l := range c.legs {
		if l.part != nil {
			continue
		}
		out = t.advance(at, c, l, out)
		if l.pending > 0 || !l.lost {
			open++
		}
	}
	switch {
	case open == 0 || c.scatter() && c.hopeless(at):
		return t.finish(at, c, out)
	case c.scatter() && !at.Before(c.cutoff) && c.enough():
		return t.finish(at, c, out)
	case !at.Before(c.deadline):
		return t.finish(at, c, out)
	}
	return t.wake(at, c, out)
}

// advance makes the next attempt of a leg when it is due.
func (t *Table) advance(at time.Time, c *call, l *leg, out []effect.Effect) []effect.Effect {
	if l.lost || at.Before(l.next) {
		return out
	}
	if len(l.tries) > 0 && !t.mayRepeat(at, c, l) {
		return out
	}
	if c.deadline.Sub(at) < leastTime {
		l.lost = true
		return out
	}
	h := t.pick(at, c, l)
	if h == nil {
		l.next = at.Add(repick)
		if !t.untried(l) && len(l.tries) > 0 {
			l.lost = true
		}
		return out
	}
	if l.arrivals() > 0 && !t.spend(at, c, l) {
		if l.pending == 0 && l.blocked.IsZero() {
			l.blocked = at
		}
		l.next = at.Add(recheck)
		return out
	}
	l.blocked = time.Time{}
	return t.send(at, c, l, h, out)
}

// spend takes an extra attempt from the allowance of the leg's service. The
// last ones are kept for calls that fail without them and need few.
func (t *Table) spend(at time.Time, c *call, l *leg) bool {
	a := t.allowance(at, l.service)
	least := 1.0
	if lacking := c.lacking(); l.pending > 0 || lacking <= 0 || lacking > fewLegs {
		least += keptExtra
	}
	return a.Left() >= least && a.Spend()
}

// mayRepeat reports whether another attempt of the leg is allowed now: after a
// failure, or beside an attempt that is overdue.
func (t *Table) mayRepeat(at time.Time, c *call, l *leg) bool {
	if l.arrivals() >= max(1, c.route.MaxAttempts) {
		l.lost = true
		return false
	}
	if c.route.AtMostOnce {
		if l.pending == 0 && l.ran != model.RanNo {
			l.lost = true
		}
		return l.pending == 0 && l.ran == model.RanNo
	}
	if l.pending == 0 {
		return true
	}
	return !at.Before(t.hedgeDue(at, c, l))
}

// hedgeDue returns when the last attempt of a leg is hedged: when it takes
// longer than most, and no other part of the call has come for a while. As long
// as parts come one after the other, the missing ones wait for this VM's own
// link or processor, which a hedge would load further.
func (t *Table) hedgeDue(at time.Time, c *call, l *leg) time.Time {
	last := l.tries[len(l.tries)-1]
	if g := last.delegation; g != nil && !g.heard && last.outcome == "" {
		return t.delegationDue(g)
	}
	due := last.sent.Add(c.pace.hedge(c.route, t.allowance(at, l.service).Share()))
	if flow := c.flow.Add(flowGap); c.scatter() && flow.After(due) {
		return flow
	}
	return due
}

// send makes an attempt.
func (t *Table) send(at time.Time, c *call, l *leg, h *host, out []effect.Effect) []effect.Effect {
	t.next++
	a := &attempt{
		id: t.next, call: c, leg: l, host: h, sent: at, hedge: l.pending > 0,
		expected: time.Duration(float64(c.pace.expected(c.route)) * min(mostExpected, h.ratio.read(at, 1))),
	}
	kind := "first"
	if len(l.tries) > 0 {
		out = t.overdue(at, l.tries[len(l.tries)-1], out)
	}
	switch {
	case a.hedge:
		kind = "hedge"
	case len(l.tries) > 0:
		kind = "retry"
	}
	l.tries = append(l.tries, a)
	l.pending++
	h.live[a.id] = a
	t.attempts[a.id] = a
	out = append(out, effect.Count{Counter: effect.CountAttempts, Reason: kind, N: 1})
	return append(out, effect.Forward{
		Attempt: a.id, Request: c.event.ID, Upstream: h.upstream.ID, Addr: h.upstream.Addr,
		Timeout: c.deadline.Sub(at), AvoidStaleConn: c.route.AtMostOnce, BodyOnly: c.scatter(), IdleTimeout: t.keep(c, h),
	})
}

// keep returns how long the connection of an attempt may stay idle, 0 for no
// bound. Where an upstream accepts fewer connections than there are VMs, they are
// for those that gather its shard for others and so use them often.
func (t *Table) keep(c *call, h *host) time.Duration {
	owned := c.event.Portion != nil && h.upstream.Zone == t.start.VM.Zone
	if !owned && t.share(h) < 1 {
		return strayIdle
	}
	return 0
}

// wake sets the timer to the next time at which something may be due.
func (t *Table) wake(at time.Time, c *call, out []effect.Effect) []effect.Effect {
	due := c.deadline
	if c.scatter() && at.Before(c.cutoff) && c.cutoff.Before(due) {
		due = c.cutoff
	}
	for _, l := range c.legs {
		if l.part != nil || l.lost {
			continue
		}
		next := l.next
		if l.pending > 0 {
			if c.route.AtMostOnce {
				continue
			}
			if hedge := t.hedgeDue(at, c, l); hedge.After(next) {
				next = hedge
			}
		}
		if next.Before(due) {
			due = next
		}
	}
	return t.wakeAt(at, c, due, out)
}

// wakeAt sets the timer of a call.
func (t *Table) wakeAt(at time.Time, c *call, due time.Time, out []effect.Effect) []effect.Effect {
	if due.Before(at) {
		due = at
	}
	if due.Equal(c.timer) {
		return out
	}
	c.timer = due
	return append(out, effect.SetTimer{ID: event.TimerID{Kind: event.TimerProxyRequest, N: uint64(c.event.ID)}, At: due})
}
