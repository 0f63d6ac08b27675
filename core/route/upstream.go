package route

import (
	"math"
	"slices"
	"time"

	"comfreypulley/core/model"
	"comfreypulley/core/retry"
)

// Parameters of the latency estimate, the load estimate and the limits.
const (
	latencyWeight       = 0.1                    // weight of a new sample in the average latency
	staleLatencyWeight  = 0.5                    // weight of a new sample after a pause of staleAfter
	staleAfter          = time.Second            // without a sample, after which the average latency is out of date
	excessHalfLife      = 3 * time.Second        // half-life of the excess latency of a replica without samples, see expectedLatency
	initialLatency      = 5 * time.Millisecond   // assumed before the first sample
	initialBackoff      = 100 * time.Millisecond // backoff after a failed connection; doubles with each further failure
	maxBackoffDoublings = 4                      // how often initialBackoff doubles at most
	shedFactor          = 0.5                    // factor on the attempt limit when the upstream sheds
	maxSlotMultiple     = 2                      // upper bound of the attempt limit, in multiples of the slots
	slowStartLength     = 5 * time.Second        // length of the slow start after a restart
	loadReportLifetime  = time.Second            // a load report of this age is ignored
	doubtWeight         = 0.1                    // weight of one answer in loadDoubt
	shorterTripWeight   = 0.5                    // weight of a probe round trip shorter than the average
	longerTripWeight    = 0.05                   // weight of a longer one
	refusalLifetime     = time.Minute            // a refusal overrides contradicting reports for this long
	extraProbeInterval  = 50 * time.Millisecond  // least time between extra probes of an upstream
	restartMissedProbes = 2                      // this many probes missed in a row show a restart; a single one may be lost
)

// Intervals between probes. Healthy upstreams are probed often enough to notice
// a drain within 2 s. The interval for one that is down starts at
// minDownProbeInterval and doubles with each missed probe.
const (
	healthyProbeInterval = 500 * time.Millisecond
	minDownProbeInterval = 100 * time.Millisecond
	maxDownProbeInterval = 1600 * time.Millisecond
)

// upstream is the state of one upstream.
type upstream struct {
	model.Upstream
	connLimit          int                  // connections that this traffic state may open
	attemptLimit       float64              // attempts in flight at most; adapts to answers and sheds
	inFlight           int                  // attempts
	openConns          int                  // connections opened since the upstream last failed or restarted
	avgLatency         time.Duration        // exponential moving average
	baseLatency        time.Duration        // slowly rising minimum of the latency
	backoffUntil       time.Time            // no attempts before
	pause              retry.Pause          // that it has asked for
	connFailures       int                  // failed connections in a row
	lastShed           time.Time            // when attemptLimit was last lowered
	lastAnswer         time.Time            // to an attempt
	lastSample         time.Time            // of avgLatency
	nextProbe          time.Time            // when it is due
	probeSentAt        time.Time            // when the last probe was sent; zero after its report
	missedProbes       int                  // probes in a row without a report
	reachable          bool                 // reported, and missed no probe since
	unreachableSince   time.Time            // when the first probe was missed; zero while reachable
	cold               bool                 // still starting, by its last report
	wasDown            bool                 // its next report begins a slow start
	draining           bool                 // by its own report or refusal
	drainRefusedAt     time.Time            // last refusal as draining that no report has confirmed; zero when none
	refusedShards      []refusedShard       // that reports still list
	lastExtraProbe     time.Time            // last probe that ExtraProbes returned
	slowStartAt        time.Time            // start of the slow start; zero before the first one
	load               model.Load           // last load report
	loadReportedAt     time.Time            // when it arrived; zero before the first one
	loadDoubt          float64              // how often load reports disagreed with latencies, 0 (never) to 1
	heldSnapshots      []model.HeldSnapshot // as last reported, without refused shards
	heldSnapshotsStale bool                 // the upstream has refused a shard that heldSnapshots lists
}

// snapshot identifies one version of one index.
type snapshot struct {
	index   string
	version model.SnapshotVersion
}

// refusedShard is a shard of a version that the upstream refused because it
// does not hold it.
type refusedShard struct {
	version model.SnapshotVersion
	shard   int
	at      time.Time
}

