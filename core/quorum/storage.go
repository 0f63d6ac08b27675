package quorum

import (
	"time"

	"comfreypulley/core/effect"
	"comfreypulley/core/entry"
	"comfreypulley/core/model"
)

func (l *Log) lastIndex() uint64 {
	return l.image.Index + uint64(len(l.entries))
}

// termOf returns the term of the entry at an index, or 0 if the log does not
// contain it.
func (l *Log) termOf(index uint64) uint64 {
	switch {
	case index == l.image.Index:
		return l.image.Term
	case index < l.image.Index || index > l.lastIndex():
		return 0
	default:
		return l.entries[index-l.image.Index-1].Term
	}
}

// entryRange returns the entries from one index to another, both included. The
// log must contain them.
func (l *Log) entryRange(from, to uint64) []entry.Entry {
	if from > to {
		return nil
	}
	return l.entries[from-l.image.Index-1 : to-l.image.Index]
}

// truncate removes the entries from an index on.
func (l *Log) truncate(from uint64) {
	// The capacity is limited because messages and effects may still use the
	// array.
	n := from - l.image.Index - 1
	l.entries = l.entries[:n:n]
	l.syncedIndex = min(l.syncedIndex, from-1)
	l.nextUnwritten = min(l.nextUnwritten, from)
	if l.membersIndex >= from {
		l.resetMembers(from - 1)
	}
}

// appendLocal appends an entry in memory. New members take effect when they are
// appended, not when they are committed.
func (l *Log) appendLocal(e entry.Entry) {
	l.entries = append(l.entries, e)
	if m, ok := e.Command.(entry.Members); ok {
		l.members, l.membersIndex = m, e.Index
	}
}

// resetMembers sets the members to those in effect at an index.
func (l *Log) resetMembers(index uint64) {
	l.members, l.membersIndex = l.membersAt(index)
}

// membersAt returns the members in effect at an index and the index of the
// entry that set them.
func (l *Log) membersAt(index uint64) (entry.Members, uint64) {
	for i := index; i > l.image.Index; i-- {
		if m, ok := l.entryRange(i, i)[0].Command.(entry.Members); ok {
			return m, i
		}
	}
	if l.image.Index > 0 {
		return l.image.Members, l.image.Index
	}
	return entry.Members{Voters: l.initialVoters}, 0
}

// writeEntries hands the unwritten entries to the disk, unless an append is in
// flight.
func (l *Log) writeEntries(out []effect.Effect) []effect.Effect {
	if l.entriesWrite.seq > 0 || l.nextUnwritten > l.lastIndex() {
		return out
	}
	l.lastWriteSeq++
	l.entriesWrite = diskWrite{seq: l.lastWriteSeq, lastIndex: l.lastIndex()}
	out = append(out, effect.AppendEntries{Seq: l.lastWriteSeq, Entries: l.entryRange(l.nextUnwritten, l.lastIndex())})
	l.nextUnwritten = l.lastIndex() + 1
	return out
}

// writeImage writes the image. Until the write is synced, the disk still has
// the entries that the image replaces.
func (l *Log) writeImage(out []effect.Effect) []effect.Effect {
	l.lastWriteSeq++
	l.nextUnwritten = max(l.nextUnwritten, l.image.Index+1)
	l.imageWrite = diskWrite{seq: l.lastWriteSeq, lastIndex: l.image.Index}
	return append(out, effect.SaveImage{Seq: l.lastWriteSeq, Image: l.image})
}

// writeTerm writes the current term and vote.
func (l *Log) writeTerm(at time.Time, out []effect.Effect) []effect.Effect {
	l.lastWriteSeq++
	l.termSeq, l.termWrittenAt = l.lastWriteSeq, at
	return append(out, effect.SaveVote{Seq: l.lastWriteSeq, Term: l.term, Vote: l.votedFor})
}

// sendAfterSync sends a message once the write with the given number is synced.
func (l *Log) sendAfterSync(seq uint64, message effect.SendMessage, out []effect.Effect) []effect.Effect {
	if seq <= l.syncedSeq {
		return append(out, message)
	}
	l.heldMessages = append(l.heldMessages, heldMessage{seq: seq, term: l.term, message: message})
	return out
}

// upToDate reports whether a log with the given last entry is at least as up to
// date as this one.
func (l *Log) upToDate(index, term uint64) bool {
	ownTerm := l.termOf(l.lastIndex())
	return term > ownTerm || term == ownTerm && index >= l.lastIndex()
}

// entrySize estimates the encoded size of an entry in bytes.
func entrySize(e entry.Entry) int {
	const (
		fixedSize    = 512
		sizePerRoute = 512 // including its shards
	)
	size := fixedSize
	switch c := e.Command.(type) {
	case entry.Settle:
		for _, item := range c.Outcome.Items {
			size += len(item.ID) + len(item.Data) + 16
		}
	case entry.Change:
		if c.Document != nil {
			size += len(c.Document.Source) + sizePerRoute*len(c.Document.Routes)
		}
	}
	return size
}

func findReplica(replicas []entry.Replica, vm model.VMID) (entry.Replica, bool) {
	for _, r := range replicas {
		if r.VM == vm {
			return r, true
		}
	}
	return entry.Replica{}, false
}
