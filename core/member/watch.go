package member

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"comfreypulley/core/effect"
	"comfreypulley/core/event"
	"comfreypulley/core/frame"
	"comfreypulley/core/model"
)

// Pace of the watch.
const (
	period    = time.Second         // of digests
	missed    = 3*period + period/2 // three digests, and half a period for their delay
	pingWait  = period / 2          // of a witness for its target
	probeWait = period + period/2   // for the witnesses' answers
	again     = 5 * period          // between direct pings of a suspected VM
	witnesses = 2                   // asked in one round
	rounds    = 2                   // without any answer of a witness; one round may only show that they failed too
	forgotten = 0.1                 // penalty below which a VM that is not watched is forgotten
	hintAfter = period + period/2   // silence after which the platform's list starts a probe
)

var timerID = event.TimerID{Kind: event.TimerLiveness}

// Watch decides which VMs are suspected. Self and Seed are set before use.
type Watch struct {
	Self model.VM
	Seed uint64

	vms    map[model.VMID]model.VM
	states map[model.VMID]*state
	relays map[uint64]relay
	rng    *rand.Rand
	n      uint64
	armed  time.Time // when the timer is due, zero when it is not set
}

// state is what is known of one VM.
type state struct {
	watched  bool // it sends its digests here
	last     time.Time
	probe    *probe
	suspect  bool
	damped   bool // alive, but kept suspected for its flaps
	pinged   time.Time
	ping     uint64
	penalty  penalty
	asserted string // cause of the suspicion
}

// probe is one round of indirect probes.
type probe struct {
	n        uint64
	round    int
	asked    []model.VMID
	failed   int // witnesses that did not reach the VM
	deadline time.Time
}

// relay is a probe that this VM makes for another.
type relay struct {
	asker    model.VMID
	n        uint64
	target   model.VMID
	deadline time.Time
}

// Register takes the registered VMs and forgets the others.
func (w *Watch) Register(vms map[model.VMID]model.VM) {
	w.vms = vms
	maps.DeleteFunc(w.states, func(id model.VMID, _ *state) bool {
		_, ok := vms[id]
		return !ok
	})
}

// Heard takes a digest of a VM as its heartbeat.
func (w *Watch) Heard(at time.Time, vm model.VMID, out []effect.Effect) []effect.Effect {
	if vm == w.Self.ID {
		return out
	}
	s := w.state(vm)
	s.watched, s.last, s.probe = true, at, nil
	out = w.alive(at, vm, s, "it sent a digest", out)
	return w.arm(at, out)
}

// Peer handles Ping, Pong, Probe and Probed.
func (w *Watch) Peer(at time.Time, from model.VMID, m frame.Message, out []effect.Effect) []effect.Effect {
	switch m := m.(type) {
	case frame.Ping:
		return w.tell(from, frame.Pong(m), out)
	case frame.Pong:
		return w.ponged(at, from, m.Seq, out)
	case frame.IndirectPing:
		return w.relayed(at, from, m, out)
	case frame.IndirectPong:
		return w.probed(at, from, m, out)
	default:
		return out
	}
}

// Hint takes the platform's list. The list lags, so it decides nothing: a VM
// that it no longer shows as live is probed earlier, and a suspected VM that it
// shows is pinged.
func (w *Watch) Hint(at time.Time, p event.PlatformVMs, out []effect.Effect) []effect.Effect {
	for _, id := range w.sorted() {
		s := w.states[id]
		listed := slices.Contains(p.Live, id) && !slices.Contains(p.Leaving, id)
		switch {
		case listed && s.suspect:
			out = w.ping(at, id, s, out)
		case !listed && s.watched && !s.suspect && s.probe == nil && at.Sub(s.last) >= hintAfter:
			out = w.begin(at, id, s, 1, out)
		}
	}
	return w.arm(at, out)
}

