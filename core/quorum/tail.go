package quorum

import (
	"comfreypulley/core/effect"
	"comfreypulley/core/entry"
	"comfreypulley/core/model"
)

// last returns the index of the last entry.
func (l *Log) last() uint64 {
	return l.image.Index + uint64(len(l.entries))
}

// termOf returns the term of an entry, and 0 for one that is not held.
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

// slice returns the entries of a closed range, which must be held.
func (l *Log) slice(from, to uint64) []entry.Entry {
	if from > to {
		return nil
	}
	return l.entries[from-l.image.Index-1 : to-l.image.Index]
}

// cut drops the entries from an index on.
func (l *Log) cut(from uint64) {
	// Earlier slices of the array may be in messages and effects.
	n := from - l.image.Index - 1
	l.entries = l.entries[:n:n]
	l.stable = min(l.stable, from-1)
	l.unsent = min(l.unsent, from)
	if l.changedAt >= from {
		l.findMembers(from - 1)
	}
}

// push adds an entry at the end. Members count from their append on, not from
// their commit.
func (l *Log) push(e entry.Entry) {
	l.entries = append(l.entries, e)
	if m, ok := e.Command.(entry.Members); ok {
		l.members, l.changedAt = m, e.Index
	}
}

// findMembers sets the members to those in force at an index.
func (l *Log) findMembers(index uint64) {
	l.members, l.changedAt = l.membersAt(index)
}

// membersAt returns the members in force at an index and the index of the
// entry that holds them.
func (l *Log) membersAt(index uint64) (entry.Members, uint64) {
	for i := index; i > l.image.Index; i-- {
		if m, ok := l.slice(i, i)[0].Command.(entry.Members); ok {
			return m, i
		}
	}
	if l.image.Index > 0 {
		return l.image.Members, l.image.Index
	}
	return entry.Members{Voters: l.first}, 0
}

// write hands the entries that the disk does not have to it, unless an append
// is in flight.
func (l *Log) write(out []effect.Effect) []effect.Effect {
	if l.flight.n > 0 || l.unsent > l.last() {
		return out
	}
	l.writes++
	l.flight = flight{n: l.writes, last: l.last()}
	out = append(out, effect.AppendEntries{Seq: l.writes, Entries: l.slice(l.unsent, l.last())})
	l.unsent = l.last() + 1
	return out
}

// save writes the image. Until it is synced, the disk holds the entries that
// the image replaces.
func (l *Log) save(out []effect.Effect) []effect.Effect {
	l.writes++
	l.unsent = max(l.unsent, l.image.Index+1)
	l.saving = flight{n: l.writes, last: l.image.Index}
	return append(out, effect.SaveImage{Seq: l.writes, Image: l.image})
}

// store writes the term and the vote.
func (l *Log) store(out []effect.Effect) []effect.Effect {
	l.writes++
	l.termAt = l.writes
	return append(out, effect.SaveVote{Seq: l.writes, Term: l.term, Vote: l.vote})
}

// after sends a message once write n is durable.
func (l *Log) after(n uint64, tell effect.SendMessage, out []effect.Effect) []effect.Effect {
	if n <= l.synced {
		return append(out, tell)
	}
	l.held = append(l.held, promise{n: n, term: l.term, tell: tell})
	return out
}

// newer reports whether a log that ends as given is at least as new as this one.
func (l *Log) newer(index, term uint64) bool {
	own := l.termOf(l.last())
	return term > own || term == own && index >= l.last()
}

// weight estimates the encoded size of an entry.
func weight(e entry.Entry) int {
	const (
		fixed    = 512
		perRoute = 512 // with its shards
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
