package plane

import (
	"slices"
	"time"

	"comfreypulley/core/effect"
	"comfreypulley/core/entry"
	"comfreypulley/core/event"
	"comfreypulley/core/model"
)

// Limits and times of commands on their way to the log. Forwarding one to the
// leader and having it committed takes a few round trips and a sync, about 20 ms.
const (
	maxPendingProposals = 10_000                 // commands without an answer on this VM; more are refused unless they must commit
	minRetryDelay       = 300 * time.Millisecond // delay of the second attempt; doubles up to maxRetryDelay
	maxRetryDelay       = 2 * time.Second
	unknownLeaderDelay  = 100 * time.Millisecond // delay of the next attempt when no leader is known or the command was not appended
	redirectDelay       = 20 * time.Millisecond  // delay of the next attempt when the answer names another leader
	forwardTimeout      = time.Minute            // how long a leader keeps a forwarded command to answer it
	maxMajorityAge      = 6 * time.Second        // without a majority, after which commands are refused; the tree normally reports up to some seconds
)

// resultReceiver passes on the answer of a command.
type resultReceiver interface {
	receiveResult(at time.Time, c *Control, command entry.Command, r entry.Result, out []effect.Effect) []effect.Effect
}

// entryID identifies an entry of the log.
type entryID struct {
	index uint64
	term  uint64
}

// proposal is a command without an answer. It may be sent more than once: the
// operation id or the holder in it makes the log apply it once and repeat the
// first result.
type proposal struct {
	command       entry.Command
	deadline      time.Time
	receiver      resultReceiver
	forwarded     bool // came from another VM, which does the retries
	nextAttempt   time.Time
	retryDelay    time.Duration
	attempts      int
	forwards      map[uint64]bool // sequence numbers of the messages that forwarded it and have no answer
	entries       []entryID       // entries in this VM's log
	hiddenByImage bool            // an image replaced an entry, so it is not known whether that was applied
	done          bool
}

// notAppended reports whether the command is certainly in no replica's log.
func (p *proposal) notAppended() bool {
	return len(p.forwards) == 0 && len(p.entries) == 0 && !p.hiddenByImage
}

// proposalQueue holds the proposals in the order in which they came. The zero
// value is empty.
type proposalQueue struct {
	lastForward uint64               // number of the last forward; starts at the time of the process's start, so that no number is used twice
	all         []*proposal          // includes done ones until the next retry
	pending     int                  // proposals that are not done
	byForward   map[uint64]*proposal // by the number of a forward without an answer
	byEntry     map[entryID]*proposal
	timerDue    time.Time // zero when the timer is not set
}

func (q *proposalQueue) idle() bool {
	return q.pending == 0
}

func (q *proposalQueue) add(p *proposal) {
	q.all = append(q.all, p)
	q.pending++
}

// addForward returns a new number for a message that forwards the proposal.
func (q *proposalQueue) addForward(p *proposal) uint64 {
	q.lastForward++
	if q.byForward == nil {
		q.byForward = make(map[uint64]*proposal)
	}
	if p.forwards == nil {
		p.forwards = make(map[uint64]bool)
	}
	q.byForward[q.lastForward] = p
	p.forwards[q.lastForward] = true
	return q.lastForward
}

// append records the entry of an appended proposal.
func (q *proposalQueue) append(p *proposal, id entryID) {
	if q.byEntry == nil {
		q.byEntry = make(map[entryID]*proposal)
	}
	q.byEntry[id] = p
	p.entries = append(p.entries, id)
}

// takeForward removes an answered forward and returns its proposal, nil when it
// is not known.
func (q *proposalQueue) takeForward(seq uint64) *proposal {
	p := q.byForward[seq]
	if p != nil {
		delete(q.byForward, seq)
		delete(p.forwards, seq)
	}
	return p
}

// proposalOf returns the proposal that appended an entry, nil when none did.
func (q *proposalQueue) proposalOf(id entryID) *proposal {
	return q.byEntry[id]
}

// imageInstalled records that an image replaced the entries up to an index, so
// that it is not known which of them were applied.
func (q *proposalQueue) imageInstalled(index uint64) {
	for _, p := range q.all {
		for _, id := range p.entries {
			p.hiddenByImage = p.hiddenByImage || id.index <= index
		}
		q.dropEntries(p, index)
	}
}

// dropEntries removes the entries of a proposal up to an applied index. Unless an
// image hid them, other entries took their place: applying one of them would have
// ended the proposal.
func (q *proposalQueue) dropEntries(p *proposal, applied uint64) {
	p.entries = slices.DeleteFunc(p.entries, func(id entryID) bool {
		if id.index > applied {
			return false
		}
		delete(q.byEntry, id)
		return true
	})
}

// remove ends a proposal. The next retry removes it from the list.
func (q *proposalQueue) remove(p *proposal) {
	p.done = true
	q.pending--
	for seq := range p.forwards {
		delete(q.byForward, seq)
	}
	for _, id := range p.entries {
		delete(q.byEntry, id)
	}
}

// submit starts a new proposal, or refuses it.
func (c *Control) submit(at time.Time, p *proposal, out []effect.Effect) []effect.Effect {
	switch {
	case !c.replicated:
		return p.receiver.receiveResult(at, c, p.command, entry.Result{
			Status: entry.StatusNoMajority, Detail: "the fleet has no VM with a disk",
		}, out)
	case c.proposals.pending >= maxPendingProposals && !mustCommit(p.command):
		return p.receiver.receiveResult(at, c, p.command, entry.Result{Status: entry.StatusUnavailable, Detail: "too many commands are waiting"}, out)
	}
	if c.withoutMajority(at) && !mustCommit(p.command) {
		return p.receiver.receiveResult(at, c, p.command, entry.Result{
			Status: entry.StatusNoMajority, Detail: "this VM is cut off from the majority",
		}, out)
	}
	c.proposals.add(p)
	out = c.attempt(at, p, out)
	return c.scheduleProposal(at, p, out)
}

