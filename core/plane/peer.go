package plane

import (
	"slices"
	"time"

	"comfreypulley/core/effect"
	"comfreypulley/core/entry"
	"comfreypulley/core/event"
	"comfreypulley/core/frame"
	"comfreypulley/core/model"
)

// sameProcess bounds how many commands a process forwards. Numbers start at the
// time of its start in nanoseconds, so it is also a second of clock error.
const sameProcess = uint64(time.Second)

// Peer takes a message from another VM.
func (c *Control) Peer(at time.Time, p event.Peer, out []effect.Effect) []effect.Effect {
	from := len(out)
	out = c.hear(at, p.From, out)
	switch m := p.Message.(type) {
	case frame.Vote, frame.Voted, frame.Append, frame.Appended, frame.Snap, frame.Snapped:
		if c.log != nil {
			out = c.log.Peer(at, p.From, m, out)
		}
	case frame.Propose:
		out = c.forwarded(at, p.From, m, out)
	case frame.Proposed:
		out = c.returned(at, m, out)
	case frame.Digest:
		out = c.heardFrom(at, p.From, out)
		out = c.peerTree(at, p.From, m, out)
		out = c.listen(at, p.From, m, out)
	case frame.Hint:
		out = c.peerHint(at, p.From, m, out)
	case frame.Daemons:
		out = c.peerDaemons(at, p.From, m, out)
	case frame.Roster, frame.Lack:
		out = c.peerRoster(at, p.From, m, out)
	case frame.Delta, frame.Full:
		out = c.peerTree(at, p.From, m, out)
	case frame.Ping, frame.Pong, frame.Probe, frame.Probed:
		out = c.peerMember(at, p.From, m, out)
	case frame.Ask, frame.Grant:
		out = c.peerLease(at, p.From, m, out)
	case frame.Strike:
		out = c.peerStrike(at, p.From, m, out)
	default:
		return out
	}
	return c.seal(from, c.moved(at, out))
}

// PeerDown takes the loss of a connection. Commands that wait for an answer of
// that VM are tried elsewhere at once.
func (c *Control) PeerDown(at time.Time, vm model.VMID, out []effect.Effect) []effect.Effect {
	from := len(out)
	if vm == c.named {
		c.named = ""
		out = c.hurry(at, out)
	}
	return c.seal(from, c.moved(at, c.downTree(at, vm, out)))
}

// Platform takes the platform's list of VMs. VMs that begin to leave are noted;
// the list lags, so nothing is decided from it alone.
func (c *Control) Platform(at time.Time, p event.Platform, out []effect.Effect) []effect.Effect {
	from := len(out)
	for _, id := range p.Leaving {
		if !slices.Contains(c.platform.Leaving, id) {
			out = append(out, effect.Note{At: at, Subject: "vm " + string(id), Action: "leaving", Cause: "the platform's list"})
		}
	}
	c.platform = p
	return c.seal(from, c.moved(at, c.hint(at, p, out)))
}

// forwarded appends another VM's command. The answer follows when the entry is
// applied, or at once when it was not appended.
func (c *Control) forwarded(at time.Time, from model.VMID, m frame.Propose, out []effect.Effect) []effect.Effect {
	if c.repeated(from, m.N) {
		return out
	}
	to := peerReceiver{vm: from, n: m.N}
	if !c.leading() {
		return to.answer(at, c, m.Command, entry.Result{Status: entry.StatusNotLeader, Leader: c.leader()}, out)
	}
	if c.queue.open >= maxQueued {
		return to.answer(at, c, m.Command, entry.Result{Status: entry.StatusUnavailable, Detail: "too many commands are waiting"}, out)
	}
	term := c.log.Standing().Term
	index, status, out := c.log.Propose(at, m.Command, out)
	if index == 0 {
		return to.answer(at, c, m.Command, entry.Result{Status: status, Leader: c.leader()}, out)
	}
	p := &proposal{command: m.Command, until: at.Add(forwardPeriod), to: to, once: true}
	c.queue.add(p)
	c.queue.append(p, slot{index: index, term: term})
	return c.wake(at, p, out)
}

// repeated reports whether a forward is a copy, or was overtaken by a later one.
// A copy that came after the sender was told that its command was not appended
// must not append it. A number far below starts a new process of the sender
// whose clock went back.
func (c *Control) repeated(from model.VMID, n uint64) bool {
	if last, ok := c.taken[from]; ok && n <= last && last-n < sameProcess {
		return true
	}
	if c.taken == nil {
		c.taken = make(map[model.VMID]uint64)
	}
	c.taken[from] = n
	return false
}

// returned takes the answer of a forwarded command. Without a decision it is
// tried again, until its time is over.
func (c *Control) returned(at time.Time, m frame.Proposed, out []effect.Effect) []effect.Effect {
	p := c.queue.returned(m.N)
	if p == nil {
		return out
	}
	if m.Result.Status.Applied() {
		return c.finish(at, p, m.Result, out)
	}
	p.next = at.Add(blindRetry)
	if m.Result.Leader != "" && m.Result.Leader != c.named {
		c.named = m.Result.Leader
		p.attempts = 0
		p.next = at.Add(redirected)
	}
	return c.wake(at, p, out)
}

func tell(to model.VMID, n uint64, command entry.Command) effect.Effect {
	return effect.Tell{To: to, Message: frame.Propose{N: n, Command: command}}
}

// peerReceiver answers another VM.
type peerReceiver struct {
	vm model.VMID
	n  uint64
}

func (p peerReceiver) answer(_ time.Time, _ *Control, _ entry.Command, r entry.Result, out []effect.Effect) []effect.Effect {
	if r.Status == entry.StatusUnknown {
		return out
	}
	return append(out, effect.Tell{To: p.vm, Message: frame.Proposed{N: p.n, Result: r}})
}
