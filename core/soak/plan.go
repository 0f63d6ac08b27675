package soak

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// Times of faults.
const (
	shortest    = 100 * time.Millisecond
	longest     = 2500 * time.Millisecond
	maxRestart  = time.Second
	maxGap      = 700 * time.Millisecond  // between two faults of an unrestricted time
	maxFollow   = 600 * time.Millisecond  // from a fault to the next one on the same VM
	calmGap     = 1200 * time.Millisecond // between two faults of a calm time
	reuseAfter  = 2 * time.Second         // from an upstream's end until the list shows who has its address
	crashLength = 2500 * time.Millisecond // until an upstream that crashed counts as sound
	wipeAt      = 10 * time.Second        // in a cycle in which a disk is lost
	mostDelay   = 200 * time.Millisecond  // of each byte on a harmed link
)

// How faults are drawn. The cases of the switches below are equally likely.
const (
	wipeOdds   = 4  // a disk is lost in one cycle of so many
	followOdds = 3  // one fault in so many is followed by another one on the same VM
	coreOdds   = 8  // one planned stop in so many may be of a VM that holds the log
	mostPieces = 8  // that a delivery is split into
	slowBy     = 20 // factor on the service times of a slow upstream
)

// planner draws the faults of a soak. Equal seeds give equal plans.
type planner struct {
	cfg    *Config
	random *rand.Rand
	steps  []step
	drains []int
	moved  map[int]bool // upstreams that leave or change their address
}

// drawPlan draws all faults before the soak begins.
func (s *State) drawPlan() {
	p := &planner{cfg: &s.cfg, random: rand.New(rand.NewPCG(s.cfg.Seed, 2)), moved: make(map[int]bool)}
	end := settling + s.cfg.Period
	next := p.wipes()
	for from := settling; from < end; from += cycle {
		// Around a lost disk, the others that hold the log stay as they are.
		wipe := next
		next = p.wipes()
		for at := from; at < min(from+unrestricted, end); at += p.upTo(maxGap) {
			p.anyFault(at, !wipe)
		}
		for at := from + unrestricted; at < min(from+cycle, end); at += p.upTo(calmGap) {
			p.mildFault(at, !wipe && !next)
		}
		if at := from + wipeAt; wipe && at < end {
			p.kill(at, p.random.IntN(s.cfg.Controls), Spawn{Wipe: true})
		}
	}
	slices.SortStableFunc(p.steps, func(a, b step) int { return cmp.Compare(a.at, b.at) })
	for i := range p.steps {
		p.steps[i].length = min(p.steps[i].length, max(0, end-p.steps[i].at))
	}
	s.plan = p.steps
}

func (p *planner) upTo(limit time.Duration) time.Duration {
	return shortest + time.Duration(p.random.Int64N(int64(limit)))
}

// wipes draws whether a disk is lost in a cycle.
func (p *planner) wipes() bool { return p.random.IntN(wipeOdds) == 0 }

func (p *planner) add(st step) { p.steps = append(p.steps, st) }

// vm draws a VM; only one that takes callers when the log is to be spared.
func (p *planner) vm(core bool) int {
	if core {
		return p.random.IntN(p.cfg.Controls + p.cfg.Entries)
	}
	return p.cfg.Controls + p.random.IntN(p.cfg.Entries)
}

func (p *planner) whom(n int) []subject {
	who := []subject{{partVM, n}}
	if n < p.cfg.Controls {
		who = append(who, subject{part: partCore})
	}
	return who
}

// anyFault adds a fault of an unrestricted time, often followed by others on the same VM.
func (p *planner) anyFault(at time.Duration, core bool) {
	n := p.vm(core)
	switch p.random.IntN(10) {
	case 0:
		p.herd(at, core)
	case 1:
		if core {
			p.zoneCut(at)
		}
	case 2:
		p.host(at)
	case 3:
		p.host(at)
		p.host(at + p.upTo(maxFollow))
	default:
		p.process(at, n)
		for p.random.IntN(followOdds) == 0 {
			at += p.upTo(maxFollow)
			p.process(at, n)
		}
	}
}

