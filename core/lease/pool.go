package lease

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"comfreypulley/core/model"
)

// process is a VM's process that requests leases. A restarted process is
// another one.
type process struct {
	vm        model.VMID
	startedAt time.Time
}

// pool is the leased part of one customer's limit. The zero value is empty.
type pool struct {
	demands        map[process]reportedDemand
	leases         map[process][]grantedLease // those that may still be valid
	outstanding    int                        // sum of maxLease over all processes
	fairShares     map[process]int
	fairSharesAt   time.Time // when fairShares was computed
	fairSharesSize int       // pool size for which fairShares was computed
}

type reportedDemand struct {
	n          int
	reportedAt time.Time
}

type grantedLease struct {
	n      int
	endsAt time.Time
}

// With more than maxUncachedProcesses the fair shares are computed at most once
// per fairSharesPeriod, to bound the work of a leader with thousands of VMs.
const (
	maxUncachedProcesses = 64
	fairSharesPeriod     = 250 * time.Millisecond
)

// grant grants a process its fair share of a pool of the given size, or less if
// other processes still have more than theirs.
func (p *pool) grant(at time.Time, proc process, wanted, size int) int {
	if p.demands == nil {
		p.demands = make(map[process]reportedDemand)
		p.leases = make(map[process][]grantedLease)
	}
	if wanted > 0 {
		p.demands[proc] = reportedDemand{n: wanted, reportedAt: at}
	} else {
		delete(p.demands, proc)
	}
	p.computeFairShares(at, size)
	share, ok := p.fairShares[proc]
	if !ok {
		share = wanted
	}
	previous := p.maxLease(proc)
	share = max(0, min(wanted, share, size-(p.outstanding-previous)))
	if share > 0 {
		p.leases[proc] = append(p.leases[proc], grantedLease{n: share, endsAt: at.Add(leaseDuration + leaderMargin)})
	}
	p.outstanding += p.maxLease(proc) - previous
	return share
}

// expire removes the leases that have ended. It reports whether the pool is
// empty.
func (p *pool) expire(at time.Time) (empty bool) {
	p.outstanding = 0
	for proc, list := range p.leases {
		list = slices.DeleteFunc(list, func(l grantedLease) bool { return !at.Before(l.endsAt) })
		if len(list) == 0 {
			delete(p.leases, proc)
			continue
		}
		p.leases[proc] = list
		p.outstanding += p.maxLease(proc)
	}
	maps.DeleteFunc(p.demands, func(_ process, d reportedDemand) bool { return at.Sub(d.reportedAt) >= leaseDuration })
	return len(p.leases) == 0 && len(p.demands) == 0
}

// maxLease returns the most that a process may still be using. A response that
// lowered its lease may have been lost, so this is the largest of its valid
// leases.
func (p *pool) maxLease(proc process) int {
	n := 0
	for _, l := range p.leases[proc] {
		n = max(n, l.n)
	}
	return n
}

// computeFairShares computes the max-min fair shares: no process gets more than
// its demand, and what the others leave is divided evenly among those that
// demand more. A remainder goes to different processes in each lease period.
func (p *pool) computeFairShares(at time.Time, size int) {
	if len(p.demands) > maxUncachedProcesses && size == p.fairSharesSize && at.Sub(p.fairSharesAt) < fairSharesPeriod {
		return
	}
	p.fairSharesAt, p.fairSharesSize = at, size
	p.fairShares = make(map[process]int, len(p.demands))
	processes := slices.SortedFunc(maps.Keys(p.demands), func(a, b process) int {
		return cmp.Or(cmp.Compare(p.demands[a].n, p.demands[b].n), cmp.Compare(a.vm, b.vm), a.startedAt.Compare(b.startedAt))
	})
	remaining := max(0, size)
	for i, proc := range processes {
		share := remaining / (len(processes) - i)
		if n := p.demands[proc].n; n <= share {
			p.fairShares[proc] = n
			remaining -= n
			continue
		}
		// All remaining processes demand more than an even share.
		unsatisfied := processes[i:]
		slices.SortFunc(unsatisfied, func(a, b process) int { return cmp.Or(cmp.Compare(a.vm, b.vm), a.startedAt.Compare(b.startedAt)) })
		offset := int(at.UnixNano() / int64(leaseDuration) % int64(len(unsatisfied)))
		for j, other := range unsatisfied {
			p.fairShares[other] = share
			if (j+len(unsatisfied)-offset)%len(unsatisfied) < remaining%len(unsatisfied) {
				p.fairShares[other]++
			}
		}
		return
	}
}
