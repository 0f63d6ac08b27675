package relay

import (
	"fmt"
	"slices"
	"time"

	"comfreypulley/core/effect"
	"comfreypulley/core/model"
)

// Parts of the time within which a change must be in force. A VM whose parent
// loses its majority notices it after half of that time and at most a digest
// period, and asks others several times in the rest.
const (
	defaultChangeBound = 6 * time.Second // the design size asks for it
	maxDigestPeriod    = time.Second
	digestsPerBound    = 4
	searchesPerBound   = 12
)

// SetChangeBound replaces ChangeBound on a running VM.
func (t *Tree) SetChangeBound(d time.Duration) { t.ChangeBound = d }

func (t *Tree) changeBound() time.Duration {
	if t.ChangeBound > 0 {
		return t.ChangeBound
	}
	return defaultChangeBound
}

// digestPeriod returns the time between two digests to the parent.
func (t *Tree) digestPeriod() time.Duration {
	return min(maxDigestPeriod, t.changeBound()/digestsPerBound)
}

// searchPeriod returns the shortest time between two rounds of a search.
func (t *Tree) searchPeriod() time.Duration { return t.changeBound() / searchesPerBound }

// outdatedAge returns the age of the last contact with a majority at which a VM
// counts as outdated.
func (t *Tree) outdatedAge() time.Duration { return t.changeBound() / 2 }

// contactOf returns the sender's last contact with a majority, by this VM's
// clock. The sender repeats the stamp of this VM's digest, so it had that age
// after the digest was sent, however long the answer was under way.
func (t *Tree) contactOf(at, echo time.Time, age time.Duration) time.Time {
	if echo.IsZero() {
		return at.Add(-age) // a VM of an earlier version
	}
	sentAt, ok := t.clock.SentAt(echo, at)
	if !ok {
		return time.Time{}
	}
	return sentAt.Add(-age)
}

// recordContact records the parent's last contact with a majority, if this VM
// has the configuration that the parent had then.
func (t *Tree) recordContact(from model.VMID, contact time.Time, revision model.Revision, checksum uint64) {
	held := t.Store.Revision()
	if t.replica || from != t.parent || held < revision || held == revision && t.Store.Checksum() != checksum {
		return
	}
	t.lastMajority = model.Later(t.lastMajority, contact)
}

// isOutdated reports whether this VM may lack changes that are due soon, because
// its last contact with a majority of the log is too old. Each level of the tree
// adds up to a digest period to that age.
func (t *Tree) isOutdated(at time.Time) bool {
	return !t.replica && !t.lastMajority.IsZero() && t.majorityAge(at) >= t.outdatedAge()+time.Duration(t.placement.searchingAncestors())*t.digestPeriod()
}

// Overdue reports whether this VM may lack changes that must be in force by now.
func (t *Tree) Overdue(at time.Time) bool {
	return !t.replica && !t.lastMajority.IsZero() && t.majorityAge(at) >= t.changeBound()
}

func (t *Tree) isParentSilent(at time.Time) bool {
	return at.Sub(model.Later(t.parentHeard, t.parentSince)) >= t.outdatedAge()
}

// needsParent reports whether any current VM is a better parent than the present
// one.
func (t *Tree) needsParent(at time.Time) bool {
	return !t.replica && (t.isParentSilent(at) || t.isOutdated(at))
}

// search asks further VMs for their configuration when this VM needs another
// parent. The first one that answers and is current becomes the parent; until
// then this VM keeps its parent, since the whole fleet may be without a majority.
// The rounds of the search come at growing intervals.
func (t *Tree) search(at time.Time, out []effect.Effect) []effect.Effect {
	out = t.noteOutdated(at, out)
	if !t.needsParent(at) {
		t.searchWait, t.searchRound, t.nextCandidate = 0, 0, 0
		return out
	}
	t.searchWait = min(t.digestPeriod(), max(t.searchPeriod(), 2*t.searchWait))
	for _, id := range t.searchTargets() {
		out = t.send(id, t.newDigest(at, true), out)
	}
	t.searchRound, t.nextCandidate = t.searchRound+1, 0
	return out
}

// searchTargets returns the VMs to ask in this round of the search. The first
// round stays in the zone if another VM there may help.
func (t *Tree) searchTargets() []model.VMID {
	targets := slices.DeleteFunc(t.placement.candidates(t.searchRound), func(id model.VMID) bool {
		return id == t.parent || id == t.preferredParent()
	})
	inZone := slices.DeleteFunc(slices.Clone(targets), func(id model.VMID) bool { return t.placement.vms[id].Zone != t.self.Zone })
	if t.searchRound == 0 && len(inZone) > 0 {
		return inZone
	}
	return targets
}

// noteOutdated notes when this VM's last contact with a majority of the log
// becomes too old, and when it is recent again, with the parent of that time.
func (t *Tree) noteOutdated(at time.Time, out []effect.Effect) []effect.Effect {
	if t.outdated == t.isOutdated(at) {
		return out
	}
	t.outdated = !t.outdated
	n := effect.Note{
		At: at, Subject: "tree", Action: "current again",
		Cause: fmt.Sprintf("parent %q had contact with a majority %s ago", t.parent, t.majorityAge(at).Truncate(time.Millisecond)),
	}
	if t.outdated {
		n.Action, n.Alert = "may be outdated", true
	}
	return append(out, n)
}