// mildFault adds a fault of a calm time: planned work, and trouble that does not
// touch the log.
func (p *planner) mildFault(at time.Duration, core bool) {
	switch p.random.IntN(12) {
	case 0, 1, 2, 3, 4:
		n := p.vm(core && p.random.IntN(coreOdds) == 0)
		p.add(step{at: at, name: "stop", begin: []Effect{Signal{n, Stop}}, after: p.upTo(maxRestart)})
		for p.random.IntN(followOdds) == 0 {
			// A second signal while the process stops.
			at += p.upTo(2 * maxFollow)
			p.add(step{at: at, name: "signal", begin: []Effect{Signal{n, []Sign{Stop, Reload}[p.random.IntN(2)]}}, after: p.upTo(maxRestart)})
		}
	case 5:
		n := p.vm(core)
		p.add(step{at: at, name: "reload", begin: []Effect{Signal{n, Reload}}})
	case 6:
		p.drain(at)
	case 7:
		p.process(at, p.vm(false))
	case 8:
		p.swap(at)
	default:
		p.host(at)
	}
}

// process adds a fault of one VM or its links.
func (p *planner) process(at time.Duration, n int) {
	length := p.upTo(longest)
	link := func(name string, place Place, h Harm) {
		p.add(step{
			at: at, length: length, name: name, subjects: p.whom(n),
			begin: []Effect{Set{place, n, h}}, end: []Effect{Set{Place: place, Index: n}, Reset{place, n}},
		})
	}
	places := []Place{Peers}
	if n >= p.cfg.Controls {
		places = append(places, Callers)
	}
	place := places[p.random.IntN(len(places))]
	switch p.random.IntN(12) {
	case 0, 1:
		p.kill(at, n, Spawn{})
	case 2:
		p.kill(at, n, Spawn{Tear: n < p.cfg.Controls})
	case 3:
		p.add(step{at: at, name: "stop", begin: []Effect{Signal{n, Stop}}, after: p.upTo(maxRestart)})
	case 4, 5:
		p.add(step{
			at: at, length: length, name: "pause", subjects: p.whom(n),
			begin: []Effect{Signal{n, Pause}}, end: []Effect{Signal{n, Resume}},
		})
	case 6:
		link("cut", place, Harm{Cut: true})
	case 7:
		link("one way", place, p.oneWay())
	case 8:
		link("late", place, Harm{Delay: p.upTo(mostDelay)})
	case 9:
		link("refused", place, Harm{Refuse: true})
	case 10:
		link("pieces", place, Harm{In: Flow{Pieces: 1 + p.random.IntN(mostPieces)}, Out: Flow{Pieces: 1 + p.random.IntN(mostPieces)}})
	default:
		p.add(step{at: at, length: shortest, name: "reset", subjects: p.whom(n), begin: []Effect{Reset{place, n}}})
	}
}

func (p *planner) oneWay() Harm {
	f := Flow{Hold: p.random.IntN(2) == 0}
	f.Lose = !f.Hold
	if p.random.IntN(2) == 0 {
		return Harm{In: f}
	}
	return Harm{Out: f}
}

// kill adds the death of a process and how it starts again.
func (p *planner) kill(at time.Duration, n int, how Spawn) {
	name := "kill"
	switch {
	case how.Wipe:
		name = "lost disk"
	case how.Tear:
		name = "torn write"
	}
	p.add(step{at: at, name: name, begin: []Effect{Signal{n, Kill}}, how: how, after: p.upTo(maxRestart)})
}

// herd adds the death or pause of many processes at the same moment.
func (p *planner) herd(at time.Duration, core bool) {
	first := 0
	if !core {
		first = p.cfg.Controls
	}
	zone := p.random.IntN(p.cfg.Zones + 1) // the last one means all
	sign := []Sign{Kill, Kill, Pause}[p.random.IntN(3)]
	st := step{at: at, name: "herd " + sign.String(), after: p.upTo(maxRestart)}
	for n := first; n < p.cfg.Controls+p.cfg.Entries; n++ {
		if zone < p.cfg.Zones && n%p.cfg.Zones != zone {
			continue
		}
		st.begin = append(st.begin, Signal{n, sign})
		if sign == Pause {
			st.end = append(st.end, Signal{n, Resume})
			st.subjects = append(st.subjects, p.whom(n)...)
			st.length = p.upTo(longest)
		}
	}
	p.add(st)
}

