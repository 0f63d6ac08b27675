package relay

import (
	"hash/fnv"
	"slices"
	"time"

	"comfreypulley/core/effect"
	"comfreypulley/core/event"
	"comfreypulley/core/frame"
	"comfreypulley/core/model"
)

// Size and timing of the tree.
const (
	fanout             = 8
	emptyDigestPeriod  = 200 * time.Millisecond // between digests of a VM without a configuration, which cannot serve yet
	childTimeout       = 3 * time.Second        // time without a digest after which a child is removed
	brokenPause        = 3 * time.Second        // time after which a VM whose connection broke is a candidate again
	earlyDigestPause   = 100 * time.Millisecond // minimum time between digests that are sent early
	candidatesPerRound = 2                      // VMs of the zone, and disk VMs of other zones, tried in one round of the search
	maxReported        = 16                     // VMs reported in one digest; bounds its size for any fleet size
	maxAncestors       = 16                     // a longer path must be a cycle, because a tree of this depth holds 8^16 VMs

	// unknownAge is the age of a VM that never had contact with a majority.
	unknownAge = 24 * time.Hour
)

// Tree manages one VM's parent and children in the distribution tree. The
// exported fields are set before Start.
type Tree struct {
	Store Store
	Peers []model.VM // VMs known from the settings before there is a configuration

	// ChangeBound is the time within which a change must be in force on every
	// VM; 6 s when it is zero.
	ChangeBound time.Duration

	self              model.VM
	processStart      time.Time
	startedAt         time.Time // when Start was called
	clock             model.Clock
	placement         placement
	placementKnown    bool           // computed from a configuration, not only from Peers
	placementRevision model.Revision // revision of that configuration

	replica      bool       // this VM replicates the log, which updates the store
	leader       model.VMID // last known leader of the log
	lastMajority time.Time  // latest time at which this VM is known to have held all committed changes

	parent          model.VMID
	parentSince     time.Time                // when the parent was chosen
	parentHeard     time.Time                // last message from the parent
	parentAnswered  bool                     // the parent has answered, so it knows this VM's identity
	answered        bool                     // any VM has answered since Start
	highestOffered  model.Revision           // highest revision in the answers
	ancestors       []model.VMID             // from the parent upward
	searchRound     int                      // of the search for a parent
	nextCandidate   int                      // index of the next candidate in the round
	brokenAt        map[model.VMID]time.Time // when the connection to a VM broke
	lastEarlyDigest time.Time                // last digest sent early
	storeChanged    bool                     // the tree changed the store since the last call of StoreChanged
	outdated        bool                     // the last contact with a majority was too old at the last timer
	searchWait      time.Duration            // until the next round of the search for another parent

	children map[model.VMID]*child
	subtree  subtree
}

// child is a VM that sends digests to this one.
type child struct {
	revision   model.Revision // in its last digest, or sent to it since
	lastDigest time.Time
	stamp      time.Time // of the last digest
}

// Start requests the configuration from the preferred parent, some VMs of the
// zone and some disk VMs of other zones. The newest of their answers wins.
func (t *Tree) Start(at time.Time, self model.VM, processStart time.Time, out []effect.Effect) []effect.Effect {
	t.self, t.processStart, t.startedAt = self, processStart, at
	t.clock = model.NewClock(at)
	t.children = make(map[model.VMID]*child)
	t.brokenAt = make(map[model.VMID]time.Time)
	t.updatePlacement()
	t.setParent(at, t.preferredParent())
	for _, id := range t.placement.candidates(0) {
		if id != t.parent {
			out = t.send(id, t.newDigest(at, true), out)
		}
	}
	if t.parent != "" {
		out = t.send(t.parent, t.newDigest(at, true), out)
	}
	// The phase depends on the VM, so that VMs restarted at the same time send
	// their digests at different times.
	h := fnv.New32a()
	_, _ = h.Write([]byte(self.ID))
	period := t.digestPeriod()
	phase := time.Duration(h.Sum32()%1000) * period / 1000
	return append(out, effect.SetTimer{ID: timerID, At: at.Add(phase + period/10)})
}

var timerID = event.TimerID{Kind: event.TimerTree}

// Log sets whether this VM replicates the log, the leader known to its
// replica, and the replica's last contact with a majority. A VM that replicates
// the log ignores the configurations offered in the tree.
func (t *Tree) Log(at time.Time, replica bool, leader model.VMID, lastMajority time.Time, out []effect.Effect) []effect.Effect {
	if replica {
		t.leader, t.lastMajority, t.ancestors = leader, lastMajority, nil
	}
	if t.replica == replica {
		return out
	}
	t.replica = replica
	t.setParent(at, t.preferredParent())
	return out
}

// HandlePeerMessage handles a digest, delta or full configuration from another
// VM.
func (t *Tree) HandlePeerMessage(at time.Time, from model.VMID, m frame.Message, out []effect.Effect) []effect.Effect {
	switch m := m.(type) {
	case frame.Digest:
		return t.handleDigest(at, from, m, out)
	case frame.ConfigDelta:
		t.highestOffered = max(t.highestOffered, m.To)
		contact := t.contactOf(at, m.Echo, m.MajorityAge)
		out = t.handleSenderState(at, from, m.Leader, contact, m.Ancestors, out)
		out = t.handleDelta(at, from, m, out)
		t.recordContact(from, contact, m.To, m.Checksum)
		return out
	case frame.FullConfig:
		t.highestOffered = max(t.highestOffered, m.Config.Revision)
		contact := t.contactOf(at, m.Echo, m.MajorityAge)
		out = t.handleSenderState(at, from, m.Leader, contact, m.Ancestors, out)
		out = t.handleFullConfig(at, from, m, out)
		t.recordContact(from, contact, m.Config.Revision, m.Checksum)
		return out
	default:
		return out
	}
}

