package proxy

import (
	"hash/fnv"
	"maps"
	"slices"
	"strings"
	"time"

	"comfreypulley/core/effect"
	"comfreypulley/core/event"
	"comfreypulley/core/model"
)

// How a request over many shards is spread over the entry VMs. A VM's link and
// processor take the parts of a few shards while those of all would take longer
// than the upstreams work, and merged records are fewer bytes between zones.
const (
	portionLegs   = 9                    // shards of a portion at most
	delegateTime  = 2 * leastTime        // a portion with less time left is not given away
	portionFactor = 1.5                  // of the hedge delay of first frames, after which the shards of a portion are tried directly
	portionWays   = 8 * time.Millisecond // beyond the latest first frame, after which they are in any case
	avoidFailed   = 2 * time.Second      // a VM that failed or is silent gets no portion for this long
	avoidRefusing = 500 * time.Millisecond
	avoidLate     = 500 * time.Millisecond // the same after an overdue portion, which proves little
	avoidZone     = 3 * time.Second        // a zone of which two VMs fail shortly after each other may be cut off
	zoneTogether  = time.Second            // between the failures of such VMs
)

// daemon is an entry VM that gathers portions.
type daemon struct {
	model.Daemon
	avoid time.Time // no portion before
	told  time.Time // when this VM last told others to avoid it
}

// portion is a group of shards that are gathered in one zone.
type portion struct {
	legs    []int
	helpers []*daemon // those that have connections to the upstreams; all of the zone when nobody is meant
}

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

// spreading is what Table knows of the other entry VMs.
type spreading struct {
	daemons     map[model.VMID]*daemon
	zones       map[model.Zone][]*daemon // ascending by id
	portions    map[string][]portion     // by route; nil when they are to be computed again
	delegations map[model.AttemptID]*delegation
	failing     map[model.Zone]*failing
	next        time.Time // when a zone is used again, so that portions are to be computed again; zero when none is avoided
}

// failing is what is known of a zone whose VMs fail.
type failing struct {
	daemon *daemon // the last one that failed
	at     time.Time
	avoid  time.Time // no portion before
}

// Daemons takes the entry VMs there are.
func (t *Table) Daemons(_ time.Time, e event.Daemons, out []effect.Effect) []effect.Effect {
	s := &t.spread
	before := s.daemons
	s.daemons, s.zones, s.portions = make(map[model.VMID]*daemon), make(map[model.Zone][]*daemon), nil
	for _, info := range e.Daemons {
		d, known := before[info.ID]
		if !known {
			d = &daemon{}
		}
		d.Daemon = info
		s.daemons[info.ID] = d
		s.zones[info.Zone] = append(s.zones[info.Zone], d)
	}
	for id := range before {
		if _, ok := s.daemons[id]; !ok {
			out = append(out, effect.Forget{Upstream: peerOf(id)})
		}
	}
	return out
}

// peerOf names a VM where upstreams are named.
func peerOf(id model.VMID) model.UpstreamID { return peerPrefix + model.UpstreamID(id) }

const peerPrefix = "vm "

// daemonOf returns the VM that peerOf named.
func (s *spreading) daemonOf(id model.UpstreamID) (d *daemon, ok bool) {
	vm, ok := strings.CutPrefix(string(id), peerPrefix)
	if !ok {
		return nil, false
	}
	d, ok = s.daemons[model.VMID(vm)]
	return d, ok
}

// delegate gives portions of a new call to other VMs. Shards of which none takes
// a portion are left to this VM.
func (t *Table) delegate(at time.Time, c *call, out []effect.Effect) []effect.Effect {
	if t.start.Spread <= 0 || len(c.legs) < t.start.Spread || !c.scatter() || c.event.Portion != nil || c.deadline.Sub(at) < delegateTime {
		return out
	}
	for _, p := range t.portionsOf(at, c.route) {
		if d := t.helper(at, p.helpers); d != nil && d.ID != t.start.VM.ID {
			out = t.give(at, c, p.legs, d, out)
		}
	}
	return out
}

