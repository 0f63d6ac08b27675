package plane

import (
	"slices"
	"time"

	"comfreypulley/core/effect"
	"comfreypulley/core/entry"
	"comfreypulley/core/event"
	"comfreypulley/core/model"
)

// Bounds and times of commands on their way to the log. A forwarded command
// takes a few round trips and a sync, about 20 ms.
const (
	maxQueued     = 10_000
	firstRetry    = 300 * time.Millisecond
	longRetry     = 2 * time.Second
	blindRetry    = 100 * time.Millisecond // no leader is known
	redirected    = 20 * time.Millisecond  // another VM was named as the leader
	forwardPeriod = time.Minute            // a leader keeps a forwarded command for its answer
	isolatedAge   = 6 * time.Second        // without a majority; the tree reports ages of up to some seconds
)

// receiver gets the answer of a command.
type receiver interface {
	answer(at time.Time, c *Control, command entry.Command, r entry.Result, out []effect.Effect) []effect.Effect
}

// slot is the place of an entry in the log.
type slot struct {
	index uint64
	term  uint64
}

// proposal is a command that has no answer yet. Sending it again is safe: an
// operation id or a holder makes the second one repeat the first result.
type proposal struct {
	command  entry.Command
	until    time.Time
	to       receiver
	once     bool // came from another VM, which does the retries
	next     time.Time
	wait     time.Duration
	attempts int
	sent     map[uint64]bool // forwards without an answer
	slots    []slot          // entries in the own log
	lost     bool            // an entry's fate was hidden by an image
	done     bool
}

// certain reports whether the command is in no log.
func (p *proposal) certain() bool {
	return len(p.sent) == 0 && len(p.slots) == 0 && !p.lost
}

// queue holds the proposals in the order in which they came. The zero value is
// empty.
type queue struct {
	next    uint64 // of forwards; starts at the process's start, so that it is never used twice
	waiting []*proposal
	open    int // not done
	sent    map[uint64]*proposal
	slots   map[slot]*proposal
	alarm   time.Time // when the timer is due; zero when it is not set
}

func (q *queue) idle() bool {
	return q.open == 0
}

func (q *queue) add(p *proposal) {
	q.waiting = append(q.waiting, p)
	q.open++
}

func (q *queue) forward(p *proposal) uint64 {
	q.next++
	if q.sent == nil {
		q.sent = make(map[uint64]*proposal)
	}
	if p.sent == nil {
		p.sent = make(map[uint64]bool)
	}
	q.sent[q.next] = p
	p.sent[q.next] = true
	return q.next
}

func (q *queue) append(p *proposal, s slot) {
	if q.slots == nil {
		q.slots = make(map[slot]*proposal)
	}
	q.slots[s] = p
	p.slots = append(p.slots, s)
}

// returned gives the proposal of an answered forward.
func (q *queue) returned(n uint64) *proposal {
	p := q.sent[n]
	if p != nil {
		delete(q.sent, n)
		delete(p.sent, n)
	}
	return p
}

// committed gives the proposal whose entry was applied.
func (q *queue) committed(s slot) *proposal {
	return q.slots[s]
}

// skipped notes that the entries up to an index were replaced by an image, so
// that it is not known which of them were applied.
func (q *queue) skipped(index uint64) {
	for _, p := range q.waiting {
		for _, s := range p.slots {
			p.lost = p.lost || s.index <= index
		}
		q.trim(p, index)
	}
}

// trim drops the entries of a proposal up to an applied index: another entry
// took their place.
func (q *queue) trim(p *proposal, applied uint64) {
	p.slots = slices.DeleteFunc(p.slots, func(s slot) bool {
		if s.index > applied {
			return false
		}
		delete(q.slots, s)
		return true
	})
}

func (q *queue) end(p *proposal) {
	p.done = true
	q.open--
	for n := range p.sent {
		delete(q.sent, n)
	}
	for _, s := range p.slots {
		delete(q.slots, s)
	}
}

// submit takes a new command.
func (c *Control) submit(at time.Time, p *proposal, out []effect.Effect) []effect.Effect {
	switch {
	case !c.replicated:
		return p.to.answer(at, c, p.command, entry.Result{Status: entry.StatusNoMajority, Detail: "the fleet has no VM with a disk"}, out)
	case c.queue.open >= maxQueued && !mustCommit(p.command):
		return p.to.answer(at, c, p.command, entry.Result{Status: entry.StatusUnavailable, Detail: "too many commands are waiting"}, out)
	}
	if c.isolated(at) && !mustCommit(p.command) {
		return p.to.answer(at, c, p.command, entry.Result{Status: entry.StatusNoMajority, Detail: "this VM is cut off from the majority"}, out)
	}
	c.queue.add(p)
	out = c.try(at, p, out)
	return c.wake(at, p, out)
}

