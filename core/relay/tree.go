package relay

import (
	"fmt"
	"hash/fnv"
	"slices"
	"time"

	"comfreypulley/core/effect"
	"comfreypulley/core/event"
	"comfreypulley/core/frame"
	"comfreypulley/core/model"
)

// Shape and pace of the tree.
const (
	fanout      = 8
	period      = time.Second            // between digests
	emptyPeriod = 200 * time.Millisecond // between digests of a VM that has no configuration and so cannot serve
	silence     = 3 * time.Second        // without a message before a parent is replaced or a child forgotten
	dryAge      = 6 * time.Second        // age above which a parent counts as cut off; two periods of silence
	askPause    = 100 * time.Millisecond
	perRound    = 2  // VMs of the zone, and disk VMs outside, in one round of the search
	maxBelow    = 16 // VMs reported in one digest; bounds its size whatever the size of the fleet
	maxPath     = 16 // longer paths can only be cycles: 8^16 VMs are under one of this depth

	// unknownAge stands for a VM that never heard of a majority.
	unknownAge = 24 * time.Hour
)

// Tree is the place of one VM in the distribution tree. Store and Peers are set
// before Start.
type Tree struct {
	Store Store
	Peers []model.VM // known from the settings before any configuration

	self     model.VM
	began    time.Time
	started  time.Time
	order    order
	placed   bool
	placedAt model.Revision

	replica bool       // the store is fed by the log
	leader  model.VMID // last known
	heard   time.Time  // when a majority was last heard of, by this VM or through its parent

	parent   model.VMID
	since    time.Time      // when the parent was chosen
	last     time.Time      // last message from the parent
	greeted  bool           // the parent answered, so that it knows zone and start
	answered bool           // any VM answered since Start
	offered  model.Revision // highest of the answers
	path     []model.VMID
	round    int
	next     int
	down     map[model.VMID]time.Time
	asked    time.Time // last digest outside the period
	moved    bool

	children map[model.VMID]*child
	below    below
}

// child is a VM that sends this one digests.
type child struct {
	revision model.Revision // reported, or sent since
	seen     time.Time
}

// Start asks for the configuration: the home parent, VMs of the zone and disk
// VMs outside it, of whose answers the newest counts.
func (t *Tree) Start(at time.Time, self model.VM, began time.Time, out []effect.Effect) []effect.Effect {
	t.self, t.began, t.started = self, began, at
	t.children = make(map[model.VMID]*child)
	t.down = make(map[model.VMID]time.Time)
	t.place()
	t.choose(at, t.home())
	for _, id := range t.order.candidates(0) {
		if id != t.parent {
			out = t.tell(id, t.digest(true), out)
		}
	}
	if t.parent != "" {
		out = t.tell(t.parent, t.digest(true), out)
	}
	// The phase differs from VM to VM, so that VMs restarted together do not
	// send their digests together.
	h := fnv.New32a()
	_, _ = h.Write([]byte(self.ID))
	phase := time.Duration(h.Sum32()%1000) * period / 1000
	return append(out, effect.SetTimer{ID: timerID, At: at.Add(phase + period/10)})
}

var timerID = event.TimerID{Kind: event.TimerTree}

// Log tells whether this VM replicates the log, the leader it knows, and when
// it last heard of a majority there. A replica takes nothing from the tree.
func (t *Tree) Log(at time.Time, replica bool, leader model.VMID, heard time.Time, out []effect.Effect) []effect.Effect {
	if replica {
		t.leader, t.heard, t.path = leader, heard, nil
	}
	if t.replica == replica {
		return out
	}
	t.replica = replica
	t.choose(at, t.home())
	return out
}

// Peer handles Digest, Delta and Full.
func (t *Tree) Peer(at time.Time, from model.VMID, m frame.Message, out []effect.Effect) []effect.Effect {
	switch m := m.(type) {
	case frame.Digest:
		return t.digested(at, from, m, out)
	case frame.ConfigDelta:
		t.offered = max(t.offered, m.To)
		out = t.heardFrom(at, from, m.Leader, m.MajorityAge, m.Ancestors, out)
		return t.delta(at, from, m, out)
	case frame.FullConfig:
		t.offered = max(t.offered, m.Config.Revision)
		out = t.heardFrom(at, from, m.Leader, m.MajorityAge, m.Ancestors, out)
		return t.full(at, from, m, out)
	default:
		return out
	}
}