// helper draws one of the VMs that are not avoided, nil when there is none.
func (t *Table) helper(at time.Time, helpers []*daemon) *daemon {
	var usable []*daemon
	for _, d := range helpers {
		if !at.Before(d.avoid) {
			usable = append(usable, d)
		}
	}
	if len(usable) == 0 {
		return nil
	}
	return usable[t.random.IntN(len(usable))]
}

// give sends a portion to another VM.
func (t *Table) give(at time.Time, c *call, legs []int, d *daemon, out []effect.Effect) []effect.Effect {
	t.next++
	g := &delegation{id: t.next, call: c, daemon: d, sent: at}
	stand := &host{upstream: model.Upstream{ID: peerOf(d.ID)}}
	for _, n := range legs {
		l := c.legs[n]
		a := &attempt{id: g.id, call: c, leg: l, host: stand, sent: at, delegation: g}
		l.tries = append(l.tries, a)
		l.pending++
		g.tries = append(g.tries, a)
	}
	t.spread.delegations[g.id] = g
	out = append(out, effect.Count{Counter: effect.CountAttempts, Reason: "portion", N: 1})
	return append(out, effect.Forward{
		Attempt: g.id, Request: c.event.ID, Upstream: stand.upstream.ID, Addr: d.Gathers, Timeout: c.deadline.Sub(at), Part: true,
		Portion: &model.Portion{Version: c.version, Legs: legs},
	})
}

