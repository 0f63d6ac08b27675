package plane

import (
	"slices"
	"time"

	"comfreypulley/core/effect"
	"comfreypulley/core/entry"
	"comfreypulley/core/event"
)

// Times after which an operator gets an answer in any case.
const (
	commandPeriod = 10 * time.Second
	readPeriod    = 3 * time.Second
)

// read is a linearizable inquiry that waits for the leader's confirmation.
type read struct {
	n     uint64
	until time.Time
}

// Command takes an operator's change. The answer is an effect.AnswerOperator.
func (c *Control) Command(at time.Time, e event.OperatorCommand, out []effect.Effect) []effect.Effect {
	p := &proposal{command: e.Command, until: at.Add(commandPeriod), to: operatorReceiver{n: e.Seq}}
	return c.seal(len(out), c.moved(at, c.submit(at, p, out)))
}

// Inquiry takes an operator's question. A linearizable one is answered as
// current once the leader confirmed that it still leads: in the log of the
// leader itself by a round of heartbeats, from another VM by an empty entry.
func (c *Control) Inquiry(at time.Time, e event.StatusRequest, out []effect.Effect) []effect.Effect {
	from := len(out)
	if !e.Linearizable || !c.replicated {
		return c.seal(from, c.respond(at, e.Seq, !c.replicated, out))
	}
	if !c.leading() {
		p := &proposal{command: entry.Noop{}, until: at.Add(readPeriod), to: readReceiver{n: e.Seq}}
		return c.seal(from, c.moved(at, c.submit(at, p, out)))
	}
	status, out := c.log.Confirm(at, e.Seq, out)
	if status != entry.StatusOK && status != entry.StatusUnknown {
		return c.seal(from, c.respond(at, e.Seq, false, out))
	}
	r := read{n: e.Seq, until: at.Add(readPeriod)}
	c.reads = append(c.reads, r)
	return c.seal(from, c.moved(at, c.alarm(at, r.until, out)))
}

// confirmed answers a read that the log confirmed.
func (c *Control) confirmed(at time.Time, n uint64, out []effect.Effect) []effect.Effect {
	i := slices.IndexFunc(c.reads, func(r read) bool { return r.n == n })
	if i < 0 {
		return out
	}
	c.reads = slices.Delete(c.reads, i, i+1)
	return c.respond(at, n, true, out)
}

// expireReads answers the reads that were not confirmed in time.
func (c *Control) expireReads(at time.Time, out []effect.Effect) []effect.Effect {
	for len(c.reads) > 0 && !at.Before(c.reads[0].until) {
		n := c.reads[0].n
		c.reads = slices.Delete(c.reads, 0, 1)
		out = c.respond(at, n, false, out)
	}
	if len(c.reads) > 0 {
		out = c.alarm(at, c.reads[0].until, out)
	}
	return out
}

func (c *Control) respond(at time.Time, n uint64, current bool, out []effect.Effect) []effect.Effect {
	status := c.status(at)
	status.Current = current
	return append(out, effect.AnswerOperator{Seq: n, Result: entry.Result{Status: entry.StatusOK}, Status: status})
}

func (c *Control) status(at time.Time) *effect.FleetStatus {
	s := &effect.FleetStatus{
		VM: c.start.VM.ID, Zone: c.start.VM.Zone, Leader: c.leader(),
		Topology: c.store.Topology(), History: c.history.notes(),
	}
	if c.tree != nil {
		s.VMs = c.tree.Heard(at)
	}
	if c.log != nil {
		standing := c.log.Standing()
		s.Term, s.Commit = standing.Term, standing.Commit
	}
	s.MajorityAge = c.age(at)
	return s
}

// age returns the time since a majority was last heard of.
func (c *Control) age(at time.Time) time.Duration {
	heard := c.heard
	if c.log != nil {
		if heard = c.log.Standing().Heard; heard.IsZero() {
			heard = c.start.ProcessStart
		}
	}
	switch {
	case !c.replicated:
		return 0
	case c.log == nil && c.tree != nil:
		return c.tree.Age(at)
	default:
		return max(0, at.Sub(heard))
	}
}

// operatorReceiver answers an operator's change.
type operatorReceiver struct{ n uint64 }

func (o operatorReceiver) answer(_ time.Time, _ *Control, _ entry.Command, r entry.Result, out []effect.Effect) []effect.Effect {
	return append(out, effect.AnswerOperator{Seq: o.n, Result: r})
}

// readReceiver answers an operator's question. The result carries the leader's
// revision, which this VM must have reached for its answer to be current.
type readReceiver struct{ n uint64 }

func (o readReceiver) answer(at time.Time, c *Control, _ entry.Command, r entry.Result, out []effect.Effect) []effect.Effect {
	return c.respond(at, o.n, r.Status == entry.StatusOK && c.store.Revision() >= max(1, r.Revision), out)
}
