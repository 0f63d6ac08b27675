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
	matchIndex  uint64    // last index known to be synced on the replica
	nextIndex   uint64    // next index to send
	lastContact time.Time // last answer
	acceptedAt  time.Time // when the latest request that it answered was sent
	stamp       time.Time // stamp of its last answer
	round       uint64    // latest heartbeat round that it answered
	imageSentAt time.Time // when the image was last sent
	unanswered  bool      // no answer since the last heartbeat
}

// appendCommand appends a command to the log and replicates it.
func (l *Log) appendCommand(at time.Time, c entry.Command, out []effect.Effect) []effect.Effect {
	e := entry.Entry{Index: l.lastIndex() + 1, Term: l.term, At: at, Command: c}
	if m, ok := c.(entry.Members); ok {
		l.members = m
		l.trackMembers(at)
	}
	l.appendLocal(e)
	out = l.writeEntries(out)
	for _, r := range l.recipients() {
		// At most one batch per replica is in flight; the response triggers the
		// next.
		if p := l.progress[r]; p != nil && p.nextIndex == p.matchIndex+1 {
			out = l.replicate(at, r, out)
		}
	}
	return out
}

// trackMembers limits progress to the current members and adds new ones.
func (l *Log) trackMembers(at time.Time) {
	previous := l.progress
	l.progress = make(map[entry.Replica]*progress)
	for _, r := range slices.Concat(l.members.Voters, l.members.Learners) {
		switch {
		case r == l.self:
		case previous[r] != nil:
			l.progress[r] = previous[r]
		default:
			l.progress[r] = &progress{nextIndex: l.lastIndex() + 1, lastContact: at}
		}
	}
}

// recipients returns one replica per VM to contact: the member with the disk
// that the VM last answered with, otherwise any member on the VM, otherwise the
// VM without a disk if it is to become a member.
func (l *Log) recipients() []entry.Replica {
	var replicas []entry.Replica
	for _, r := range slices.Concat(l.members.Voters, l.members.Learners) {
		if r.VM == l.self.VM {
			continue
		}
		i := slices.IndexFunc(replicas, func(f entry.Replica) bool { return f.VM == r.VM })
		switch {
		case i < 0:
			replicas = append(replicas, r)
		case l.reportedDisks[r.VM] == r.Disk:
			replicas[i] = r
		}
	}
	for _, vm := range l.wantedVMs {
		if _, ok := findReplica(replicas, vm); !ok && vm != l.self.VM {
			replicas = append(replicas, entry.Replica{VM: vm})
		}
	}
	return replicas
}

// newAppendRequest returns a request without entries.
func (l *Log) newAppendRequest(at time.Time, r entry.Replica) frame.AppendRequest {
	m := frame.AppendRequest{
		Term: l.term, Replica: l.self, CommitIndex: l.commitIndex, Round: l.round,
		Sent: l.clock.Stamp(at), MajorityAge: at.Sub(l.lastMajority()),
	}
	if p := l.progress[r]; p != nil {
		m.Echo = p.stamp
	}
	return m
}

// replicate sends a replica its missing entries or the image, or else an empty
// heartbeat.
func (l *Log) replicate(at time.Time, r entry.Replica, out []effect.Effect) []effect.Effect {
	m := l.newAppendRequest(at, r)
	p := l.progress[r]
	switch {
	case p == nil:
		// A VM that is not a member yet receives only a heartbeat, whose
		// response names its disk.
		m.PrevIndex = l.lastIndex()
	case p.nextIndex <= l.image.Index:
		if at.Before(p.imageSentAt.Add(imageRetryDelay)) {
			m.PrevIndex = l.lastIndex()
			break
		}
		p.imageSentAt = at
		out = append(out, effect.SendMessage{To: r.VM, Message: frame.InstallImage{Term: l.term, Replica: l.self, Image: l.image}})
		m.PrevIndex = l.lastIndex()
	default:
		m.PrevIndex = p.nextIndex - 1
		m.Entries = l.nextBatch(p.nextIndex)
		p.nextIndex += uint64(len(m.Entries))
	}
	m.PrevTerm = l.termOf(m.PrevIndex)
	return append(out, effect.SendMessage{To: r.VM, Message: m})
}

// nextBatch returns the entries that fit in one message.
func (l *Log) nextBatch(from uint64) []entry.Entry {
	size := 0
	to := from
	for ; to <= l.lastIndex() && to-from < maxBatchEntries; to++ {
		size += entrySize(l.entryRange(to, to)[0])
		if size > maxBatchBytes && to > from {
			break
		}
	}
	return l.entryRange(from, to-1)
}

// heartbeat sends heartbeats, or steps down if no majority has answered for an
// election timeout.
func (l *Log) heartbeat(at time.Time, out []effect.Effect) []effect.Effect {
	l.lastContact = at
	if at.Sub(l.majorityContact()) >= maxElectionTimeout {
		return l.becomeFollower(at, "no majority heard for an election timeout", out)
	}
	if !l.transferDeadline.IsZero() && !at.Before(l.transferDeadline) {
		return l.becomeFollower(at, "resigned", out)
	}
	out = setTimer(event.TimerHeartbeat, at.Add(heartbeatPeriod), out)
	for _, r := range l.recipients() {
		if p := l.progress[r]; p != nil {
			if p.unanswered {
				p.nextIndex = p.matchIndex + 1 // the entries sent since may be lost
			}
			p.unanswered = true
		}
		out = l.replicate(at, r, out)
	}
	out = l.transferLeadership(at, out)
	return l.changeMembers(at, out)
}

