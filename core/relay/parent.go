package relay

import (
	"slices"
	"time"

	"comfreypulley/core/effect"
	"comfreypulley/core/model"
)

// handleSenderState processes what every answer states about its sender: the
// known leader, its last contact with a majority, and its ancestors.
// It may switch back to the preferred parent or leave a cycle.
func (t *Tree) handleSenderState(
	at time.Time, from, leader model.VMID, contact time.Time, ancestors []model.VMID, out []effect.Effect,
) []effect.Effect {
	t.answered = true
	delete(t.brokenAt, from)
	inCycle := len(ancestors) >= maxAncestors || slices.Contains(ancestors, t.self.ID)
	usable := !inCycle && at.Sub(contact) < t.outdatedAge()
	if from != t.parent {
		if t.replica || !usable || from != t.preferredParent() && !t.needsParent(at) {
			return out
		}
		out = t.adoptParent(at, from, out)
	}
	t.parentHeard, t.parentAnswered = at, true
	if t.replica {
		return out
	}
	if inCycle {
		out = t.leaveParent(at, "it is fed by this VM", out)
		if t.parent != "" {
			out = t.send(t.parent, t.parentDigest(at), out)
		}
		return out
	}
	t.ancestors = append([]model.VMID{from}, ancestors...)
	if leader != "" {
		t.leader = leader
	}
	return out
}

// adoptParent makes the sender of an answer the new parent.
func (t *Tree) adoptParent(at time.Time, vm model.VMID, out []effect.Effect) []effect.Effect {
	t.setParent(at, vm)
	t.searchRound, t.nextCandidate = 0, 0
	return append(out, effect.Note{At: at, Subject: "tree", Action: "follows " + string(vm), Cause: "it answers and is current"})
}

// leaveParent switches to the next candidate. Only leaving the preferred parent
// is recorded, because the search may try many candidates.
func (t *Tree) leaveParent(at time.Time, cause string, out []effect.Effect) []effect.Effect {
	old := t.parent
	if old != "" && old == t.preferredParent() {
		out = append(out, effect.Note{At: at, Subject: "tree", Action: "left parent " + string(old), Cause: cause})
	}
	for range 2 {
		candidates := t.placement.candidates(t.searchRound)
		for t.nextCandidate < len(candidates) {
			id := candidates[t.nextCandidate]
			t.nextCandidate++
			if id != old && at.Sub(t.brokenAt[id]) >= brokenPause {
				t.setParent(at, id)
				return out
			}
		}
		t.searchRound, t.nextCandidate = t.searchRound+1, 0
	}
	t.setParent(at, old)
	return out
}

func (t *Tree) setParent(at time.Time, vm model.VMID) {
	if vm != t.parent {
		t.subtree.enqueueAll()
	}
	t.parent, t.parentSince, t.parentAnswered = vm, at, false
	if !t.replica {
		t.ancestors = nil
	}
}

func (t *Tree) isRegistered(vm model.VMID) bool {
	_, ok := t.placement.vms[vm]
	return ok
}

func (t *Tree) preferredParent() model.VMID { return t.placement.preferredParent(t.replica, t.leader) }
