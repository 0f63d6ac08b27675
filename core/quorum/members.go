package quorum

import (
	"fmt"
	"slices"
	"time"

	"comfreypulley/core/effect"
	"comfreypulley/core/entry"
)

// changeMembers makes one change toward the wanted members, if the previous
// change and an entry of the leader's term are committed.
func (l *Log) changeMembers(at time.Time, out []effect.Effect) []effect.Effect {
	if l.role != leader || len(l.wantedVMs) == 0 || !l.transferDeadline.IsZero() || l.commitIndex < max(l.termStart, l.membersIndex) {
		return out
	}
	m := entry.Members{Voters: slices.Clone(l.members.Voters), Learners: slices.Clone(l.members.Learners)}
	action, cause := l.applyOneChange(at, &m)
	if !l.majorityResponds(at, m.Voters) {
		// With two of five disks lost, removing a live voter would leave no
		// majority.
		return out
	}
	if action == "" {
		if !l.isWanted(l.self.VM) && len(l.members.Voters) > 1 && len(l.members.Learners) == 0 {
			l.transferDeadline = at.Add(maxElectionTimeout)
			out = note(at, "hands over leadership", "this VM should no longer replicate the log", out)
			return l.transferLeadership(at, out)
		}
		return out
	}
	out = note(at, action, cause, out)
	return l.appendCommand(at, m, out)
}

// isUnrecordedFounder reports whether this replica is an initial voter with its first disk,
// and the members name it without a disk.
func (l *Log) isUnrecordedFounder() bool {
	return l.isFounder() && slices.Contains(l.members.Voters, entry.Replica{VM: l.self.VM})
}

// isFounder reports whether this replica is an initial voter with its first disk. The
// members of another replica's log may name it without a disk although its own name the
// disk, while neither log is committed.
func (l *Log) isFounder() bool {
	_, initial := findReplica(l.initialVoters, l.self.VM)
	return l.firstStart && initial
}

// recordFounder records the disk of an initial voter that had no part in the first
// election. It needs no learner: the voter counted towards majorities before. It may
// overtake an earlier change: majorities of the initial voters overlap whichever of
// their disks are recorded, as each can only have its first one.
func (l *Log) recordFounder(at time.Time, founder entry.Replica, out []effect.Effect) []effect.Effect {
	if !slices.Contains(l.members.Voters, entry.Replica{VM: founder.VM}) || !l.transferDeadline.IsZero() {
		return out
	}
	out = note(at, "added voter "+describeReplica(founder), "it was away when the log began", out)
	return l.appendCommand(at, l.membersWithFounder(founder), out)
}

// membersWithFounder returns the members with the disk of an initial voter recorded.
func (l *Log) membersWithFounder(founder entry.Replica) entry.Members {
	m := entry.Members{Voters: slices.Clone(l.members.Voters), Learners: slices.Clone(l.members.Learners)}
	m.Voters[slices.Index(m.Voters, entry.Replica{VM: founder.VM})] = founder
	m.Learners = slices.DeleteFunc(m.Learners, func(r entry.Replica) bool { return r == founder })
	return m
}

// applyOneChange changes at most one replica and returns the change and its
// cause. Silent voters are removed before new replicas join; live ones are
// removed last, because a majority may need them until then.
func (l *Log) applyOneChange(at time.Time, m *entry.Members) (action, cause string) {
	for _, r := range m.Voters {
		if !l.isWanted(r.VM) && l.isSilent(at, r) {
			removeVoter(m, r)
			return "removed voter " + describeReplica(r), "the VM is silent and should no longer replicate the log"
		}
	}
	if action, cause = l.removeOrPromoteLearner(at, m); action != "" {
		return action, cause
	}
	if action, cause = l.addLearner(at, m); action != "" {
		return action, cause
	}
	for _, r := range m.Voters {
		if r != l.self && !l.isWanted(r.VM) && len(m.Learners) == 0 {
			removeVoter(m, r)
			return "removed voter " + describeReplica(r), "the VM should no longer replicate the log"
		}
	}
	return "", ""
}

// removeOrPromoteLearner removes a learner that is no longer wanted or has lost
// its disk, or promotes one that has caught up.
func (l *Log) removeOrPromoteLearner(at time.Time, m *entry.Members) (action, cause string) {
	for i, r := range m.Learners {
		if !l.isWanted(r.VM) || l.reportedDisks[r.VM] != 0 && l.reportedDisks[r.VM] != r.Disk {
			m.Learners = slices.Delete(m.Learners, i, i+1)
			return "removed learner " + describeReplica(r), "the VM is not wanted or has another disk"
		}
		if l.isSilent(at, r) || l.progress[r].matchIndex < l.commitIndex {
			continue
		}
		if old, ok := findReplica(m.Voters, r.VM); ok {
			// Adding and removing a voter in one change would allow majorities that
			// do not overlap.
			removeVoter(m, old)
			return "removed voter " + describeReplica(old), "its VM has a new disk, which has caught up"
		}
		m.Learners = slices.Delete(m.Learners, i, i+1)
		m.Voters = append(m.Voters, r)
		return "added voter " + describeReplica(r), "it has caught up"
	}
	return "", ""
}

// addLearner adds a wanted VM, or the new disk of a voter's VM, as a learner.
func (l *Log) addLearner(at time.Time, m *entry.Members) (action, cause string) {
	for _, vm := range l.wantedVMs {
		r := entry.Replica{VM: vm, Disk: l.reportedDisks[vm]}
		if vm == l.self.VM || r.Disk == 0 || slices.Contains(m.Learners, r) || slices.Contains(m.Voters, r) {
			continue
		}
		if old, ok := findReplica(m.Voters, vm); ok && !l.isSilent(at, old) {
			continue // delayed message from an earlier disk
		}
		m.Learners = append(m.Learners, r)
		return "added learner " + describeReplica(r), "the VM should replicate the log"
	}
	return "", ""
}

// majorityResponds reports whether a majority of the voters has answered within
// three heartbeat periods and with the recorded disks.
func (l *Log) majorityResponds(at time.Time, voters []entry.Replica) bool {
	n := 0
	for _, r := range voters {
		disk := l.reportedDisks[r.VM]
		p := l.progress[r]
		if r == l.self || p != nil && at.Sub(p.lastContact) <= 3*heartbeatPeriod && (disk == 0 || disk == r.Disk) {
			n++
		}
	}
	return n > len(voters)/2
}

func removeVoter(m *entry.Members, r entry.Replica) {
	m.Voters = slices.DeleteFunc(m.Voters, func(v entry.Replica) bool { return v == r })
}

func describeReplica(r entry.Replica) string {
	return fmt.Sprintf("%s (disk %x)", r.VM, uint64(r.Disk))
}
