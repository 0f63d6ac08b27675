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

// Times and limits of the detection.
const (
	digestPeriod      = time.Second                     // between two digests of a child
	silenceLimit      = 3*digestPeriod + digestPeriod/2 // three digests, and half a period for their delay
	pingTimeout       = digestPeriod / 2                // for the target to answer a witness
	roundTimeout      = digestPeriod + digestPeriod/2   // for the witnesses to answer
	suspectPingPeriod = 5 * digestPeriod                // between two direct pings of a suspected VM
	witnessesPerRound = 2                               // VMs asked to ping the target
	maxRounds         = 2                               // when no witness answers; in a single round all of them may have failed, too
	forgetPenalty     = 0.1                             // below it, a VM that is not watched is forgotten
	earlyProbeAfter   = digestPeriod + digestPeriod/2   // silence after which a VM that the platform does not list is probed
)

var timerID = event.TimerID{Kind: event.TimerLiveness}

// Detector decides which VMs are suspected. Self and Seed are set before use.
type Detector struct {
	Self model.VM
	Seed uint64

	registered   map[model.VMID]model.VM
	states       map[model.VMID]*vmState
	relayedPings map[uint64]relayedPing
	rng          *rand.Rand
	lastSeq      uint64    // number of the last ping or round
	timerDue     time.Time // zero when the timer is not set
}

// SetVMs sets the VMs of the configuration and discards the state of all
// others.
func (d *Detector) SetVMs(vms map[model.VMID]model.VM) {
	d.registered = vms
	maps.DeleteFunc(d.states, func(id model.VMID, _ *vmState) bool {
		_, ok := vms[id]
		return !ok
	})
}

// HandleHeartbeat records a digest from a VM as its heartbeat.
func (d *Detector) HandleHeartbeat(at time.Time, vm model.VMID, out []effect.Effect) []effect.Effect {
	if vm == d.Self.ID {
		return out
	}
	s := d.stateOf(vm)
	s.watched, s.lastDigest, s.round = true, at, nil
	out = d.clearSuspicion(at, vm, s, "it sent a digest", out)
	return d.setTimer(at, out)
}

// HandlePeerMessage handles Ping, Pong, IndirectPing and IndirectPong.
func (d *Detector) HandlePeerMessage(at time.Time, from model.VMID, m frame.Message, out []effect.Effect) []effect.Effect {
	switch m := m.(type) {
	case frame.Ping:
		return d.send(from, frame.Pong(m), out)
	case frame.Pong:
		return d.handlePong(at, from, m.Seq, out)
	case frame.IndirectPing:
		return d.handleIndirectPing(at, from, m, out)
	case frame.IndirectPong:
		return d.handleIndirectPong(at, from, m, out)
	default:
		return out
	}
}

// HandlePlatformVMs handles the platform's list of VMs. The list lags behind
// reality, so it decides nothing: a silent VM that it does not show as live is
// probed earlier, and a suspected VM that it shows as live is pinged.
func (d *Detector) HandlePlatformVMs(at time.Time, vms event.PlatformVMs, out []effect.Effect) []effect.Effect {
	for _, id := range d.sortedIDs() {
		s := d.states[id]
		listed := slices.Contains(vms.Live, id) && !slices.Contains(vms.Leaving, id)
		switch {
		case listed && s.suspected:
			out = d.sendPing(at, id, s, out)
		case !listed && s.watched && !s.suspected && s.round == nil && at.Sub(s.lastDigest) >= earlyProbeAfter:
			out = d.startRound(at, id, s, 1, out)
		}
	}
	return d.setTimer(at, out)
}

// HandleTimer probes silent VMs, ends the rounds and relayed pings whose
// deadline has passed, pings suspected VMs and ends damping.
func (d *Detector) HandleTimer(at time.Time, out []effect.Effect) []effect.Effect {
	d.timerDue = time.Time{}
	for _, seq := range slices.Sorted(maps.Keys(d.relayedPings)) {
		if r := d.relayedPings[seq]; !at.Before(r.deadline) {
			delete(d.relayedPings, seq)
			out = d.send(r.requester, frame.IndirectPong{Seq: r.requestSeq, Target: r.target}, out)
		}
	}
	for _, id := range d.sortedIDs() {
		s := d.states[id]
		switch {
		case s.suspected:
			if at.Sub(s.lastPing) >= suspectPingPeriod {
				out = d.sendPing(at, id, s, out)
			}
		case s.round != nil:
			if !at.Before(s.round.deadline) {
				out = d.endFailedRound(at, id, s, out)
			}
		case s.watched && at.Sub(s.lastDigest) >= silenceLimit:
			out = d.startRound(at, id, s, 1, out)
		}
		out = d.releaseDamped(at, id, s, out)
		if !s.watched && !s.suspected && !s.damped && s.penalty.current(at) < forgetPenalty {
			delete(d.states, id)
		}
	}
	return d.setTimer(at, out)
}

