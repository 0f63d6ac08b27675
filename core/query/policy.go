package query

import (
	"math/rand/v2"
	"time"

	"comfreypulley/core/crash"
	"comfreypulley/core/event"
	"comfreypulley/core/model"
	"comfreypulley/core/route"
)

// picker chooses the replica for an attempt.
type picker interface {
	Pick(at time.Time, index string, version model.SnapshotVersion, shard int, exclude []model.UpstreamID) (route.Choice, bool)
}

// hedger decides how long an attempt may take before it is hedged. A query also
// derives from it how long it waits for its canary before it tries the other
// shards.
type hedger interface {
	// Delay reports false when attempts on the index are not hedged.
	Delay(index string) (time.Duration, bool)
}

// guard decides which requests may crash upstreams and are restricted for that
// reason. See [crash.Guard] for the methods.
type guard interface {
	Verdict(at time.Time, fp model.Fingerprint) crash.Verdict
	// MustWait reports whether strikes have to be confirmed, or to expire,
	// before another attempt.
	MustWait(at time.Time, fp model.Fingerprint) bool
	// Unconfirmed returns the upstreams to probe for such a confirmation.
	Unconfirmed(at time.Time, fp model.Fingerprint) []model.UpstreamID
	Acquire(fp model.Fingerprint) bool
	Join(fp model.Fingerprint)
	Release(fp model.Fingerprint)
	RecordAnswer(at time.Time, fp model.Fingerprint)
	// NextCrash returns what an attempt sent now is to be recorded as if it is reset.
	NextCrash(fp model.Fingerprint, upstream model.UpstreamID) model.Crash
	// RecordReset reports whether the attempt counts as an unconfirmed strike,
	// for which the upstream has to be probed.
	RecordReset(at time.Time, fp model.Fingerprint, crash model.Crash, alone bool) bool
	RecordProbe(at time.Time, upstream model.UpstreamID, down bool) []event.CrashReport
	RecordCrashReport(at time.Time, report event.CrashReport)
	// TakeAnswered returns the strikes that an answer has cleared since the last call.
	TakeAnswered() []model.AnsweredCrashes
	Expire(at time.Time) []model.Fingerprint
}

// limiter adapts the rate of queries on an index to the capacity of its
// upstreams.
type limiter interface {
	// RecordShed records that an upstream of the index shed an attempt.
	RecordShed(index string)
	// RecordMissedDeadline records that a query on the index missed its deadline.
	RecordMissedDeadline(index string)
	// Adjust recomputes the rates. It is called every sweepPeriod.
	Adjust(at time.Time)
}

// adaptiveHedger hedges an attempt that takes longer than the hedgeQuantile of
// the latencies on its index.
type adaptiveHedger Table

const hedgeQuantile = 0.95

// Delay implements hedger.
func (h *adaptiveHedger) Delay(index string) (time.Duration, bool) {
	histogram, ok := h.latencies[index]
	if !ok {
		return 0, false
	}
	return histogram.Quantile(hedgeQuantile)
}

// noHedger is the hedger of the baseline policy (event.Start.Baseline): it never
// hedges.
type noHedger struct{}

// Delay implements hedger.
func (noHedger) Delay(string) (time.Duration, bool) { return 0, false }

// noGuard is the guard of the baseline policy: it restricts no request.
type noGuard struct{}

// Verdict implements guard.
func (noGuard) Verdict(time.Time, model.Fingerprint) crash.Verdict { return crash.Unrestricted }

// MustWait implements guard.
func (noGuard) MustWait(time.Time, model.Fingerprint) bool { return false }

// Unconfirmed implements guard.
func (noGuard) Unconfirmed(time.Time, model.Fingerprint) []model.UpstreamID { return nil }

// Acquire implements guard.
func (noGuard) Acquire(model.Fingerprint) bool { return true }

// Join implements guard.
func (noGuard) Join(model.Fingerprint) {}

// Release implements guard.
func (noGuard) Release(model.Fingerprint) {}

// RecordAnswer implements guard.
func (noGuard) RecordAnswer(time.Time, model.Fingerprint) {}

// NextCrash implements guard.
func (noGuard) NextCrash(model.Fingerprint, model.UpstreamID) model.Crash { return model.Crash{} }

// RecordReset implements guard.
func (noGuard) RecordReset(time.Time, model.Fingerprint, model.Crash, bool) bool { return false }

// RecordProbe implements guard.
func (noGuard) RecordProbe(time.Time, model.UpstreamID, bool) []event.CrashReport { return nil }

// RecordCrashReport implements guard.
func (noGuard) RecordCrashReport(time.Time, event.CrashReport) {}

// TakeAnswered implements guard.
func (noGuard) TakeAnswered() []model.AnsweredCrashes { return nil }

// Expire implements guard.
func (noGuard) Expire(time.Time) []model.Fingerprint { return nil }

// noLimiter is the limiter of the baseline policy: only contracts limit the
// load.
type noLimiter struct{}

// RecordShed implements limiter.
func (noLimiter) RecordShed(string) {}

// RecordMissedDeadline implements limiter.
func (noLimiter) RecordMissedDeadline(string) {}

// Adjust implements limiter.
func (noLimiter) Adjust(time.Time) {}

// randomPicker is the picker of the baseline policy: it picks a random usable
// replica and ignores its limits.
type randomPicker struct {
	balancer *route.Balancer
	random   *rand.Rand
}

// Pick implements picker.
func (p *randomPicker) Pick(
	at time.Time, index string, version model.SnapshotVersion, shard int, exclude []model.UpstreamID,
) (route.Choice, bool) {
	ids := p.balancer.UsableReplicas(at, index, version, shard, exclude)
	if len(ids) == 0 {
		return route.Choice{}, false
	}
	u, _ := p.balancer.Upstream(ids[p.random.IntN(len(ids))])
	return route.Choice{Upstream: u}, true
}
