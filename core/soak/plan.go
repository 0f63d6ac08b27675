package soak

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// Times of faults.
const (
	minRandomTime      = 100 * time.Millisecond
	maxFaultTime       = 2500 * time.Millisecond
	maxRestartDelay    = time.Second
	maxUnrestrictedGap = 700 * time.Millisecond  // between two faults of the unrestricted time
	maxFollowGap       = 600 * time.Millisecond  // from a fault to the next one on the same VM
	maxCalmGap         = 1200 * time.Millisecond // between two faults of the calmer time
	addressReuseTime   = 2 * time.Second         // from an upstream's end until the list shows which upstream has its address
	crashRecovery      = 2500 * time.Millisecond // until an upstream that crashed must work again
	wipeOffset         = 10 * time.Second        // of a disk loss from the start of its cycle
	maxLinkDelay       = 200 * time.Millisecond  // of each byte on a delayed link
)

// How faults are drawn. An odds of n means one in n. The cases of the switches
// below are equally likely.
const (
	wipeOdds    = 4  // of a disk loss in a cycle
	followOdds  = 3  // of another fault on the same VM after a fault
	logStopOdds = 8  // of a planned stop that may hit a VM with the log
	maxPieces   = 8  // of a received chunk
	slowFactor  = 20 // factor on the service times of a slow upstream
)

// planner draws the faults of a run. Equal seeds give equal plans.
type planner struct {
	cfg      *Config
	random   *rand.Rand
	faults   []plannedFault
	drained  []int        // upstreams listed as draining
	replaced map[int]bool // upstreams that drain or change their address
}

// drawPlan draws all faults before the run starts.
func (s *State) drawPlan() {
	p := &planner{cfg: &s.cfg, random: rand.New(rand.NewPCG(s.cfg.Seed, 2)), replaced: make(map[int]bool)}
	end := settleTime + s.cfg.FaultPeriod
	next := p.drawWipe()
	for from := settleTime; from < end; from += cycleLength {
		// Spare the VMs with the log in a cycle in which one of them loses its
		// disk, and in the calmer time of the cycle before.
		wipe := next
		next = p.drawWipe()
		for at := from; at < min(from+unrestrictedTime, end); at += p.randomDuration(maxUnrestrictedGap) {
			p.addUnrestrictedFault(at, !wipe)
		}
		for at := from + unrestrictedTime; at < min(from+cycleLength, end); at += p.randomDuration(maxCalmGap) {
			p.addCalmFault(at, !wipe && !next)
		}
		if at := from + wipeOffset; wipe && at < end {
			p.addKill(at, p.random.IntN(s.cfg.LogVMs), StartVM{WipeDisk: true})
		}
	}
	p.addPauses(end)
	p.addZoneOrders(end)
	slices.SortStableFunc(p.faults, func(a, b plannedFault) int { return cmp.Compare(a.offset, b.offset) })
	for i := range p.faults {
		p.faults[i].duration = min(p.faults[i].duration, max(0, end-p.faults[i].offset))
	}
	s.plan = p.faults
}

// randomDuration draws from minRandomTime up to limit more.
func (p *planner) randomDuration(limit time.Duration) time.Duration {
	return minRandomTime + time.Duration(p.random.Int64N(int64(limit)))
}

// drawWipe draws whether a VM loses its disk in a cycle.
func (p *planner) drawWipe() bool { return p.random.IntN(wipeOdds) == 0 }

func (p *planner) add(f plannedFault) { p.faults = append(p.faults, f) }

// drawVM draws a VM, an entry VM unless includeLog is set.
func (p *planner) drawVM(includeLog bool) int {
	if includeLog {
		return p.random.IntN(p.cfg.LogVMs + p.cfg.EntryVMs)
	}
	return p.cfg.LogVMs + p.random.IntN(p.cfg.EntryVMs)
}

// vmComponents returns what a fault of a VM disturbs: the VM, and the log if the VM
// replicates it.
func (p *planner) vmComponents(n int) []component {
	affected := []component{{componentVM, n}}
	if n < p.cfg.LogVMs {
		affected = append(affected, component{kind: componentLog})
	}
	return affected
}

// addUnrestrictedFault adds a fault of the unrestricted time, at random followed by
// others on the same VM. Without includeLog it spares the VMs with the log.
func (p *planner) addUnrestrictedFault(at time.Duration, includeLog bool) {
	n := p.drawVM(includeLog)
	switch p.random.IntN(10) {
	case 0:
		p.addMassFault(at, includeLog)
	case 1:
		if includeLog {
			p.addZoneCut(at)
		}
	case 2:
		p.addUpstreamFault(at)
	case 3:
		p.addUpstreamFault(at)
		p.addUpstreamFault(at + p.randomDuration(maxFollowGap))
	default:
		p.addVMFault(at, n)
		for p.random.IntN(followOdds) == 0 {
			at += p.randomDuration(maxFollowGap)
			p.addVMFault(at, n)
		}
	}
}