// Gathered takes pieces from another VM. Merged records replace the parts that
// came directly meanwhile, unless the origin has all of them already.
func (t *Table) Gathered(at time.Time, e event.Gathered, out []effect.Effect) []effect.Effect {
	g, ok := t.spread.delegations[e.Attempt]
	if !ok {
		return out
	}
	if f, ok := t.spread.failing[g.daemon.Zone]; ok {
		f.daemon = nil
	}
	c := g.call
	if !g.heard {
		g.heard = true
		t.portionPace(c.route).add(c.route, at.Sub(g.sent))
	}
	pieces := make(map[*leg]model.Piece, len(e.Pieces))
	news := false
	for _, p := range e.Pieces {
		if p.Leg < 0 || p.Leg >= len(c.legs) {
			continue
		}
		l := c.legs[p.Leg]
		pieces[l] = p
		news = news || p.Receipt != "" && l.part == nil
	}
	records := e.Records
	for _, a := range g.tries {
		p, told := pieces[a.leg]
		if a.outcome != "" || !told && e.More {
			continue
		}
		if p.Open {
			a.host = t.known(p.Tried)
			continue
		}
		t.settle(at, a, p)
		if p.Receipt != "" && news {
			a.leg.part = &part{receipt: p.Receipt, reply: model.Reply{Body: records}}
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
func (t *Table) settle(at time.Time, a *attempt, p model.Piece) {
	a.leg.pending--
	a.took = at.Sub(a.sent)
	if h, ok := t.hosts[p.Tried]; ok {
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
	case p.Tried != "":
		a.outcome = string(model.FailedTimeout)
		a.host = t.known(p.Tried)
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
func (t *Table) undelegated(at time.Time, g *delegation, e event.Failed, out []effect.Effect) []effect.Effect {
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
	t.shun(at, g.daemon, avoidLate)
	return out
}

// avoid gives a VM no portions for a while, and tells the zone.
func (t *Table) avoid(at time.Time, d *daemon, out []effect.Effect) []effect.Effect {
	t.shun(at, d, avoidFailed)
	if at.Sub(d.told) < hintPause {
		return out
	}
	d.told = at
	return append(out, effect.ToControl{Body: event.Hint{Upstream: peerOf(d.ID), Sure: true}})
}

// shun gives a VM no portions for a while, and none to its zone when another VM
// of it failed just before and none has answered since.
func (t *Table) shun(at time.Time, d *daemon, period time.Duration) {
	s := &t.spread
	d.avoid = at.Add(period)
	f, ok := s.failing[d.Zone]
	if !ok {
		f = &failing{}
		s.failing[d.Zone] = f
	}
	if f.daemon != nil && f.daemon != d && at.Sub(f.at) <= zoneTogether && d.Zone != t.start.VM.Zone {
		f.avoid = at.Add(avoidZone)
		s.portions = nil
		if s.next.IsZero() || f.avoid.Before(s.next) {
			s.next = f.avoid
		}
	}
	f.daemon, f.at = d, at
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

// due returns when the shards of a delegation are tried directly.
func (t *Table) delegationDue(g *delegation) time.Time {
	r := g.call.route
	delay := time.Duration(portionFactor * float64(t.portionPace(r).hedge(r, 0)))
	return g.sent.Add(min(delay, time.Duration(firstLatest*float64(objective(r)))+portionWays))
}

// portionsOf returns the portions of a route, as long as there are VMs to gather
// them.
func (t *Table) portionsOf(at time.Time, r *model.Route) []portion {
	s := &t.spread
	if !s.next.IsZero() && !at.Before(s.next) {
		s.portions, s.next = nil, time.Time{}
	}
	if p, ok := s.portions[r.Name]; ok {
		return p
	}
	if s.portions == nil {
		s.portions = make(map[string][]portion)
	}
	p := t.partition(at, r)
	s.portions[r.Name] = p
	return p
}

// partition assigns the shards of a route to zones, the own one first, and
// divides those of a zone into portions. Each portion belongs to some VMs of the
// zone, so that few VMs need connections to an upstream and each of them sees it
// often.
func (t *Table) partition(at time.Time, r *model.Route) []portion {
	s := &t.spread
	var portions []portion
	left := make(map[int]bool, len(r.Shards))
	for n := range r.Shards {
		left[n] = true
	}
	for _, zone := range t.zonesInOrder() {
		if f, ok := s.failing[zone]; ok && at.Before(f.avoid) {
			if s.next.IsZero() || f.avoid.Before(s.next) {
				s.next = f.avoid
			}
			continue
		}
		helpers := s.zones[zone]
		var legs []int
		for n, shard := range r.Shards {
			if left[n] && t.hasHost(shard, zone) {
				legs = append(legs, n)
				delete(left, n)
			}
		}
		if len(legs) == 0 {
			continue
		}
		count := (len(legs) + portionLegs - 1) / portionLegs
		size := (len(legs) + count - 1) / count
		n := uint64(0)
		for chunk := range slices.Chunk(legs, size) {
			portions = append(portions, portion{legs: chunk, helpers: owners(helpers, n, uint64(count))})
			n++
		}
	}
	return portions
}

// owners returns the VMs to which one of several portions belongs, all of them
// when it belongs to none. It depends only on the ids, so that VMs which come and
// go change nothing for the others.
func owners(helpers []*daemon, n, count uint64) []*daemon {
	var own []*daemon
	for _, d := range helpers {
		h := fnv.New64a()
		_, _ = h.Write([]byte(d.ID)) // never fails
		if h.Sum64()%count == n {
			own = append(own, d)
		}
	}
	if len(own) == 0 {
		return helpers
	}
	return own
}

// zonesInOrder returns the own zone and then the others, beginning after the own
// one so that the zones share the shards which some zone lacks.
func (t *Table) zonesInOrder() []model.Zone {
	own := t.start.VM.Zone
	zones := make([]model.Zone, 0, len(t.spread.zones))
	for zone := range t.spread.zones {
		if zone != own {
			zones = append(zones, zone)
		}
	}
	slices.Sort(zones)
	at, _ := slices.BinarySearch(zones, own)
	return slices.Concat([]model.Zone{own}, zones[at:], zones[:at])
}

func (t *Table) hasHost(service string, zone model.Zone) bool {
	return slices.ContainsFunc(t.services[service], func(h *host) bool {
		return h.upstream.Zone == zone && h.upstream.State == model.StateActive && !h.other
	})
}