// recordDraining records whether a report says that the upstream drains.
// Reports may lag behind a refusal as draining, so one that says active is
// ignored until a report has confirmed the drain, the upstream has restarted,
// or refusalLifetime has passed.
func (u *upstream) recordDraining(at time.Time, reported bool) {
	if reported || u.missedProbes >= restartMissedProbes || at.Sub(u.drainRefusedAt) >= refusalLifetime {
		u.drainRefusedAt = time.Time{}
	}
	u.draining = reported || !u.drainRefusedAt.IsZero()
}

// recordRefusedShard records that the upstream refused a shard because it does
// not hold it.
func (u *upstream) recordRefusedShard(at time.Time, version model.SnapshotVersion, shard int) {
	u.refusedShards = append(u.refusedShards, refusedShard{version: version, shard: shard, at: at})
}

// withoutRefused returns the reported snapshots without refused shards, since
// reports may lag behind refusals. A refusal is forgotten once a report does
// not list its shard, or after refusalLifetime.
func (u *upstream) withoutRefused(at time.Time, reported []model.HeldSnapshot) []model.HeldSnapshot {
	if len(u.refusedShards) == 0 {
		return reported
	}
	u.refusedShards = slices.DeleteFunc(u.refusedShards, func(refused refusedShard) bool {
		return at.Sub(refused.at) >= refusalLifetime || !slices.ContainsFunc(reported, func(h model.HeldSnapshot) bool {
			return h.Version == refused.version && slices.Contains(h.HeldShards, refused.shard)
		})
	})
	list := slices.Clone(reported)
	for i, h := range list {
		list[i].HeldShards = slices.DeleteFunc(slices.Clone(h.HeldShards), func(shard int) bool {
			return slices.ContainsFunc(u.refusedShards, func(refused refusedShard) bool {
				return refused.version == h.Version && refused.shard == shard
			})
		})
	}
	return list
}

// live reports whether the upstream serves queries, apart from short backoffs.
func (u *upstream) live() bool {
	return u.State == model.StateActive && !u.draining && u.reachable && !u.cold && u.connLimit > 0
}

// usable reports whether the upstream is live, not backed off and not in a pause.
func (u *upstream) usable(at time.Time) bool {
	return u.live() && u.unusableFor(at) == 0
}

// unusableFor returns the time until the end of the backoff and the pause.
func (u *upstream) unusableFor(at time.Time) time.Duration {
	return max(0, u.backoffUntil.Sub(at), u.pause.Left(at))
}

// hasCapacity reports whether the limits allow another attempt.
func (u *upstream) hasCapacity(at time.Time) bool {
	return u.inFlight < max(1, int(u.attemptLimit)) && u.inFlight < u.pause.Room(at, u.connLimit)
}

// obstacle returns why the upstream gets no attempt now, or "".
func (u *upstream) obstacle(at time.Time) model.Obstacle {
	switch {
	case u.State != model.StateActive:
		return model.ObstacleState
	case u.draining:
		return model.ObstacleLeaving
	case !u.live():
		return model.ObstacleUnreached
	case u.pause.Left(at) > 0:
		return model.ObstaclePause
	case !u.usable(at):
		return model.ObstacleBackoff
	case !u.hasCapacity(at):
		return model.ObstacleBusy
	default:
		return ""
	}
}

// probeInterval returns the time until the next probe.
func (u *upstream) probeInterval() time.Duration {
	if u.reachable && u.connFailures == 0 {
		return healthyProbeInterval
	}
	return min(minDownProbeInterval<<min(u.missedProbes, 8), maxDownProbeInterval)
}

// beginSlowStart begins a slow start, with one attempt in flight at most.
func (u *upstream) beginSlowStart(at time.Time) {
	u.slowStartAt = at
	u.openConns = 0
	u.attemptLimit = 1
}

// cost estimates the duration of an attempt that starts now: the expected
// latency times the load per slot, the time to open a connection, and the
// distance of the zone. A slow start raises it up to 20 times.
func (u *upstream) cost(at time.Time, lowest, distance time.Duration) time.Duration {
	busy := float64(u.inFlight) + u.loadTrust(at)*float64(max(0, u.load.InFlight-u.inFlight)+u.load.Queued)
	cost := float64(u.expectedLatency(at, lowest)) * u.slowdown(at) * (busy + 1) / float64(max(1, u.Slots))
	if u.inFlight >= u.openConns {
		cost += float64(u.DialCost)
	}
	cost += float64(distance)
	if ramp := at.Sub(u.slowStartAt); !u.slowStartAt.IsZero() && ramp < slowStartLength {
		cost *= float64(slowStartLength) / float64(ramp+slowStartLength/20)
	}
	return time.Duration(cost)
}

