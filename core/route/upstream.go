package route

import (
	"math"
	"slices"
	"time"

	"comfreypulley/core/model"
)

// Parameters of the latency estimate, the load estimate and the limits.
const (
	latencyDecay   = 0.1                    // weight of a new sample in the average latency
	staleDecay     = 0.5                    // weight of a new sample after a pause of staleAfter
	staleAfter     = time.Second            // without a sample, the average latency is out of date
	forgetHalf     = 3 * time.Second        // half-life of the excess latency of a replica without samples, see expected
	firstLatency   = 5 * time.Millisecond   // assumed before the first sample
	downFor        = 100 * time.Millisecond // backoff after a failed connection; doubles with each further failure
	maxDownShift   = 4                      // how often downFor doubles at most
	maxRetryAfter  = 5 * time.Second        // upper bound of the Retry-After that an upstream states, which may be wrong
	limitDecrease  = 0.5                    // factor on the attempt limit when the upstream sheds
	limitSlots     = 2                      // upper bound of the attempt limit, in multiples of the slots
	slowStart      = 5 * time.Second        // length of the slow start after a restart
	reportTrustFor = time.Second            // a load report of this age is ignored
	doubtStep      = 0.1                    // weight of one answer in the doubt about load reports
	tripShorter    = 0.5                    // weight of a probe round trip shorter than the average
	tripLonger     = 0.05                   // weight of a longer one
	refusalFor     = time.Minute            // a refusal overrides contradicting reports for this long
	leastAsk       = 50 * time.Millisecond  // least time between extra probes of an upstream
	restartMisses  = 2                      // this many probes missed in a row show a restart; a single one may be lost
)

// Periods of probes. Healthy upstreams are probed often enough to notice a drain
// within 2 s. The period for one that is down starts at probeDown and doubles
// with each missed probe.
const (
	probeHealthy = 500 * time.Millisecond
	probeDown    = 100 * time.Millisecond
	maxProbeDown = 1600 * time.Millisecond
)

// upstream is the state of one upstream.
type upstream struct {
	model.Upstream
	conns      int                  // connections that this traffic state may open
	limit      float64              // attempts in flight at most; adapts to answers and sheds
	inflight   int                  // attempts
	warm       int                  // connections opened since the upstream last failed or restarted
	latency    time.Duration        // moving average
	base       time.Duration        // slowly rising minimum of the latency
	downUntil  time.Time            // no attempts before
	failures   int                  // failed connections in a row
	shedAt     time.Time            // when the limit was last lowered
	answeredAt time.Time            // last answer
	observedAt time.Time            // last latency sample
	probeAt    time.Time            // when the next probe is due
	probed     time.Time            // when the last probe was sent; zero after its report
	misses     int                  // probes in a row without a report
	reachable  bool                 // reported, and missed no probe since
	cold       bool                 // still starting, by its last report
	wasDown    bool                 // its next report begins a slow start
	leaving    bool                 // draining, by its own report or refusal
	refusedAt  time.Time            // last refusal as drained that no report has confirmed; zero when none
	denied     []denial             // refused shards that reports still list
	askedAt    time.Time            // last extra probe
	coldSince  time.Time            // start of the slow start; zero before the first one
	load       model.Load           // last load report
	loadAt     time.Time            // when it arrived; zero before the first one
	doubt      float64              // how often load reports disagreed with latencies, 0 (never) to 1
	holds      []model.HeldSnapshot // as last reported, without refused shards
	stale      bool                 // the upstream refused a shard that holds lists
}

// snapshot identifies one version of one index.
type snapshot struct {
	index   string
	version model.SnapshotVersion
}

// denial is a shard of a version that the upstream refused because it does not
// hold it.
type denial struct {
	version model.SnapshotVersion
	shard   int
	at      time.Time
}

// drained records whether a report says that the upstream drains. Reports may
// lag behind a refusal as drained, so one that says active is ignored until a
// report has confirmed the drain, the upstream has restarted, or refusalFor has
// passed.
func (u *upstream) drained(at time.Time, reported bool) {
	if reported || u.misses >= restartMisses || at.Sub(u.refusedAt) >= refusalFor {
		u.refusedAt = time.Time{}
	}
	u.leaving = reported || !u.refusedAt.IsZero()
}

// deny records that the upstream refused a shard because it does not hold it.
func (u *upstream) deny(at time.Time, version model.SnapshotVersion, shard int) {
	u.denied = append(u.denied, denial{version: version, shard: shard, at: at})
}

// allowed returns the reported holdings without refused shards, since reports
// may lag behind refusals. A refusal is forgotten once a report does not list
// its shard, or after refusalFor.
func (u *upstream) allowed(at time.Time, reported []model.HeldSnapshot) []model.HeldSnapshot {
	if len(u.denied) == 0 {
		return reported
	}
	u.denied = slices.DeleteFunc(u.denied, func(d denial) bool {
		return at.Sub(d.at) >= refusalFor || !slices.ContainsFunc(reported, func(h model.HeldSnapshot) bool {
			return h.Version == d.version && slices.Contains(h.HeldShards, d.shard)
		})
	})
	list := slices.Clone(reported)
	for i, h := range list {
		list[i].HeldShards = slices.DeleteFunc(slices.Clone(h.HeldShards), func(shard int) bool {
			return slices.ContainsFunc(u.denied, func(d denial) bool { return d.version == h.Version && d.shard == shard })
		})
	}
	return list
}

