package plane

import (
	"slices"
	"time"

	"comfreypulley/core/effect"
	"comfreypulley/core/event"
	"comfreypulley/core/frame"
	"comfreypulley/core/model"
)

// Times after which a zone counts as cut off from the others. A replica of the
// log in another zone than the leader's receives its heartbeats every 100 ms.
// The replicas in the leader's zone receive messages from other zones less
// often, and ping them.
const (
	pingOtherZonesAfter = 150 * time.Millisecond // without a message from another zone, VMs there are pinged
	isolatedAfter       = 300 * time.Millisecond // without a message from another zone, the zone counts as cut off
	pongTimeout         = 100 * time.Millisecond // within which pings are answered
	otherZonesStartTime = 2 * time.Second        // after the start of this process, the VMs of other zones may not have started
	missedChecks        = 3                      // periods between two checks from which on this VM was itself stalled
	zoneSilentAfter     = 5 * time.Second        // without a message from another zone, that zone counts as down or cut off
)

// zoneIsolation is what a disk VM knows about messages from other zones, and on
// an entry VM only what disk VMs reported to it. In the zero value the zone is
// not cut off.
type zoneIsolation struct {
	lastContact time.Time                // when the last message from another zone came
	zoneHeard   map[model.Zone]time.Time // when the last message from each other zone came
	firstPing   time.Time                // when other zones were first pinged since then; zero when they were not
	lastCheck   time.Time
	rotation    int // counts the checks that pinged, to ping other VMs at each
	isolated    bool
}

// recordContact records a message from a VM that is known to be in another zone.
func (c *Control) recordContact(at time.Time, from model.VMID, out []effect.Effect) []effect.Effect {
	if !c.settings.SelfRegistration || !c.settings.VM.HasDisk {
		return out
	}
	zone := c.zoneOf(from)
	if zone == "" || zone == c.settings.VM.Zone {
		return out
	}
	if c.isolation.zoneHeard == nil {
		c.isolation.zoneHeard = make(map[model.Zone]time.Time)
	}
	c.isolation.zoneHeard[zone] = at
	c.isolation.lastContact, c.isolation.firstPing = at, time.Time{}
	return c.setIsolated(at, false, "heard "+string(from), out)
}

// hearsZone reports whether any VM of a zone was heard lately. This VM's own zone
// counts as heard, and so does one that was never heard: it may be starting.
func (iso *zoneIsolation) hearsZone(at time.Time, zone model.Zone) bool {
	heard, other := iso.zoneHeard[zone]
	return !other || at.Sub(heard) < zoneSilentAfter
}

// checkIsolation pings VMs of other zones when no message came from them for a
// while. When no answer comes either, it declares the zone cut off.
func (c *Control) checkIsolation(at time.Time, out []effect.Effect) []effect.Effect {
	iso := &c.isolation
	stalled := !iso.lastCheck.IsZero() && at.Sub(iso.lastCheck) >= missedChecks*upstreamListPeriod
	iso.lastCheck = at
	if earliest := c.settings.ProcessStart.Add(otherZonesStartTime); stalled || iso.lastContact.Before(earliest) && at.Before(earliest) {
		iso.lastContact, iso.firstPing = at, time.Time{}
	}
	silence := at.Sub(iso.lastContact)
	if silence < pingOtherZonesAfter {
		return out
	}
	others := c.pingTargets()
	for _, id := range others {
		out = append(out, effect.SendMessage{To: id, Message: frame.Ping{}})
	}
	if iso.firstPing.IsZero() {
		iso.firstPing = at
	}
	if silence < isolatedAfter || at.Sub(iso.firstPing) < pongTimeout || len(others) == 0 {
		return out
	}
	return c.setIsolated(at, true, "nothing heard from another zone for "+silence.Truncate(time.Millisecond).String(), out)
}

// setIsolated records whether the zone is cut off, and notifies the followers
// when that changes.
func (c *Control) setIsolated(at time.Time, isolated bool, cause string, out []effect.Effect) []effect.Effect {
	if c.isolation.isolated == isolated {
		return out
	}
	c.isolation.isolated = isolated
	action := "reached from outside again"
	if isolated {
		action = "cut off"
	}
	out = append(out, effect.Note{At: at, Subject: "zone", Action: action, Cause: cause, Alert: isolated})
	if c.upstreamList.checksum == 0 {
		return out // a follower would treat the unknown list of upstreams in the message as an empty one
	}
	for _, id := range c.followers(at) {
		out = append(out, effect.SendMessage{To: id, Message: c.upstreamListMessage(at, false)})
	}
	return out
}

// pingTargets returns one disk VM and one entry VM of each other zone, others at
// each call. Entry VMs answer even if only the disk VMs cannot reach each other.
func (c *Control) pingTargets() []model.VMID {
	c.isolation.rotation++
	var targets []model.VMID
	addOnePerZone := func(byZone map[model.Zone][]model.VMID) {
		for zone, ids := range byZone {
			if zone != "" && zone != c.settings.VM.Zone {
				targets = append(targets, ids[c.isolation.rotation%len(ids)])
			}
		}
	}
	disksByZone, entryVMsByZone := make(map[model.Zone][]model.VMID), make(map[model.Zone][]model.VMID)
	for _, id := range c.diskVMs() {
		zone := c.zoneOf(id)
		disksByZone[zone] = append(disksByZone[zone], id)
	}
	for _, vm := range c.entryVMs.current {
		entryVMsByZone[vm.Zone] = append(entryVMsByZone[vm.Zone], vm.ID)
	}
	addOnePerZone(disksByZone)
	addOnePerZone(entryVMsByZone)
	slices.Sort(targets)
	return targets
}

// zoneOf returns the zone of a VM, or "" if it is not known.
func (c *Control) zoneOf(id model.VMID) model.Zone {
	if vm, ok := c.store.VM(id); ok {
		return vm.Zone
	}
	if i, ok := slices.BinarySearchFunc(c.entryVMs.current, id, func(vm model.EntryVM, id model.VMID) int {
		return byID(vm, model.EntryVM{ID: id})
	}); ok {
		return c.entryVMs.current[i].Zone
	}
	if vm, ok := c.entryVMs.followers[id]; ok {
		return vm.Zone
	}
	return c.settingsVMs()[id].Zone
}

// peerIsolation handles a disk VM's report on the isolation of its zone. Only the
// parent may report it. A message from a disk VM of another zone shows that this
// VM's zone is not cut off.
func (c *Control) peerIsolation(from model.VMID, isolated bool, out []effect.Effect) []effect.Effect {
	isolated = isolated && c.zoneOf(from) == c.settings.VM.Zone
	if c.settings.VM.HasDisk || c.isolation.isolated == isolated || isolated && !c.isParent(from) {
		return out
	}
	c.isolation.isolated = isolated
	return append(out, effect.ToTraffic{Loop: effect.AllLoops, Body: event.ZoneIsolation{Isolated: isolated}})
}
