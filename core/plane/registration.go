package plane

import (
	"net/netip"
	"time"

	"comfreypulley/core/effect"
	"comfreypulley/core/entry"
	"comfreypulley/core/event"
	"comfreypulley/core/model"
)

// Times of the registration of disk VMs.
const (
	registrationPeriod = 500 * time.Millisecond  // between two checks whether something has to be registered or removed
	registrationPause  = time.Second             // between two registrations of this VM
	reregisterAfter    = 2 * time.Second         // without a majority, after which a VM registers again: it may have been removed
	replaceAfter       = 1500 * time.Millisecond // silence after which a VM is removed if another of its zone has joined since
	removeAfter        = 10 * time.Second        // silence after which a VM is removed even without a successor
	joinMargin         = time.Second             // a successor may join this long before its predecessor falls silent
)

// registration is the state of self-registration: disk VMs register themselves,
// and the leader removes those that were replaced or lost. In the zero value
// nothing is registered.
type registration struct {
	pending   bool                     // a registration has no answer yet
	notBefore time.Time                // earliest time of the next registration
	joinTimes map[model.VMID]time.Time // when VMs were registered, by the times of the log entries
}

// startRegistration sets the first timer on a disk VM in a fleet whose VMs
// register themselves.
func (c *Control) startRegistration(at time.Time, out []effect.Effect) []effect.Effect {
	if !c.settings.SelfRegistration || !c.settings.VM.HasDisk {
		return out
	}
	return appendTimer(event.TimerRegistration, at.Add(registrationPeriod), out)
}

func appendTimer(kind event.TimerKind, due time.Time, out []effect.Effect) []effect.Effect {
	return append(out, effect.SetTimer{ID: event.TimerID{Kind: kind}, At: due})
}

// timerRegistration registers this VM if the configuration does not have it. The
// leader also removes a silent VM if it may.
func (c *Control) timerRegistration(at time.Time, out []effect.Effect) []effect.Effect {
	out = appendTimer(event.TimerRegistration, at.Add(registrationPeriod), out)
	if c.log == nil {
		return out
	}
	out = c.registerSelf(at, out)
	if c.leading() && c.store.Revision() > 0 {
		out = c.removeSilentVM(at, out)
	}
	return out
}

// registerSelf sends this VM's registration to the leader. A VM that has had no
// contact with a majority for a while may have been removed without knowing it,
// so it registers again. If it was not removed, the leader answers with a
// conflict.
func (c *Control) registerSelf(at time.Time, out []effect.Effect) []effect.Effect {
	self := c.settings.VM
	known, ok := c.store.VM(self.ID)
	noMajority := c.majorityAge(at) >= reregisterAfter
	if c.registration.pending || at.Before(c.registration.notBefore) || ok && known.Zone == self.Zone && !noMajority {
		return out
	}
	change := entry.Change{VM: &self, ExpectedRevision: known.Revision}
	if noMajority {
		change.ExpectedRevision = 0
	}
	c.registration.pending = true
	c.registration.notBefore = at.Add(registrationPause)
	p := &proposal{command: change, deadline: at.Add(registrationPause), receiver: registrationReceiver{}}
	c.proposals.add(p)
	return c.scheduleProposal(at, p, c.attempt(at, p, out))
}

// registrationReceiver receives the answer to a registration.
type registrationReceiver struct{}

func (registrationReceiver) receiveResult(at time.Time, c *Control, _ entry.Command, r entry.Result, out []effect.Effect) []effect.Effect {
	c.registration.pending = false
	if r.Status != entry.StatusOK {
		return out
	}
	return append(out, effect.Note{At: at, Subject: "vm " + string(c.settings.VM.ID), Action: "registered", Cause: "start or return"})
}

// recordJoin records when a new VM is registered, by the time of its log entry.
func (c *Control) recordJoin(at time.Time, change entry.Change) {
	if change.VM == nil {
		return
	}
	if _, known := c.store.VM(change.VM.ID); known {
		return
	}
	if c.registration.joinTimes == nil {
		c.registration.joinTimes = make(map[model.VMID]time.Time)
	}
	c.registration.joinTimes[change.VM.ID] = at
}

// removeSilentVM removes at most one silent VM: one that another VM of its zone
// has replaced, or one that has been silent for removeAfter, if the remaining
// VMs keep a majority after the losses that the settings state.
func (c *Control) removeSilentVM(at time.Time, out []effect.Effect) []effect.Effect {
	disks := c.diskVMs()
	for _, silent := range c.log.LogStatus().SilentVoters {
		vm, ok := c.store.VM(silent.VM)
		if !ok || silent.For < replaceAfter {
			continue
		}
		var cause string
		switch {
		case c.hasSuccessor(at, vm, silent.For, disks):
			cause = "a newcomer of its zone took its place"
		case silent.For >= removeAfter && len(disks)-1 >= 2*c.settings.ToleratedDiskLosses+1:
			cause = "silent for " + silent.For.Truncate(time.Second).String()
		default:
			continue
		}
		_, _, out = c.log.Propose(at, entry.Change{Remove: &entry.Removal{VM: vm.ID}, ExpectedRevision: vm.Revision}, out)
		return append(out, effect.Note{At: at, Subject: "vm " + string(vm.ID), Action: "removed", Cause: cause, Alert: true})
	}
	return out
}

// hasSuccessor reports whether another VM of the same zone joined after a VM fell
// silent.
func (c *Control) hasSuccessor(at time.Time, lost model.VM, silence time.Duration, disks []model.VMID) bool {
	since := at.Add(-silence - joinMargin)
	for _, id := range disks {
		vm, _ := c.store.VM(id)
		if joined, ok := c.registration.joinTimes[id]; ok && id != lost.ID && vm.Zone == lost.Zone && joined.After(since) {
			return true
		}
	}
	return false
}

// addrFromID returns the address of a VM in a fleet whose VMs register
// themselves: there the id is the IP address, and all VMs listen on the same
// port.
func (c *Control) addrFromID(id model.VMID) netip.AddrPort {
	if !c.settings.SelfRegistration {
		return netip.AddrPort{}
	}
	ip, err := netip.ParseAddr(string(id))
	if err != nil {
		return netip.AddrPort{} // the transport counts messages without an address as dropped
	}
	return netip.AddrPortFrom(ip, c.settings.VM.PeerAddr.Port())
}