// addCalmFault adds a fault of the calmer time: a planned stop, reload or drain, or
// a fault that does not affect the log.
func (p *planner) addCalmFault(at time.Duration, includeLog bool) {
	switch p.random.IntN(12) {
	case 0, 1, 2, 3, 4:
		n := p.drawVM(includeLog && p.random.IntN(logStopOdds) == 0)
		p.add(plannedFault{offset: at, name: "stop", begin: []Effect{Signal{n, Stop}}, restartDelay: p.randomDuration(maxRestartDelay)})
		for p.random.IntN(followOdds) == 0 {
			// Another signal while the process shuts down.
			at += p.randomDuration(2 * maxFollowGap)
			p.add(plannedFault{
				offset: at, name: "signal", begin: []Effect{Signal{n, []SignalKind{Stop, Reload}[p.random.IntN(2)]}},
				restartDelay: p.randomDuration(maxRestartDelay),
			})
		}
	case 5:
		n := p.drawVM(includeLog)
		p.add(plannedFault{offset: at, name: "reload", begin: []Effect{Signal{n, Reload}}})
	case 6:
		p.addDrain(at)
	case 7:
		p.addVMFault(at, p.drawVM(false))
	case 8:
		p.addSwap(at)
	default:
		p.addUpstreamFault(at)
	}
}

// addVMFault adds a fault of one VM or of a link to it.
func (p *planner) addVMFault(at time.Duration, n int) {
	length := p.randomDuration(maxFaultTime)
	addLinkFault := func(name string, kind LinkKind, faults LinkFaults) {
		p.add(plannedFault{
			offset: at, duration: length, name: name, components: p.vmComponents(n),
			begin: []Effect{SetLinkFaults{kind, n, faults}}, end: []Effect{SetLinkFaults{Link: kind, Index: n}, ResetLink{kind, n}},
		})
	}
	links := []LinkKind{PeerLink}
	if n >= p.cfg.LogVMs {
		links = append(links, CallerLink)
	}
	kind := links[p.random.IntN(len(links))]
	switch p.random.IntN(12) {
	case 0, 1:
		p.addKill(at, n, StartVM{})
	case 2:
		p.addKill(at, n, StartVM{TornWrite: n < p.cfg.LogVMs})
	case 3:
		p.add(plannedFault{offset: at, name: "stop", begin: []Effect{Signal{n, Stop}}, restartDelay: p.randomDuration(maxRestartDelay)})
	case 4, 5:
		p.add(plannedFault{
			offset: at, duration: length, name: "pause", components: p.vmComponents(n),
			begin: []Effect{Signal{n, Pause}}, end: []Effect{Signal{n, Resume}},
		})
	case 6:
		addLinkFault("cut", kind, LinkFaults{Cut: true})
	case 7:
		addLinkFault("one way", kind, p.oneWayFault())
	case 8:
		addLinkFault("late", kind, LinkFaults{Delay: p.randomDuration(maxLinkDelay)})
	case 9:
		addLinkFault("refused", kind, LinkFaults{Refuse: true})
	case 10:
		addLinkFault("pieces", kind, LinkFaults{
			Up: StreamFaults{Pieces: 1 + p.random.IntN(maxPieces)}, Down: StreamFaults{Pieces: 1 + p.random.IntN(maxPieces)},
		})
	default:
		p.add(plannedFault{
			offset: at, duration: minRandomTime, name: "reset", components: p.vmComponents(n), begin: []Effect{ResetLink{kind, n}},
		})
	}
}

// oneWayFault returns the stall or the loss of all bytes in one direction.
func (p *planner) oneWayFault() LinkFaults {
	f := StreamFaults{Stall: p.random.IntN(2) == 0}
	f.Drop = !f.Stall
	if p.random.IntN(2) == 0 {
		return LinkFaults{Up: f}
	}
	return LinkFaults{Down: f}
}

// addKill adds the kill of a process that is started again as respawn says.
func (p *planner) addKill(at time.Duration, n int, respawn StartVM) {
	name := "kill"
	switch {
	case respawn.WipeDisk:
		name = "lost disk"
	case respawn.TornWrite:
		name = "torn write"
	}
	p.add(plannedFault{
		offset: at, name: name, begin: []Effect{Signal{n, Kill}}, respawn: respawn, restartDelay: p.randomDuration(maxRestartDelay),
	})
}

// addMassFault adds the kill or pause of all processes, or those of one zone, at
// the same moment.
func (p *planner) addMassFault(at time.Duration, includeLog bool) {
	first := 0
	if !includeLog {
		first = p.cfg.LogVMs
	}
	zone := p.random.IntN(p.cfg.Zones + 1) // Zones means all of them
	signal := []SignalKind{Kill, Kill, Pause}[p.random.IntN(3)]
	f := plannedFault{offset: at, name: "herd " + signal.String(), restartDelay: p.randomDuration(maxRestartDelay)}
	for n := first; n < p.cfg.LogVMs+p.cfg.EntryVMs; n++ {
		if zone < p.cfg.Zones && n%p.cfg.Zones != zone {
			continue
		}
		f.begin = append(f.begin, Signal{n, signal})
		if signal == Pause {
			f.end = append(f.end, Signal{n, Resume})
			f.components = append(f.components, p.vmComponents(n)...)
			f.duration = p.randomDuration(maxFaultTime)
		}
	}
	p.add(f)
}

