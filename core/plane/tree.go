package plane

import (
	"time"

	"comfreypulley/core/effect"
	"comfreypulley/core/entry"
	"comfreypulley/core/event"
	"comfreypulley/core/frame"
	"comfreypulley/core/model"
)

// tree distributes the configuration from the replicas of the log to the other
// VMs. core/relay implements it. It reads and replaces this VM's configuration
// through a [TreeStore].
type tree interface {
	Start(at time.Time, self model.VM, processStart time.Time, out []effect.Effect) []effect.Effect
	// Log passes the state of the log to the tree: whether this VM replicates
	// it, the leader that it knows, and its last contact with a majority.
	Log(at time.Time, replica bool, leader model.VMID, lastMajority time.Time, out []effect.Effect) []effect.Effect
	HandlePeerMessage(at time.Time, from model.VMID, m frame.Message, out []effect.Effect) []effect.Effect
	HandleTimer(at time.Time, out []effect.Effect) []effect.Effect
	// HandlePeerDown handles the loss of a connection to a VM.
	HandlePeerDown(at time.Time, vm model.VMID, out []effect.Effect) []effect.Effect
	// PushChanges notifies the tree that the configuration in force changed.
	PushChanges(at time.Time, out []effect.Effect) []effect.Effect
	// Ready reports whether the configuration that the tree brought may be served.
	Ready(at time.Time) bool
	Leader() model.VMID
	// MajorityAge returns the time since the last contact with a majority.
	MajorityAge(at time.Time) time.Duration
	// Parent returns the VM that this one receives the configuration from, "" if
	// there is none.
	Parent() model.VMID
	// Overdue reports whether this VM may lack changes that must be in force.
	Overdue(at time.Time) bool
	SetSuspected(vm model.VMID, suspected bool)
	// SetPeers replaces the VMs that are known without a configuration.
	SetPeers(vms []model.VM)
	// SetChangeBound replaces the time within which a change must be in force on
	// every VM; 0 stands for the default.
	SetChangeBound(d time.Duration)
	// Descendants returns what is known about the VMs below this one.
	Descendants(at time.Time) []frame.VMStatus
}

// SetTree sets the distribution tree. It is called before Start.
func (c *Control) SetTree(t tree) {
	c.tree = t
}

// TreeStore gives the distribution tree access to the configuration. While this
// VM replicates the log, ApplyDelta and Restore do nothing: the configuration
// then comes from the log, and an entry applied on top of a later revision
// would be refused.
type TreeStore struct{ control *Control }

// TreeStore returns the tree's access to the configuration.
func (c *Control) TreeStore() TreeStore {
	return TreeStore{control: c}
}

// ApplyDelta applies a delta; see config.Store.
func (f TreeStore) ApplyDelta(d frame.ConfigDelta) error {
	if f.control.log != nil {
		return nil
	}
	err := f.control.store.ApplyDelta(d)
	f.control.stale = f.control.stale && err != nil
	return err
}

// Restore replaces the configuration; see config.Store.
func (f TreeStore) Restore(cfg entry.Config) {
	if f.control.log == nil {
		f.control.store.Restore(cfg)
		f.control.stale = false
	}
}

// Image returns the configuration in a fixed order. It leaves out the source of
// the document, since the VMs below use only the decoded form.
func (f TreeStore) Image() entry.Config {
	image := f.control.store.Image()
	image.Document = withoutDocumentSource(image.Document)
	return image
}

// withoutDocumentSource returns a copy of the document without its source.
func withoutDocumentSource(d *model.Document) *model.Document {
	if d == nil {
		return nil
	}
	stripped := *d
	stripped.Source = nil
	return &stripped
}

// ChangesSince returns the changes after a revision; see config.Store.
func (f TreeStore) ChangesSince(from model.Revision) (changes []entry.Change, ok bool) {
	changes, ok = f.control.store.ChangesSince(from)
	for i := range changes {
		changes[i].Document = withoutDocumentSource(changes[i].Document)
	}
	return changes, ok
}

// Topology returns the configuration in force, nil when there is none.
func (f TreeStore) Topology() *model.Topology {
	if f.control.store.Revision() == 0 {
		return nil
	}
	return f.control.store.Topology()
}

// Revision returns the revision in force.
func (f TreeStore) Revision() model.Revision { return f.control.store.Revision() }

// Checksum returns the checksum of the configuration in force.
func (f TreeStore) Checksum() uint64 { return f.control.store.Checksum() }

// isParent reports whether another VM is the parent of this one, which has no
// disk and takes the state of the fleet from its parent alone. Other disk VMs that
// this VM asks may be cut off from the rest, and then know only part of the fleet.
// Without a tree or a parent any VM counts as the parent.
func (c *Control) isParent(id model.VMID) bool {
	return c.tree == nil || c.tree.Parent() == "" || c.tree.Parent() == id
}

// reportOverdue notifies the traffic states of an entry VM on the users' platform
// when the configuration becomes overdue or is current again.
func (c *Control) reportOverdue(at time.Time, out []effect.Effect) []effect.Effect {
	if c.tree == nil || !c.settings.SelfRegistration || c.settings.VM.HasDisk || c.tree.Overdue(at) == c.overdue {
		return out
	}
	c.overdue = !c.overdue
	return append(out, effect.ToTraffic{Loop: effect.AllLoops, Body: event.ConfigOverdue{Overdue: c.overdue}})
}

func (c *Control) startTree(at time.Time, out []effect.Effect) []effect.Effect {
	if c.tree == nil {
		return out
	}
	return c.tree.Start(at, c.settings.VM, c.settings.ProcessStart, out)
}

// updateTreeFromLog passes the state of the log to the tree: whether this VM
// replicates it, who leads it and when it last had contact with a majority.
func (c *Control) updateTreeFromLog(at time.Time, out []effect.Effect) []effect.Effect {
	if c.tree == nil {
		return out
	}
	if c.log == nil {
		return c.tree.Log(at, false, "", time.Time{}, out)
	}
	status := c.log.LogStatus()
	return c.tree.Log(at, true, status.Leader, status.LastMajority, out)
}

// treeReady reports whether the first view may be published. It waits until the
// tree has the newest configuration among the answers of other VMs, or that of
// the own replica of the log, and for a limited time for a recent contact with a
// majority. A restarted VM then does not serve an older revision than before.
func (c *Control) treeReady(at time.Time) bool {
	return c.publishedRevision > 0 || c.tree == nil || c.tree.Ready(at)
}

func (c *Control) peerTree(at time.Time, from model.VMID, m frame.Message, out []effect.Effect) []effect.Effect {
	if c.tree == nil {
		return out
	}
	return c.tree.HandlePeerMessage(at, from, m, out)
}

func (c *Control) timerTree(at time.Time, out []effect.Effect) []effect.Effect {
	if c.tree == nil {
		return out
	}
	c.limits.current = c.limits.report(at)
	return c.tree.HandleTimer(at, out)
}

func (c *Control) peerDownTree(at time.Time, vm model.VMID, out []effect.Effect) []effect.Effect {
	if c.tree == nil {
		return out
	}
	return c.tree.HandlePeerDown(at, vm, out)
}

// notifyTree notifies the tree that the configuration changed, for the VMs
// below.
func (c *Control) notifyTree(at time.Time, out []effect.Effect) []effect.Effect {
	if c.tree == nil {
		return out
	}
	return c.tree.PushChanges(at, out)
}