// Timer replaces a parent that is silent or cut off, and sends the digests.
func (t *Tree) Timer(at time.Time, out []effect.Effect) []effect.Effect {
	t.place()
	for id, c := range t.children {
		if at.Sub(c.seen) >= silence {
			delete(t.children, id)
		}
	}
	home := t.home()
	switch {
	case t.parent == "" || !t.registered(t.parent):
		t.choose(at, home)
		if home == "" && !t.replica {
			out = t.leave(at, "it does not exist", out)
		}
	case at.Sub(later(t.last, t.since)) >= silence:
		out = t.leave(at, "no message for "+silence.String(), out)
	case t.dry(at) && at.Sub(t.since) >= silence:
		out = t.leave(at, "it has not heard of a majority for "+t.age(at).Truncate(time.Second).String(), out)
	}
	if t.parent != "" {
		out = t.tell(t.parent, t.report(at), out)
	}
	// The home parent is asked too, so that it pushes to this VM and takes it
	// back as soon as it answers.
	if home != "" && home != t.parent {
		out = t.tell(home, t.digest(true), out)
	}
	wait := period
	if t.Store.Revision() == 0 {
		wait = emptyPeriod
	}
	return append(out, effect.SetTimer{ID: timerID, At: at.Add(wait)})
}

// Down replaces a parent whose connection broke.
func (t *Tree) Down(at time.Time, vm model.VMID, out []effect.Effect) []effect.Effect {
	t.down[vm] = at
	if vm != t.parent {
		return out
	}
	out = t.leave(at, "connection lost", out)
	if t.parent == "" {
		return out
	}
	return t.tell(t.parent, t.report(at), out)
}

