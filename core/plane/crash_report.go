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

// Limits of what is remembered to recognize copies of a crash report.
const (
	duplicateWindow = time.Second // after the last new report; the same upstream may crash again later
	maxCrashRecords = 1 << 12     // fingerprints
)

// crashReports remembers known crash reports by fingerprint, so that copies are
// not passed on. A report says that upstreams crashed while they ran the request
// with a fingerprint. The zero value is empty.
type crashReports map[model.Fingerprint]crashRecord

// crashRecord is what is known about one fingerprint.
type crashRecord struct {
	crashes       []model.Crash // reported within duplicateWindow
	lastNew       time.Time     // when something new was last reported
	quarantineEnd time.Time     // zero when it was never quarantined
	answered      bool          // since the last crash
}

// HandleCrashReport handles a crash report from a traffic state of this
// process, and passes it to the other traffic states and VMs if it is new.
func (c *Control) HandleCrashReport(at time.Time, report event.CrashReport, out []effect.Effect) []effect.Effect {
	first := len(out)
	_ = c.crashes.Merge(at, report)
	if !c.crashReports.add(at, report) {
		return out
	}
	return c.complete(first, c.sendCrashReport(report, append(out, effect.ToTraffic{Loop: effect.AllLoops, Body: report})))
}

// peerCrashReport handles a crash report from another VM. With Relay set, this
// VM is the first of its zone that receives it, and passes it to the others.
func (c *Control) peerCrashReport(at time.Time, from model.VMID, m frame.CrashReport, out []effect.Effect) []effect.Effect {
	report := event.CrashReport{Fingerprint: m.Fingerprint, Crashes: model.NamedCrashes(m.Upstreams), Quarantine: m.Quarantine, Answered: m.Answered}
	_ = c.crashes.Merge(at, report)
	if !c.crashReports.add(at, report) {
		return out
	}
	out = append(out, effect.ToTraffic{Loop: effect.AllLoops, Body: report})
	relay := m.Relay
	m.Relay = false
	if c.settings.SelfRegistration && c.settings.VM.HasDisk {
		// The entry VMs that follow this VM are not registered.
		for _, id := range c.followers(at) {
			if id != from {
				out = append(out, effect.SendMessage{To: id, Message: m})
			}
		}
	}
	if !relay {
		return out
	}
	return c.sendToZone(from, m, out)
}

// sendCrashReport sends a report to all VMs of this VM's zone and to one VM of
// each other zone, which relays it in its own. The cost for this VM then grows
// with its zone, not with the fleet.
func (c *Control) sendCrashReport(report event.CrashReport, out []effect.Effect) []effect.Effect {
	m := crashReportMessage(report)
	out = c.sendToZone("", m, out)
	m.Relay = true
	// Reports about one request go to different VMs, so that a failed VM that
	// is not suspected yet does not keep all of them from its zone.
	rotation := uint64(report.Fingerprint) + uint64(len(report.Crashes))
	zones := c.unsuspectedVMsByZone()
	for _, zone := range slices.Sorted(maps.Keys(zones)) {
		if ids := zones[zone]; zone != c.settings.VM.Zone {
			out = append(out, effect.SendMessage{To: ids[rotation%uint64(len(ids))], Message: m})
		}
	}
	return out
}

func crashReportMessage(report event.CrashReport) frame.CrashReport {
	return frame.CrashReport{
		Fingerprint: report.Fingerprint, Upstreams: model.CrashNames(report.Crashes), Quarantine: report.Quarantine, Answered: report.Answered,
	}
}

// sendQuarantines tells an entry VM that has just started which requests are in
// quarantine or on probation.
func (c *Control) sendQuarantines(at time.Time, to model.VMID, out []effect.Effect) []effect.Effect {
	for _, report := range c.crashes.Known(at) {
		out = append(out, effect.SendMessage{To: to, Message: crashReportMessage(report)})
	}
	return out
}

// sendToZone sends a report to the VMs of this VM's zone, except to this VM and
// to the one that it came from.
func (c *Control) sendToZone(except model.VMID, m frame.CrashReport, out []effect.Effect) []effect.Effect {
	for _, id := range c.unsuspectedVMsByZone()[c.settings.VM.Zone] {
		if id != c.settings.VM.ID && id != except {
			out = append(out, effect.SendMessage{To: id, Message: m})
		}
	}
	return out
}

// unsuspectedVMsByZone lists the VMs that are not suspected, ascending by id.
func (c *Control) unsuspectedVMsByZone() map[model.Zone][]model.VMID {
	vms := c.store.Topology().VMs
	zones := make(map[model.Zone][]model.VMID)
	for _, id := range slices.Sorted(maps.Keys(vms)) {
		if !slices.Contains(c.suspects, id) {
			zones[vms[id].Zone] = append(zones[vms[id].Zone], id)
		}
	}
	return zones
}

// add records a report and reports whether anything in it is new.
func (r *crashReports) add(at time.Time, report event.CrashReport) bool {
	if *r == nil {
		*r = make(crashReports)
	}
	if len(report.Answered) > 0 {
		return r.addAnswered(at, report.Answered)
	}
	record := (*r)[report.Fingerprint]
	if at.Sub(record.lastNew) >= duplicateWindow {
		record.crashes = nil
	}
	isNew := report.Quarantine > 0 && !at.Before(record.quarantineEnd)
	if isNew {
		record.quarantineEnd = at.Add(report.Quarantine)
	}
	for _, crash := range report.Crashes {
		isCopy := func(c model.Crash) bool { return c.Upstream == crash.Upstream && c.Number >= crash.Number }
		if !slices.ContainsFunc(record.crashes, isCopy) {
			// Clipped, so that the append copies the list: others may use it.
			record.crashes = append(slices.Clip(record.crashes), crash)
			isNew = true
		}
	}
	if !isNew {
		return false
	}
	record.lastNew, record.answered = at, false
	if _, ok := (*r)[report.Fingerprint]; !ok && len(*r) >= maxCrashRecords {
		r.expire(at)
	}
	(*r)[report.Fingerprint] = record
	return true
}

// addAnswered records that requests were answered after crashes, and reports whether any
// of that is new.
func (r *crashReports) addAnswered(at time.Time, answered []model.AnsweredCrashes) (isNew bool) {
	for _, a := range answered {
		record, known := (*r)[a.Fingerprint]
		if record.answered && at.Sub(record.lastNew) < duplicateWindow {
			continue
		}
		if !known && len(*r) >= maxCrashRecords {
			r.expire(at)
		}
		(*r)[a.Fingerprint] = crashRecord{answered: true, lastNew: at}
		isNew = true
	}
	return isNew
}

// expire drops records that no copy can match any more. If too many remain, it
// drops all: copies are then passed on again, which only costs messages.
func (r *crashReports) expire(at time.Time) {
	for fp, record := range *r {
		if at.Sub(record.lastNew) >= duplicateWindow && !at.Before(record.quarantineEnd) {
			delete(*r, fp)
		}
	}
	if len(*r) >= maxCrashRecords {
		clear(*r)
	}
}