// withoutMajority reports whether the last contact with a majority is so long
// ago that a command would wait in vain. Such a command is refused without
// being sent: one that was sent may arrive after the partition has healed, and
// its outcome would not be known.
func (c *Control) withoutMajority(at time.Time) bool {
	return c.publishedRevision > 0 && c.majorityAge(at) >= maxMajorityAge
}

// mustCommit reports whether a command records something that has already
// happened and so must not be refused.
func mustCommit(command entry.Command) bool {
	switch command.(type) {
	case entry.Settle, entry.Release:
		return true
	default:
		return false
	}
}

// attempt appends the command to this VM's log if it leads, and forwards it
// otherwise.
func (c *Control) attempt(at time.Time, p *proposal, out []effect.Effect) []effect.Effect {
	p.attempts++
	p.retryDelay = min(max(2*p.retryDelay, minRetryDelay), maxRetryDelay)
	p.nextAttempt = at.Add(p.retryDelay)
	if c.awaitsVoters(at, p.command) {
		p.nextAttempt = at.Add(unknownLeaderDelay)
		return out
	}
	if c.leading() {
		return c.append(at, p, out)
	}
	to := c.forwardTarget(p)
	if to == "" {
		p.nextAttempt = at.Add(unknownLeaderDelay)
		return out
	}
	return append(out, forwardCommand(to, c.proposals.addForward(p), p.command))
}

// append appends the command unless it has an entry of the current term.
func (c *Control) append(at time.Time, p *proposal, out []effect.Effect) []effect.Effect {
	term := c.log.LogStatus().Term
	if slices.ContainsFunc(p.entries, func(id entryID) bool { return id.term == term }) {
		return out
	}
	index, _, out := c.log.Propose(at, p.command, out)
	if index == 0 {
		p.nextAttempt = at.Add(unknownLeaderDelay)
		return out
	}
	c.proposals.append(p, entryID{index: index, term: term})
	return out
}

// forwardTarget chooses the VM to forward to: the leader, and on every second
// attempt the other disk VMs in turn, since the leader known here may be out of
// date. It returns "" when there is none.
func (c *Control) forwardTarget(p *proposal) model.VMID {
	leader := c.leader()
	if leader != "" && leader != c.settings.VM.ID && p.attempts%2 == 1 {
		return leader
	}
	disks := slices.DeleteFunc(c.diskVMs(), func(id model.VMID) bool {
		return id == c.settings.VM.ID || id == c.lostLeader
	})
	if len(disks) == 0 {
		return ""
	}
	return disks[(p.attempts-1)%len(disks)]
}

// scheduleProposal makes sure that the timer fires when the proposal is next due.
func (c *Control) scheduleProposal(at time.Time, p *proposal, out []effect.Effect) []effect.Effect {
	if p.done {
		return out
	}
	due := p.deadline
	if !p.forwarded && p.nextAttempt.Before(due) {
		due = p.nextAttempt
	}
	return c.setProposalTimer(at, due, out)
}

// setProposalTimer sets the timer unless it is due earlier already.
func (c *Control) setProposalTimer(at, due time.Time, out []effect.Effect) []effect.Effect {
	if due.Before(at) {
		due = at
	}
	if !c.proposals.timerDue.IsZero() && !c.proposals.timerDue.After(due) {
		return out
	}
	c.proposals.timerDue = due
	return append(out, effect.SetTimer{ID: event.TimerID{Kind: event.TimerPropose}, At: due})
}

// retryProposals attempts the proposals that are due again, and answers those
// whose deadline has passed.
func (c *Control) retryProposals(at time.Time, out []effect.Effect) []effect.Effect {
	c.proposals.timerDue = time.Time{}
	out = c.expireReads(at, out)
	c.proposals.all = slices.DeleteFunc(c.proposals.all, func(p *proposal) bool { return p.done })
	for _, p := range c.proposals.all {
		c.proposals.dropEntries(p, c.applied.index)
		switch {
		case p.done:
		case !at.Before(p.deadline) && p.notAppended():
			out = c.answerProposal(at, p, entry.Result{Status: entry.StatusNoMajority, Detail: "no leader took the command in time"}, out)
		case !at.Before(p.deadline):
			out = c.answerProposal(at, p, entry.Result{
				Status: entry.StatusUnknown, Detail: "no answer in time; send it again with the same operation id",
			}, out)
		case p.forwarded && p.notAppended():
			out = c.answerProposal(at, p, entry.Result{Status: entry.StatusNotLeader, Leader: c.leader()}, out)
		case !p.forwarded && !at.Before(p.nextAttempt):
			out = c.attempt(at, p, out)
		}
		out = c.scheduleProposal(at, p, out)
	}
	return out
}

// retryAllNow attempts every proposal again at once, since the leader changed.
func (c *Control) retryAllNow(at time.Time, out []effect.Effect) []effect.Effect {
	if c.proposals.pending == 0 {
		return out
	}
	for _, p := range c.proposals.all {
		p.nextAttempt = at
		p.retryDelay = 0
		p.attempts = 0
	}
	return c.setProposalTimer(at, at, out)
}

// answerProposal ends a proposal and passes its result to the receiver.
func (c *Control) answerProposal(at time.Time, p *proposal, r entry.Result, out []effect.Effect) []effect.Effect {
	c.proposals.remove(p)
	return p.receiver.receiveResult(at, c, p.command, r, out)
}
