package plane

import (
	"time"

	"comfreypulley/core/effect"
	"comfreypulley/core/entry"
	"comfreypulley/core/frame"
	"comfreypulley/core/model"
)

// tree is the distribution tree, as core/relay has it. It reads and writes the
// configuration through the Follower.
type tree interface {
	Start(at time.Time, self model.VM, began time.Time, out []effect.Effect) []effect.Effect
	Log(at time.Time, replica bool, leader model.VMID, heard time.Time, out []effect.Effect) []effect.Effect
	Peer(at time.Time, from model.VMID, m frame.Message, out []effect.Effect) []effect.Effect
	Timer(at time.Time, out []effect.Effect) []effect.Effect
	Down(at time.Time, vm model.VMID, out []effect.Effect) []effect.Effect
	Changed(at time.Time, out []effect.Effect) []effect.Effect
	Ready(at time.Time) bool // what it brought may be served
	Leader() model.VMID
	Age(at time.Time) time.Duration // since a majority was last heard of
	Suspect(vm model.VMID, suspect bool)
	Heard(at time.Time) []frame.VMStatus
}

// Distribute sets the distribution tree. It is called before Start.
func (c *Control) Distribute(t tree) {
	c.tree = t
}

// Follower is the configuration as the distribution tree sees it. On a VM that
// replicates the log it ignores what the tree brings: the log is applied there,
// and an entry applied on top of a later configuration would be refused.
type Follower struct{ control *Control }

// Follower returns the tree's side of the configuration.
func (c *Control) Follower() Follower {
	return Follower{control: c}
}

// ApplyDelta applies a delta; see config.Store.
func (f Follower) ApplyDelta(d frame.ConfigDelta) error {
	if f.control.log != nil {
		return nil
	}
	err := f.control.store.ApplyDelta(d)
	f.control.stale = f.control.stale && err != nil
	return err
}

// Restore replaces the configuration; see config.Store.
func (f Follower) Restore(g entry.Config) {
	if f.control.log == nil {
		f.control.store.Restore(g)
		f.control.stale = false
	}
}

// Image returns the configuration in a fixed order, without the source of the
// document: the VMs below act on its decoded form.
func (f Follower) Image() entry.Config {
	image := f.control.store.Image()
	image.Document = withoutSource(image.Document)
	return image
}

func withoutSource(d *model.Document) *model.Document {
	if d == nil {
		return nil
	}
	short := *d
	short.Source = nil
	return &short
}

// ChangesSince returns the changes after a revision; see config.Store.
func (f Follower) ChangesSince(from model.Revision) (changes []entry.Change, ok bool) {
	changes, ok = f.control.store.ChangesSince(from)
	for i := range changes {
		changes[i].Document = withoutSource(changes[i].Document)
	}
	return changes, ok
}

// Topology returns the configuration in force, nil when there is none.
func (f Follower) Topology() *model.Topology {
	if f.control.store.Revision() == 0 {
		return nil
	}
	return f.control.store.Topology()
}

// Revision returns the revision in force.
func (f Follower) Revision() model.Revision { return f.control.store.Revision() }

// Checksum returns the checksum of the configuration in force.
func (f Follower) Checksum() uint64 { return f.control.store.Checksum() }

func (c *Control) startTree(at time.Time, out []effect.Effect) []effect.Effect {
	if c.tree == nil {
		return out
	}
	return c.tree.Start(at, c.start.VM, c.start.ProcessStart, out)
}

// feedTree tells the tree what the log knows.
func (c *Control) feedTree(at time.Time, out []effect.Effect) []effect.Effect {
	if c.tree == nil {
		return out
	}
	if c.log == nil {
		return c.tree.Log(at, false, "", time.Time{}, out)
	}
	s := c.log.Standing()
	return c.tree.Log(at, true, s.Leader, s.Heard, out)
}

// readyTree reports whether the first view may be published: a VM waits until it
// heard of a leader or the tree has asked around, as it must not go back behind a
// revision that it served before a restart.
func (c *Control) readyTree(at time.Time) bool {
	return c.published > 0 || c.tree == nil || c.tree.Ready(at)
}

func (c *Control) peerTree(at time.Time, from model.VMID, m frame.Message, out []effect.Effect) []effect.Effect {
	if c.tree == nil {
		return out
	}
	return c.tree.Peer(at, from, m, out)
}

func (c *Control) timerTree(at time.Time, out []effect.Effect) []effect.Effect {
	if c.tree == nil {
		return out
	}
	return c.tree.Timer(at, out)
}

func (c *Control) downTree(at time.Time, vm model.VMID, out []effect.Effect) []effect.Effect {
	if c.tree == nil {
		return out
	}
	return c.tree.Down(at, vm, out)
}

func (c *Control) changedTree(at time.Time, out []effect.Effect) []effect.Effect {
	if c.tree == nil {
		return out
	}
	return c.tree.Changed(at, out)
}
