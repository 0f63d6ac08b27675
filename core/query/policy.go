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

// hedger decides how long an attempt may take before it is hedged, and a canary
// before the rest of its query follows.
type hedger interface {
	// Delay reports false when attempts are not to be hedged.
	Delay(index string) (time.Duration, bool)
}

// guard decides which requests may crash upstreams and have to run alone.
type guard interface {
	Judge(at time.Time, fp model.Fingerprint) crash.Verdict
	// Hold reports that strikes have to be confirmed before another attempt.
	Hold(at time.Time, fp model.Fingerprint) bool
	// Unproven lists upstreams that have to be probed for such a confirmation.
	Unproven(at time.Time, fp model.Fingerprint) []model.UpstreamID
	Enter(fp model.Fingerprint) bool
	Exit(fp model.Fingerprint)
	Answered(at time.Time, fp model.Fingerprint)
	// Reset reports whether the attempt may become a strike, for which the
	// upstream has to be probed.
	Reset(at time.Time, fp model.Fingerprint, upstream model.UpstreamID, alone bool) bool
	Reported(at time.Time, upstream model.UpstreamID, down bool) []event.CrashReport
	Struck(at time.Time, s event.CrashReport)
	Sweep(at time.Time) []model.Fingerprint
}

// limiter adapts the load on an index to what its upstreams can take.
type limiter interface {
	Shed(index string)
	Missed(index string)
	// Adjust is called at regular times.
	Adjust(at time.Time)
}

// adaptiveHedger hedges after the 95th percentile of the index's latency.
type adaptiveHedger Table

const hedgeQuantile = 0.95

// Delay implements hedger.
func (h *adaptiveHedger) Delay(index string) (time.Duration, bool) {
	histogram, ok := h.latency[index]
	if !ok {
		return 0, false
	}
	return histogram.Quantile(hedgeQuantile)
}

// neverHedger is the plain policy.
type neverHedger struct{}

// Delay implements hedger.
func (neverHedger) Delay(string) (time.Duration, bool) { return 0, false }

// openGuard is the plain policy: every request runs at once.
type openGuard struct{}

// Judge implements guard.
func (openGuard) Judge(time.Time, model.Fingerprint) crash.Verdict { return crash.Free }

// Hold implements guard.
func (openGuard) Hold(time.Time, model.Fingerprint) bool { return false }

// Unproven implements guard.
func (openGuard) Unproven(time.Time, model.Fingerprint) []model.UpstreamID { return nil }

// Enter implements guard.
func (openGuard) Enter(model.Fingerprint) bool { return true }

// Exit implements guard.
func (openGuard) Exit(model.Fingerprint) {}

// Answered implements guard.
func (openGuard) Answered(time.Time, model.Fingerprint) {}

// Reset implements guard.
func (openGuard) Reset(time.Time, model.Fingerprint, model.UpstreamID, bool) bool { return false }

// Reported implements guard.
func (openGuard) Reported(time.Time, model.UpstreamID, bool) []event.CrashReport { return nil }

// Struck implements guard.
func (openGuard) Struck(time.Time, event.CrashReport) {}

// Sweep implements guard.
func (openGuard) Sweep(time.Time) []model.Fingerprint { return nil }

// fixedLimiter is the plain policy: only the contract limits the load.
type fixedLimiter struct{}

// Shed implements limiter.
func (fixedLimiter) Shed(string) {}

// Missed implements limiter.
func (fixedLimiter) Missed(string) {}

// Adjust implements limiter.
func (fixedLimiter) Adjust(time.Time) {}

// randomPicker is the plain policy: any usable replica.
type randomPicker struct {
	routes *route.Map
	random *rand.Rand
}

// Pick implements picker.
func (p *randomPicker) Pick(at time.Time, index string, version model.SnapshotVersion, shard int, exclude []model.UpstreamID) (route.Choice, bool) {
	ids := p.routes.Replicas(at, index, version, shard, exclude)
	if len(ids) == 0 {
		return route.Choice{}, false
	}
	u, _ := p.routes.Conns(ids[p.random.IntN(len(ids))])
	return route.Choice{Upstream: u}, true
}
