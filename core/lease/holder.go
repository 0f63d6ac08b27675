package lease

import (
	"maps"
	"time"

	"comfreypulley/core/effect"
	"comfreypulley/core/frame"
	"comfreypulley/core/model"
)

// Timing and number of the lease requests.
const (
	askPause = 100 * time.Millisecond // minimum time between requests
	askAgain = time.Second            // between renewals of a lease, a third of its validity
	confirm  = 3 * time.Second        // between requests that only report the revision
	maxOpen  = 32                     // unanswered requests; answers to older ones are of no use

	firstRevision = 1 // of the configuration of a new fleet
)

// Holder tracks one VM's floors and leases. Self and Began are set before use.
type Holder struct {
	Self  model.VM
	Began time.Time // start of the process

	steady   bool                       // see Steady
	revision model.Revision             // of topology
	topology *model.Topology            // last configuration observed
	limits   map[string]steps           // floors by customer
	conns    map[model.UpstreamID]steps // floors by upstream

	n         uint64         // number of the last request
	open      map[uint64]ask // requests without an answer, by number
	asked     time.Time      // time of the last request
	wanted    map[string]int // demand in the last request
	leader    model.VMID     // VM that the last request went to
	confirmed model.Revision // highest revision that the leader has confirmed
	current   generation     // generation of topology; the leader is told when it changes

	divided  []map[model.UpstreamID]int // connections by loop, nil when they must be divided again
	division uint64                     // changes whenever divided changes
	redivide time.Time                  // when a waiting connection floor comes into use, zero when none waits

	granted uint64         // number of the last request that was answered
	lease   map[string]int // leased shares by customer
	until   time.Time      // end of the lease
}

// ask is a request without an answer.
type ask struct {
	at       time.Time
	revision model.Revision
}

// Steady declares that the whole fleet has used the first configuration for 6 s
// already, so that its floors apply at once. It is for fleets whose
// configuration comes from the settings.
func (h *Holder) Steady() { h.steady = true }

// Ask requests a lease for the demand that exceeds the floors, and tells the
// leader this VM's revision. It sends nothing if there is no reason to, or
// before the first call of Share.
func (h *Holder) Ask(at time.Time, leader model.VM, demand map[string]int, out []effect.Effect) []effect.Effect {
	if leader.ID == "" || h.topology == nil {
		return out
	}
	if leader.ID != h.leader {
		// VMs without demand spread their first requests over this period.
		phase := time.Duration(hash(string(h.Self.ID)) % uint64(confirm))
		h.leader, h.confirmed, h.wanted, h.asked = leader.ID, 0, nil, at.Add(-askPause-phase)
	}
	wanted := make(map[string]int)
	for customer, n := range demand {
		if floor, _ := h.limits[customer].at(at); n > floor {
			wanted[customer] = n - floor
		}
	}
	if !h.due(at, wanted) {
		return out
	}
	if h.n == 0 {
		// Numbers start above those of any earlier process, so that grants for its
		// requests are ignored.
		h.n = uint64(h.Began.UnixNano())
	}
	h.n++
	h.asked, h.wanted = at, wanted
	h.remember(at)
	return append(out, effect.SendMessage{To: leader.ID, Addr: leader.PeerAddr, Message: frame.LeaseRequest{
		Seq: h.n, ProcessStart: h.Began, Revision: h.revision, Demand: wanted,
	}})
}

// due reports whether a request should be sent now.
func (h *Holder) due(at time.Time, wanted map[string]int) bool {
	since := at.Sub(h.asked)
	if since < askPause {
		return false
	}
	for customer, n := range wanted {
		if since >= askAgain || n > h.live(at, customer) && n > h.wanted[customer] {
			return true
		}
	}
	// Return a lease that is no longer needed, so that others can get it.
	if len(wanted) == 0 && len(h.lease) > 0 && at.Before(h.until) && since >= askAgain {
		return true
	}
	// A VM that has just started sends a request at once, because the answer may
	// bring its floors into use.
	if h.granted == 0 && since >= askPause && h.waiting(at) {
		return true
	}
	return h.confirmed < h.current.from && since >= confirm
}

