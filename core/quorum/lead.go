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

// progress is what the leader knows of another replica.
type progress struct {
	match uint64    // last index known to be on its disk
	next  uint64    // next index to send
	heard time.Time // of its last answer
	round uint64    // last heartbeat round it answered
	snap  time.Time // when a snapshot was last sent
	quiet bool      // nothing answered since the last beat
}

// add appends a command and replicates it.
func (l *Log) add(at time.Time, c entry.Command, out []effect.Effect) []effect.Effect {
	e := entry.Entry{Index: l.last() + 1, Term: l.term, At: at, Command: c}
	if m, ok := c.(entry.Members); ok {
		l.members = m
		l.track(at)
	}
	l.push(e)
	out = l.write(out)
	for _, r := range l.targets() {
		// One batch per replica is under way; the answer to it sends the next.
		if p := l.progress[r]; p != nil && p.next == p.match+1 {
			out = l.send(at, r, out)
		}
	}
	return out
}

// track keeps progress for the members alone.
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

// targets returns one replica for each VM to contact: the member whose disk the
// VM last answered with, else another member on the VM, else a wanted newcomer.
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

// send sends a replica what it lacks, or an empty heartbeat.
func (l *Log) send(at time.Time, r entry.Replica, out []effect.Effect) []effect.Effect {
	m := frame.AppendRequest{Term: l.term, Replica: l.self, CommitIndex: l.commit, Round: l.round}
	p := l.progress[r]
	switch {
	case p == nil:
		// A newcomer gets a heartbeat alone; its answer tells its disk.
		m.PrevIndex = l.last()
	case p.next <= l.image.Index:
		if at.Before(p.snap.Add(snapRetry)) {
			m.PrevIndex = l.last()
			break
		}
		p.snap = at
		out = append(out, effect.SendMessage{To: r.VM, Message: frame.InstallImage{Term: l.term, Replica: l.self, Image: l.image}})
		m.PrevIndex = l.last()
	default:
		m.PrevIndex = p.next - 1
		m.Entries = l.batch(p.next)
		p.next += uint64(len(m.Entries))
	}
	m.PrevTerm = l.termOf(m.PrevIndex)
	return append(out, effect.SendMessage{To: r.VM, Message: m})
}

// batch returns the entries of one message.
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

// beat sends heartbeats, and steps down when no majority answers.
func (l *Log) beat(at time.Time, out []effect.Effect) []effect.Effect {
	l.heard = at
	if at.Sub(l.majorityHeard()) >= maxElection {
		return l.follow(at, "no majority heard for an election timeout", out)
	}
	if !l.resigning.IsZero() && !at.Before(l.resigning) {
		return l.follow(at, "resigned", out)
	}
	out = setTimer(event.TimerHeartbeat, at.Add(beatPeriod), out)
	for _, r := range l.targets() {
		if p := l.progress[r]; p != nil {
			if p.quiet {
				p.next = p.match + 1 // what was sent may be lost
			}
			p.quiet = true
		}
		out = l.send(at, r, out)
	}
	out = l.handOver(out)
	return l.reconcile(at, out)
}

// majorityHeard returns the time at which a majority, with this replica, was
// last heard.
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

// appended takes the answer to an append.
func (l *Log) appended(at time.Time, m frame.AppendResponse, out []effect.Effect) []effect.Effect {
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
	case m.OK && m.MatchIndex > p.match:
		p.match = m.MatchIndex
		p.next = max(p.next, p.match+1)
		out = l.advance(at, out)
	case !m.OK:
		// The hint of an old answer may lie below what matched since.
		p.next = max(p.match+1, min(p.next, m.NextIndex))
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

// snapped takes the answer to a snapshot.
func (l *Log) snapped(at time.Time, m frame.InstallImageResponse, out []effect.Effect) []effect.Effect {
	return l.appended(at, frame.AppendResponse{Term: m.Term, Replica: m.Replica, OK: true, MatchIndex: m.Index}, out)
}

// advance commits what a majority has on its disks. Entries of earlier terms
// commit only with one of the leader's own.
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

// begin starts a heartbeat round for reads.
func (l *Log) begin(at time.Time, out []effect.Effect) []effect.Effect {
	l.round++
	for _, r := range l.targets() {
		if l.progress[r] != nil {
			out = l.send(at, r, out)
		}
	}
	return out
}

// settle confirms the reads whose round a majority answered. A new leader does
// so only after the commit of its first entry, when it knows all that is
// committed.
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

// handOver asks a voter with the whole log to stand for election.
func (l *Log) handOver(out []effect.Effect) []effect.Effect {
	if l.role != leader || l.resigning.IsZero() {
		return out
	}
	for _, r := range l.members.Voters {
		if p := l.progress[r]; p != nil && p.match == l.last() && !p.quiet {
			return append(out, effect.SendMessage{To: r.VM, Message: frame.AppendRequest{
				Term: l.term, Replica: l.self, PrevIndex: l.last(), PrevTerm: l.termOf(l.last()),
				CommitIndex: l.commit, Round: l.round, Handover: true,
			}})
		}
	}
	return out
}

// silent reports whether a replica was not heard for an election timeout.
func (l *Log) silent(at time.Time, r entry.Replica) bool {
	p := l.progress[r]
	return r != l.self && (p == nil || at.Sub(p.heard) >= maxElection)
}

// wanted reports whether a VM should replicate the log.
func (l *Log) wanted(vm model.VMID) bool {
	return slices.Contains(l.want, vm)
}
