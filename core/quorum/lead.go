package quorum

import (
	"slices"
	"time"

	"comfreypulley/core/effect"
	"comfreypulley/core/entry"
	"comfreypulley/core/event"
	"comfreypulley/core/frame"
	"comfreypulley/core/model"
)

// progress is the leader's view of another replica.
type progress struct {
	match uint64    // last index known to be synced on the replica
	next  uint64    // next index to send
	heard time.Time // last answer
	round uint64    // last heartbeat round that it answered
	snap  time.Time // when the image was last sent
	quiet bool      // no answer since the last heartbeat
}

// add appends a command to the log and replicates it.
func (l *Log) add(at time.Time, c entry.Command, out []effect.Effect) []effect.Effect {
	e := entry.Entry{Index: l.last() + 1, Term: l.term, At: at, Command: c}
	if m, ok := c.(entry.Members); ok {
		l.members = m
		l.track(at)
	}
	l.push(e)
	out = l.write(out)
	for _, r := range l.targets() {
		// At most one batch per replica is in flight; the answer triggers the next.
		if p := l.progress[r]; p != nil && p.next == p.match+1 {
			out = l.send(at, r, out)
		}
	}
	return out
}

// track limits progress to the current members and adds new ones.
func (l *Log) track(at time.Time) {
	known := l.progress
	l.progress = make(map[entry.Replica]*progress)
	for _, r := range slices.Concat(l.members.Voters, l.members.Learners) {
		switch {
		case r == l.self:
		case known[r] != nil:
			l.progress[r] = known[r]
		default:
			l.progress[r] = &progress{next: l.last() + 1, heard: at}
		}
	}
}

// targets returns one replica per VM to contact: the member with the disk that
// the VM last answered with, otherwise any member on the VM, otherwise the VM
// without a disk if it is to become a member.
func (l *Log) targets() []entry.Replica {
	var found []entry.Replica
	for _, r := range slices.Concat(l.members.Voters, l.members.Learners) {
		if r.VM == l.self.VM {
			continue
		}
		i := slices.IndexFunc(found, func(f entry.Replica) bool { return f.VM == r.VM })
		switch {
		case i < 0:
			found = append(found, r)
		case l.disks[r.VM] == r.Disk:
			found[i] = r
		}
	}
	for _, vm := range l.want {
		if _, ok := replicaOf(found, vm); !ok && vm != l.self.VM {
			found = append(found, entry.Replica{VM: vm})
		}
	}
	return found
}

// send sends a replica its missing entries or the image, or else an empty
// heartbeat.
func (l *Log) send(at time.Time, r entry.Replica, out []effect.Effect) []effect.Effect {
	m := frame.Append{Term: l.term, Replica: l.self, Commit: l.commit, Round: l.round}
	p := l.progress[r]
	switch {
	case p == nil:
		// A VM that is not a member yet gets only a heartbeat; its answer tells its
		// disk.
		m.PrevIndex = l.last()
	case p.next <= l.image.Index:
		if at.Before(p.snap.Add(snapRetry)) {
			m.PrevIndex = l.last()
			break
		}
		p.snap = at
		out = append(out, effect.Tell{To: r.VM, Message: frame.Snap{Term: l.term, Replica: l.self, Image: l.image}})
		m.PrevIndex = l.last()
	default:
		m.PrevIndex = p.next - 1
		m.Entries = l.batch(p.next)
		p.next += uint64(len(m.Entries))
	}
	m.PrevTerm = l.termOf(m.PrevIndex)
	return append(out, effect.Tell{To: r.VM, Message: m})
}

// batch returns the entries that fit in one message.
func (l *Log) batch(from uint64) []entry.Entry {
	size := 0
	to := from
	for ; to <= l.last() && to-from < maxBatch; to++ {
		size += weight(l.slice(to, to)[0])
		if size > maxWeight && to > from {
			break
		}
	}
	return l.slice(from, to-1)
}

// beat sends heartbeats, or steps down if no majority has answered for an
// election timeout.
func (l *Log) beat(at time.Time, out []effect.Effect) []effect.Effect {
	l.heard = at
	if at.Sub(l.majorityHeard()) >= maxElection {
		return l.follow(at, "no majority heard for an election timeout", out)
	}
	if !l.resigning.IsZero() && !at.Before(l.resigning) {
		return l.follow(at, "resigned", out)
	}
	out = setTimer(event.TimerBeat, at.Add(beatPeriod), out)
	for _, r := range l.targets() {
		if p := l.progress[r]; p != nil {
			if p.quiet {
				p.next = p.match + 1 // the entries sent since may be lost
			}
			p.quiet = true
		}
		out = l.send(at, r, out)
	}
	out = l.handOver(out)
	return l.reconcile(at, out)
}