// Timer probes the silent VMs, ends the probes that are due and releases damped
// VMs.
func (w *Watch) Timer(at time.Time, out []effect.Effect) []effect.Effect {
	w.armed = time.Time{}
	for _, n := range slices.Sorted(maps.Keys(w.relays)) {
		if r := w.relays[n]; !at.Before(r.deadline) {
			delete(w.relays, n)
			out = w.tell(r.asker, frame.IndirectPong{Seq: r.n, Target: r.target}, out)
		}
	}
	for _, id := range w.sorted() {
		s := w.states[id]
		switch {
		case s.suspect:
			if at.Sub(s.pinged) >= again {
				out = w.ping(at, id, s, out)
			}
		case s.probe != nil:
			if !at.Before(s.probe.deadline) {
				out = w.failed(at, id, s, out)
			}
		case s.watched && at.Sub(s.last) >= missed:
			out = w.begin(at, id, s, 1, out)
		}
		out = w.released(at, id, s, out)
		if !s.watched && !s.suspect && !s.damped && s.penalty.now(at) < forgotten {
			delete(w.states, id)
		}
	}
	return w.arm(at, out)
}

// Suspects lists the suspected VMs, ascending.
func (w *Watch) Suspects(time.Time) []model.VMID {
	var ids []model.VMID
	for _, id := range w.sorted() {
		if s := w.states[id]; s.suspect || s.damped {
			ids = append(ids, id)
		}
	}
	return ids
}

// begin asks two other VMs to probe a silent one, and pings it directly.
func (w *Watch) begin(at time.Time, id model.VMID, s *state, round int, out []effect.Effect) []effect.Effect {
	before := s.probe
	w.n++
	s.probe = &probe{n: w.n, round: round, deadline: at.Add(probeWait)}
	for _, other := range w.witnesses(id, before) {
		s.probe.asked = append(s.probe.asked, other)
		out = w.tell(other, frame.IndirectPing{Seq: w.n, Target: id}, out)
	}
	return w.ping(at, id, s, out)
}

// witnesses draws VMs to probe another one. Those asked before and those that
// are silent themselves come last.
func (w *Watch) witnesses(id model.VMID, before *probe) []model.VMID {
	var good, poor []model.VMID
	for _, other := range slices.Sorted(maps.Keys(w.vms)) {
		s := w.states[other]
		switch {
		case other == id || other == w.Self.ID:
		case s != nil && (s.suspect || s.probe != nil), before != nil && slices.Contains(before.asked, other):
			poor = append(poor, other)
		default:
			good = append(good, other)
		}
	}
	w.rand().Shuffle(len(good), func(i, j int) { good[i], good[j] = good[j], good[i] })
	w.rand().Shuffle(len(poor), func(i, j int) { poor[i], poor[j] = poor[j], poor[i] })
	good = append(good, poor...)
	return good[:min(witnesses, len(good))]
}

// failed ends a round of probes without a sign of life.
func (w *Watch) failed(at time.Time, id model.VMID, s *state, out []effect.Effect) []effect.Effect {
	p := s.probe
	if p.failed == 0 && len(p.asked) > 0 && p.round < rounds {
		return w.begin(at, id, s, p.round+1, out)
	}
	s.probe, s.suspect, s.watched, s.pinged = nil, true, false, at
	s.penalty.add(at)
	s.damped = s.damped || s.penalty.now(at) > limit
	s.asserted = fmt.Sprintf("silent for %v; %d of %d witnesses tried and did not reach it",
		at.Sub(s.last).Truncate(period/10), p.failed, len(p.asked))
	return append(out, effect.Note{
		At: at, Subject: subject(id), Action: "suspected", Cause: s.asserted, Alert: w.vms[id].HasDisk,
	})
}

// alive ends a suspicion unless the VM flaps.
func (w *Watch) alive(at time.Time, id model.VMID, s *state, cause string, out []effect.Effect) []effect.Effect {
	if !s.suspect {
		return out
	}
	s.suspect = false
	if s.damped {
		return append(out, effect.Note{
			At: at, Subject: subject(id), Action: "kept suspected",
			Cause: fmt.Sprintf("%s, but it flaps: penalty %.1f", cause, s.penalty.now(at)), Alert: true,
		})
	}
	return append(out, effect.Note{At: at, Subject: subject(id), Action: "trusted again", Cause: cause})
}