// slowdown returns how much longer than usual work takes now, as far as the last load
// report is believed.
func (u *upstream) slowdown(at time.Time) float64 {
	if u.load.Slowdown <= 0 {
		return 1
	}
	return 1 + (u.load.Slowdown-1)*u.loadTrust(at)
}

// expectedLatency returns the average latency. Without samples, its excess over
// lowest, the lowest average of the shard's replicas, decays with a half-life of
// excessHalfLife, so that a replica that was slow is tried again.
func (u *upstream) expectedLatency(at time.Time, lowest time.Duration) time.Duration {
	idle := at.Sub(u.lastSample)
	if u.avgLatency <= lowest || idle < staleAfter || u.lastSample.IsZero() {
		return u.avgLatency
	}
	excess := float64(u.avgLatency-lowest) * math.Exp2(-float64(idle-staleAfter)/float64(excessHalfLife))
	return lowest + time.Duration(excess)
}

// loadTrust returns the weight of the last load report, 0 to 1.
func (u *upstream) loadTrust(at time.Time) float64 {
	age := at.Sub(u.loadReportedAt)
	if u.loadReportedAt.IsZero() || age >= loadReportLifetime {
		return 0
	}
	return (1 - float64(age)/float64(loadReportLifetime)) * (1 - u.loadDoubt)
}

// recordLoad records a load report.
func (u *upstream) recordLoad(at time.Time, load model.Load) {
	u.load = load
	u.loadReportedAt = at
}

// recordAnswer records the latency of an answer, and raises the attempt limit
// if it was reached.
func (u *upstream) recordAnswer(at time.Time, latency time.Duration) {
	u.checkLoadReport(at, latency)
	u.observeLatency(at, latency)
	u.lastAnswer = at
	u.connFailures = 0
	if u.inFlight+1 >= int(u.attemptLimit) {
		maxLimit := float64(min(u.connLimit, maxSlotMultiple*max(1, u.Slots)))
		u.attemptLimit = min(u.attemptLimit+1/max(1, u.attemptLimit), max(1, maxLimit))
	}
}

// checkLoadReport checks the last load report against a latency. With n times
// as many requests as slots, an answer should take about n times the base
// latency; a deviation by more than a factor of 4 raises the doubt about load
// reports.
func (u *upstream) checkLoadReport(at time.Time, latency time.Duration) {
	if u.baseLatency == 0 || latency < u.baseLatency {
		u.baseLatency = latency
	} else {
		u.baseLatency += u.baseLatency / 100
	}
	if u.loadReportedAt.IsZero() || at.Sub(u.loadReportedAt) >= loadReportLifetime {
		return
	}
	work := float64(u.load.InFlight+u.load.Queued+1) / float64(max(1, u.Slots))
	ratio := float64(latency) / (float64(u.baseLatency) * max(1, work))
	if ratio > 4 || ratio < 0.25 {
		u.loadDoubt += doubtWeight * (1 - u.loadDoubt)
		return
	}
	u.loadDoubt -= doubtWeight * u.loadDoubt
}

// observeLatency adds a sample to the average latency.
func (u *upstream) observeLatency(at time.Time, latency time.Duration) {
	weight := latencyWeight
	if !u.lastSample.IsZero() && at.Sub(u.lastSample) > staleAfter {
		weight = staleLatencyWeight
	}
	u.lastSample = at
	if u.avgLatency == 0 {
		u.avgLatency = initialLatency
	}
	u.avgLatency += time.Duration(weight * float64(latency-u.avgLatency))
}

// recordShed lowers the attempt limit, at most once per average latency, so
// that the attempts of one overload count as one.
func (u *upstream) recordShed(at time.Time) {
	if at.Sub(u.lastShed) < u.avgLatency {
		return
	}
	u.lastShed = at
	u.attemptLimit = max(1, u.attemptLimit*shedFactor)
}