// Suspects lists the suspected VMs, ascending.
func (d *Detector) Suspects(time.Time) []model.VMID {
	var ids []model.VMID
	for _, id := range d.sortedIDs() {
		if s := d.states[id]; s.suspected || s.damped {
			ids = append(ids, id)
		}
	}
	return ids
}

// startRound asks witnesses to ping a silent VM, and pings it directly.
func (d *Detector) startRound(at time.Time, id model.VMID, s *vmState, number int, out []effect.Effect) []effect.Effect {
	previous := s.round
	d.lastSeq++
	s.round = &probeRound{seq: d.lastSeq, number: number, deadline: at.Add(roundTimeout)}
	for _, other := range d.chooseWitnesses(id, previous) {
		s.round.witnesses = append(s.round.witnesses, other)
		out = d.send(other, frame.IndirectPing{Seq: d.lastSeq, Target: id}, out)
	}
	return d.sendPing(at, id, s, out)
}

// chooseWitnesses draws the VMs that ping another one in a round. Those that are
// silent themselves or were asked in the round before are chosen last.
func (d *Detector) chooseWitnesses(id model.VMID, previous *probeRound) []model.VMID {
	var preferred, others []model.VMID
	for _, other := range slices.Sorted(maps.Keys(d.registered)) {
		s := d.states[other]
		switch {
		case other == id || other == d.Self.ID:
		case s != nil && (s.suspected || s.round != nil), previous != nil && slices.Contains(previous.witnesses, other):
			others = append(others, other)
		default:
			preferred = append(preferred, other)
		}
	}
	d.rand().Shuffle(len(preferred), func(i, j int) { preferred[i], preferred[j] = preferred[j], preferred[i] })
	d.rand().Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	preferred = append(preferred, others...)
	return preferred[:min(witnessesPerRound, len(preferred))]
}

// endFailedRound ends a round in which nobody reached the VM: it starts another
// round if no witness answered at all, and suspects the VM otherwise.
func (d *Detector) endFailedRound(at time.Time, id model.VMID, s *vmState, out []effect.Effect) []effect.Effect {
	round := s.round
	if round.failures == 0 && len(round.witnesses) > 0 && round.number < maxRounds {
		return d.startRound(at, id, s, round.number+1, out)
	}
	s.round, s.suspected, s.watched, s.lastPing = nil, true, false, at
	s.penalty.add(at)
	s.damped = s.damped || s.penalty.current(at) > dampingThreshold
	s.suspicionCause = fmt.Sprintf("silent for %v; %d of %d witnesses tried and did not reach it",
		at.Sub(s.lastDigest).Truncate(digestPeriod/10), round.failures, len(round.witnesses))
	return append(out, effect.Note{
		At: at, Subject: noteSubject(id), Action: "suspected", Cause: s.suspicionCause, Alert: d.registered[id].HasDisk,
	})
}

// clearSuspicion ends the suspicion of a VM that is alive, unless it is damped.
func (d *Detector) clearSuspicion(at time.Time, id model.VMID, s *vmState, cause string, out []effect.Effect) []effect.Effect {
	if !s.suspected {
		return out
	}
	s.suspected = false
	if s.damped {
		return append(out, effect.Note{
			At: at, Subject: noteSubject(id), Action: "kept suspected",
			Cause: fmt.Sprintf("%s, but it flaps: penalty %.1f", cause, s.penalty.current(at)), Alert: true,
		})
	}
	return append(out, effect.Note{At: at, Subject: noteSubject(id), Action: "trusted again", Cause: cause})
}

// releaseDamped ends damping once the penalty is low.
func (d *Detector) releaseDamped(at time.Time, id model.VMID, s *vmState, out []effect.Effect) []effect.Effect {
	if !s.damped || s.penalty.current(at) > releaseThreshold {
		return out
	}
	s.damped = false
	if s.suspected {
		return out
	}
	return append(out, effect.Note{
		At: at, Subject: noteSubject(id), Action: "trusted again", Cause: "its penalty for flapping fell below the limit",
	})
}