// released ends damping once the penalty is low.
func (w *Watch) released(at time.Time, id model.VMID, s *state, out []effect.Effect) []effect.Effect {
	if !s.damped || s.penalty.now(at) > release {
		return out
	}
	s.damped = false
	if s.suspect {
		return out
	}
	return append(out, effect.Note{
		At: at, Subject: subject(id), Action: "trusted again", Cause: "its penalty for flapping fell below the limit",
	})
}

// answers ends the probes of a VM that is alive although its digests do not
// come: it has another parent.
func (w *Watch) answers(at time.Time, id model.VMID, cause string, out []effect.Effect) []effect.Effect {
	s, ok := w.states[id]
	if !ok {
		return out
	}
	if s.probe != nil {
		s.probe, s.watched = nil, false
	}
	return w.alive(at, id, s, cause, out)
}

func (w *Watch) ponged(at time.Time, from model.VMID, n uint64, out []effect.Effect) []effect.Effect {
	if r, ok := w.relays[n]; ok && r.target == from {
		delete(w.relays, n)
		return w.tell(r.asker, frame.IndirectPong{Seq: r.n, Target: r.target, Alive: true}, out)
	}
	if s := w.states[from]; s == nil || s.ping != n {
		return out
	}
	return w.answers(at, from, "it answered a ping", out)
}

// relayed pings a VM for another one.
func (w *Watch) relayed(at time.Time, from model.VMID, m frame.IndirectPing, out []effect.Effect) []effect.Effect {
	if m.Target == w.Self.ID {
		return w.tell(from, frame.IndirectPong{Seq: m.Seq, Target: m.Target, Alive: true}, out)
	}
	if _, ok := w.vms[m.Target]; !ok {
		return out
	}
	if w.relays == nil {
		w.relays = make(map[uint64]relay)
	}
	w.n++
	w.relays[w.n] = relay{asker: from, n: m.Seq, target: m.Target, deadline: at.Add(pingWait)}
	out = w.tell(m.Target, frame.Ping{Seq: w.n}, out)
	return w.arm(at, out)
}

func (w *Watch) probed(at time.Time, from model.VMID, m frame.IndirectPong, out []effect.Effect) []effect.Effect {
	s, ok := w.states[m.Target]
	if !ok || s.probe == nil || s.probe.n != m.Seq || !slices.Contains(s.probe.asked, from) {
		return out
	}
	if m.Alive {
		return w.answers(at, m.Target, string(from)+" reached it", out)
	}
	s.probe.failed++
	return out
}

func (w *Watch) ping(at time.Time, id model.VMID, s *state, out []effect.Effect) []effect.Effect {
	w.n++
	s.ping, s.pinged = w.n, at
	return w.tell(id, frame.Ping{Seq: w.n}, out)
}

// arm sets the timer while there is something to watch.
func (w *Watch) arm(at time.Time, out []effect.Effect) []effect.Effect {
	if len(w.states) == 0 && len(w.relays) == 0 {
		return out
	}
	due := at.Add(period)
	for _, r := range w.relays {
		due = earlier(due, r.deadline)
	}
	for _, s := range w.states {
		if s.probe != nil {
			due = earlier(due, s.probe.deadline)
		}
	}
	if !w.armed.IsZero() && !due.Before(w.armed) {
		return out
	}
	w.armed = due
	return append(out, effect.SetTimer{ID: timerID, At: due})
}

func (w *Watch) state(id model.VMID) *state {
	s, ok := w.states[id]
	if !ok {
		if w.states == nil {
			w.states = make(map[model.VMID]*state)
		}
		s = &state{}
		w.states[id] = s
	}
	return s
}

func (w *Watch) sorted() []model.VMID { return slices.Sorted(maps.Keys(w.states)) }

func (w *Watch) rand() *rand.Rand {
	if w.rng == nil {
		w.rng = rand.New(rand.NewPCG(w.Seed, 0))
	}
	return w.rng
}

func (w *Watch) tell(to model.VMID, m frame.Message, out []effect.Effect) []effect.Effect {
	return append(out, effect.SendMessage{To: to, Addr: w.vms[to].PeerAddr, Message: m})
}

func subject(id model.VMID) string { return "vm " + string(id) }

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}