func (h *Holder) remember(at time.Time) {
	if h.open == nil {
		h.open = make(map[uint64]ask)
	}
	h.open[h.n] = ask{at: at, revision: h.revision}
	if len(h.open) > maxOpen {
		maps.DeleteFunc(h.open, func(n uint64, _ ask) bool { return n+maxOpen <= h.n })
	}
}

// Granted handles a grant and reports whether it changes the shares. The lease
// is valid from the time of the request, and only the answer to a later request
// replaces it.
func (h *Holder) Granted(at time.Time, g frame.LeaseResponse) (changed bool) {
	asked, ok := h.open[g.Seq]
	if !ok || g.Seq <= h.granted {
		return false
	}
	delete(h.open, g.Seq)
	h.granted = g.Seq
	h.confirmed = max(h.confirmed, asked.revision)
	settled := h.settle(at, g)
	before := h.lease
	if !at.Before(h.until) {
		before = nil
	}
	h.lease, h.until = g.ExtraConcurrency, asked.at.Add(min(g.Duration, length))
	if !at.Before(h.until) {
		h.lease = nil
	}
	return settled || !maps.Equal(before, h.lease)
}

// settle brings all waiting floors into use if the leader has had the same VMs
// and limits for so long that no VM uses older floors. So a restarted VM need
// not wait.
func (h *Holder) settle(at time.Time, g frame.LeaseResponse) (changed bool) {
	if g.LimitsAge < raiseAfter || h.topology == nil || g.LimitsRevision != h.topology.LimitsRevision {
		return false
	}
	for customer, s := range h.limits {
		h.limits[customer] = s.last()
		changed = changed || len(s.trim(at)) > 1
	}
	for id, s := range h.conns {
		if len(s.trim(at)) > 1 {
			changed, h.divided = true, nil
		}
		h.conns[id] = s.last()
	}
	return changed
}

// waiting reports whether a raised floor is not in use yet.
func (h *Holder) waiting(at time.Time) bool {
	for _, s := range h.conns {
		if _, due := s.at(at); !due.IsZero() {
			return true
		}
	}
	for _, s := range h.limits {
		if _, due := s.at(at); !due.IsZero() {
			return true
		}
	}
	return false
}

// Share returns what each traffic loop may use at least: the floors in use plus
// the valid lease, divided by the number of loops and rounded down.
func (h *Holder) Share(at time.Time, t *model.Topology, loops int) model.Quota {
	h.observe(at, t)
	return h.part(at, func(_ string, n int) int { return n / max(1, loops) })
}

// split returns one loop's part of n, so that the parts of all loops add up to
// n.
func split(loop, loops int, name string, n int) int {
	if loops == 1 {
		return n
	}
	share := n / loops
	if (loop+int(hash(name)%uint64(loops)))%loops < n%loops {
		share++
	}
	return share
}

// Shares divides what the VM may use among its traffic loops without a
// remainder. The name determines which loops get one more, so that small shares
// do not all go to the same loop.
func (h *Holder) Shares(at time.Time, t *model.Topology, loops int) []model.Quota {
	h.observe(at, t)
	loops = max(1, loops)
	// A lease does not change the connections, of which there may be tens of
	// thousands, so their division is cached.
	if len(h.divided) != loops || !h.redivide.IsZero() && !at.Before(h.redivide) {
		h.divide(at, loops)
	}
	shares := make([]model.Quota, loops)
	for loop := range shares {
		shares[loop] = model.Quota{
			Concurrency: h.concurrency(at, func(name string, n int) int { return split(loop, loops, name, n) }),
			Conns:       h.divided[loop], ConnsVersion: h.division,
		}
	}
	return shares
}

// divide divides the connections in use among the loops.
func (h *Holder) divide(at time.Time, loops int) {
	h.division++
	h.divided = make([]map[model.UpstreamID]int, loops)
	for loop := range h.divided {
		h.divided[loop] = make(map[model.UpstreamID]int, len(h.conns))
	}
	h.redivide = time.Time{}
	for id, s := range h.conns {
		n, due := s.at(at)
		for loop := range h.divided {
			h.divided[loop][id] = split(loop, loops, string(id), n)
		}
		if !due.IsZero() && (h.redivide.IsZero() || due.Before(h.redivide)) {
			h.redivide = due
		}
	}
}

