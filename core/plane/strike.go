package plane

import (
	"maps"
	"slices"
	"time"

	"comfreypulley/core/effect"
	"comfreypulley/core/event"
	"comfreypulley/core/frame"
	"comfreypulley/core/model"
)

// Limits of what is remembered to recognise copies of a strike.
const (
	duplicateWindow  = time.Second // after the last new report; the same upstream may crash again later
	maxStrikeRecords = 1 << 12     // fingerprints
)

// strikes remembers which strikes are known, so that copies are not passed on. A
// strike says that an upstream crashed while it ran the request with a
// fingerprint. The zero value is empty.
type strikes map[model.Fingerprint]strikeRecord

// strikeRecord is what is known about one fingerprint.
type strikeRecord struct {
	upstreams     []model.UpstreamID // that crashed within duplicateWindow
	lastNew       time.Time          // when something new was last reported
	quarantineEnd time.Time          // zero when it was never quarantined
}

// Struck takes strikes that a traffic state of this process found, and passes new
// ones to the other traffic states and VMs.
func (c *Control) Struck(at time.Time, s event.CrashReport, out []effect.Effect) []effect.Effect {
	first := len(out)
	if !c.strikes.add(at, s) {
		return out
	}
	return c.complete(first, c.sendStrike(s, append(out, effect.ToTraffic{Loop: effect.AllLoops, Body: s})))
}

// peerStrike takes strikes that another VM found. With Pass set, this VM is the
// first of its zone that hears of them, and passes them to the others.
func (c *Control) peerStrike(at time.Time, from model.VMID, m frame.CrashReport, out []effect.Effect) []effect.Effect {
	s := event.CrashReport{Fingerprint: m.Fingerprint, Upstreams: m.Upstreams, Quarantine: m.Quarantine}
	if !c.strikes.add(at, s) {
		return out
	}
	out = append(out, effect.ToTraffic{Loop: effect.AllLoops, Body: s})
	pass := m.Relay
	m.Relay = false
	if c.settings.SelfRegistration && c.settings.VM.HasDisk {
		// The entry VMs that follow this VM are not registered.
		for _, id := range c.followers(at) {
			if id != from {
				out = append(out, effect.SendMessage{To: id, Message: m})
			}
		}
	}
	if !pass {
		return out
	}
	return c.sendToZone(from, m, out)
}

// sendStrike tells all VMs of this VM's zone and one VM of each other zone, which
// tells its own. The cost for this VM then grows with its zone, not with the
// fleet.
func (c *Control) sendStrike(s event.CrashReport, out []effect.Effect) []effect.Effect {
	m := frame.CrashReport{Fingerprint: s.Fingerprint, Upstreams: s.Upstreams, Quarantine: s.Quarantine}
	out = c.sendToZone("", m, out)
	m.Relay = true
	// Strikes of one request go to different VMs, so that a failed VM that is
	// not suspected yet does not keep all of them from its zone.
	rotation := uint64(s.Fingerprint) + uint64(len(s.Upstreams))
	zones := c.trustedVMsByZone()
	for _, zone := range slices.Sorted(maps.Keys(zones)) {
		if ids := zones[zone]; zone != c.settings.VM.Zone {
			out = append(out, effect.SendMessage{To: ids[rotation%uint64(len(ids))], Message: m})
		}
	}
	return out
}

// sendToZone sends a strike to the other VMs of this VM's zone, but for one.
func (c *Control) sendToZone(except model.VMID, m frame.CrashReport, out []effect.Effect) []effect.Effect {
	for _, id := range c.trustedVMsByZone()[c.settings.VM.Zone] {
		if id != c.settings.VM.ID && id != except {
			out = append(out, effect.SendMessage{To: id, Message: m})
		}
	}
	return out
}

// trustedVMsByZone lists the VMs that are not suspected, ascending by id.
func (c *Control) trustedVMsByZone() map[model.Zone][]model.VMID {
	vms := c.store.Topology().VMs
	zones := make(map[model.Zone][]model.VMID)
	for _, id := range slices.Sorted(maps.Keys(vms)) {
		if !slices.Contains(c.suspects, id) {
			zones[vms[id].Zone] = append(zones[vms[id].Zone], id)
		}
	}
	return zones
}

// add records strikes and reports whether any of them is new.
func (k *strikes) add(at time.Time, s event.CrashReport) bool {
	if *k == nil {
		*k = make(strikes)
	}
	known := (*k)[s.Fingerprint]
	if at.Sub(known.lastNew) >= duplicateWindow {
		known.upstreams = nil
	}
	isNew := s.Quarantine > 0 && !at.Before(known.quarantineEnd)
	if isNew {
		known.quarantineEnd = at.Add(s.Quarantine)
	}
	for _, id := range s.Upstreams {
		if !slices.Contains(known.upstreams, id) {
			// Clipped, so that the append copies the list: others may use it.
			known.upstreams = append(slices.Clip(known.upstreams), id)
			isNew = true
		}
	}
	if !isNew {
		return false
	}
	known.lastNew = at
	if _, ok := (*k)[s.Fingerprint]; !ok && len(*k) >= maxStrikeRecords {
		k.expire(at)
	}
	(*k)[s.Fingerprint] = known
	return true
}

// expire forgets records that no copy can match any more. If too many remain, it
// forgets all: copies are then passed on again, which only costs messages.
func (k *strikes) expire(at time.Time) {
	for fp, known := range *k {
		if at.Sub(known.lastNew) >= duplicateWindow && !at.Before(known.quarantineEnd) {
			delete(*k, fp)
		}
	}
	if len(*k) >= maxStrikeRecords {
		clear(*k)
	}
}
