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
	Peer(at time.Time, from model.VMID, m frame.Message, out []effect.Effect) []effect.Effect
	Timer(at time.Time, out []effect.Effect) []effect.Effect
	Down(at time.Time, vm model.VMID, out []effect.Effect) []effect.Effect
	Changed(at time.Time, out []effect.Effect) []effect.Effect
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

// Follow applies a delta; see config.Store.
func (f Follower) Follow(d frame.Delta) error {
	if f.control.log != nil {
		return nil
	}
	err := f.control.store.Follow(d)
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

// Image returns the configuration in a fixed order.
func (f Follower) Image() entry.Config { return f.control.store.Image() }

// Since returns the changes after a revision; see config.Store.
func (f Follower) Since(from model.Revision) ([]entry.Change, bool) {
	return f.control.store.Since(from)
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

// Sum returns the checksum of the configuration in force.
func (f Follower) Sum() uint64 { return f.control.store.Sum() }

func (c *Control) startTree(at time.Time, out []effect.Effect) []effect.Effect {
	if c.tree == nil {
		return out
	}
	return c.tree.Start(at, c.start.VM, c.start.Began, out)
}

// peerTree also learns from a parent's message who leads and how old the
// parent's state is.
func (c *Control) peerTree(at time.Time, from model.VMID, m frame.Message, out []effect.Effect) []effect.Effect {
	switch m := m.(type) {
	case frame.Delta:
		c.learn(at, m.Leader, m.Age)
	case frame.Full:
		c.learn(at, m.Leader, m.Age)
	}
	if c.tree == nil {
		return out
	}
	return c.tree.Peer(at, from, m, out)
}

func (c *Control) learn(at time.Time, leader model.VMID, age time.Duration) {
	heard := at.Add(-age)
	if heard.Before(c.heard) {
		return
	}
	c.heard = heard
	if leader != "" {
		c.hint = leader
	}
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
