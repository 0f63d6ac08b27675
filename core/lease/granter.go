package lease

import (
	"maps"
	"time"

	"comfreypulley/core/effect"
	"comfreypulley/core/frame"
	"comfreypulley/core/model"
)

const sweep = 250 * time.Millisecond // between scans of all leases, to bound the work

// Granter leases the leased half of the limits on the leader of the log. The
// zero value is that of a VM that has never been the leader.
type Granter struct {
	history   history
	moved     model.Revision // Topology.Moved of the current configuration
	movedAt   time.Time      // when this VM first had a configuration with that value
	from      time.Time      // when granting may start
	leads     bool
	starts    map[model.VMID]time.Time      // start of the process by VM, from its last request
	confirmed map[model.VMID]model.Revision // highest revision that a VM has reported since its start
	pools     map[string]*pool              // by customer
	swept     time.Time                     // last scan of the leases
	behind    []int                         // number of VMs by generation of their configuration, nil until computed
	used      map[string]int                // bound of the floors of all VMs by customer, cached until the next scan
}

// Observe records a new configuration. It is also called on VMs that are not
// the leader.
func (g *Granter) Observe(at time.Time, t *model.Topology) {
	if t != nil && (g.movedAt.IsZero() || t.LimitsRevision > g.moved) {
		g.moved, g.movedAt = t.LimitsRevision, at
	}
	if t != nil && g.history.observe(at, t, g.confirmed) {
		g.used, g.behind = nil, nil
	}
}

// Lead starts a term as leader. It grants nothing until all leases of the
// previous leader have ended.
func (g *Granter) Lead(at time.Time) {
	*g = Granter{
		history: g.history, moved: g.moved, movedAt: g.movedAt, leads: true, from: at.Add(length + uncertainty), swept: at,
		starts: make(map[model.VMID]time.Time), confirmed: make(map[model.VMID]model.Revision), pools: make(map[string]*pool),
	}
}

// Resign ends the term as leader; later requests get no answer.
func (g *Granter) Resign() { g.leads = false }

// Ask answers a VM's request with its shares. The answer contains no shares
// while leases of the previous leader may be valid, but it still confirms to
// the VM that its revision was received.
func (g *Granter) Ask(
	at time.Time, from model.VMID, a frame.LeaseRequest, t *model.Topology, out []effect.Effect,
) []effect.Effect {
	if !g.leads || t == nil {
		return out
	}
	vm, ok := t.VMs[from]
	if !ok || a.ProcessStart.Before(g.starts[from]) {
		return out
	}
	g.Observe(at, t)
	if a.ProcessStart.After(g.starts[from]) {
		g.starts[from] = a.ProcessStart
		// Only a restart can lower a confirmed revision. The first request after an
		// election must not trigger a new count over all VMs: 6,900 of them send
		// one within 3 s.
		if g.confirmed[from] > 0 {
			g.confirmed[from] = 0
			g.used, g.behind = nil, nil
		}
	}
	g.confirmed[from] = max(g.confirmed[from], a.Revision)
	if at.Sub(g.swept) >= sweep {
		g.sweep(at)
	}
	shares := make(map[string]int)
	if !at.Before(g.from) {
		g.grant(at, holder{vm: from, start: a.ProcessStart}, a.Demand, t, shares)
	}
	return append(out, effect.SendMessage{To: from, Addr: vm.PeerAddr, Message: frame.LeaseResponse{
		Seq: a.Seq, ExtraConcurrency: shares, Duration: length, LimitsRevision: g.moved, LimitsAge: at.Sub(g.movedAt),
	}})
}

func (g *Granter) grant(at time.Time, who holder, demand map[string]int, t *model.Topology, shares map[string]int) {
	for customer, p := range g.pools {
		if _, ok := p.wants[who]; ok && demand[customer] <= 0 {
			delete(p.wants, who)
		}
	}
	for customer, n := range demand {
		contract, ok := t.Contracts[customer]
		if !ok || contract.Retired || n <= 0 {
			continue
		}
		p := g.pools[customer]
		if p == nil {
			p = &pool{}
			g.pools[customer] = p
		}
		if n = p.take(at, who, n, contract.Concurrency-g.floors(at, customer, t)); n > 0 {
			shares[customer] = n
		}
	}
}

// floors returns an upper bound of what the floors of all VMs take of a
// customer's limit. The bound is cached until the next scan or configuration;
// in between the real value can only fall.
func (g *Granter) floors(at time.Time, customer string, t *model.Topology) int {
	n, ok := g.used[customer]
	if !ok {
		if g.used == nil {
			g.used = make(map[string]int)
		}
		if g.behind == nil {
			g.behind = g.history.behind(at, t, g.confirmed)
		}
		// Lease requests occur only in fleets with disk VMs, so leased is always
		// true.
		n = g.history.used(customer, true, g.behind)
		g.used[customer] = n
	}
	return n
}

func (g *Granter) sweep(at time.Time) {
	g.swept, g.used, g.behind = at, nil, nil
	maps.DeleteFunc(g.pools, func(_ string, p *pool) bool { return p.expire(at) })
}
