package quorum

import (
	"cmp"
	"slices"
	"time"

	"comfreypulley/core/entry"
	"comfreypulley/core/model"
)

// Status describes a replica's state.
type Status struct {
	Leader            model.VMID // "" when unknown
	Leading           bool
	Term              uint64
	CommitIndex       uint64
	LeaderCommitIndex uint64    // highest commit index that a leader announced
	LastIndex         uint64    // index of the last entry
	LastMajority      time.Time // latest time at which this replica is known to have held all committed entries
	Members           entry.Members
	SilentVoters      []SilentVoter // voters that have not answered the leader for an election timeout, ascending by VM
	Failed            bool          // the disk failed; the replica no longer participates in the log
}

// SilentVoter is a voter that does not answer the leader, and for how long.
type SilentVoter struct {
	VM  model.VMID
	For time.Duration
}

// Status returns the replica's state.
func (l *Log) Status() Status {
	s := Status{
		Leader: l.leaderID, Leading: l.role == leader, Term: l.term,
		CommitIndex: l.commitIndex, LeaderCommitIndex: l.leaderCommitIndex, LastIndex: l.lastIndex(),
		LastMajority: l.lastMajority(), Members: l.members, Failed: l.diskFailed,
	}
	if l.role == leader {
		s.SilentVoters = l.silentVoters()
	}
	return s
}

// silentVoters lists the voters that have not answered for an election timeout.
func (l *Log) silentVoters() []SilentVoter {
	var list []SilentVoter
	for _, r := range l.members.Voters {
		if p := l.progress[r]; p != nil && l.lastContact.Sub(p.lastContact) >= maxElectionTimeout {
			list = append(list, SilentVoter{VM: r.VM, For: l.lastContact.Sub(p.lastContact)})
		}
	}
	slices.SortFunc(list, func(a, b SilentVoter) int { return cmp.Compare(a.VM, b.VM) })
	return list
}
