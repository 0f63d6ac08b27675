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
func (c *Control) Peer(at time.Time, p event.PeerMessage, out []effect.Effect) []effect.Effect {
	from := len(out)
	out = c.hear(at, p.From, out)
	switch m := p.Message.(type) {
	case frame.VoteRequest, frame.VoteResponse, frame.AppendRequest, frame.AppendResponse, frame.InstallImage, frame.InstallImageResponse:
		if c.log != nil {
			out = c.log.Peer(at, p.From, m, out)
		}
	case frame.ProposeRequest:
		out = c.forwarded(at, p.From, m, out)
	case frame.ProposeResponse:
		out = c.returned(at, m, out)
	case frame.Digest:
		out = c.heardFrom(at, p.From, out)
		out = c.peerTree(at, p.From, m, out)
		out = c.listen(at, p.From, m, out)
	case frame.UpstreamWarning:
		out = c.peerHint(at, p.From, m, out)
	case frame.EntryVMs:
		out = c.peerDaemons(at, p.From, m, out)
	case frame.UpstreamList, frame.UpstreamListRequest:
		out = c.peerRoster(at, p.From, m, out)
	case frame.ConfigDelta, frame.FullConfig:
		out = c.peerTree(at, p.From, m, out)
	case frame.Ping, frame.Pong, frame.IndirectPing, frame.IndirectPong:
		out = c.peerMember(at, p.From, m, out)
	case frame.LeaseRequest, frame.LeaseResponse:
		out = c.peerLease(at, p.From, m, out)
	case frame.CrashReport:
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
func (c *Control) Platform(at time.Time, p event.PlatformVMs, out []effect.Effect) []effect.Effect {
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
func (c *Control) forwarded(at time.Time, from model.VMID, m frame.ProposeRequest, out []effect.Effect) []effect.Effect {
	if c.repeated(from, m.Seq) {
		return out
	}
	to := peerReceiver{vm: from, n: m.Seq}
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
func (c *Control) returned(at time.Time, m frame.ProposeResponse, out []effect.Effect) []effect.Effect {
	p := c.queue.returned(m.Seq)
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
	return effect.SendMessage{To: to, Message: frame.ProposeRequest{Seq: n, Command: command}}
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
	return append(out, effect.SendMessage{To: p.vm, Message: frame.ProposeResponse{Seq: p.n, Result: r}})
}
