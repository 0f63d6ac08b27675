// Package quorum implements the replicated log as a pure reducer. The algorithm
// is Raft with pre-votes, learners, snapshots, leadership transfer and
// linearizable reads.
//
// # Usage
//
// The caller passes events in and carries out the returned effects in order.
// After every call it applies the entries that Committed returns, and only then
// serves the reads that Confirmed returns.
//
//	var l quorum.Log
//	out = l.HandleDiskLoaded(at, self, seed, initialVoters, firstStart, loaded, out)
//	index, status, out := l.Propose(at, command, out)
//	image, entries := l.Committed()
//	reads := l.Confirmed()
//
// # Durability
//
// A message that relies on durable state (a vote or an acknowledgement) is held
// back until event.DiskSynced covers the writes it depends on. At most one
// effect.AppendEntries is in flight; entries that arrive meanwhile are written
// together by the next one (group commit).
//
// # Currency
//
// Status.LastMajority is the latest time at which the replica is known to have
// held every committed entry. Each direction of a link has to prove itself: a
// request and its answer carry the sender's stamp and the last stamp received
// from the other, so a replica whose answers are lost, or whose messages are long
// under way, does not count as current. The entries up to the leader's commit
// index must be there, too.
//
// # First start
//
// The initial voters are VMs whose disks are not known yet. Until the log has
// its first entry, a candidate needs the votes of all of them instead of a
// majority. The elected leader records the disk of each voter in entry 1; from
// then on majorities of these replicas (VM and disk) decide. If a majority were
// enough from the start, a VM that lost its disk and a VM that missed the first
// entries could start a second, empty log. At least one initial voter must
// still be a member of the log.
//
// Where VMs are told at which start the fleet is new, one that lost its disk is
// no initial voter any more and helps no candidate to start a log. A majority of
// the initial voters may then start the log after a while, so that the loss of
// one at the first start does not keep the fleet from starting. The others are
// recorded with disk 0: they count towards majorities, and are recorded with
// their disk when they answer or replaced like any lost voter.
//
// # Membership
//
// Each entry changes one replica, and the next change waits until the previous
// one and an entry of the leader's term are committed. A VM that answers with
// another disk than the one recorded for it is a new replica: it joins as a
// learner, then the old replica is removed, then the learner becomes a voter.
package quorum
