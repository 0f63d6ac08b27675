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

// maxForwardsPerProcess bounds how many commands one process forwards. A process
// numbers them from the time of its start in nanoseconds, so a number that is
// lower by this much comes from a later process of the same VM whose clock was
// set back by at least a second.
const maxForwardsPerProcess = uint64(time.Second)

// HandlePeerMessage handles a message from another VM. Each method named peer
// handles messages of one kind.
func (c *Control) HandlePeerMessage(at time.Time, msg event.PeerMessage, out []effect.Effect) []effect.Effect {
	first := len(out)
	out = c.recordContact(at, msg.From, out)
	if msg.From == c.lostLeader {
		c.lostLeader = ""
	}
	switch m := msg.Message.(type) {
	case frame.VoteRequest, frame.VoteResponse, frame.AppendRequest, frame.AppendResponse, frame.InstallImage, frame.InstallImageResponse:
		if c.log != nil {
			out = c.log.HandlePeerMessage(at, msg.From, m, out)
		}
	case frame.ProposeRequest:
		out = c.peerProposeRequest(at, msg.From, m, out)
	case frame.ProposeResponse:
		out = c.peerProposeResponse(at, m, out)
	case frame.Digest:
		out = c.recordHeartbeat(at, msg.From, out)
		out = c.peerTree(at, msg.From, m, out)
		out = c.recordFollower(at, msg.From, m, out)
	case frame.UpstreamWarning:
		out = c.peerUpstreamWarning(at, msg.From, m, out)
	case frame.EntryVMs:
		out = c.peerEntryVMs(at, msg.From, m, out)
	case frame.UpstreamList, frame.UpstreamListRequest:
		out = c.peerUpstreamList(at, msg.From, m, out)
	case frame.ConfigDelta, frame.FullConfig:
		out = c.peerTree(at, msg.From, m, out)
	case frame.Ping, frame.Pong, frame.IndirectPing, frame.IndirectPong:
		out = c.peerLiveness(at, msg.From, m, out)
	case frame.LeaseRequest, frame.LeaseResponse:
		out = c.peerLease(at, msg.From, m, out)
	case frame.CrashReport:
		out = c.peerCrashReport(at, msg.From, m, out)
	case frame.TokenRequest, frame.TokenResponse, frame.TokenExchange:
		// Nothing that update looks at changes, and these messages are frequent.
		return c.complete(first, c.peerTokens(at, msg.From, m, out))
	default:
		return out
	}
	return c.complete(first, c.update(at, out))
}

// HandlePeerDown handles the loss of a connection. If the VM was reported as the
// leader, commands are sent elsewhere at once.
func (c *Control) HandlePeerDown(at time.Time, vm model.VMID, out []effect.Effect) []effect.Effect {
	first := len(out)
	if vm == c.leader() {
		c.reportedLeader, c.lostLeader = "", vm
		out = c.retryAllNow(at, out)
	}
	return c.complete(first, c.update(at, c.peerDownTree(at, vm, out)))
}

// HandlePlatformVMs handles the platform's list of VMs and records which ones
// have begun to leave. The list lags behind reality, so nothing is decided from
// it alone.
func (c *Control) HandlePlatformVMs(at time.Time, vms event.PlatformVMs, out []effect.Effect) []effect.Effect {
	first := len(out)
	for _, id := range vms.Leaving {
		if !slices.Contains(c.platformVMs.Leaving, id) {
			out = append(out, effect.Note{At: at, Subject: "vm " + string(id), Action: "leaving", Cause: "the platform's list"})
		}
	}
	c.platformVMs = vms
	return c.complete(first, c.update(at, c.forwardPlatformVMs(at, vms, out)))
}

// peerProposeRequest appends a command that another VM forwarded. The answer is
// sent when the entry is applied, or at once if the command was not appended.
func (c *Control) peerProposeRequest(at time.Time, from model.VMID, m frame.ProposeRequest, out []effect.Effect) []effect.Effect {
	if c.isRepeated(from, m.Seq) {
		return out
	}
	receiver := peerReceiver{vm: from, seq: m.Seq}
	if !c.leading() {
		return receiver.receiveResult(at, c, m.Command, entry.Result{Status: entry.StatusNotLeader, Leader: c.leader()}, out)
	}
	if c.proposals.pending >= maxPendingProposals {
		return receiver.receiveResult(at, c, m.Command, entry.Result{Status: entry.StatusUnavailable, Detail: "too many commands are waiting"}, out)
	}
	if c.awaitsVoters(at, m.Command) {
		return receiver.receiveResult(at, c, m.Command, entry.Result{Status: entry.StatusUnavailable, Detail: "too few VMs replicate the log yet"}, out)
	}
	term := c.log.LogStatus().Term
	index, status, out := c.log.Propose(at, m.Command, out)
	if index == 0 {
		return receiver.receiveResult(at, c, m.Command, entry.Result{Status: status, Leader: c.leader()}, out)
	}
	p := &proposal{command: m.Command, deadline: at.Add(forwardTimeout), receiver: receiver, forwarded: true}
	c.proposals.add(p)
	c.proposals.append(p, entryID{index: index, term: term})
	return c.scheduleProposal(at, p, out)
}

// isRepeated reports whether a forwarded command is a copy of an earlier
// message or older than one that has arrived. A copy must not be appended: its
// sender may have received the answer that the command was not. A number lower
// by maxForwardsPerProcess or more comes from a new process of the sender.
func (c *Control) isRepeated(from model.VMID, seq uint64) bool {
	if last, ok := c.lastForwards[from]; ok && seq <= last && last-seq < maxForwardsPerProcess {
		return true
	}
	if c.lastForwards == nil {
		c.lastForwards = make(map[model.VMID]uint64)
	}
	c.lastForwards[from] = seq
	return false
}

// peerProposeResponse handles the answer to a forwarded command. If the command
// was not applied, it is retried until its deadline.
func (c *Control) peerProposeResponse(at time.Time, m frame.ProposeResponse, out []effect.Effect) []effect.Effect {
	p := c.proposals.takeForward(m.Seq)
	if p == nil {
		return out
	}
	if m.Result.Status.Applied() {
		return c.answerProposal(at, p, m.Result, out)
	}
	p.nextAttempt = at.Add(unknownLeaderDelay)
	if m.Result.Leader != "" && m.Result.Leader != c.reportedLeader {
		c.reportedLeader = m.Result.Leader
		p.attempts = 0
		p.nextAttempt = at.Add(redirectDelay)
	}
	return c.scheduleProposal(at, p, out)
}

func forwardCommand(to model.VMID, seq uint64, command entry.Command) effect.Effect {
	return effect.SendMessage{To: to, Message: frame.ProposeRequest{Seq: seq, Command: command}}
}

// peerReceiver sends the answer to the VM that forwarded the command.
type peerReceiver struct {
	vm  model.VMID
	seq uint64
}

func (p peerReceiver) receiveResult(_ time.Time, _ *Control, _ entry.Command, r entry.Result, out []effect.Effect) []effect.Effect {
	if r.Status == entry.StatusUnknown {
		return out
	}
	return append(out, effect.SendMessage{To: p.vm, Message: frame.ProposeResponse{Seq: p.seq, Result: r}})
}