// addZoneCut adds a partition between the VMs of one zone and those of the others.
func (p *planner) addZoneCut(at time.Duration) {
	zone := p.random.IntN(p.cfg.Zones)
	f := plannedFault{offset: at, duration: p.randomDuration(maxFaultTime), name: "zone cut", components: []component{{kind: componentLog}}}
	for n := range p.cfg.LogVMs + p.cfg.EntryVMs {
		var faults LinkFaults
		for other := range p.cfg.Zones {
			if (other == zone) != (n%p.cfg.Zones == zone) {
				faults.Zones = append(faults.Zones, other)
			}
		}
		f.begin = append(f.begin, SetLinkFaults{PeerLink, n, faults})
		f.end = append(f.end, SetLinkFaults{Link: PeerLink, Index: n})
		f.components = append(f.components, component{componentVM, n})
	}
	p.add(f)
}

// addUpstreamFault adds a fault of an upstream, of its link or of the list of
// upstreams.
func (p *planner) addUpstreamFault(at time.Duration) {
	n := p.drawUpstream()
	f := plannedFault{offset: at, duration: p.randomDuration(maxFaultTime), components: []component{{componentUpstream, n}}}
	setLink := func(name string, faults LinkFaults) {
		f.name, f.begin, f.end = name, []Effect{SetLinkFaults{UpstreamLink, n, faults}},
			[]Effect{SetLinkFaults{Link: UpstreamLink, Index: n}, ResetLink{UpstreamLink, n}}
	}
	switch p.random.IntN(9) {
	case 0, 1:
		f.name, f.duration, f.begin = "upstream crash", crashRecovery, []Effect{ChangeUpstream{Upstream: n, Crash: true}}
	case 2:
		f.name, f.begin, f.end = "upstream slow", []Effect{ChangeUpstream{Upstream: n, SlowFactor: slowFactor}},
			[]Effect{ChangeUpstream{Upstream: n, SlowFactor: 1}}
	case 3:
		setLink("upstream cut", LinkFaults{Cut: true})
	case 4:
		setLink("upstream one way", p.oneWayFault())
	case 5:
		setLink("upstream late", LinkFaults{Delay: p.randomDuration(maxLinkDelay)})
	case 6:
		setLink("upstream pieces", LinkFaults{Down: StreamFaults{Pieces: 1 + p.random.IntN(maxPieces)}})
	case 7:
		f.name, f.components = "list silent", []component{{kind: componentLog}}
		f.begin, f.end = []Effect{SetUpstreamList{Silent: true}}, []Effect{SetUpstreamList{}}
	default:
		f.name, f.duration, f.begin = "upstream reset", minRandomTime, []Effect{ResetLink{UpstreamLink, n}}
	}
	p.add(f)
}

// drawUpstream draws an upstream. It prefers those of the plain service, which
// receive most requests, to those of the Move route, which receive hardly any.
func (p *planner) drawUpstream() int {
	last := len(p.cfg.Upstreams) - moveServices
	switch p.random.IntN(5) {
	case 0:
		return p.random.IntN(len(p.cfg.Upstreams))
	case 1, 2:
		return p.random.IntN(last)
	default:
		return last - 1 - p.random.IntN(plainUpstreams)
	}
}

// addSwap adds the crash of two upstreams of different services, each of which comes
// back at the other's address. The list of upstreams shows this only later.
func (p *planner) addSwap(at time.Duration) {
	a, b := p.drawUpstream(), p.drawUpstream()
	if p.cfg.Upstreams[a].Service == p.cfg.Upstreams[b].Service || p.replaced[a] || p.replaced[b] {
		return
	}
	p.replaced[a], p.replaced[b] = true, true
	p.add(plannedFault{
		offset: at, duration: addressReuseTime, name: "address reuse", components: []component{{componentUpstream, a}, {componentUpstream, b}},
		begin: []Effect{SwapUpstreams{A: a, B: b}, ChangeUpstream{Upstream: a, Crash: true}, ChangeUpstream{Upstream: b, Crash: true}},
		end:   []Effect{SwapUpstreams{A: a, B: b, Listed: true}},
	})
}

// addDrain adds the draining of an upstream, at most one of each service.
func (p *planner) addDrain(at time.Duration) {
	drainedServices := make(map[string]bool)
	for _, n := range p.drained {
		drainedServices[p.cfg.Upstreams[n].Service] = true
	}
	n := p.random.IntN(len(p.cfg.Upstreams) - moveServices)
	if drainedServices[p.cfg.Upstreams[n].Service] || p.replaced[n] {
		return
	}
	p.replaced[n] = true
	p.drained = append(p.drained, n)
	p.add(plannedFault{offset: at, name: "drain", begin: []Effect{SetUpstreamList{Drained: []int{n}}}})
}
