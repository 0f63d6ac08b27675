package plane

import (
	"slices"
	"time"

	"comfreypulley/core/config"
	"comfreypulley/core/effect"
	"comfreypulley/core/entry"
	"comfreypulley/core/event"
)

// Times after which an operator receives an answer even without a result.
const (
	commandTimeout = 10 * time.Second
	statusTimeout  = 3 * time.Second
)

// readReceiver uses the configuration after a linearizable read. current says that the
// leader confirmed that the configuration is the newest.
type readReceiver interface {
	receiveRead(at time.Time, c *Control, current bool, out []effect.Effect) []effect.Effect
}

// pendingRead is a linearizable read that waits until the leader has confirmed that it
// still leads.
type pendingRead struct {
	seq      uint64
	deadline time.Time
	receiver readReceiver
}

// HandleOperatorCommand handles an operator's change. The answer is an
// effect.AnswerOperator. A change that does not say what it follows is carried out when
// it comes again under the operation that the answer names.
func (c *Control) HandleOperatorCommand(at time.Time, e event.OperatorCommand, out []effect.Effect) []effect.Effect {
	if change, ok := e.Command.(entry.Change); ok && config.NeedsConfirmation(change) {
		return c.complete(len(out), c.startRead(at, e.Seq, changeReader{seq: e.Seq, change: change}, out))
	}
	p := &proposal{command: e.Command, deadline: at.Add(commandTimeout), receiver: commandReceiver{seq: e.Seq}}
	return c.complete(len(out), c.update(at, c.submit(at, p, out)))
}

// HandleStatusRequest handles an operator's request for the status. The answer
// to a linearizable one is marked as current if the read was.
func (c *Control) HandleStatusRequest(at time.Time, e event.StatusRequest, out []effect.Effect) []effect.Effect {
	first := len(out)
	if !e.Linearizable {
		return c.complete(first, c.answerStatusRequest(at, e.Seq, !c.replicated, out))
	}
	return c.complete(first, c.startRead(at, e.Seq, statusReceiver{seq: e.Seq}, out))
}

// startRead starts a linearizable read. The leader confirms by a round of heartbeats
// that it still leads, another VM by having an empty entry committed.
func (c *Control) startRead(at time.Time, seq uint64, receiver readReceiver, out []effect.Effect) []effect.Effect {
	if !c.replicated {
		return receiver.receiveRead(at, c, true, out)
	}
	if !c.leading() {
		p := &proposal{command: entry.Noop{}, deadline: at.Add(statusTimeout), receiver: forwardedRead{receiver}}
		return c.update(at, c.submit(at, p, out))
	}
	status, out := c.log.Confirm(at, seq, out)
	if status != entry.StatusOK && status != entry.StatusUnknown {
		return receiver.receiveRead(at, c, false, out)
	}
	r := pendingRead{seq: seq, deadline: at.Add(statusTimeout), receiver: receiver}
	c.pendingReads = append(c.pendingReads, r)
	return c.update(at, c.setProposalTimer(at, r.deadline, out))
}

// answerConfirmedRead answers a read that the log confirmed.
func (c *Control) answerConfirmedRead(at time.Time, seq uint64, out []effect.Effect) []effect.Effect {
	i := slices.IndexFunc(c.pendingReads, func(r pendingRead) bool { return r.seq == seq })
	if i < 0 {
		return out
	}
	receiver := c.pendingReads[i].receiver
	c.pendingReads = slices.Delete(c.pendingReads, i, i+1)
	return receiver.receiveRead(at, c, true, out)
}

// expireReads answers, as not current, the reads whose deadline has passed. All
// reads have the same timeout, so they expire in order.
func (c *Control) expireReads(at time.Time, out []effect.Effect) []effect.Effect {
	for len(c.pendingReads) > 0 && !at.Before(c.pendingReads[0].deadline) {
		receiver := c.pendingReads[0].receiver
		c.pendingReads = slices.Delete(c.pendingReads, 0, 1)
		out = receiver.receiveRead(at, c, false, out)
	}
	if len(c.pendingReads) > 0 {
		out = c.setProposalTimer(at, c.pendingReads[0].deadline, out)
	}
	return out
}

func (c *Control) answerStatusRequest(at time.Time, seq uint64, current bool, out []effect.Effect) []effect.Effect {
	status := c.fleetStatus(at)
	status.Current = current
	return append(out, effect.AnswerOperator{Seq: seq, Result: entry.Result{Status: entry.StatusOK}, Status: status})
}

func (c *Control) fleetStatus(at time.Time) *effect.FleetStatus {
	s := &effect.FleetStatus{
		VM: c.settings.VM.ID, Zone: c.settings.VM.Zone, Leader: c.leader(),
		Topology: c.store.Topology(), History: c.history.notes(),
	}
	if c.tree != nil {
		s.VMs = c.tree.Descendants(at)
	}
	if c.log != nil {
		status := c.log.LogStatus()
		s.Term, s.CommitIndex = status.Term, status.CommitIndex
	}
	s.MajorityAge = c.majorityAge(at)
	return s
}

// majorityAge returns the time since the last contact with a majority of the
// log's replicas, direct or through the tree. It is 0 in a fleet without a log.
func (c *Control) majorityAge(at time.Time) time.Duration {
	last := c.lastMajority
	if c.log != nil {
		if last = c.log.LogStatus().LastMajority; last.IsZero() {
			last = c.settings.ProcessStart
		}
	}
	switch {
	case !c.replicated:
		return 0
	case c.log == nil && c.tree != nil:
		return c.tree.MajorityAge(at)
	default:
		return max(0, at.Sub(last))
	}
}

// commandReceiver answers an operator's change.
type commandReceiver struct{ seq uint64 }

func (o commandReceiver) receiveResult(_ time.Time, _ *Control, _ entry.Command, r entry.Result, out []effect.Effect) []effect.Effect {
	return append(out, effect.AnswerOperator{Seq: o.seq, Result: r})
}

// statusReceiver answers a linearizable status request.
type statusReceiver struct{ seq uint64 }

func (o statusReceiver) receiveRead(at time.Time, c *Control, current bool, out []effect.Effect) []effect.Effect {
	return c.answerStatusRequest(at, o.seq, current, out)
}

// forwardedRead completes a linearizable read on a VM that does not lead. The result
// has the leader's revision; the read is current only if this VM has reached it.
type forwardedRead struct{ receiver readReceiver }

func (f forwardedRead) receiveResult(at time.Time, c *Control, _ entry.Command, r entry.Result, out []effect.Effect) []effect.Effect {
	return f.receiver.receiveRead(at, c, r.Status == entry.StatusOK && c.store.Revision() >= max(1, r.Revision), out)
}
