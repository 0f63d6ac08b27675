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
// starts again after each crash and is told what another one knows. The nth time it comes,
// it crashes the given upstream.
func crashSlowly(interval time.Duration, restarts bool, upstream func(n int) model.UpstreamID) (crashes int) {
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
		vms[vm].Add(at, 7, vms[vm].Next(7, upstream(n)))
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
// its crashes were forgotten after 10 s, and after each quarantine, and those of an upstream
// that came back under its id did not count.
func TestSlowCrashesAreRecognised(t *testing.T) {
	// Three crashes start the first quarantine. Each that follows is four times as long, up to
	// an hour, and one crash comes after each.
	const most = defaultThreshold + 4 + 24
	for _, interval := range []time.Duration{time.Second, 11 * time.Second, 3 * time.Minute, 20 * time.Minute} {
		for name, upstream := range map[string]func(n int) model.UpstreamID{
			"under new ids": func(n int) model.UpstreamID { return model.UpstreamID(fmt.Sprint("u", n)) },
			"three of them": func(n int) model.UpstreamID { return model.UpstreamID(fmt.Sprint("u", n%3)) },
			"two of them":   func(n int) model.UpstreamID { return model.UpstreamID(fmt.Sprint("u", n%2)) },
			"a single one":  func(int) model.UpstreamID { return "u" },
			"four unevenly": func(n int) model.UpstreamID { return model.UpstreamID(fmt.Sprint("u", n*n%7)) },
			"sometimes new": func(n int) model.UpstreamID { return model.UpstreamID(fmt.Sprint("u", n%5*(n/9))) },
		} {
			for _, restarts := range []bool{false, true} {
				if got := crashSlowly(interval, restarts, upstream); got > most {
					t.Errorf("upstreams %s, each %v, restarts %v: got %d crashes in a day, want at most %d", name, interval, restarts, got, most)
				}
			}
		}
	}
}

// Guards against a quarantine that a report which comes late or twice begins again, and
// against one that a VM which was answered takes back from others.
func TestLateCrashReports(t *testing.T) {
	var h History
	ids := crashOf("u1", "u2", "u3")
	report := event.CrashReport{Fingerprint: 7, Crashes: ids, Quarantine: time.Minute}
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
	if h.Add(late, 7, crashOf("u1")...) || !h.Add(late, 7, crashOf("u4")...) || h.QuarantineLeft(late, 7) != 0 {
		t.Error("got crashes before the answer counted again")
	}
	answered := event.CrashReport{Answered: h.TakeAnswered()}
	var other History
	other.Merge(startTime, report)
	other.Merge(late, answered)
	if other.OnProbation(late, 7) {
		t.Error("got a request on probation that another VM had answered")
	}
	other.Add(late, 7, crashOf("u4", "u5", "u6")...)
	if other.Merge(late, answered); other.QuarantineLeft(late, 7) == 0 || other.Count(7) != 3 {
		t.Error("got crashes cleared that came after the answer, by a late copy of it")
	}
}

// Guards against a VM that starts a quarantine without the crashes that others saw.
func TestCrashesOfSeveralVMsAddUp(t *testing.T) {
	var h History
	h.Add(startTime, 7, crashOf("u1")...)
	h.Merge(startTime.Add(11*time.Second), event.CrashReport{Fingerprint: 7, Crashes: crashOf("u2")})
	h.Merge(startTime.Add(22*time.Second), event.CrashReport{Fingerprint: 7, Crashes: crashOf("u3")})
	if got := h.QuarantineLeft(startTime.Add(22*time.Second), 7); got != firstQuarantine {
		t.Errorf("got a quarantine of %v, want %v", got, firstQuarantine)
	}
}

// Guards against memory that grows with every request that was in flight when upstreams
// crashed, and against a crashing one that is forgotten for these.
func TestHistoryIsBounded(t *testing.T) {
	var h History
	h.Add(startTime, 7, crashOf("u1", "u2")...)
	for fp := range model.Fingerprint(2 * maxRecords) {
		h.Add(startTime.Add(time.Duration(fp)), 1000+fp, crashOf("u1")...)
	}
	if got := len(h.records); got > maxRecords {
		t.Errorf("got %d records, want at most %d", got, maxRecords)
	}
	if got := h.Count(7); got != 2 {
		t.Errorf("got %d crashes of the request with two, want them kept", got)
	}
	for n := range 2 * maxUpstreams {
		h.Add(startTime, 7, crashOf(model.UpstreamID(fmt.Sprint("v", n)))...)
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

// Guards against crashes of an upstream that came back under its id counting once, against one
// crash that several VMs saw counting twice, and against reports that undo an answer.
func TestCrashesOfOneUpstreamAreNumbered(t *testing.T) {
	var a, b History
	first := a.Next(7, "u")
	a.Add(startTime, 7, first)
	if b.Add(startTime, 7, b.Next(7, "u")); b.Merge(startTime, a.Report(startTime, 7)) || b.Count(7) != 1 {
		t.Errorf("got %d crashes, want the one that both VMs saw", b.Count(7))
	}
	early := b.Report(startTime, 7)
	for n := 2; n <= defaultThreshold; n++ {
		b.Add(startTime, 7, b.Next(7, "u"))
	}
	if got, want := b.QuarantineLeft(startTime, 7), firstQuarantine; got != want {
		t.Fatalf("got a quarantine of %v after %d crashes of one upstream, want %v", got, defaultThreshold, want)
	}
	report := b.Report(startTime, 7)
	a.Merge(startTime, report)
	at := startTime.Add(2 * firstQuarantine)
	for _, late := range []event.CrashReport{early, report, report} {
		if a.Merge(at, late) || a.Count(7) != defaultThreshold || a.QuarantineLeft(at, 7) != 0 {
			t.Errorf("got %d crashes and a quarantine of %v after a late report, want %d and none", a.Count(7), a.QuarantineLeft(at, 7), defaultThreshold)
		}
	}
	a.Add(at, 7, a.Next(7, "u"))
	if got, want := a.QuarantineLeft(at, 7), quarantineFactor*firstQuarantine; got != want {
		t.Errorf("got a quarantine of %v after a crash on probation, want %v", got, want)
	}
	a.Clear(7)
	a.Merge(at, report)
	a.Add(at, 7, a.Next(7, "u"))
	if got := a.Count(7); got != 1 {
		t.Errorf("got %d crashes since the answer, want 1", got)
	}
	var started History // a VM that starts, and is told only this
	started.Merge(at, a.Report(at, 7))
	if got, want := started.Count(7), 1; got != want || started.QuarantineLeft(at, 7) != 0 {
		t.Errorf("got %d crashes at a VM that starts, want %d", got, want)
	}
}

// Guards against a partial answer after which a crash on probation starts no quarantine.
func TestCrashOnProbationStartsAQuarantine(t *testing.T) {
	var h History
	h.Add(startTime, 7, crashOf("u1", "u2", "u3")...)
	at := startTime.Add(firstQuarantine)
	h.Merge(at, event.CrashReport{Answered: []model.AnsweredCrashes{{Fingerprint: 7, Upstreams: []model.UpstreamID{"u1", "u2"}}}})
	if !h.OnProbation(at, 7) {
		t.Fatal("got no probation with a crash that was not answered")
	}
	h.BeginTrial(7, at.Add(time.Second))
	h.Add(at, 7, h.Next(7, "u3"))
	if got, want := h.QuarantineLeft(at, 7), quarantineFactor*firstQuarantine; got != want {
		t.Errorf("got a quarantine of %v, want %v", got, want)
	}
}
