package crash

import (
	"fmt"
	"testing"
	"time"

	"comfreypulley/core/event"
	"comfreypulley/core/model"
)

// crashSlowly lets a request come at an interval for a day, at VMs in turn that share what
// they record, and returns how often it crashed an upstream. With restarts, one VM
// starts again after each crash and is told what another one knows.
func crashSlowly(interval time.Duration, restarts bool) (crashes int) {
	vms := make([]History, 3)
	for n := range int(24 * time.Hour / interval) {
		at, vm := startTime.Add(time.Duration(n)*interval), n%len(vms)
		if vms[vm].QuarantineLeft(at, 7) > 0 {
			continue
		}
		if vms[vm].OnProbation(at, 7) {
			vms[vm].BeginTrial(7, at.Add(time.Second))
		}
		crashes++
		vms[vm].Add(at, 7, model.UpstreamID(fmt.Sprint("u", n)))
		for i := range vms { // a VM that knows more answers the report
			vms[i].Merge(at, vms[vm].Report(at, 7))
		}
		for i := range vms {
			vms[vm].Merge(at, vms[i].Report(at, 7))
		}
		for i := range vms {
			vms[i].Merge(at, vms[vm].Report(at, 7))
		}
		if restarts {
			vms[0] = History{}
			for _, report := range vms[1].Known(at) {
				vms[0].Merge(at, report)
			}
		}
	}
	return crashes
}

// Guards against a request that goes on crashing upstreams because it comes again slowly:
// its crashes were forgotten after 10 s, and after each quarantine.
func TestSlowCrashesAreRecognised(t *testing.T) {
	// Three crashes start the first quarantine. Each that follows is four times as long, up to
	// an hour, and one crash comes after each.
	const most = defaultThreshold + 4 + 24
	for _, interval := range []time.Duration{time.Second, 11 * time.Second, 3 * time.Minute, 20 * time.Minute} {
		if got := crashSlowly(interval, false); got > most {
			t.Errorf("each %v: got %d crashes in a day, want at most %d", interval, got, most)
		}
		if got := crashSlowly(interval, true); got > most {
			t.Errorf("each %v with restarts: got %d crashes in a day, want at most %d", interval, got, most)
		}
	}
}

// Guards against a quarantine that a report which comes late or twice begins again, and
// against one that a VM which was answered takes back from others.
func TestLateCrashReports(t *testing.T) {
	var h History
	ids := []model.UpstreamID{"u1", "u2", "u3"}
	report := event.CrashReport{Fingerprint: 7, Upstreams: ids, Quarantine: time.Minute}
	if !h.Merge(startTime, report) || h.QuarantineLeft(startTime, 7) != time.Minute {
		t.Fatalf("got a quarantine of %v, want that of the report", h.QuarantineLeft(startTime, 7))
	}
	late := startTime.Add(2 * time.Minute)
	if h.Merge(late, report) || h.QuarantineLeft(late, 7) != 0 {
		t.Errorf("got a quarantine of %v from a late copy, want none", h.QuarantineLeft(late, 7))
	}
	if !h.OnProbation(late, 7) {
		t.Error("got no probation after the quarantine")
	}
	h.BeginTrial(7, late.Add(time.Second))
	if h.QuarantineLeft(late, 7) == 0 || h.QuarantineLeft(late.Add(time.Second), 7) != 0 {
		t.Error("got a second trial beside the first, or none after it")
	}
	h.Clear(7)
	if h.OnProbation(late, 7) || h.Merge(late, report) || h.QuarantineLeft(late, 7) != 0 {
		t.Error("got a request that was answered back in quarantine or on probation by a late copy")
	}
	if h.Add(late, 7, "u1") || !h.Add(late, 7, "u4") || h.QuarantineLeft(late, 7) != 0 {
		t.Error("got crashes before the answer counted again")
	}
	answered := event.CrashReport{Answered: h.TakeAnswered()}
	var other History
	other.Merge(startTime, report)
	other.Merge(late, answered)
	if other.OnProbation(late, 7) {
		t.Error("got a request on probation that another VM had answered")
	}
	other.Add(late, 7, "u4", "u5", "u6")
	if other.Merge(late, answered); other.QuarantineLeft(late, 7) == 0 || other.Count(7) != 3 {
		t.Error("got crashes cleared that came after the answer, by a late copy of it")
	}
}

// Guards against a VM that starts a quarantine without the crashes that others saw.
func TestCrashesOfSeveralVMsAddUp(t *testing.T) {
	var h History
	h.Add(startTime, 7, "u1")
	h.Merge(startTime.Add(11*time.Second), event.CrashReport{Fingerprint: 7, Upstreams: []model.UpstreamID{"u2"}})
	h.Merge(startTime.Add(22*time.Second), event.CrashReport{Fingerprint: 7, Upstreams: []model.UpstreamID{"u3"}})
	if got := h.QuarantineLeft(startTime.Add(22*time.Second), 7); got != firstQuarantine {
		t.Errorf("got a quarantine of %v, want %v", got, firstQuarantine)
	}
}

// Guards against memory that grows with every request that was in flight when upstreams
// crashed, and against a crashing one that is forgotten for these.
func TestHistoryIsBounded(t *testing.T) {
	var h History
	h.Add(startTime, 7, "u1", "u2")
	for fp := range model.Fingerprint(2 * maxRecords) {
		h.Add(startTime.Add(time.Duration(fp)), 1000+fp, "u1")
	}
	if got := len(h.records); got > maxRecords {
		t.Errorf("got %d records, want at most %d", got, maxRecords)
	}
	if got := h.Count(7); got != 2 {
		t.Errorf("got %d crashes of the request with two, want them kept", got)
	}
	for n := range 2 * maxUpstreams {
		h.Add(startTime, 7, model.UpstreamID(fmt.Sprint("v", n)))
	}
	if got := h.Count(7); got > maxUpstreams {
		t.Errorf("got %d upstreams, want at most %d", got, maxUpstreams)
	}
	if got := h.Known(startTime); len(got) != 1 || got[0].Fingerprint != 7 {
		t.Errorf("got %d fingerprints for a VM that starts, want the one in quarantine", len(got))
	}
	if got := h.Known(startTime.Add(retention + maxQuarantine + time.Second)); len(got) != 0 {
		t.Errorf("got %d fingerprints for a VM that starts after %v, want none", len(got), retention+maxQuarantine)
	}
	if got := len(h.records); got != 0 {
		t.Errorf("got %d records after %v, want none", got, retention+maxQuarantine)
	}
}
