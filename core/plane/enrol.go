package plane

import (
	"net/netip"
	"time"

	"comfreypulley/core/effect"
	"comfreypulley/core/entry"
	"comfreypulley/core/event"
	"comfreypulley/core/model"
)

// Periods of the enrolment of VMs with disks.
const (
	enrolPeriod  = 500 * time.Millisecond
	enrolPause   = time.Second             // between two registrations of this VM
	unheardFor   = 2 * time.Second         // without a majority before a VM suspects that it was removed
	replaceAfter = 1500 * time.Millisecond // silence after which a newcomer of the zone takes the place
	removeAfter  = 10 * time.Second        // silence after which a VM is removed without a newcomer
	joinSlack    = time.Second             // a newcomer may start this long before its predecessor falls silent
)

// enrol is the state of the enrolment: VMs with disks register themselves, and
// the leader removes those whose place was taken. The zero value has
// registered nothing.
type enrol struct {
	pending bool      // a registration has no answer yet
	next    time.Time // no registration before
	joined  map[model.VMID]time.Time
}

// startEnrol begins the enrolment on a VM with a disk.
func (c *Control) startEnrol(at time.Time, out []effect.Effect) []effect.Effect {
	if !c.start.SelfRegistration || !c.start.VM.HasDisk {
		return out
	}
	return setTimer(event.TimerRegistration, at.Add(enrolPeriod), out)
}

func setTimer(kind event.TimerKind, due time.Time, out []effect.Effect) []effect.Effect {
	return append(out, effect.SetTimer{ID: event.TimerID{Kind: kind}, At: due})
}

// timerEnrol registers this VM when the configuration lacks it, and lets the
// leader remove a lost one.
func (c *Control) timerEnrol(at time.Time, out []effect.Effect) []effect.Effect {
	out = setTimer(event.TimerRegistration, at.Add(enrolPeriod), out)
	if c.log == nil {
		return out
	}
	out = c.enrolSelf(at, out)
	if c.leading() && c.store.Revision() > 0 {
		out = c.removeLost(at, out)
	}
	return out
}

// enrolSelf sends the registration of this VM to the leader. A VM that has not
// heard of a majority for a while may have been removed without knowing it, so
// it registers again; the leader answers with a conflict when it was not.
func (c *Control) enrolSelf(at time.Time, out []effect.Effect) []effect.Effect {
	self := c.start.VM
	known, ok := c.store.VM(self.ID)
	unheard := c.age(at) >= unheardFor
	if c.enrol.pending || at.Before(c.enrol.next) || ok && known.Zone == self.Zone && !unheard {
		return out
	}
	change := entry.Change{VM: &self, ExpectedRevision: known.Revision}
	if unheard {
		change.ExpectedRevision = 0
	}
	c.enrol.pending = true
	c.enrol.next = at.Add(enrolPause)
	p := &proposal{command: change, until: at.Add(enrolPause), to: enrolReceiver{}}
	c.queue.add(p)
	return c.wake(at, p, c.try(at, p, out))
}

// enrolReceiver gets the answer of a registration.
type enrolReceiver struct{}

func (enrolReceiver) answer(at time.Time, c *Control, _ entry.Command, r entry.Result, out []effect.Effect) []effect.Effect {
	c.enrol.pending = false
	if r.Status != entry.StatusOK {
		return out
	}
	return append(out, effect.Note{At: at, Subject: "vm " + string(c.start.VM.ID), Action: "registered", Cause: "start or return"})
}

// noteJoined remembers when a VM was registered, by the time of its log entry.
func (c *Control) noteJoined(at time.Time, change entry.Change) {
	if change.VM == nil {
		return
	}
	if _, known := c.store.VM(change.VM.ID); known {
		return
	}
	if c.enrol.joined == nil {
		c.enrol.joined = make(map[model.VMID]time.Time)
	}
	c.enrol.joined[change.VM.ID] = at
}

// removeLost removes at most one silent VM: one whose place in its zone was
// taken by a newcomer, or one that was silent for long while the VMs left can
// still bear the losses of the settings.
func (c *Control) removeLost(at time.Time, out []effect.Effect) []effect.Effect {
	disks := c.disks()
	for _, silent := range c.log.Standing().Silent {
		vm, ok := c.store.VM(silent.VM)
		if !ok || silent.For < replaceAfter {
			continue
		}
		var cause string
		switch {
		case c.replaced(at, vm, silent.For, disks):
			cause = "a newcomer of its zone took its place"
		case silent.For >= removeAfter && len(disks)-1 >= 2*c.start.ToleratedDiskLosses+1:
			cause = "silent for " + silent.For.Truncate(time.Second).String()
		default:
			continue
		}
		_, _, out = c.log.Propose(at, entry.Change{Remove: &entry.Removal{VM: vm.ID}, ExpectedRevision: vm.Revision}, out)
		return append(out, effect.Note{At: at, Subject: "vm " + string(vm.ID), Action: "removed", Cause: cause, Alert: true})
	}
	return out
}

// replaced reports whether a VM of the same zone joined after a VM fell silent.
func (c *Control) replaced(at time.Time, lost model.VM, silence time.Duration, disks []model.VMID) bool {
	since := at.Add(-silence - joinSlack)
	for _, id := range disks {
		vm, _ := c.store.VM(id)
		if joined, ok := c.enrol.joined[id]; ok && id != lost.ID && vm.Zone == lost.Zone && joined.After(since) {
			return true
		}
	}
	return false
}

// derived returns the address of a VM whose id is its IP address, as it is in a
// fleet that enrols by itself: all VMs listen on the same port.
func (c *Control) derived(id model.VMID) netip.AddrPort {
	if !c.start.SelfRegistration {
		return netip.AddrPort{}
	}
	ip, err := netip.ParseAddr(string(id))
	if err != nil {
		return netip.AddrPort{} // the transport counts a message without an address as dropped
	}
	return netip.AddrPortFrom(ip, c.start.VM.PeerAddr.Port())
}