// majorityHeard returns the latest time since which a majority of the voters,
// counting this replica, have answered.
func (l *Log) majorityHeard() time.Time {
	var heard []time.Time
	for _, r := range l.members.Voters {
		if p := l.progress[r]; p != nil {
			heard = append(heard, p.heard)
		}
	}
	others := len(l.members.Voters) / 2
	if others == 0 {
		return l.heard
	}
	slices.SortFunc(heard, func(a, b time.Time) int { return b.Compare(a) })
	return heard[others-1]
}

// appended handles the answer to an append.
func (l *Log) appended(at time.Time, m frame.Appended, out []effect.Effect) []effect.Effect {
	if m.Term > l.term {
		return l.raise(at, m.Term, out)
	}
	if m.Term < l.term || l.role != leader {
		return out
	}
	l.disks[m.Replica.VM] = m.Replica.Disk
	p := l.progress[m.Replica]
	if p == nil {
		return out
	}
	p.heard, p.quiet = at, false
	p.round = max(p.round, m.Round)
	switch {
	case m.OK && m.Match > p.match:
		p.match = m.Match
		p.next = max(p.next, p.match+1)
		out = l.advance(at, out)
	case !m.OK:
		// A delayed answer may carry a hint below the current match.
		p.next = max(p.match+1, min(p.next, m.Hint))
	}
	if l.role != leader {
		return out
	}
	lacks := p.next == p.match+1 && p.next <= l.last() || !m.OK
	if waits := p.next <= l.image.Index && at.Before(p.snap.Add(snapRetry)); lacks && !waits {
		out = l.send(at, m.Replica, out)
	}
	return l.settle(at, l.handOver(out))
}

// snapped handles the answer to a snapshot.
func (l *Log) snapped(at time.Time, m frame.Snapped, out []effect.Effect) []effect.Effect {
	return l.appended(at, frame.Appended{Term: m.Term, Replica: m.Replica, OK: true, Match: m.Index}, out)
}

// advance commits the entries that are synced on a majority. Entries of earlier
// terms are committed only together with one of the leader's own term, because
// another leader might still overwrite them.
func (l *Log) advance(at time.Time, out []effect.Effect) []effect.Effect {
	var matches []uint64
	for _, r := range l.members.Voters {
		switch p := l.progress[r]; {
		case r == l.self:
			matches = append(matches, l.stable)
		case p != nil:
			matches = append(matches, p.match)
		default:
			matches = append(matches, 0)
		}
	}
	slices.Sort(matches)
	index := matches[(len(matches)-1)/2]
	if index <= l.commit || l.termOf(index) != l.term {
		return out
	}
	l.commit = index
	return l.settle(at, l.reconcile(at, out))
}

// begin starts a heartbeat round to confirm reads.
func (l *Log) begin(at time.Time, out []effect.Effect) []effect.Effect {
	l.round++
	for _, r := range l.targets() {
		if l.progress[r] != nil {
			out = l.send(at, r, out)
		}
	}
	return out
}

// settle confirms the reads whose heartbeat round a majority has answered. A
// new leader confirms none before its first entry is committed: until then it
// may not know of every committed entry.
func (l *Log) settle(at time.Time, out []effect.Effect) []effect.Effect {
	for l.role == leader && len(l.reads) > 0 && l.commit >= l.began {
		answered := l.majority(func(r entry.Replica) bool {
			p := l.progress[r]
			return r == l.self || p != nil && p.round >= l.round
		})
		if !answered {
			return out
		}
		l.reads = slices.DeleteFunc(l.reads, func(r read) bool {
			if r.round > l.round {
				return false
			}
			l.confirmed = append(l.confirmed, r.n)
			return true
		})
		if len(l.reads) > 0 {
			out = l.begin(at, out)
		}
	}
	return out
}

// handOver asks a voter with every entry to start an election.
func (l *Log) handOver(out []effect.Effect) []effect.Effect {
	if l.role != leader || l.resigning.IsZero() {
		return out
	}
	for _, r := range l.members.Voters {
		if p := l.progress[r]; p != nil && p.match == l.last() && !p.quiet {
			return append(out, effect.Tell{To: r.VM, Message: frame.Append{
				Term: l.term, Replica: l.self, PrevIndex: l.last(), PrevTerm: l.termOf(l.last()),
				Commit: l.commit, Round: l.round, Handover: true,
			}})
		}
	}
	return out
}

// silent reports whether another replica has not answered for an election
// timeout.
func (l *Log) silent(at time.Time, r entry.Replica) bool {
	p := l.progress[r]
	return r != l.self && (p == nil || at.Sub(p.heard) >= maxElection)
}

// wanted reports whether a VM should replicate the log.
func (l *Log) wanted(vm model.VMID) bool {
	return slices.Contains(l.want, vm)
}