// majorityContact returns the latest time since which a majority of the voters,
// counting this replica, have answered.
func (l *Log) majorityContact() time.Time {
	return l.majorityTime(func(p *progress) time.Time { return p.lastContact })
}

// majorityTime returns the latest time that a majority of the voters, counting
// this replica, have reached.
func (l *Log) majorityTime(timeOf func(*progress) time.Time) time.Time {
	var contacts []time.Time
	for _, r := range l.members.Voters {
		if p := l.progress[r]; p != nil {
			contacts = append(contacts, timeOf(p))
		}
	}
	others := len(l.members.Voters) / 2
	if others == 0 {
		return l.lastContact
	}
	slices.SortFunc(contacts, func(a, b time.Time) int { return b.Compare(a) })
	return contacts[others-1]
}

// handleAppendResponse updates the progress of a replica from its response.
func (l *Log) handleAppendResponse(at time.Time, m frame.AppendResponse, out []effect.Effect) []effect.Effect {
	if m.Term > l.term {
		return l.enterTerm(at, m.Term, out)
	}
	if m.Term < l.term || l.role != leader {
		return out
	}
	l.reportedDisks[m.Replica.VM] = m.Replica.Disk
	if m.Founder {
		out = l.recordFounder(at, m.Replica, out)
	}
	p := l.progress[m.Replica]
	if p == nil {
		return out
	}
	p.lastContact, p.unanswered = at, false
	l.recordAcceptance(at, p, m)
	p.round = max(p.round, m.Round)
	switch {
	case m.OK && m.MatchIndex > p.matchIndex:
		p.matchIndex = m.MatchIndex
		p.nextIndex = max(p.nextIndex, p.matchIndex+1)
		out = l.advanceCommit(at, out)
	case !m.OK:
		// The index in a delayed response may be below the current match.
		p.nextIndex = max(p.matchIndex+1, min(p.nextIndex, m.NextIndex))
	}
	if l.role != leader {
		return out
	}
	behind := p.nextIndex == p.matchIndex+1 && p.nextIndex <= l.lastIndex() || !m.OK
	if imageInFlight := p.nextIndex <= l.image.Index && at.Before(p.imageSentAt.Add(imageRetryDelay)); behind && !imageInFlight {
		out = l.replicate(at, m.Replica, out)
	}
	return l.confirmReads(at, l.transferLeadership(at, out))
}

func (l *Log) handleInstallImageResponse(at time.Time, m frame.InstallImageResponse, out []effect.Effect) []effect.Effect {
	return l.handleAppendResponse(at, frame.AppendResponse{Term: m.Term, Replica: m.Replica, OK: true, MatchIndex: m.Index}, out)
}

// advanceCommit commits the entries that are synced on a majority. Entries of
// earlier terms are committed only together with one of the leader's own term,
// because another leader might still overwrite them.
func (l *Log) advanceCommit(at time.Time, out []effect.Effect) []effect.Effect {
	var matches []uint64
	for _, r := range l.members.Voters {
		switch p := l.progress[r]; {
		case r == l.self:
			matches = append(matches, l.syncedIndex)
		case p != nil:
			matches = append(matches, p.matchIndex)
		default:
			matches = append(matches, 0)
		}
	}
	slices.Sort(matches)
	index := matches[(len(matches)-1)/2]
	if index <= l.commitIndex || l.termOf(index) != l.term {
		return out
	}
	l.commitIndex = index
	return l.confirmReads(at, l.changeMembers(at, out))
}

// startRound starts a heartbeat round to confirm reads.
func (l *Log) startRound(at time.Time, out []effect.Effect) []effect.Effect {
	l.round++
	for _, r := range l.recipients() {
		if l.progress[r] != nil {
			out = l.replicate(at, r, out)
		}
	}
	return out
}

// confirmReads confirms the reads whose heartbeat round a majority has
// answered. A new leader confirms none before its first entry is committed:
// until then it may not know of every committed entry.
func (l *Log) confirmReads(at time.Time, out []effect.Effect) []effect.Effect {
	for l.role == leader && len(l.pendingReads) > 0 && l.commitIndex >= l.termStart {
		answered := l.hasMajority(func(r entry.Replica) bool {
			p := l.progress[r]
			return r == l.self || p != nil && p.round >= l.round
		})
		if !answered {
			return out
		}
		l.pendingReads = slices.DeleteFunc(l.pendingReads, func(r pendingRead) bool {
			if r.round > l.round {
				return false
			}
			l.confirmedReads = append(l.confirmedReads, r.id)
			return true
		})
		if len(l.pendingReads) > 0 {
			out = l.startRound(at, out)
		}
	}
	return out
}

// transferLeadership asks a voter with every entry to start an election.
func (l *Log) transferLeadership(at time.Time, out []effect.Effect) []effect.Effect {
	if l.role != leader || l.transferDeadline.IsZero() {
		return out
	}
	for _, r := range l.members.Voters {
		if p := l.progress[r]; p != nil && p.matchIndex == l.lastIndex() && !p.unanswered {
			m := l.newAppendRequest(at, r)
			m.PrevIndex, m.PrevTerm, m.Handover = l.lastIndex(), l.termOf(l.lastIndex()), true
			return append(out, effect.SendMessage{To: r.VM, Message: m})
		}
	}
	return out
}

// isSilent reports whether another replica has not answered for an election
// timeout.
func (l *Log) isSilent(at time.Time, r entry.Replica) bool {
	p := l.progress[r]
	return r != l.self && (p == nil || at.Sub(p.lastContact) >= maxElectionTimeout)
}

// isWanted reports whether a VM should replicate the log.
func (l *Log) isWanted(vm model.VMID) bool {
	return slices.Contains(l.wantedVMs, vm)
}
