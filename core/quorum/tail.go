package quorum

import (
	"comfreypulley/core/effect"
	"comfreypulley/core/entry"
	"comfreypulley/core/model"
)

func (l *Log) last() uint64 {
	return l.image.Index + uint64(len(l.entries))
}

// termOf returns the term of the entry at an index, or 0 if the log does not
// contain it.
func (l *Log) termOf(index uint64) uint64 {
	switch {
	case index == l.image.Index:
		return l.image.Term
	case index < l.image.Index || index > l.last():
		return 0
	default:
		return l.entries[index-l.image.Index-1].Term
	}
}

// slice returns the entries from one index to another, both included. The log
// must contain them.
func (l *Log) slice(from, to uint64) []entry.Entry {
	if from > to {
		return nil
	}
	return l.entries[from-l.image.Index-1 : to-l.image.Index]
}

// cut removes the entries from an index on.
func (l *Log) cut(from uint64) {
	// The capacity is limited because messages and effects may still use the
	// array.
	n := from - l.image.Index - 1
	l.entries = l.entries[:n:n]
	l.stable = min(l.stable, from-1)
	l.unsent = min(l.unsent, from)
	if l.changedAt >= from {
		l.findMembers(from - 1)
	}
}

// push appends an entry in memory. New members take effect when they are
// appended, not when they are committed.
func (l *Log) push(e entry.Entry) {
	l.entries = append(l.entries, e)
	if m, ok := e.Command.(entry.Members); ok {
		l.members, l.changedAt = m, e.Index
	}
}

// findMembers sets the members to those in effect at an index.
func (l *Log) findMembers(index uint64) {
	l.members, l.changedAt = l.membersAt(index)
}

// membersAt returns the members in effect at an index and the index of the
// entry that set them.
func (l *Log) membersAt(index uint64) (entry.Members, uint64) {
	for i := index; i > l.image.Index; i-- {
		if m, ok := l.slice(i, i)[0].Command.(entry.Members); ok {
			return m, i
		}
	}
	if l.image.Index > 0 {
		return l.image.Log, l.image.Index
	}
	return entry.Members{Voters: l.first}, 0
}

// write hands the unwritten entries to the disk, unless an append is in flight.
func (l *Log) write(out []effect.Effect) []effect.Effect {
	if l.flight.n > 0 || l.unsent > l.last() {
		return out
	}
	l.writes++
	l.flight = flight{n: l.writes, last: l.last()}
	out = append(out, effect.Append{N: l.writes, Entries: l.slice(l.unsent, l.last())})
	l.unsent = l.last() + 1
	return out
}

// save writes the image. Until the write is synced, the disk still has the
// entries that the image replaces.
func (l *Log) save(out []effect.Effect) []effect.Effect {
	l.writes++
	l.unsent = max(l.unsent, l.image.Index+1)
	l.saving = flight{n: l.writes, last: l.image.Index}
	return append(out, effect.Save{N: l.writes, Image: l.image})
}

// store writes the current term and vote.
func (l *Log) store(out []effect.Effect) []effect.Effect {
	l.writes++
	l.termAt = l.writes
	return append(out, effect.Vote{N: l.writes, Term: l.term, Vote: l.vote})
}

// after sends a message once write n is synced.
func (l *Log) after(n uint64, tell effect.Tell, out []effect.Effect) []effect.Effect {
	if n <= l.synced {
		return append(out, tell)
	}
	l.held = append(l.held, promise{n: n, term: l.term, tell: tell})
	return out
}

// newer reports whether a log with the given last entry is at least as up to
// date as this one.
func (l *Log) newer(index, term uint64) bool {
	own := l.termOf(l.last())
	return term > own || term == own && index >= l.last()
}

// weight estimates the encoded size of an entry in bytes.
func weight(e entry.Entry) int {
	const (
		fixed    = 512
		perRoute = 512 // including its shards
	)
	size := fixed
	switch c := e.Command.(type) {
	case entry.Settle:
		for _, item := range c.Outcome.Items {
			size += len(item.ID) + len(item.Data) + 16
		}
	case entry.Change:
		if c.Document != nil {
			size += len(c.Document.Source) + perRoute*len(c.Document.Routes)
		}
	}
	return size
}

func replicaOf(replicas []entry.Replica, vm model.VMID) (entry.Replica, bool) {
	for _, r := range replicas {
		if r.VM == vm {
			return r, true
		}
	}
	return entry.Replica{}, false
}
