package plane_test

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"comfreypulley/core/effect"
	"comfreypulley/core/entry"
	"comfreypulley/core/event"
	"comfreypulley/core/model"
)

// zoneOperator gives orders about a zone, one after the other, as an operator does: it
// sends each to one VM after the other until one acknowledges it, and sends it again
// under the operation that an answer names. What it sent to a VM that did not answer may
// arrive later.
type zoneOperator struct {
	fleet   *fleetSim
	out     bool               // the current order
	seq     uint64             // of the request that it waits for, 0 when the order is acknowledged
	vm      model.VMID         // that the request was sent to
	delayed []delayedZoneOrder // requests that may still arrive, or arrive again
	acked   int
}

type delayedZoneOrder struct {
	to    model.VMID
	event event.OperatorCommand
}

// send sends the current order. The request may be delayed, or arrive twice.
func (o *zoneOperator) send(to model.VMID, op model.OpID, delayed bool) {
	o.fleet.lastZoneOrder++
	o.seq, o.vm = o.fleet.lastZoneOrder, to
	e := event.OperatorCommand{Seq: o.seq, Command: entry.Change{Op: op, Zone: &entry.ZoneOrder{Zone: "a", Out: o.out}}}
	o.delayed = append(o.delayed, delayedZoneOrder{to, e})
	if !delayed {
		o.fleet.carryOut(to, o.fleet.controls[to].HandleOperatorCommand(o.fleet.now, e, nil))
	}
}

// answered handles an answer. An operator reads no answer to a request that it has given
// up.
func (o *zoneOperator) answered(a effect.AnswerOperator) {
	if o == nil || a.Seq != o.seq {
		return
	}
	switch {
	case a.Confirm != "":
		o.send(o.vm, a.Confirm, false)
	case a.Result.Status == entry.StatusOK:
		o.seq = 0
		o.acked++
	}
}

// step gives the next order, gives up on a request and sends the order to another VM, or
// has a late copy arrive.
func (o *zoneOperator) step(t *rapid.T) {
	if len(o.delayed) > 0 && rapid.Bool().Draw(t, "late") {
		o.deliver(rapid.SampledFrom(o.delayed).Draw(t, "copy"))
		return
	}
	if o.seq == 0 {
		o.out = !o.out
	}
	o.send(rapid.SampledFrom(o.fleet.diskIDs()).Draw(t, "vm"), "", rapid.Bool().Draw(t, "delayed"))
}

func (o *zoneOperator) deliver(d delayedZoneOrder) {
	o.fleet.lastZoneOrder++
	d.event.Seq = o.fleet.lastZoneOrder // nobody awaits the answer
	o.fleet.carryOut(d.to, o.fleet.controls[d.to].HandleOperatorCommand(o.fleet.now, d.event, nil))
}

func (s *fleetSim) diskIDs() []model.VMID {
	return slices.DeleteFunc(slices.Clone(s.ids), func(id model.VMID) bool { return s.logs[id] == nil })
}

// Guards, with lost, late and repeated messages and changing leaders, against an
// acknowledged order about a zone that a late copy of an earlier one undoes: a VM that was
// paused or cut off while the operator asked it carries the order out when it is back.
func TestLateZoneOrderUndoesNothing(t *testing.T) {
	acked := 0
	rapid.Check(t, func(t *rapid.T) {
		s := newFleetSim()
		s.log.leader = "vm0"
		s.diskSynced("vm0")
		s.heal()
		o := &zoneOperator{fleet: s}
		s.zoneOperator = o
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "order") {
				o.step(t)
			} else {
				s.step(t)
			}
		}
		for try := 0; o.seq != 0; try++ {
			if try > 20 {
				t.Fatalf("the order out %v has no acknowledgement in a healthy fleet", o.out)
			}
			s.heal()
			o.send(s.diskIDs()[try%len(s.logs)], "", false)
			s.heal()
		}
		for _, d := range slices.Backward(o.delayed) { // the oldest order comes last
			o.deliver(d)
			s.heal()
		}
		for _, id := range s.diskIDs() {
			if got := s.zoneOut(id); o.acked > 0 && got != o.out {
				t.Fatalf("%s: got zone a out of use: %v, want the acknowledged order: %v", id, got, o.out)
			}
		}
		acked += o.acked
	})
	if acked == 0 {
		t.Error("no order was acknowledged, so the test checked nothing")
	}
}

// zoneOut reports whether a VM has zone a out of use.
func (s *fleetSim) zoneOut(id model.VMID) bool {
	out := effectsOf[effect.AnswerOperator](s.controls[id].HandleStatusRequest(s.now, event.StatusRequest{Seq: 1 << 40}, nil))
	return slices.Contains(out[0].Status.Topology.ZonesOut, "a")
}

// Guards against an order about a zone that is refused or waits although it is in force, and
// against one without a name.
func TestZoneOrderInForceIsAcknowledged(t *testing.T) {
	s := newFleetSim()
	s.log.leader = "vm0"
	s.diskSynced("vm0")
	s.heal()
	ask := func(zone model.Zone, out bool) effect.AnswerOperator {
		s.lastZoneOrder++
		e := event.OperatorCommand{Seq: s.lastZoneOrder, Command: entry.Change{Zone: &entry.ZoneOrder{Zone: zone, Out: out}}}
		for _, a := range effectsOf[effect.AnswerOperator](s.controls["vm0"].HandleOperatorCommand(s.now, e, nil)) {
			return a
		}
		return effect.AnswerOperator{}
	}
	if got := ask("a", false); got.Result.Status != entry.StatusOK || got.Confirm != "" {
		t.Errorf("got %+v for an order that is in force, want it acknowledged", got)
	}
	if got := ask("a", true); got.Result.Status != entry.StatusConflict || got.Confirm == "" {
		t.Errorf("got %+v for an order that changes something, want the operation to send it under", got)
	}
	if got := ask("", true); got.Result.Status != entry.StatusInvalid {
		t.Errorf("got %+v for an order without a zone, want it invalid", got)
	}
	s.logs["vm0"].deposed = true
	if got := ask("a", false); got.Result.Status == entry.StatusOK {
		t.Errorf("got %+v from a VM that was deposed, want no acknowledgement", got)
	}
	if s.zoneOut("vm0") {
		t.Error("got zone a out of use, want it in use")
	}
}

// Confirm confirms a read on the leader at once, after an entry of its term is committed.
// A VM that was deposed gets no confirmation.
func (l *sharedLog) Confirm(_ time.Time, n uint64, out []effect.Effect) (entry.Status, []effect.Effect) {
	committed := l.shared.committed
	switch {
	case l.deposed:
		return entry.StatusUnknown, out
	case l.shared.leader != l.id || len(committed) == 0 || committed[len(committed)-1].Term != l.shared.term:
		return entry.StatusNoMajority, out
	}
	l.knownCommitted = len(committed)
	l.reads = append(l.reads, n)
	return entry.StatusUnknown, out
}

func (l *sharedLog) Confirmed() []uint64 {
	reads := l.reads
	l.reads = nil
	return reads
}