// live reports whether the upstream serves queries, apart from short backoffs.
func (u *upstream) live() bool {
	return u.State == model.StateActive && !u.leaving && u.reachable && !u.cold && u.conns > 0
}

// usable reports whether the upstream is live and not backed off.
func (u *upstream) usable(at time.Time) bool {
	return u.live() && !at.Before(u.downUntil)
}

// free reports whether the limits allow another attempt.
func (u *upstream) free() bool {
	return u.inflight < max(1, int(u.limit)) && u.inflight < u.conns
}

// probeEvery returns the time until the next probe.
func (u *upstream) probeEvery() time.Duration {
	if u.reachable && u.failures == 0 {
		return probeHealthy
	}
	return min(probeDown<<min(u.misses, 8), maxProbeDown)
}

// restart begins a slow start, with one attempt in flight at most.
func (u *upstream) restart(at time.Time) {
	u.coldSince = at
	u.warm = 0
	u.limit = 1
}

// cost estimates the duration of an attempt that starts now: the expected
// latency times the load per slot, the time to open a connection, and the
// distance of the zone. A slow start raises it up to 20 times.
func (u *upstream) cost(at time.Time, floor, distance time.Duration) time.Duration {
	busy := float64(u.inflight) + u.trust(at)*float64(max(0, u.load.Inflight-u.inflight)+u.load.Queued)
	cost := float64(u.expected(at, floor)) * (busy + 1) / float64(max(1, u.Slots))
	if u.inflight >= u.warm {
		cost += float64(u.DialCost)
	}
	cost += float64(distance)
	if ramp := at.Sub(u.coldSince); !u.coldSince.IsZero() && ramp < slowStart {
		cost *= float64(slowStart) / float64(ramp+slowStart/20)
	}
	return time.Duration(cost)
}

// expected returns the average latency. Without samples, its excess over floor,
// the lowest average of the shard's replicas, decays with a half-life of
// forgetHalf, so that a replica that was slow is tried again.
func (u *upstream) expected(at time.Time, floor time.Duration) time.Duration {
	idle := at.Sub(u.observedAt)
	if u.latency <= floor || idle < staleAfter || u.observedAt.IsZero() {
		return u.latency
	}
	excess := float64(u.latency-floor) * math.Exp2(-float64(idle-staleAfter)/float64(forgetHalf))
	return floor + time.Duration(excess)
}

// trust returns the weight of the last load report, 0 to 1.
func (u *upstream) trust(at time.Time) float64 {
	age := at.Sub(u.loadAt)
	if u.loadAt.IsZero() || age >= reportTrustFor {
		return 0
	}
	return (1 - float64(age)/float64(reportTrustFor)) * (1 - u.doubt)
}

// report records a load report.
func (u *upstream) report(at time.Time, load model.Load) {
	u.load = load
	u.loadAt = at
}

// answered records the latency of an answer, and raises the attempt limit if it
// was reached.
func (u *upstream) answered(at time.Time, latency time.Duration) {
	u.compare(at, latency)
	u.observe(at, latency)
	u.answeredAt = at
	u.failures = 0
	if u.inflight+1 >= int(u.limit) {
		most := float64(min(u.conns, limitSlots*max(1, u.Slots)))
		u.limit = min(u.limit+1/max(1, u.limit), max(1, most))
	}
}

// compare checks the last load report against a latency. With n times as many
// requests as slots, an answer should take about n times the base latency; a
// deviation by more than a factor of 4 raises the doubt about load reports.
func (u *upstream) compare(at time.Time, latency time.Duration) {
	if u.base == 0 || latency < u.base {
		u.base = latency
	} else {
		u.base += u.base / 100
	}
	if u.loadAt.IsZero() || at.Sub(u.loadAt) >= reportTrustFor {
		return
	}
	work := float64(u.load.Inflight+u.load.Queued+1) / float64(max(1, u.Slots))
	ratio := float64(latency) / (float64(u.base) * max(1, work))
	if ratio > 4 || ratio < 0.25 {
		u.doubt += doubtStep * (1 - u.doubt)
		return
	}
	u.doubt -= doubtStep * u.doubt
}

// observe adds a sample to the average latency.
func (u *upstream) observe(at time.Time, latency time.Duration) {
	weight := latencyDecay
	if !u.observedAt.IsZero() && at.Sub(u.observedAt) > staleAfter {
		weight = staleDecay
	}
	u.observedAt = at
	if u.latency == 0 {
		u.latency = firstLatency
	}
	u.latency += time.Duration(weight * float64(latency-u.latency))
}

// shed lowers the attempt limit, at most once per average latency, so that the
// attempts of one overload count as one.
func (u *upstream) shed(at time.Time) {
	if at.Sub(u.shedAt) < u.latency {
		return
	}
	u.shedAt = at
	u.limit = max(1, u.limit*limitDecrease)
}
