package crash

import (
	"maps"
	"slices"
	"time"

	"comfreypulley/core/event"
	"comfreypulley/core/model"
)

// Times and limits of a History.
const (
	defaultThreshold = 3 // crashes that start a quarantine
	retention        = time.Hour
	expiryPeriod     = time.Minute // between two searches for records that are too old
	firstQuarantine  = time.Minute
	quarantineFactor = 4 // of each further quarantine to the one before
	maxQuarantine    = time.Hour
	maxRecords       = 1 << 12 // fingerprints
	maxUpstreams     = 1 << 6  // of one fingerprint
	maxKnown         = 1 << 6  // fingerprints in quarantine that a VM is told at its start
)

// History remembers the crashes of upstreams while they ran requests, by the fingerprint
// of the request. A fingerprint with enough crashes is quarantined, after which it is on
// probation: the next crash starts a longer quarantine. An answer ends both. The zero
// value is ready for use.
//
// An upstream counts as often as it crashes, since it may come back under its id. The
// highest number of its crashes that is known only grows, and so does the highest one that
// was answered, so that reports may come late, twice and in any order.
//
// Crashes are remembered for long, because a request that comes again slowly crashes as
// many upstreams as one that comes at once.
type History struct {
	Threshold int // crashes that start a quarantine; 0 means defaultThreshold

	records  map[model.Fingerprint]*record
	expireAt time.Time               // when Expire next looks for old records
	answered []model.AnsweredCrashes // since the last TakeAnswered
}

// Next returns the crash that an attempt sent now would be seen as, if the upstream crashed
// while it runs it.
func (h *History) Next(fp model.Fingerprint, id model.UpstreamID) model.Crash {
	next := model.Crash{Upstream: id, Number: 1}
	if r := h.records[fp]; r != nil {
		if known := r.find(id); known != nil {
			next.Number = known.Number + 1
		}
	}
	return next
}

// Add records crashes of upstreams that ran a request. It reports whether any of them is
// new.
func (h *History) Add(at time.Time, fp model.Fingerprint, crashes ...model.Crash) bool {
	r := h.record(at, fp)
	probation := r.onProbation(at)
	if !r.add(at, crashes) {
		return false
	}
	if h.isDue(at, r, probation) {
		r.quarantine(at, at.Add(r.nextQuarantine()))
	}
	return true
}

// isDue reports whether a new crash begins a quarantine.
func (h *History) isDue(at time.Time, r *record, probation bool) bool {
	return !at.Before(r.quarantinedUntil) && (probation || r.count() >= h.threshold())
}

// Merge records what another traffic state or VM knows, and reports whether any of it is
// new. A report that comes late or twice is not, so that it starts no quarantine that has
// ended.
func (h *History) Merge(at time.Time, report event.CrashReport) bool {
	for _, a := range report.Answered {
		h.clear(a)
	}
	if len(report.Crashes) == 0 {
		return false
	}
	r := h.record(at, report.Fingerprint)
	probation := r.onProbation(at)
	isNew := r.add(at, report.Crashes)
	if !isNew && (r.quarantines > 0 || report.Quarantine == 0) {
		return false
	}
	until := at.Add(min(report.Quarantine, maxQuarantine))
	if isNew && h.isDue(at, r, probation) {
		until = model.Later(until, at.Add(r.nextQuarantine()))
	}
	if until.After(at) && until.After(r.quarantinedUntil) {
		r.quarantine(at, until)
	}
	return true
}

// Report returns what is known about a fingerprint, to be shared.
func (h *History) Report(at time.Time, fp model.Fingerprint) event.CrashReport {
	report := event.CrashReport{Fingerprint: fp}
	if r := h.records[fp]; r != nil {
		report.Crashes = r.live()
		if at.Before(r.quarantinedUntil) {
			report.Quarantine = r.quarantinedUntil.Sub(at)
		}
	}
	return report
}

// Known returns what is to be shared with a VM that has just started: the fingerprints in
// quarantine or on probation, at most maxKnown of them.
func (h *History) Known(at time.Time) (reports []event.CrashReport) {
	h.Expire(at)
	for _, fp := range slices.Sorted(maps.Keys(h.records)) {
		if r := h.records[fp]; r.quarantines > 0 && r.count() > 0 && len(reports) < maxKnown {
			reports = append(reports, h.Report(at, fp))
		}
	}
	return reports
}

