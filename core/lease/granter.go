package lease

import (
	"maps"
	"time"

	"comfreypulley/core/effect"
	"comfreypulley/core/frame"
	"comfreypulley/core/model"
)

const scanPeriod = 250 * time.Millisecond // between scans for ended leases, to bound the work

// Granter grants leases on the leader of the log. The zero value is that of a
// VM that has never been the leader.
type Granter struct {
	history            history
	limitsRevision     model.Revision // of the current configuration
	limitsSince        time.Time      // when this VM first had that limits revision
	grantFrom          time.Time      // when granting may start
	leading            bool
	processStarts      map[model.VMID]time.Time      // of each VM, from its last request
	confirmedRevisions map[model.VMID]model.Revision // highest revision that each VM has reported since its start
	pools              map[string]*pool              // by customer
	lastScan           time.Time
	vmsByGeneration    []int          // number of VMs with each generation, nil until computed
	floorBounds        map[string]int // by customer, nil until computed; see floorBound
}

// Observe records a new configuration. It is also called on VMs that are not
// the leader.
func (g *Granter) Observe(at time.Time, t *model.Topology) {
	if t != nil && (g.limitsSince.IsZero() || t.LimitsRevision > g.limitsRevision) {
		g.limitsRevision, g.limitsSince = t.LimitsRevision, at
	}
	if t != nil && g.history.observe(at, t, g.confirmedRevisions) {
		g.floorBounds, g.vmsByGeneration = nil, nil
	}
}

// StartLeading starts a term as leader. It grants nothing until all leases of
// the previous leader have ended.
func (g *Granter) StartLeading(at time.Time) {
	*g = Granter{
		history: g.history, limitsRevision: g.limitsRevision, limitsSince: g.limitsSince, leading: true,
		grantFrom: at.Add(leaseDuration + leaderMargin), lastScan: at,
		processStarts: make(map[model.VMID]time.Time), confirmedRevisions: make(map[model.VMID]model.Revision),
		pools: make(map[string]*pool),
	}
}

// StopLeading ends the term as leader; later requests are not answered.
func (g *Granter) StopLeading() { g.leading = false }

// HandleLeaseRequest answers a VM's request with its shares. The answer
// contains no shares while leases of the previous leader may be valid, but it
// still confirms to the VM that its revision was received.
func (g *Granter) HandleLeaseRequest(
	at time.Time, from model.VMID, request frame.LeaseRequest, t *model.Topology, out []effect.Effect,
) []effect.Effect {
	if !g.leading || t == nil {
		return out
	}
	vm, ok := t.VMs[from]
	if !ok || request.ProcessStart.Before(g.processStarts[from]) {
		return out
	}
	g.Observe(at, t)
	if request.ProcessStart.After(g.processStarts[from]) {
		g.processStarts[from] = request.ProcessStart
		// Only a restart can lower a confirmed revision. The first request after an
		// election must not trigger a new count over all VMs: 6,900 of them send
		// one within 3 s.
		if g.confirmedRevisions[from] > 0 {
			g.confirmedRevisions[from] = 0
			g.floorBounds, g.vmsByGeneration = nil, nil
		}
	}
	g.confirmedRevisions[from] = max(g.confirmedRevisions[from], request.Revision)
	if at.Sub(g.lastScan) >= scanPeriod {
		g.expireLeases(at)
	}
	shares := make(map[string]int)
	if !at.Before(g.grantFrom) {
		g.grantShares(at, process{vm: from, startedAt: request.ProcessStart}, request.Demand, t, shares)
	}
	return append(out, effect.SendMessage{To: from, Addr: vm.PeerAddr, Message: frame.LeaseResponse{
		Seq: request.Seq, ExtraConcurrency: shares, Duration: leaseDuration,
		LimitsRevision: g.limitsRevision, LimitsAge: at.Sub(g.limitsSince),
	}})
}

// grantShares adds the shares that it grants, by customer, to shares.
func (g *Granter) grantShares(at time.Time, proc process, demand map[string]int, t *model.Topology, shares map[string]int) {
	for customer, p := range g.pools {
		if _, ok := p.demands[proc]; ok && demand[customer] <= 0 {
			delete(p.demands, proc)
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
		if n = p.grant(at, proc, n, contract.Concurrency-g.floorBound(at, customer, t)); n > 0 {
			shares[customer] = n
		}
	}
}

// floorBound returns an upper bound of the part of a customer's limit that the
// floors of all VMs use. The bound is cached until the next scan or
// configuration; in between the real value can only fall.
func (g *Granter) floorBound(at time.Time, customer string, t *model.Topology) int {
	n, ok := g.floorBounds[customer]
	if !ok {
		if g.floorBounds == nil {
			g.floorBounds = make(map[string]int)
		}
		if g.vmsByGeneration == nil {
			g.vmsByGeneration = g.history.countVMs(at, t, g.confirmedRevisions)
		}
		// Lease requests occur only in fleets with disk VMs.
		n = g.history.floorBound(customer, true, g.vmsByGeneration)
		g.floorBounds[customer] = n
	}
	return n
}

// expireLeases removes ended leases and resets the cached bounds.
func (g *Granter) expireLeases(at time.Time) {
	g.lastScan, g.floorBounds, g.vmsByGeneration = at, nil, nil
	maps.DeleteFunc(g.pools, func(_ string, p *pool) bool { return p.expire(at) })
}
