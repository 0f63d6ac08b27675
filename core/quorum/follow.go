package quorum

import (
	"time"

	"comfreypulley/core/effect"
	"comfreypulley/core/entry"
	"comfreypulley/core/frame"
	"comfreypulley/core/model"
)

// obey accepts the sender as leader of its term. It reports false for an old
// term.
func (l *Log) obey(at time.Time, from model.VMID, term uint64, out []effect.Effect) ([]effect.Effect, bool) {
	if term < l.term {
		answer := frame.AppendResponse{Term: l.term, Replica: l.self}
		return l.after(l.termAt, effect.SendMessage{To: from, Message: answer}, out), false
	}
	if term > l.term {
		out = l.raise(at, term, out)
	}
	if l.role != follower {
		out = l.follow(at, "another replica leads", out)
	}
	if l.leads != from {
		l.leads = from
		out = note(at, "follows leader "+string(from), "heard of its term", out)
	}
	l.heard, l.met = at, true
	l.deadline = at.Add(minElection + time.Duration(l.random.Int64N(int64(maxElection-minElection))))
	return out, true
}

// append takes the leader's entries or heartbeat.
func (l *Log) append(at time.Time, from model.VMID, m frame.AppendRequest, out []effect.Effect) []effect.Effect {
	out, ok := l.obey(at, from, m.Term, out)
	if !ok {
		return out
	}
	l.round = max(l.round, m.Round)
	l.known = max(l.known, m.CommitIndex)
	if m.PrevIndex > l.image.Index && l.termOf(m.PrevIndex) != m.PrevTerm {
		answer := frame.AppendResponse{Term: l.term, Replica: l.self, NextIndex: l.hint(m.PrevIndex), Round: l.round}
		return l.after(l.termAt, effect.SendMessage{To: from, Message: answer}, out)
	}
	for i, e := range m.Entries {
		if e.Index <= l.image.Index || l.termOf(e.Index) == e.Term {
			continue
		}
		if e.Index <= l.last() {
			l.cut(e.Index)
		}
		for _, e := range m.Entries[i:] {
			l.push(e)
		}
		break
	}
	l.verified = max(l.verified, m.PrevIndex+uint64(len(m.Entries)))
	l.commit = max(l.commit, min(m.CommitIndex, l.verified))
	out = l.acknowledge(l.write(out))
	if m.Handover && l.voter() && l.last() == m.PrevIndex {
		return l.stand(at, out)
	}
	return out
}

// acknowledge tells the leader what is on the disk.
func (l *Log) acknowledge(out []effect.Effect) []effect.Effect {
	if l.role != follower || l.leads == "" || l.synced < l.termAt {
		return out
	}
	return append(out, effect.SendMessage{To: l.leads, Message: frame.AppendResponse{
		Term: l.term, Replica: l.self, OK: true, MatchIndex: min(l.verified, l.stable), Round: l.round,
	}})
}

// hint returns where a leader should continue whose entry before it was not
// found: after the last entry, or at the first of the conflicting term.
func (l *Log) hint(prev uint64) uint64 {
	if prev > l.last() {
		return l.last() + 1
	}
	term := l.termOf(prev)
	for prev > l.image.Index+1 && l.termOf(prev-1) == term {
		prev--
	}
	return prev
}

// snap replaces the log, or a prefix of it, by the leader's image.
func (l *Log) snap(at time.Time, from model.VMID, m frame.InstallImage, out []effect.Effect) []effect.Effect {
	out, ok := l.obey(at, from, m.Term, out)
	if !ok {
		return out
	}
	if m.Image.Index <= l.commit {
		return l.acknowledge(out)
	}
	if l.termOf(m.Image.Index) == m.Image.Term {
		l.entries = append([]entry.Entry(nil), l.slice(m.Image.Index+1, l.last())...)
	} else {
		l.entries, l.unsent, l.stable = nil, m.Image.Index+1, 0
		l.flight.last = 0 // what is in flight belongs to the dropped log
	}
	l.image, l.restore = m.Image, true
	l.commit, l.applied = m.Image.Index, m.Image.Index
	l.verified = max(l.verified, m.Image.Index)
	l.findMembers(l.last())
	out = l.save(out)
	answer := frame.InstallImageResponse{Term: l.term, Replica: l.self, Index: m.Image.Index}
	return l.write(l.after(l.writes, effect.SendMessage{To: from, Message: answer}, out))
}
