package quorum

import (
	"time"

	"comfreypulley/core/effect"
	"comfreypulley/core/entry"
	"comfreypulley/core/frame"
	"comfreypulley/core/model"
)

// acceptLeader accepts the sender as the leader of its term. It returns false
// if the term is outdated.
func (l *Log) acceptLeader(at time.Time, from model.VMID, term uint64, out []effect.Effect) ([]effect.Effect, bool) {
	if term < l.term {
		response := frame.AppendResponse{Term: l.term, Replica: l.self, Sent: l.clock.Stamp(at)}
		return l.sendAfterSync(l.termSeq, effect.SendMessage{To: from, Message: response}, out), false
	}
	if term > l.term {
		out = l.enterTerm(at, term, out)
	}
	if l.role != follower {
		out = l.becomeFollower(at, "another replica leads", out)
	}
	if l.leaderID != from {
		l.leaderID = from
		out = note(at, "follows leader "+string(from), "heard of its term", out)
	}
	l.lastContact, l.leaderHeard = at, true
	l.electionDeadline = at.Add(minElectionTimeout + time.Duration(l.random.Int64N(int64(maxElectionTimeout-minElectionTimeout))))
	return out, true
}

// append adds the leader's entries to the log and answers its heartbeat.
func (l *Log) append(at time.Time, from model.VMID, m frame.AppendRequest, out []effect.Effect) []effect.Effect {
	out, ok := l.acceptLeader(at, from, m.Term, out)
	if !ok {
		return out
	}
	l.round = max(l.round, m.Round)
	l.leaderCommitIndex = max(l.leaderCommitIndex, m.CommitIndex)
	l.leaderStamp = m.Sent
	if m.PrevIndex > l.image.Index && l.termOf(m.PrevIndex) != m.PrevTerm {
		response := frame.AppendResponse{
			Term: l.term, Replica: l.self, NextIndex: l.nextIndexHint(m.PrevIndex), Round: l.round,
			Sent: l.clock.Stamp(at), Echo: l.leaderStamp,
		}
		return l.sendAfterSync(l.termSeq, effect.SendMessage{To: from, Message: response}, out)
	}
	for i, e := range m.Entries {
		if e.Index <= l.image.Index || l.termOf(e.Index) == e.Term {
			continue
		}
		if e.Index <= l.lastIndex() {
			l.truncate(e.Index)
		}
		for _, e := range m.Entries[i:] {
			l.appendLocal(e)
		}
		break
	}
	l.matchedIndex = max(l.matchedIndex, m.PrevIndex+uint64(len(m.Entries)))
	l.commitIndex = max(l.commitIndex, min(m.CommitIndex, l.matchedIndex))
	l.recordCurrency(at, m)
	out = l.acknowledge(at, l.writeEntries(out))
	if m.Handover && l.isVoter() && l.lastIndex() == m.PrevIndex {
		return l.becomeCandidate(at, out)
	}
	return out
}

// acknowledge reports to the leader which entries are synced.
func (l *Log) acknowledge(at time.Time, out []effect.Effect) []effect.Effect {
	if l.role != follower || l.leaderID == "" || l.syncedSeq < l.termSeq {
		return out
	}
	return append(out, effect.SendMessage{To: l.leaderID, Message: frame.AppendResponse{
		Term: l.term, Replica: l.self, OK: true, MatchIndex: min(l.matchedIndex, l.syncedIndex), Round: l.round,
		Sent: l.clock.Stamp(at), Echo: l.leaderStamp, Founder: l.isUnrecordedFounder(),
	}})
}

// nextIndexHint returns the index from which the leader should send entries
// after its previous entry did not match: the one after the last entry, or the
// first one of the conflicting term.
func (l *Log) nextIndexHint(prev uint64) uint64 {
	if prev > l.lastIndex() {
		return l.lastIndex() + 1
	}
	term := l.termOf(prev)
	for prev > l.image.Index+1 && l.termOf(prev-1) == term {
		prev--
	}
	return prev
}

// installImage replaces the log, or a prefix of it, by the leader's image.
func (l *Log) installImage(at time.Time, from model.VMID, m frame.InstallImage, out []effect.Effect) []effect.Effect {
	out, ok := l.acceptLeader(at, from, m.Term, out)
	if !ok {
		return out
	}
	if m.Image.Index <= l.commitIndex {
		return l.acknowledge(at, out)
	}
	if l.termOf(m.Image.Index) == m.Image.Term {
		l.entries = append([]entry.Entry(nil), l.entryRange(m.Image.Index+1, l.lastIndex())...)
	} else {
		l.entries, l.nextUnwritten, l.syncedIndex = nil, m.Image.Index+1, 0
		l.entriesWrite.lastIndex = 0 // the write in flight belongs to the discarded log
	}
	l.image, l.restoreImage = m.Image, true
	l.commitIndex, l.appliedIndex = m.Image.Index, m.Image.Index
	l.matchedIndex = max(l.matchedIndex, m.Image.Index)
	l.resetMembers(l.lastIndex())
	out = l.writeImage(out)
	response := frame.InstallImageResponse{Term: l.term, Replica: l.self, Index: m.Image.Index}
	return l.writeEntries(l.sendAfterSync(l.lastWriteSeq, effect.SendMessage{To: from, Message: response}, out))
}
