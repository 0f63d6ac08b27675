package quorum

import (
	"fmt"
	"slices"
	"time"

	"comfreypulley/core/effect"
	"comfreypulley/core/entry"
)

// reconcile makes one change toward the wanted members, if the previous change
// and an entry of the leader's term are committed.
func (l *Log) reconcile(at time.Time, out []effect.Effect) []effect.Effect {
	if l.role != leader || len(l.want) == 0 || !l.resigning.IsZero() || l.commit < max(l.began, l.changedAt) {
		return out
	}
	m := entry.Members{Voters: slices.Clone(l.members.Voters), Learners: slices.Clone(l.members.Learners)}
	action, cause := l.step(at, &m)
	if !l.alive(at, m.Voters) {
		// With two of five disks lost, removing a live voter would leave no
		// majority.
		return out
	}
	if action == "" {
		if !l.wanted(l.self.VM) && len(l.members.Voters) > 1 && len(l.members.Learners) == 0 {
			l.resigning = at.Add(maxElection)
			out = note(at, "hands over leadership", "this VM should no longer replicate the log", out)
			return l.handOver(out)
		}
		return out
	}
	out = note(at, action, cause, out)
	return l.add(at, m, out)
}

// step changes at most one replica and returns the change and its cause. Silent
// voters are removed before new replicas join; live ones are removed last,
// because a majority may need them until then.
func (l *Log) step(at time.Time, m *entry.Members) (action, cause string) {
	for _, r := range m.Voters {
		if !l.wanted(r.VM) && l.silent(at, r) {
			remove(m, r)
			return "removed voter " + name(r), "the VM is silent and should no longer replicate the log"
		}
	}
	if action, cause = l.stepLearner(at, m); action != "" {
		return action, cause
	}
	if action, cause = l.stepNewcomer(at, m); action != "" {
		return action, cause
	}
	for _, r := range m.Voters {
		if r != l.self && !l.wanted(r.VM) && len(m.Learners) == 0 {
			remove(m, r)
			return "removed voter " + name(r), "the VM should no longer replicate the log"
		}
	}
	return "", ""
}

// stepLearner removes a learner that is no longer wanted or has lost its disk,
// or promotes one that has caught up.
func (l *Log) stepLearner(at time.Time, m *entry.Members) (action, cause string) {
	for i, r := range m.Learners {
		if !l.wanted(r.VM) || l.disks[r.VM] != 0 && l.disks[r.VM] != r.Disk {
			m.Learners = slices.Delete(m.Learners, i, i+1)
			return "removed learner " + name(r), "the VM is not wanted or has another disk"
		}
		if l.silent(at, r) || l.progress[r].match < l.commit {
			continue
		}
		if old, ok := replicaOf(m.Voters, r.VM); ok {
			// Adding and removing a voter in one change would allow majorities that
			// do not overlap.
			remove(m, old)
			return "removed voter " + name(old), "its VM has a new disk, which has caught up"
		}
		m.Learners = slices.Delete(m.Learners, i, i+1)
		m.Voters = append(m.Voters, r)
		return "added voter " + name(r), "it has caught up"
	}
	return "", ""
}

// stepNewcomer adds a wanted VM, or the new disk of a voter's VM, as a learner.
func (l *Log) stepNewcomer(at time.Time, m *entry.Members) (action, cause string) {
	for _, vm := range l.want {
		r := entry.Replica{VM: vm, Disk: l.disks[vm]}
		if vm == l.self.VM || r.Disk == 0 || slices.Contains(m.Learners, r) || slices.Contains(m.Voters, r) {
			continue
		}
		if old, ok := replicaOf(m.Voters, vm); ok && !l.silent(at, old) {
			continue // delayed message from an earlier disk
		}
		m.Learners = append(m.Learners, r)
		return "added learner " + name(r), "the VM should replicate the log"
	}
	return "", ""
}

// alive reports whether a majority of the voters has answered within three
// heartbeat periods and with the recorded disks.
func (l *Log) alive(at time.Time, voters []entry.Replica) bool {
	n := 0
	for _, r := range voters {
		disk := l.disks[r.VM]
		p := l.progress[r]
		if r == l.self || p != nil && at.Sub(p.heard) <= 3*beatPeriod && (disk == 0 || disk == r.Disk) {
			n++
		}
	}
	return n > len(voters)/2
}

func remove(m *entry.Members, r entry.Replica) {
	m.Voters = slices.DeleteFunc(m.Voters, func(v entry.Replica) bool { return v == r })
}

func name(r entry.Replica) string {
	return fmt.Sprintf("%s (disk %x)", r.VM, uint64(r.Disk))
}