// zoneCut adds a time in which VMs of one zone and those of the others do not
// reach each other.
func (p *planner) zoneCut(at time.Duration) {
	zone := p.random.IntN(p.cfg.Zones)
	st := step{at: at, length: p.upTo(longest), name: "zone cut", subjects: []subject{{part: partCore}}}
	for n := range p.cfg.Controls + p.cfg.Entries {
		var h Harm
		for other := range p.cfg.Zones {
			if (other == zone) != (n%p.cfg.Zones == zone) {
				h.Zones = append(h.Zones, other)
			}
		}
		st.begin = append(st.begin, Set{Peers, n, h})
		st.end = append(st.end, Set{Place: Peers, Index: n})
		st.subjects = append(st.subjects, subject{partVM, n})
	}
	p.add(st)
}

// host adds a fault of an upstream, its links or the list of upstreams.
func (p *planner) host(at time.Duration) {
	n := p.upstream()
	st := step{at: at, length: p.upTo(longest), subjects: []subject{{partHost, n}}}
	harm := func(name string, h Harm) {
		st.name, st.begin, st.end = name, []Effect{Set{Hosts, n, h}}, []Effect{Set{Place: Hosts, Index: n}, Reset{Hosts, n}}
	}
	switch p.random.IntN(9) {
	case 0, 1:
		st.name, st.length, st.begin = "upstream crash", crashLength, []Effect{Upstream{Host: n, Crash: true}}
	case 2:
		st.name, st.begin, st.end = "upstream slow", []Effect{Upstream{Host: n, Slow: slowBy}}, []Effect{Upstream{Host: n, Slow: 1}}
	case 3:
		harm("upstream cut", Harm{Cut: true})
	case 4:
		harm("upstream one way", p.oneWay())
	case 5:
		harm("upstream late", Harm{Delay: p.upTo(mostDelay)})
	case 6:
		harm("upstream pieces", Harm{Out: Flow{Pieces: 1 + p.random.IntN(mostPieces)}})
	case 7:
		st.name, st.subjects = "list silent", []subject{{part: partCore}}
		st.begin, st.end = []Effect{Roster{Mute: true}}, []Effect{Roster{}}
	default:
		st.name, st.length, st.begin = "upstream reset", shortest, []Effect{Reset{Hosts, n}}
	}
	p.add(st)
}

// upstream draws an upstream. Most requests go to those of the plain service, and
// hardly any to those that follow the changes.
func (p *planner) upstream() int {
	last := len(p.cfg.Hosts) - movers
	switch p.random.IntN(5) {
	case 0:
		return p.random.IntN(len(p.cfg.Hosts))
	case 1, 2:
		return p.random.IntN(last)
	default:
		return last - 1 - p.random.IntN(plainHosts)
	}
}

// swap adds two upstreams of different services that end and come back each at
// the address of the other. The list shows it only later.
func (p *planner) swap(at time.Duration) {
	a, b := p.upstream(), p.upstream()
	if p.cfg.Hosts[a].Service == p.cfg.Hosts[b].Service || p.moved[a] || p.moved[b] {
		return
	}
	p.moved[a], p.moved[b] = true, true
	p.add(step{
		at: at, length: reuseAfter, name: "address reuse", subjects: []subject{{partHost, a}, {partHost, b}},
		begin: []Effect{Swap{A: a, B: b}, Upstream{Host: a, Crash: true}, Upstream{Host: b, Crash: true}},
		end:   []Effect{Swap{A: a, B: b, Listed: true}},
	})
}

// drain adds the leaving of an upstream that another one replaces.
func (p *planner) drain(at time.Duration) {
	service := make(map[string]bool)
	for _, n := range p.drains {
		service[p.cfg.Hosts[n].Service] = true
	}
	n := p.random.IntN(len(p.cfg.Hosts) - movers)
	if service[p.cfg.Hosts[n].Service] || p.moved[n] {
		return
	}
	p.moved[n] = true
	p.drains = append(p.drains, n)
	p.add(step{at: at, name: "drain", begin: []Effect{Roster{Drained: []int{n}}}})
}