// Changed pushes what is new in the store to the children.
func (t *Tree) Changed(at time.Time, out []effect.Effect) []effect.Effect {
	t.place()
	ids := make([]model.VMID, 0, len(t.children))
	for id, c := range t.children {
		if at.Sub(c.seen) < silence && c.revision < t.Store.Revision() {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	for _, id := range ids {
		out = t.send(at, id, t.children[id], out)
	}
	return out
}

// Moved reports whether the tree changed the store since the last call.
func (t *Tree) Moved() bool {
	moved := t.moved
	t.moved = false
	return moved
}

// Ready reports whether the VM may serve: it has the newest configuration of
// the answers, or that of its log, and it is current or has waited for more.
func (t *Tree) Ready(at time.Time) bool {
	waited := t.age(at) < dryAge || at.Sub(t.started) >= silence
	return waited && (t.replica || t.answered && t.Store.Revision() >= t.offered)
}

// Parent returns the VM that this one follows, "" when there is none.
func (t *Tree) Parent() model.VMID { return t.parent }

// Leader returns the last known leader of the log, "" when unknown.
func (t *Tree) Leader() model.VMID { return t.leader }

// Age returns the time since a majority was last heard of.
func (t *Tree) Age(at time.Time) time.Duration { return t.age(at) }

// Suspect records that a VM below is suspected or no longer so.
func (t *Tree) Suspect(vm model.VMID, suspect bool) { t.below.suspect(vm, suspect) }

// Heard lists what is known of the VMs below, ascending by id.
func (t *Tree) Heard(at time.Time) []frame.VMStatus { return t.below.list(at) }

// digested answers a child. A child that is ahead is asked in turn, because
// after a restart the VMs below may have what this one lost.
func (t *Tree) digested(at time.Time, from model.VMID, m frame.Digest, out []effect.Effect) []effect.Effect {
	c, ok := t.children[from]
	if !ok {
		c = &child{}
		t.children[from] = c
	}
	c.seen, c.revision = at, m.Revision
	t.below.note(at, frame.VMStatus{VM: from, Revision: m.Revision, Suspected: t.below.suspected(from)})
	for _, h := range m.Descendants {
		if h.VM != t.self.ID {
			t.below.note(at, h)
		}
	}
	if m.Revision > t.Store.Revision() && !t.replica {
		out = t.ask(at, from, out)
	}
	if m.Revision == t.Store.Revision() && m.ConfigChecksum != t.Store.Checksum() {
		return t.sendFull(at, from, c, out)
	}
	return t.send(at, from, c, out)
}

// send brings a child to the revision in force; without any change it is the
// answer that keeps the child from looking for another parent.
func (t *Tree) send(at time.Time, to model.VMID, c *child, out []effect.Effect) []effect.Effect {
	revision := t.Store.Revision()
	delta := frame.ConfigDelta{
		From: revision, To: revision, Checksum: t.Store.Checksum(), Leader: t.leader, MajorityAge: t.age(at), Ancestors: t.path,
	}
	if c.revision < revision {
		changes, ok := t.Store.ChangesSince(c.revision)
		if !ok {
			return t.sendFull(at, to, c, out)
		}
		delta.From, delta.Changes = c.revision, changes
		c.revision = revision
	}
	return t.tell(to, delta, out)
}

func (t *Tree) sendFull(at time.Time, to model.VMID, c *child, out []effect.Effect) []effect.Effect {
	c.revision = t.Store.Revision()
	return t.tell(to, frame.FullConfig{
		Config: t.Store.Image(), Checksum: t.Store.Checksum(), Leader: t.leader, MajorityAge: t.age(at), Ancestors: t.path,
	}, out)
}

// delta applies a delta that raises the revision. One that starts above the
// revision in force shows a loss, and its sender is asked for the rest.
func (t *Tree) delta(at time.Time, from model.VMID, m frame.ConfigDelta, out []effect.Effect) []effect.Effect {
	mine := t.Store.Revision()
	if t.replica || m.To < mine {
		return out
	}
	if m.To == mine {
		if m.Checksum != t.Store.Checksum() && from == t.parent {
			return t.ask(at, from, out)
		}
		return out
	}
	if m.From < mine {
		// The part that is in force already is left out.
		skip := int(mine - m.From)
		if skip >= len(m.Changes) {
			return out
		}
		m.From, m.Changes = mine, m.Changes[skip:]
	}
	if m.From > mine || len(m.Changes) == 0 {
		return t.ask(at, from, out)
	}
	if err := t.Store.ApplyDelta(m); err != nil {
		out = append(out, effect.Note{
			At: at, Subject: "configuration", Action: "refused a delta from " + string(from), Cause: err.Error(),
		})
		return t.ask(at, from, out)
	}
	t.moved = true
	return t.Changed(at, out)
}

// full takes a whole configuration. One of the revision in force counts only
// from the parent and only when the checksums differ.
func (t *Tree) full(at time.Time, from model.VMID, m frame.FullConfig, out []effect.Effect) []effect.Effect {
	mine := t.Store.Revision()
	repair := m.Config.Revision == mine && m.Checksum != t.Store.Checksum() && from == t.parent
	if t.replica || m.Config.Revision <= mine && !repair {
		return out
	}
	if repair {
		out = append(out, effect.Note{
			At: at, Subject: "configuration", Action: fmt.Sprintf("replaced revision %d by that of %s", mine, from),
			Cause: "checksums differ", Alert: true,
		})
	}
	t.Store.Restore(m.Config)
	t.moved = true
	return t.Changed(at, out)
}

// heardFrom takes what an answer says of its sender, and returns to the home
// parent or leaves a cycle.
func (t *Tree) heardFrom(
	at time.Time, from, leader model.VMID, age time.Duration, path []model.VMID, out []effect.Effect,
) []effect.Effect {
	t.answered = true
	delete(t.down, from)
	cycle := len(path) >= maxPath || slices.Contains(path, t.self.ID)
	usable := !cycle && age < dryAge
	if from != t.parent {
		if t.replica || !usable || from != t.home() && !t.dry(at) {
			return out
		}
		out = t.adopt(at, from, out)
	}
	t.last, t.greeted = at, true
	if t.replica {
		return out
	}
	if cycle {
		out = t.leave(at, "it is fed by this VM", out)
		if t.parent != "" {
			out = t.tell(t.parent, t.report(at), out)
		}
		return out
	}
	t.heard = at.Add(-age)
	t.path = append([]model.VMID{from}, path...)
	if leader != "" {
		t.leader = leader
	}
	return out
}

// adopt follows a VM that answered while the parent is cut off, or the home
// parent.
func (t *Tree) adopt(at time.Time, vm model.VMID, out []effect.Effect) []effect.Effect {
	t.choose(at, vm)
	t.round, t.next = 0, 0
	return append(out, effect.Note{At: at, Subject: "tree", Action: "follows " + string(vm), Cause: "it answers and is current"})
}

// leave follows the next candidate. Only leaving the home parent is noted; the
// search that follows may pass many candidates.
func (t *Tree) leave(at time.Time, cause string, out []effect.Effect) []effect.Effect {
	old := t.parent
	if old != "" && old == t.home() {
		out = append(out, effect.Note{At: at, Subject: "tree", Action: "left parent " + string(old), Cause: cause})
	}
	for range 2 {
		list := t.order.candidates(t.round)
		for t.next < len(list) {
			id := list[t.next]
			t.next++
			if id != old && at.Sub(t.down[id]) >= silence {
				t.choose(at, id)
				return out
			}
		}
		t.round, t.next = t.round+1, 0
	}
	t.choose(at, old)
	return out
}

func (t *Tree) choose(at time.Time, vm model.VMID) {
	if vm != t.parent {
		t.below.again()
	}
	t.parent, t.since, t.greeted = vm, at, false
	if !t.replica {
		t.path = nil
	}
}

// ask sends a digest outside the period, at most one each askPause.
func (t *Tree) ask(at time.Time, vm model.VMID, out []effect.Effect) []effect.Effect {
	if at.Sub(t.asked) < askPause {
		return out
	}
	t.asked = at
	return t.tell(vm, t.digest(true), out)
}

// report is the digest for the parent. Zone and start are left out once the
// parent has answered.
func (t *Tree) report(at time.Time) frame.Digest {
	d := t.digest(!t.greeted)
	d.Descendants = t.below.report(at)
	return d
}

func (t *Tree) digest(whole bool) frame.Digest {
	d := frame.Digest{Revision: t.Store.Revision(), ConfigChecksum: t.Store.Checksum()}
	if whole {
		d.VM, d.Zone, d.ProcessStart = t.self.ID, t.self.Zone, t.began
	}
	return d
}

// dry reports whether the parent is cut off from the log. VMs deeper in the
// tree wait longer, so that position 0 finds another feed for all of them.
func (t *Tree) dry(at time.Time) bool {
	return !t.replica && t.age(at) >= dryAge+time.Duration(t.order.depth())*silence
}

func (t *Tree) age(at time.Time) time.Duration {
	if t.heard.IsZero() {
		return unknownAge
	}
	return max(0, at.Sub(t.heard))
}

func (t *Tree) home() model.VMID { return t.order.home(t.replica, t.leader) }

func (t *Tree) registered(vm model.VMID) bool {
	_, ok := t.order.vms[vm]
	return ok
}

// place computes the order again when the configuration changed.
func (t *Tree) place() {
	topology := t.Store.Topology()
	if topology != nil && len(topology.VMs) > 0 {
		if !t.placed || t.placedAt != topology.Revision {
			t.order = newOrder(t.self, topology.VMs)
			t.below.keep(t.order.vms)
			t.placed, t.placedAt = true, topology.Revision
		}
		return
	}
	if t.order.vms == nil {
		vms := make(map[model.VMID]model.VM, len(t.Peers))
		for _, vm := range t.Peers {
			vms[vm.ID] = vm
		}
		t.order = newOrder(t.self, vms)
	}
}

func (t *Tree) tell(to model.VMID, m frame.Message, out []effect.Effect) []effect.Effect {
	return append(out, effect.SendMessage{To: to, Addr: t.order.vms[to].PeerAddr, Message: m})
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
