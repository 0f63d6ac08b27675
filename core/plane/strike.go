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

// Bounds of what is remembered to recognise copies of a strike.
const (
	copyWithin = time.Second // between two copies; an upstream may crash again later
	maxStrikes = 1 << 12     // fingerprints
)

// strikes recognises copies of strikes against crashing requests. The zero
// value knows none.
type strikes map[model.Fingerprint]seen

// seen is what is known of one fingerprint.
type seen struct {
	upstreams   []model.UpstreamID
	at          time.Time // of the last news
	quarantined time.Time // end of the quarantine
}

// Struck takes strikes that a traffic state of this process found.
func (c *Control) Struck(at time.Time, s event.CrashReport, out []effect.Effect) []effect.Effect {
	from := len(out)
	if !c.strikes.add(at, s) {
		return out
	}
	return c.seal(from, c.spreadStrike(s, append(out, effect.ToTraffic{Loop: effect.AllLoops, Body: s})))
}

// peerStrike takes strikes that another VM found. The first VM of a zone that
// hears of them tells the others of its zone.
func (c *Control) peerStrike(at time.Time, from model.VMID, m frame.CrashReport, out []effect.Effect) []effect.Effect {
	s := event.CrashReport{Fingerprint: m.Fingerprint, Upstreams: m.Upstreams, Quarantine: m.Quarantine}
	if !c.strikes.add(at, s) {
		return out
	}
	out = append(out, effect.ToTraffic{Loop: effect.AllLoops, Body: s})
	pass := m.Relay
	m.Relay = false
	if c.start.SelfRegistration && c.start.VM.HasDisk {
		// The daemons that follow this VM are not registered.
		for _, id := range c.following(at) {
			if id != from {
				out = append(out, effect.SendMessage{To: id, Message: m})
			}
		}
	}
	if !pass {
		return out
	}
	return c.tellZone(from, m, out)
}

// spreadStrike tells all VMs of the own zone and one VM of each other zone, so
// that the cost follows the size of a zone and not that of the fleet.
func (c *Control) spreadStrike(s event.CrashReport, out []effect.Effect) []effect.Effect {
	m := frame.CrashReport{Fingerprint: s.Fingerprint, Upstreams: s.Upstreams, Quarantine: s.Quarantine}
	out = c.tellZone("", m, out)
	m.Relay = true
	// The strikes of one request come through different VMs, so that a dead one
	// that is not suspected yet does not hide all of them from its zone.
	turn := uint64(s.Fingerprint) + uint64(len(s.Upstreams))
	zones := c.zones()
	for _, zone := range slices.Sorted(maps.Keys(zones)) {
		if ids := zones[zone]; zone != c.start.VM.Zone {
			out = append(out, effect.SendMessage{To: ids[turn%uint64(len(ids))], Message: m})
		}
	}
	return out
}

func (c *Control) tellZone(except model.VMID, m frame.CrashReport, out []effect.Effect) []effect.Effect {
	for _, id := range c.zones()[c.start.VM.Zone] {
		if id != c.start.VM.ID && id != except {
			out = append(out, effect.SendMessage{To: id, Message: m})
		}
	}
	return out
}

// zones lists the VMs that are not suspected in the order of their ids.
func (c *Control) zones() map[model.Zone][]model.VMID {
	vms := c.store.Topology().VMs
	zones := make(map[model.Zone][]model.VMID)
	for _, id := range slices.Sorted(maps.Keys(vms)) {
		if !slices.Contains(c.suspects, id) {
			zones[vms[id].Zone] = append(zones[vms[id].Zone], id)
		}
	}
	return zones
}

// add notes strikes and reports whether they say something new.
func (k *strikes) add(at time.Time, s event.CrashReport) bool {
	if *k == nil {
		*k = make(strikes)
	}
	known := (*k)[s.Fingerprint]
	if at.Sub(known.at) >= copyWithin {
		known.upstreams = nil
	}
	news := s.Quarantine > 0 && !at.Before(known.quarantined)
	if news {
		known.quarantined = at.Add(s.Quarantine)
	}
	for _, id := range s.Upstreams {
		if !slices.Contains(known.upstreams, id) {
			// Not appended in place: a copy of the list may be in use.
			known.upstreams = append(slices.Clip(known.upstreams), id)
			news = true
		}
	}
	if !news {
		return false
	}
	known.at = at
	if _, ok := (*k)[s.Fingerprint]; !ok && len(*k) >= maxStrikes {
		k.expire(at)
	}
	(*k)[s.Fingerprint] = known
	return true
}

// expire forgets what can no longer be a copy, or everything when that is not
// enough. A copy then costs messages, but changes nothing.
func (k *strikes) expire(at time.Time) {
	for fp, known := range *k {
		if at.Sub(known.at) >= copyWithin && !at.Before(known.quarantined) {
			delete(*k, fp)
		}
	}
	if len(*k) >= maxStrikes {
		clear(*k)
	}
}
