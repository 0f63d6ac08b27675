package lease

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"comfreypulley/core/model"
)

// holder is one process that requests leases.
type holder struct {
	vm    model.VMID
	start time.Time
}

// pool is the leased part of one customer's limit. The zero value is empty.
type pool struct {
	wants  map[holder]want    // demand by holder
	leases map[holder][]grant // leases that may still be valid
	out    int                // sum of the largest live lease of each holder
	fair   map[holder]int     // fair share by holder
	fairAt time.Time          // when fair was computed
	fairOf int                // size for which fair was computed
}

type want struct {
	n  int
	at time.Time
}

type grant struct {
	n     int
	until time.Time
}

// With more holders than fairHolders the fair shares are computed at most once
// per fairPause, to bound the work of a leader with thousands of holders.
const (
	fairHolders = 64
	fairPause   = 250 * time.Millisecond
)

// take grants a holder its fair share of a pool of the given size, or less if
// other holders still have more than theirs.
func (p *pool) take(at time.Time, who holder, n, size int) int {
	if p.wants == nil {
		p.wants = make(map[holder]want)
		p.leases = make(map[holder][]grant)
	}
	if n > 0 {
		p.wants[who] = want{n: n, at: at}
	} else {
		delete(p.wants, who)
	}
	p.divide(at, size)
	share, ok := p.fair[who]
	if !ok {
		share = n
	}
	before := p.held(who)
	share = max(0, min(n, share, size-(p.out-before)))
	if share > 0 {
		p.leases[who] = append(p.leases[who], grant{n: share, until: at.Add(length + uncertainty)})
	}
	p.out += p.held(who) - before
	return share
}

// expire removes the leases that have ended. It reports whether the pool is
// empty.
func (p *pool) expire(at time.Time) (empty bool) {
	p.out = 0
	for who, list := range p.leases {
		list = slices.DeleteFunc(list, func(g grant) bool { return !at.Before(g.until) })
		if len(list) == 0 {
			delete(p.leases, who)
			continue
		}
		p.leases[who] = list
		p.out += p.held(who)
	}
	maps.DeleteFunc(p.wants, func(_ holder, w want) bool { return at.Sub(w.at) >= length })
	return len(p.leases) == 0 && len(p.wants) == 0
}

// held returns the most that a holder may still be using. An answer that
// lowered its lease may have been lost, so this is the largest of its valid
// leases.
func (p *pool) held(who holder) int {
	n := 0
	for _, g := range p.leases[who] {
		n = max(n, g.n)
	}
	return n
}

// divide computes the max-min fair shares: no holder gets more than it wants,
// and what the others leave is divided evenly among those that want more. A
// remainder goes to other holders in each lease period.
func (p *pool) divide(at time.Time, size int) {
	if len(p.wants) > fairHolders && size == p.fairOf && at.Sub(p.fairAt) < fairPause {
		return
	}
	p.fairAt, p.fairOf = at, size
	p.fair = make(map[holder]int, len(p.wants))
	order := slices.SortedFunc(maps.Keys(p.wants), func(a, b holder) int {
		return cmp.Or(cmp.Compare(p.wants[a].n, p.wants[b].n), cmp.Compare(a.vm, b.vm), a.start.Compare(b.start))
	})
	left := max(0, size)
	for i, who := range order {
		share := left / (len(order) - i)
		if n := p.wants[who].n; n <= share {
			p.fair[who] = n
			left -= n
			continue
		}
		// All remaining holders want more than an even share.
		rest := order[i:]
		slices.SortFunc(rest, func(a, b holder) int { return cmp.Or(cmp.Compare(a.vm, b.vm), a.start.Compare(b.start)) })
		turn := int(at.UnixNano() / int64(length) % int64(len(rest)))
		for j, other := range rest {
			p.fair[other] = share
			if (j+len(rest)-turn)%len(rest) < left%len(rest) {
				p.fair[other]++
			}
		}
		return
	}
}
