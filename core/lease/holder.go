package lease

import (
	"maps"
	"time"

	"comfreypulley/core/effect"
	"comfreypulley/core/frame"
	"comfreypulley/core/model"
)

// Pace of the asks.
const (
	askPause = 100 * time.Millisecond // between asks at least
	askAgain = time.Second            // to renew a lease, a third of its length
	confirm  = 3 * time.Second        // to repeat an ask that only tells the revision
	maxOpen  = 32                     // asks without an answer; older ones have no use

	firstRevision = 1 // of a fleet's configuration
)

// Holder is one VM's share of the limits. Self and Began are set before use.
type Holder struct {
	Self  model.VM
	Began time.Time // start of the process

	steady   bool
	revision model.Revision
	topology *model.Topology
	limits   map[string]steps
	conns    map[model.UpstreamID]steps

	n         uint64
	open      map[uint64]ask
	asked     time.Time
	wanted    map[string]int // in the last ask
	leader    model.VMID
	confirmed model.Revision // told to leader, which answered
	current   generation     // of the topology; the leader is told when it changes

	divided  []map[model.UpstreamID]int // connections by loop, nil when they are to be divided again
	division uint64                     // number of divided
	redivide time.Time                  // when a waiting floor of connections comes into use, zero when none waits

	granted uint64 // ask of the lease
	lease   map[string]int
	until   time.Time
}

// ask is an ask without an answer.
type ask struct {
	at       time.Time
	revision model.Revision
}

// Steady tells that the first configuration has been in force everywhere for
// 6 s, so that its floors count at once. It is for fleets whose configuration
// comes from the settings.
func (h *Holder) Steady() { h.steady = true }

// Ask asks the leader for what the demand is above the floors, and tells it
// which configuration is in force. It sends nothing when there is nothing new,
// or before the first Share.
func (h *Holder) Ask(at time.Time, leader model.VM, demand map[string]int, out []effect.Effect) []effect.Effect {
	if leader.ID == "" || h.topology == nil {
		return out
	}
	if leader.ID != h.leader {
		// VMs without demand spread their first asks over the period.
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
		// Numbers of an earlier process are all lower, so that its grants do not count.
		h.n = uint64(h.Began.UnixNano())
	}
	h.n++
	h.asked, h.wanted = at, wanted
	h.remember(at)
	return append(out, effect.SendMessage{To: leader.ID, Addr: leader.PeerAddr, Message: frame.LeaseRequest{
		Seq: h.n, ProcessStart: h.Began, Revision: h.revision, Demand: wanted,
	}})
}

// due reports whether there is a reason to ask now.
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
	// A lease that is no longer wanted is given back for others.
	if len(wanted) == 0 && len(h.lease) > 0 && at.Before(h.until) && since >= askAgain {
		return true
	}
	// A VM that has just started asks at once, as the answer may put its floors
	// into use.
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

// Granted takes a grant. It reports whether the shares change. The lease runs
// from the ask, and only the answer to a later ask replaces it.
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

// settle takes the waiting floors into use when the leader has had the same
// VMs and limits in force for so long that no VM uses older floors. It spares a
// restarted VM the wait.
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

// waiting reports whether a floor is not in use yet.
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

// Share returns what each of the traffic loops may use at least: the floors in
// use plus the live lease, divided by the number of loops and rounded down.
func (h *Holder) Share(at time.Time, t *model.Topology, loops int) model.Quota {
	h.observe(at, t)
	return h.part(at, func(_ string, n int) int { return n / max(1, loops) })
}

// split is the part of one loop in n, without a remainder over all loops.
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

// Shares divides what the VM may use over its traffic loops without a
// remainder. Which loop has one more depends on the name, so that not all small
// shares go to the same loop.
func (h *Holder) Shares(at time.Time, t *model.Topology, loops int) []model.Quota {
	h.observe(at, t)
	loops = max(1, loops)
	// A lease changes no connections, of which there may be tens of thousands.
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

// divide divides the connections in use over the loops.
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

// Next returns when the shares change without an event, zero when they do not.
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

// part makes a share of what divide leaves of each limit.
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

// observe takes the floors of a new configuration. A customer or upstream that
// is new to this VM is raised from 0.
func (h *Holder) observe(at time.Time, t *model.Topology) {
	if t == nil || h.topology == t {
		return
	}
	// Nothing was in force before the first revision of a fleet.
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
	// All of the configuration are in conns, so that more means removed ones.
	if len(h.conns) > len(t.Upstreams) {
		maps.DeleteFunc(h.conns, func(id model.UpstreamID, _ steps) bool {
			_, ok := t.Upstreams[id]
			return !ok
		})
	}
}

// next takes a floor of a new configuration. With widest VMs in a configuration
// that this VM did not see, the floor has been as low as that for a moment.
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
// others may have had, 0 when there is none between. A change adds or removes
// one VM, so a VM that is in neither took two changes.
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