// Next returns when the shares next change over time, or zero if they do not.
func (h *Holder) Next(at time.Time) time.Time {
	var next time.Time
	sooner := func(t time.Time) {
		if t.After(at) && (next.IsZero() || t.Before(next)) {
			next = t
		}
	}
	if len(h.lease) > 0 {
		sooner(h.until)
	}
	for _, s := range h.limits {
		_, due := s.at(at)
		sooner(due)
	}
	for _, s := range h.conns {
		_, due := s.at(at)
		sooner(due)
	}
	return next
}

// part returns a share in which each value has passed through divide.
func (h *Holder) part(at time.Time, divide func(name string, n int) int) model.Quota {
	share := model.Quota{Concurrency: h.concurrency(at, divide), Conns: make(map[model.UpstreamID]int, len(h.conns))}
	for id, s := range h.conns {
		n, _ := s.at(at)
		share.Conns[id] = divide(string(id), n)
	}
	return share
}

func (h *Holder) concurrency(at time.Time, divide func(name string, n int) int) map[string]int {
	share := make(map[string]int, len(h.limits))
	for customer, s := range h.limits {
		floor, _ := s.at(at)
		share[customer] = divide(customer, floor+h.live(at, customer))
	}
	return share
}

func (h *Holder) live(at time.Time, customer string) int {
	if !at.Before(h.until) {
		return 0
	}
	return h.lease[customer]
}

// observe records the floors of a new configuration. The floor of a customer or
// upstream that is new to this VM is raised from 0.
func (h *Holder) observe(at time.Time, t *model.Topology) {
	if t == nil || h.topology == t {
		return
	}
	// Before the first revision of a fleet no floors were in use.
	first := h.topology == nil && (h.steady || t.LimitsRevision == firstRevision)
	widest := 0
	if h.topology != nil {
		widest = between(h.topology, t)
	}
	h.topology, h.revision, h.divided = t, t.Revision, nil
	if g := newGeneration(t); h.current.floor == nil || !g.same(&h.current) {
		h.current = g
	}
	f := newFleet(h.Self.ID, t)
	if h.limits == nil {
		h.limits = make(map[string]steps)
		h.conns = make(map[model.UpstreamID]steps)
	}
	for customer, contract := range t.Contracts {
		fixed := f.fixed(contract.Concurrency)
		h.limits[customer] = next(h.limits[customer], at, f.floor(customer, fixed), fixed, widest, first)
	}
	for id, u := range t.Upstreams {
		h.conns[id] = next(h.conns[id], at, f.conns(&u), u.MaxConns, widest, first)
	}
	maps.DeleteFunc(h.limits, func(customer string, _ steps) bool {
		_, ok := t.Contracts[customer]
		return !ok
	})
	// conns contains every upstream of the configuration, so if it has more, some
	// were removed.
	if len(h.conns) > len(t.Upstreams) {
		maps.DeleteFunc(h.conns, func(id model.UpstreamID, _ steps) bool {
			_, ok := t.Upstreams[id]
			return !ok
		})
	}
}

// next records the floor of a new configuration. If this VM skipped a
// configuration that may have had up to widest VMs, the floor may have been as
// low as with that number, so that value comes first.
func next(s steps, at time.Time, value, total, widest int, first bool) steps {
	if len(s) == 0 && !first {
		s = s.set(at, 0)
	}
	s = s.trim(at)
	if widest > 0 {
		s = s.set(at, min(value, total/widest))
	}
	return s.set(at, value)
}

// between returns the largest number of VMs that a configuration between two
// others may have had, or 0 if there is none between them. Each change adds or
// removes one VM, so a VM that is in neither of the two accounts for two
// changes.
func between(a, b *model.Topology) int {
	changes := int(b.Revision - a.Revision)
	if b.Revision <= a.Revision || changes == 1 {
		return 0
	}
	all, differ := len(b.VMs), 0
	for id := range a.VMs {
		if _, ok := b.VMs[id]; !ok {
			all++
			differ++
		}
	}
	for id := range b.VMs {
		if _, ok := a.VMs[id]; !ok {
			differ++
		}
	}
	return all + max(0, changes-differ)/2
}