// isolated reports whether no majority was heard of for so long that a command
// would wait in vain. It is refused without being sent, because one that was
// sent may still arrive after the partition and its fate is not known.
func (c *Control) isolated(at time.Time) bool {
	return c.published > 0 && c.age(at) >= isolatedAge
}

// mustCommit reports whether a command records what already happened.
func mustCommit(command entry.Command) bool {
	switch command.(type) {
	case entry.Settle, entry.Release:
		return true
	default:
		return false
	}
}

// try appends the command to the own log or forwards it.
func (c *Control) try(at time.Time, p *proposal, out []effect.Effect) []effect.Effect {
	p.attempts++
	p.wait = min(max(2*p.wait, firstRetry), longRetry)
	p.next = at.Add(p.wait)
	if c.leading() {
		return c.append(at, p, out)
	}
	to := c.target(p)
	if to == "" {
		p.next = at.Add(blindRetry)
		return out
	}
	return append(out, tell(to, c.queue.forward(p), p.command))
}

func (c *Control) append(at time.Time, p *proposal, out []effect.Effect) []effect.Effect {
	term := c.log.Standing().Term
	if slices.ContainsFunc(p.slots, func(s slot) bool { return s.term == term }) {
		return out
	}
	index, _, out := c.log.Propose(at, p.command, out)
	if index == 0 {
		p.next = at.Add(blindRetry)
		return out
	}
	c.queue.append(p, slot{index: index, term: term})
	return out
}

// target chooses where to forward: to the leader, and on every second attempt
// to the disk VMs in turn, as the leader known here may be out of date.
func (c *Control) target(p *proposal) model.VMID {
	leader := c.leader()
	if leader != "" && leader != c.start.VM.ID && p.attempts%2 == 1 {
		return leader
	}
	disks := slices.DeleteFunc(c.disks(), func(id model.VMID) bool { return id == c.start.VM.ID })
	if len(disks) == 0 {
		return ""
	}
	return disks[(p.attempts-1)%len(disks)]
}

// wake makes sure that the timer is due when the proposal needs it.
func (c *Control) wake(at time.Time, p *proposal, out []effect.Effect) []effect.Effect {
	if p.done {
		return out
	}
	due := p.until
	if !p.once && p.next.Before(due) {
		due = p.next
	}
	return c.alarm(at, due, out)
}

func (c *Control) alarm(at, due time.Time, out []effect.Effect) []effect.Effect {
	if due.Before(at) {
		due = at
	}
	if !c.queue.alarm.IsZero() && !c.queue.alarm.After(due) {
		return out
	}
	c.queue.alarm = due
	return append(out, effect.SetTimer{ID: event.TimerID{Kind: event.TimerPropose}, At: due})
}

// retry goes through the commands without an answer.
func (c *Control) retry(at time.Time, out []effect.Effect) []effect.Effect {
	c.queue.alarm = time.Time{}
	out = c.expireReads(at, out)
	c.queue.waiting = slices.DeleteFunc(c.queue.waiting, func(p *proposal) bool { return p.done })
	for _, p := range c.queue.waiting {
		c.queue.trim(p, c.applied.index)
		switch {
		case p.done:
		case !at.Before(p.until) && p.certain():
			out = c.finish(at, p, entry.Result{Status: entry.StatusNoMajority, Detail: "no leader took the command in time"}, out)
		case !at.Before(p.until):
			out = c.finish(at, p, entry.Result{Status: entry.StatusUnknown, Detail: "no answer in time; send it again with the same operation id"}, out)
		case p.once && p.certain():
			out = c.finish(at, p, entry.Result{Status: entry.StatusNotLeader, Leader: c.leader()}, out)
		case !p.once && !at.Before(p.next):
			out = c.try(at, p, out)
		}
		out = c.wake(at, p, out)
	}
	return out
}

// hurry tries every command again at once, as another VM leads.
func (c *Control) hurry(at time.Time, out []effect.Effect) []effect.Effect {
	if c.queue.open == 0 {
		return out
	}
	for _, p := range c.queue.waiting {
		p.next = at
		p.wait = 0
		p.attempts = 0
	}
	return c.alarm(at, at, out)
}

// finish gives the answer of a command to whoever sent it.
func (c *Control) finish(at time.Time, p *proposal, r entry.Result, out []effect.Effect) []effect.Effect {
	c.queue.end(p)
	return p.to.answer(at, c, p.command, r, out)
}