// recordReachable ends the round and the suspicion of a VM that is alive although
// its digests do not come. It has another parent, so it is no longer watched.
func (d *Detector) recordReachable(at time.Time, id model.VMID, cause string, out []effect.Effect) []effect.Effect {
	s, ok := d.states[id]
	if !ok {
		return out
	}
	if s.round != nil {
		s.round, s.watched = nil, false
	}
	return d.clearSuspicion(at, id, s, cause, out)
}

// handlePong handles the answer to a ping that this VM sent for itself or, as a
// witness, for another VM.
func (d *Detector) handlePong(at time.Time, from model.VMID, seq uint64, out []effect.Effect) []effect.Effect {
	if r, ok := d.relayedPings[seq]; ok && r.target == from {
		delete(d.relayedPings, seq)
		return d.send(r.requester, frame.IndirectPong{Seq: r.requestSeq, Target: r.target, Alive: true}, out)
	}
	if s := d.states[from]; s == nil || s.pingSeq != seq {
		return out
	}
	return d.recordReachable(at, from, "it answered a ping", out)
}

// handleIndirectPing pings a VM for another one.
func (d *Detector) handleIndirectPing(at time.Time, from model.VMID, m frame.IndirectPing, out []effect.Effect) []effect.Effect {
	if m.Target == d.Self.ID {
		return d.send(from, frame.IndirectPong{Seq: m.Seq, Target: m.Target, Alive: true}, out)
	}
	if _, ok := d.registered[m.Target]; !ok {
		return out
	}
	if d.relayedPings == nil {
		d.relayedPings = make(map[uint64]relayedPing)
	}
	d.lastSeq++
	d.relayedPings[d.lastSeq] = relayedPing{requester: from, requestSeq: m.Seq, target: m.Target, deadline: at.Add(pingTimeout)}
	out = d.send(m.Target, frame.Ping{Seq: d.lastSeq}, out)
	return d.setTimer(at, out)
}

// handleIndirectPong handles a witness's answer.
func (d *Detector) handleIndirectPong(at time.Time, from model.VMID, m frame.IndirectPong, out []effect.Effect) []effect.Effect {
	s, ok := d.states[m.Target]
	if !ok || s.round == nil || s.round.seq != m.Seq || !slices.Contains(s.round.witnesses, from) {
		return out
	}
	if m.Alive {
		return d.recordReachable(at, m.Target, string(from)+" reached it", out)
	}
	s.round.failures++
	return out
}

func (d *Detector) sendPing(at time.Time, id model.VMID, s *vmState, out []effect.Effect) []effect.Effect {
	d.lastSeq++
	s.pingSeq, s.lastPing = d.lastSeq, at
	return d.send(id, frame.Ping{Seq: d.lastSeq}, out)
}

// setTimer sets the timer unless there is nothing to wait for.
func (d *Detector) setTimer(at time.Time, out []effect.Effect) []effect.Effect {
	if len(d.states) == 0 && len(d.relayedPings) == 0 {
		return out
	}
	due := at.Add(digestPeriod)
	for _, r := range d.relayedPings {
		due = model.Earlier(due, r.deadline)
	}
	for _, s := range d.states {
		if s.round != nil {
			due = model.Earlier(due, s.round.deadline)
		}
	}
	if !d.timerDue.IsZero() && !due.Before(d.timerDue) {
		return out
	}
	d.timerDue = due
	return append(out, effect.SetTimer{ID: timerID, At: due})
}

func (d *Detector) stateOf(id model.VMID) *vmState {
	s, ok := d.states[id]
	if !ok {
		if d.states == nil {
			d.states = make(map[model.VMID]*vmState)
		}
		s = &vmState{}
		d.states[id] = s
	}
	return s
}

func (d *Detector) sortedIDs() []model.VMID { return slices.Sorted(maps.Keys(d.states)) }

func (d *Detector) rand() *rand.Rand {
	if d.rng == nil {
		d.rng = rand.New(rand.NewPCG(d.Seed, 0))
	}
	return d.rng
}

func (d *Detector) send(to model.VMID, m frame.Message, out []effect.Effect) []effect.Effect {
	return append(out, effect.SendMessage{To: to, Addr: d.registered[to].PeerAddr, Message: m})
}

func noteSubject(id model.VMID) string { return "vm " + string(id) }
