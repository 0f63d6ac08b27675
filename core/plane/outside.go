package plane

import (
	"slices"
	"time"

	"comfreypulley/core/effect"
	"comfreypulley/core/event"
	"comfreypulley/core/frame"
	"comfreypulley/core/model"
)

// When a zone counts as cut off from the others. The heartbeats of the log come
// each 100 ms, but for the followers in the leader's own zone, which ping.
const (
	outsidePing   = 150 * time.Millisecond // without a message from another zone, after which VMs there are pinged
	isolatedAfter = 300 * time.Millisecond // without one, after which the zone counts as cut off
	pongAfter     = 100 * time.Millisecond // within which pings are answered
	outsideSettle = 2 * time.Second        // after a start, when the other zones may not have started
	missedLooks   = 3                      // periods between two looks, after which it was this VM that stood still
)

// outside is what a VM with a disk knows of the other zones, and an entry VM of
// what it was told. The zero value is not isolated.
type outside struct {
	heard    time.Time // last message from another zone
	pinged   time.Time // when the first pings since then were sent; zero when none were
	looked   time.Time
	turn     int // selects the VMs that are pinged
	isolated bool
}

// hear notes a message from a VM, if it is known to be in another zone.
func (c *Control) hear(at time.Time, from model.VMID, out []effect.Effect) []effect.Effect {
	if !c.start.SelfRegistration || !c.start.VM.HasDisk {
		return out
	}
	if zone := c.zoneOf(from); zone == "" || zone == c.start.VM.Zone {
		return out
	}
	c.outside.heard, c.outside.pinged = at, time.Time{}
	return c.isolate(at, false, "heard "+string(from), out)
}

// look pings VMs of other zones when none was heard for a while, and tells the
// VMs that follow this one when the zone is cut off.
func (c *Control) look(at time.Time, out []effect.Effect) []effect.Effect {
	o := &c.outside
	still := !o.looked.IsZero() && at.Sub(o.looked) >= missedLooks*rosterPeriod
	o.looked = at
	if earliest := c.start.ProcessStart.Add(outsideSettle); still || o.heard.Before(earliest) && at.Before(earliest) {
		o.heard, o.pinged = at, time.Time{}
	}
	quiet := at.Sub(o.heard)
	if quiet < outsidePing {
		return out
	}
	others := c.outsiders()
	for _, id := range others {
		out = append(out, effect.SendMessage{To: id, Message: frame.Ping{}})
	}
	if o.pinged.IsZero() {
		o.pinged = at
	}
	if quiet < isolatedAfter || at.Sub(o.pinged) < pongAfter || len(others) == 0 {
		return out
	}
	return c.isolate(at, true, "nothing heard from another zone for "+quiet.Truncate(time.Millisecond).String(), out)
}

// isolate changes what the followers are told of the zone.
func (c *Control) isolate(at time.Time, isolated bool, cause string, out []effect.Effect) []effect.Effect {
	if c.outside.isolated == isolated {
		return out
	}
	c.outside.isolated = isolated
	action := "reached from outside again"
	if isolated {
		action = "cut off"
	}
	out = append(out, effect.Note{At: at, Subject: "zone", Action: action, Cause: cause, Alert: isolated})
	if c.roster.stamp == 0 {
		return out // a follower takes an unknown list for an empty one
	}
	for _, id := range c.following(at) {
		out = append(out, effect.SendMessage{To: id, Message: c.rosterFrame(at, false)})
	}
	return out
}

// outsiders returns a VM with a disk and an entry VM of each other zone, in turn
// all of them. Entry VMs answer also when only the VMs with disks are cut off
// from each other.
func (c *Control) outsiders() []model.VMID {
	c.outside.turn++
	var list []model.VMID
	draw := func(byZone map[model.Zone][]model.VMID) {
		for zone, ids := range byZone {
			if zone != "" && zone != c.start.VM.Zone {
				list = append(list, ids[c.outside.turn%len(ids)])
			}
		}
	}
	disks, entries := make(map[model.Zone][]model.VMID), make(map[model.Zone][]model.VMID)
	for _, id := range c.disks() {
		zone := c.zoneOf(id)
		disks[zone] = append(disks[zone], id)
	}
	for _, d := range c.daemons.told {
		entries[d.Zone] = append(entries[d.Zone], d.ID)
	}
	draw(disks)
	draw(entries)
	slices.Sort(list)
	return list
}

// zoneOf returns the zone of a VM, "" when it is not known.
func (c *Control) zoneOf(id model.VMID) model.Zone {
	if vm, ok := c.store.VM(id); ok {
		return vm.Zone
	}
	if i, ok := slices.BinarySearchFunc(c.daemons.told, id, func(d model.EntryVM, id model.VMID) int {
		return byID(d, model.EntryVM{ID: id})
	}); ok {
		return c.daemons.told[i].Zone
	}
	if d, ok := c.daemons.own[id]; ok {
		return d.Zone
	}
	return c.known()[id].Zone
}

// told takes what a VM with a disk says of its zone. One of another zone that
// reaches this VM shows that the own zone is not cut off.
func (c *Control) told(from model.VMID, isolated bool, out []effect.Effect) []effect.Effect {
	isolated = isolated && c.zoneOf(from) == c.start.VM.Zone
	if c.start.VM.HasDisk || c.outside.isolated == isolated {
		return out
	}
	c.outside.isolated = isolated
	return append(out, effect.ToTraffic{Loop: effect.AllLoops, Body: event.ZoneIsolation{Isolated: isolated}})
}