// HandleTimer searches for another parent when this VM needs one, and sends the
// digests.
func (t *Tree) HandleTimer(at time.Time, out []effect.Effect) []effect.Effect {
	t.updatePlacement()
	for id, c := range t.children {
		if at.Sub(c.lastDigest) >= childTimeout {
			delete(t.children, id)
		}
	}
	preferred := t.preferredParent()
	switch {
	case t.parent == "" || !t.isRegistered(t.parent):
		t.setParent(at, preferred)
		if preferred == "" && !t.replica {
			out = t.leaveParent(at, "it does not exist", out)
		}
	case t.replica && t.isParentSilent(at):
		out = t.leaveParent(at, "no message for "+t.outdatedAge().String(), out)
	}
	out = t.search(at, out)
	if t.parent != "" {
		out = t.send(t.parent, t.parentDigest(at), out)
	}
	// The preferred parent receives a digest too, so that it keeps sending
	// changes to this VM and becomes the parent again as soon as it answers.
	if preferred != "" && preferred != t.parent {
		out = t.send(preferred, t.newDigest(at, true), out)
	}
	return append(out, effect.SetTimer{ID: timerID, At: at.Add(t.timerPeriod())})
}

// timerPeriod returns the time until the next timer.
func (t *Tree) timerPeriod() time.Duration {
	switch {
	case t.Store.Revision() == 0:
		return emptyDigestPeriod
	case t.searchWait > 0:
		return t.searchWait
	default:
		return t.digestPeriod()
	}
}

// HandlePeerDown handles a broken connection and replaces the parent if the
// connection was to it.
func (t *Tree) HandlePeerDown(at time.Time, vm model.VMID, out []effect.Effect) []effect.Effect {
	t.brokenAt[vm] = at
	if vm != t.parent {
		return out
	}
	out = t.leaveParent(at, "connection lost", out)
	if t.parent == "" {
		return out
	}
	return t.send(t.parent, t.parentDigest(at), out)
}

// PushChanges sends the new changes in the store to the children.
func (t *Tree) PushChanges(at time.Time, out []effect.Effect) []effect.Effect {
	t.updatePlacement()
	ids := make([]model.VMID, 0, len(t.children))
	for id, c := range t.children {
		if at.Sub(c.lastDigest) < childTimeout && c.revision < t.Store.Revision() {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	for _, id := range ids {
		out = t.sendDelta(at, id, t.children[id], out)
	}
	return out
}

// StoreChanged reports whether the tree changed the store since the last call.
func (t *Tree) StoreChanged() bool {
	updated := t.storeChanged
	t.storeChanged = false
	return updated
}

// Ready reports whether the VM may serve requests. It needs the newest
// configuration among the answers, or that of its own replica of the log. It
// also waits for a recent contact with a majority, but no longer than half of the
// change bound.
func (t *Tree) Ready(at time.Time) bool {
	waited := t.majorityAge(at) < t.outdatedAge() || at.Sub(t.startedAt) >= t.outdatedAge()
	return waited && (t.replica || t.answered && t.Store.Revision() >= t.highestOffered)
}

// Parent returns the current parent, "" if there is none.
func (t *Tree) Parent() model.VMID { return t.parent }

// Leader returns the last known leader of the log, "" if unknown.
func (t *Tree) Leader() model.VMID { return t.leader }

// MajorityAge returns the time since the last contact with a majority of the
// log.
func (t *Tree) MajorityAge(at time.Time) time.Duration { return t.majorityAge(at) }

// SetSuspected marks a VM of the subtree as suspected to be down, or as no
// longer suspected.
func (t *Tree) SetSuspected(vm model.VMID, suspect bool) { t.subtree.setSuspected(vm, suspect) }

// Descendants returns the state of the VMs in the subtree, ascending by id.
func (t *Tree) Descendants(at time.Time) []frame.VMStatus { return t.subtree.statuses(at) }

func (t *Tree) majorityAge(at time.Time) time.Duration {
	if t.lastMajority.IsZero() {
		return unknownAge
	}
	return max(0, at.Sub(t.lastMajority))
}

// SetPeers replaces the VMs known from the settings. Without a configuration the
// next parent is chosen among them.
func (t *Tree) SetPeers(vms []model.VM) {
	t.Peers = vms
	if !t.placementKnown {
		t.placement.vms = nil
		t.updatePlacement()
	}
}

// updatePlacement recomputes the placement when the configuration has changed.
func (t *Tree) updatePlacement() {
	topology := t.Store.Topology()
	if topology != nil && len(topology.VMs) > 0 {
		if !t.placementKnown || t.placementRevision != topology.Revision {
			t.placement = newPlacement(t.self, topology.VMs)
			t.subtree.removeUnregistered(t.placement.vms)
			t.placementKnown, t.placementRevision = true, topology.Revision
		}
		return
	}
	if t.placement.vms == nil {
		vms := make(map[model.VMID]model.VM, len(t.Peers))
		for _, vm := range t.Peers {
			vms[vm.ID] = vm
		}
		t.placement = newPlacement(t.self, vms)
	}
}

func (t *Tree) send(to model.VMID, m frame.Message, out []effect.Effect) []effect.Effect {
	return append(out, effect.SendMessage{To: to, Addr: t.placement.vms[to].PeerAddr, Message: m})
}
