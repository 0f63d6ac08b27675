package lease

import (
	"maps"
	"time"

	"comfreypulley/core/effect"
	"comfreypulley/core/frame"
	"comfreypulley/core/model"
)

const sweep = 250 * time.Millisecond // between passes over the leases, to bound the work

// Granter leases the shared half of the limits while its VM leads the log. The
// zero value has not led.
type Granter struct {
	history   history
	moved     model.Revision // of the configuration in force
	movedAt   time.Time      // when this VM first had it in force
	from      time.Time      // when it may grant
	leads     bool
	starts    map[model.VMID]time.Time
	confirmed map[model.VMID]model.Revision
	pools     map[string]*pool
	swept     time.Time
	behind    []int          // VMs by generation, since the last pass
	used      map[string]int // by floors, since the last pass
}

// Observe takes a new configuration, also on VMs that do not lead.
func (g *Granter) Observe(at time.Time, t *model.Topology) {
	if t != nil && (g.movedAt.IsZero() || t.LimitsRevision > g.moved) {
		g.moved, g.movedAt = t.LimitsRevision, at
	}
	if t != nil && g.history.observe(at, t, g.confirmed) {
		g.used, g.behind = nil, nil
	}
}

// Lead starts a term as leader. Leases of the leader before may run for one
// period more, in which this one grants nothing.
func (g *Granter) Lead(at time.Time) {
	*g = Granter{
		history: g.history, moved: g.moved, movedAt: g.movedAt, leads: true, from: at.Add(length + uncertainty), swept: at,
		starts: make(map[model.VMID]time.Time), confirmed: make(map[model.VMID]model.Revision), pools: make(map[string]*pool),
	}
}

// Resign ends the term as leader: asks get no answer any more.
func (g *Granter) Resign() { g.leads = false }

// Ask answers a VM with its shares. The answer is empty while the leases of the
// leader before may run; it still tells that the VM's revision was heard.
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
		// Only a restart lowers what is confirmed. A first ask after an election
		// must not count all VMs again: 6,900 of them ask within 3 s.
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

// floors is what the floors may take of a customer's limit. It is computed
// again after each pass and each new configuration; in between it only falls.
func (g *Granter) floors(at time.Time, customer string, t *model.Topology) int {
	n, ok := g.used[customer]
	if !ok {
		if g.used == nil {
			g.used = make(map[string]int)
		}
		if g.behind == nil {
			g.behind = g.history.behind(at, t, g.confirmed)
		}
		// Grants are only asked for in fleets with disk VMs.
		n = g.history.used(customer, true, g.behind)
		g.used[customer] = n
	}
	return n
}

func (g *Granter) sweep(at time.Time) {
	g.swept, g.used, g.behind = at, nil, nil
	maps.DeleteFunc(g.pools, func(_ string, p *pool) bool { return p.expire(at) })
}
