package quorum

import (
	"time"

	"comfreypulley/core/effect"
	"comfreypulley/core/entry"
	"comfreypulley/core/frame"
	"comfreypulley/core/model"
)

// obey accepts the sender as the leader of its term. It returns false if the
// term is outdated.
func (l *Log) obey(at time.Time, from model.VMID, term uint64, out []effect.Effect) ([]effect.Effect, bool) {
	if term < l.term {
		answer := frame.Appended{Term: l.term, Replica: l.self}
		return l.after(l.termAt, effect.Tell{To: from, Message: answer}, out), false
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

// append handles the leader's entries or heartbeat.
func (l *Log) append(at time.Time, from model.VMID, m frame.Append, out []effect.Effect) []effect.Effect {
	out, ok := l.obey(at, from, m.Term, out)
	if !ok {
		return out
	}
	l.round = max(l.round, m.Round)
	l.known = max(l.known, m.Commit)
	if m.PrevIndex > l.image.Index && l.termOf(m.PrevIndex) != m.PrevTerm {
		answer := frame.Appended{Term: l.term, Replica: l.self, Hint: l.hint(m.PrevIndex), Round: l.round}
		return l.after(l.termAt, effect.Tell{To: from, Message: answer}, out)
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
	l.commit = max(l.commit, min(m.Commit, l.verified))
	out = l.acknowledge(l.write(out))
	if m.Handover && l.voter() && l.last() == m.PrevIndex {
		return l.stand(at, out)
	}
	return out
}

// acknowledge reports to the leader which entries are synced.
func (l *Log) acknowledge(out []effect.Effect) []effect.Effect {
	if l.role != follower || l.leads == "" || l.synced < l.termAt {
		return out
	}
	return append(out, effect.Tell{To: l.leads, Message: frame.Appended{
		Term: l.term, Replica: l.self, OK: true, Match: min(l.verified, l.stable), Round: l.round,
	}})
}

// hint returns the index from which the leader should send entries after its
// previous entry did not match: the one after the last entry, or the first one
// of the conflicting term.
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
func (l *Log) snap(at time.Time, from model.VMID, m frame.Snap, out []effect.Effect) []effect.Effect {
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
		l.flight.last = 0 // the write in flight belongs to the discarded log
	}
	l.image, l.restore = m.Image, true
	l.commit, l.applied = m.Image.Index, m.Image.Index
	l.verified = max(l.verified, m.Image.Index)
	l.findMembers(l.last())
	out = l.save(out)
	answer := frame.Snapped{Term: l.term, Replica: l.self, Index: m.Image.Index}
	return l.write(l.after(l.writes, effect.Tell{To: from, Message: answer}, out))
}