// Count returns the number of crashes that no answer has cleared.
func (h *History) Count(fp model.Fingerprint) int {
	if r := h.records[fp]; r != nil {
		return r.count()
	}
	return 0
}

// Contains reports whether a crash is known.
func (h *History) Contains(fp model.Fingerprint, crash model.Crash) bool {
	return h.Next(fp, crash.Upstream).Number > crash.Number
}

// QuarantineLeft returns for how long requests with a fingerprint must not run; 0 when
// they may.
func (h *History) QuarantineLeft(at time.Time, fp model.Fingerprint) time.Duration {
	r := h.records[fp]
	if r == nil {
		return 0
	}
	return max(0, model.Later(r.quarantinedUntil, r.trialUntil).Sub(at))
}

// OnProbation reports whether a quarantine has ended and no answer has shown since that
// the request is harmless.
func (h *History) OnProbation(at time.Time, fp model.Fingerprint) bool {
	r := h.records[fp]
	return r != nil && r.onProbation(at) && h.QuarantineLeft(at, fp) == 0
}

// BeginTrial lets one request on probation run. Until it has been answered, or until a
// time, others are quarantined.
func (h *History) BeginTrial(fp model.Fingerprint, until time.Time) {
	if r := h.records[fp]; r != nil {
		r.trialUntil = until
	}
}

// Clear records that an upstream ran the request and answered.
func (h *History) Clear(fp model.Fingerprint) {
	r := h.records[fp]
	if r == nil || r.count() == 0 {
		return
	}
	a := model.AnsweredCrashes{Fingerprint: fp, Upstreams: model.CrashNames(r.crashes)}
	if len(h.answered) < maxRecords {
		h.answered = append(h.answered, a)
	}
	h.clear(a)
}

// TakeAnswered returns the crashes that were cleared since the last call, for the other
// traffic states and VMs: the request may come to them next.
func (h *History) TakeAnswered() []model.AnsweredCrashes {
	answered := h.answered
	h.answered = nil
	return answered
}

// clear records that crashes of a fingerprint were answered. After a quarantine they are
// kept, since other VMs may still report them. The quarantine ends unless a crash is left.
func (h *History) clear(a model.AnsweredCrashes) {
	r := h.records[a.Fingerprint]
	if r == nil {
		return
	}
	for _, answered := range model.NamedCrashes(a.Upstreams) {
		if crash := r.find(answered.Upstream); crash != nil {
			crash.Cleared = max(crash.Cleared, min(answered.Number, crash.Number))
		}
	}
	switch {
	case r.count() > 0:
	case r.quarantines == 0:
		delete(h.records, a.Fingerprint)
	default:
		r.quarantinedUntil, r.trialUntil = time.Time{}, time.Time{}
	}
}

// Expire removes records that are too old. It may be called often.
func (h *History) Expire(at time.Time) {
	if at.Before(h.expireAt) {
		return
	}
	h.expireAt = at.Add(expiryPeriod)
	for fp, r := range h.records {
		if at.Sub(model.Later(r.changedAt, r.quarantinedUntil)) >= retention {
			delete(h.records, fp)
		}
	}
}

func (h *History) threshold() int {
	if h.Threshold > 0 {
		return h.Threshold
	}
	return defaultThreshold
}

// record returns the record of a fingerprint. A new one may take the place of another.
func (h *History) record(at time.Time, fp model.Fingerprint) *record {
	if r, ok := h.records[fp]; ok {
		return r
	}
	if h.records == nil {
		h.records = make(map[model.Fingerprint]*record)
	}
	if len(h.records) >= maxRecords {
		h.Expire(at)
	}
	if len(h.records) >= maxRecords {
		h.evict()
	}
	r := &record{changedAt: at}
	h.records[fp] = r
	return r
}

// evict removes the record with the fewest crashes, of several the oldest: most of these
// requests were in flight when upstreams crashed for another reason.
func (h *History) evict() {
	var victim model.Fingerprint
	var least *record
	for fp, r := range h.records {
		if least == nil || r.before(least) || !least.before(r) && fp < victim {
			victim, least = fp, r
		}
	}
	delete(h.records, victim)
}
