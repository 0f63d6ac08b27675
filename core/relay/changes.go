package relay

import (
	"fmt"
	"time"

	"comfreypulley/core/effect"
	"comfreypulley/core/frame"
	"comfreypulley/core/model"
)

// handleDigest handles the digest of a child. If the child has a higher
// revision, this VM requests it: after a restart it may lack what its subtree
// still has.
func (t *Tree) handleDigest(at time.Time, from model.VMID, m frame.Digest, out []effect.Effect) []effect.Effect {
	c, ok := t.children[from]
	if !ok {
		c = &child{}
		t.children[from] = c
	}
	c.lastDigest, c.revision, c.stamp = at, m.Revision, m.Sent
	t.subtree.record(at, frame.VMStatus{VM: from, Revision: m.Revision, Suspected: t.subtree.isSuspected(from)})
	for _, status := range m.Descendants {
		if status.VM != t.self.ID {
			t.subtree.record(at, status)
		}
	}
	if m.Revision > t.Store.Revision() && !t.replica {
		out = t.sendEarlyDigest(at, from, out)
	}
	if m.Revision == t.Store.Revision() && m.ConfigChecksum != t.Store.Checksum() {
		return t.sendFullConfig(at, from, c, out)
	}
	return t.sendDelta(at, from, c, out)
}

// sendDelta sends a child the changes after its revision. If there are none,
// the empty delta keeps the child from searching for another parent.
func (t *Tree) sendDelta(at time.Time, to model.VMID, c *child, out []effect.Effect) []effect.Effect {
	revision := t.Store.Revision()
	delta := frame.ConfigDelta{
		From: revision, To: revision, Checksum: t.Store.Checksum(), Leader: t.leader, MajorityAge: t.majorityAge(at), Ancestors: t.ancestors,
		Echo: c.stamp,
	}
	if c.revision < revision {
		changes, ok := t.Store.ChangesSince(c.revision)
		if !ok {
			return t.sendFullConfig(at, to, c, out)
		}
		delta.From, delta.Changes = c.revision, changes
		c.revision = revision
	}
	return t.send(to, delta, out)
}

func (t *Tree) sendFullConfig(at time.Time, to model.VMID, c *child, out []effect.Effect) []effect.Effect {
	c.revision = t.Store.Revision()
	return t.send(to, frame.FullConfig{
		Config: t.Store.Image(), Checksum: t.Store.Checksum(), Leader: t.leader, MajorityAge: t.majorityAge(at), Ancestors: t.ancestors,
		Echo: c.stamp,
	}, out)
}

// handleDelta applies a delta that raises the revision. If the delta starts
// above the current revision, an earlier message was lost, and this VM requests
// the missing changes from the sender.
func (t *Tree) handleDelta(at time.Time, from model.VMID, m frame.ConfigDelta, out []effect.Effect) []effect.Effect {
	current := t.Store.Revision()
	if t.replica || m.To < current {
		return out
	}
	if m.To == current {
		if m.Checksum != t.Store.Checksum() && from == t.parent {
			return t.sendEarlyDigest(at, from, out)
		}
		return out
	}
	if m.From < current {
		// Skip the changes that are already applied.
		skip := int(current - m.From)
		if skip >= len(m.Changes) {
			return out
		}
		m.From, m.Changes = current, m.Changes[skip:]
	}
	if m.From > current || len(m.Changes) == 0 {
		return t.sendEarlyDigest(at, from, out)
	}
	if err := t.Store.ApplyDelta(m); err != nil {
		out = append(out, effect.Note{
			At: at, Subject: "configuration", Action: "refused a delta from " + string(from), Cause: err.Error(),
		})
		return t.sendEarlyDigest(at, from, out)
	}
	t.storeChanged = true
	return t.PushChanges(at, out)
}

// handleFullConfig applies a full configuration. One with the current revision
// is applied only if it comes from the parent and its checksum differs.
func (t *Tree) handleFullConfig(at time.Time, from model.VMID, m frame.FullConfig, out []effect.Effect) []effect.Effect {
	current := t.Store.Revision()
	repair := m.Config.Revision == current && m.Checksum != t.Store.Checksum() && from == t.parent
	if t.replica || m.Config.Revision <= current && !repair {
		return out
	}
	if repair {
		out = append(out, effect.Note{
			At: at, Subject: "configuration", Action: fmt.Sprintf("replaced revision %d by that of %s", current, from),
			Cause: "checksums differ", Alert: true,
		})
	}
	t.Store.Restore(m.Config)
	t.storeChanged = true
	return t.PushChanges(at, out)
}

// sendEarlyDigest sends a digest early, at most once per earlyDigestPause.
func (t *Tree) sendEarlyDigest(at time.Time, vm model.VMID, out []effect.Effect) []effect.Effect {
	if at.Sub(t.lastEarlyDigest) < earlyDigestPause {
		return out
	}
	t.lastEarlyDigest = at
	return t.send(vm, t.newDigest(at, true), out)
}

// parentDigest returns the digest for the parent. It contains the VM's identity
// until the parent has answered.
func (t *Tree) parentDigest(at time.Time) frame.Digest {
	d := t.newDigest(at, !t.parentAnswered)
	d.Descendants = t.subtree.nextReport(at)
	return d
}

// newDigest returns a digest without descendants. With withIdentity set it also
// contains the VM's id, its zone and the start of its process.
func (t *Tree) newDigest(at time.Time, withIdentity bool) frame.Digest {
	d := frame.Digest{Revision: t.Store.Revision(), ConfigChecksum: t.Store.Checksum(), Sent: t.clock.Stamp(at)}
	if withIdentity {
		d.VM, d.Zone, d.ProcessStart = t.self.ID, t.self.Zone, t.processStart
	}
	return d
}
