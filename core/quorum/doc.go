// Package quorum is the replicated log: a Raft-style log as a pure reducer.
//
// # Usage
//
// The owner passes events in and carries out the effects in their order. After
// every call it applies what Committed returns, and only then uses what
// Confirmed returns.
//
//	var l quorum.Log
//	out = l.Loaded(at, self, seed, first, loaded, out)
//	index, status, out := l.Propose(at, command, out)
//	image, entries := l.Committed()
//	reads := l.Confirmed()
//
// # Durability
//
// A message that promises something (a vote, an acknowledgement) is held until
// event.DiskSynced covers the writes it depends on. At most one effect.AppendEntries is in
// flight; entries that arrive meanwhile form the next one (group commit).
//
// # First start
//
// The VMs in first are voters without a known disk. Until the log has its first
// entry, a candidate needs the votes of all of them, not of a majority. The
// leader elected so binds every voter to the disk that voted, in entry 1; from
// there on majorities of bound disks decide. With a majority rule, a VM that
// lost its disk and a VM that missed the first entries could found a second,
// empty log. The list must not name only VMs that have all left the log since.
//
// # Membership
//
// One replica changes per entry, and a new change waits for the commit of the
// last one and of an entry of the leader's term. A VM that answers with another
// disk than its bound one is a newcomer: learner, then the old replica is
// removed, then the learner becomes a voter.
package quorum
