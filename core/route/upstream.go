package route

import (
	"math"
	"slices"
	"time"

	"comfreypulley/core/model"
)

// Tuning of load estimates and limits.
const (
	latencyDecay   = 0.1                    // weight of a new latency in the average
	staleDecay     = 0.5                    // weight after a pause, when the average says little
	staleAfter     = time.Second            // length of such a pause
	forgetHalf     = 3 * time.Second        // half-life of the excess latency of a replica without attempts
	firstLatency   = 5 * time.Millisecond   // assumed before any answer
	downFor        = 100 * time.Millisecond // no new attempt after a refused connection; doubles up to maxDownShift times
	maxDownShift   = 4
	maxRetryAfter  = 5 * time.Second       // a longer Retry-After is cut, since upstreams can mislead
	limitDecrease  = 0.5                   // on shed
	limitSlots     = 2                     // attempts in flight at most, in slots
	slowStart      = 5 * time.Second       // ramp of a cold upstream
	reportTrustFor = time.Second           // age at which a report counts for nothing
	doubtStep      = 0.1                   // change of the doubt in reports per answer
	tripShorter    = 0.5                   // weight of a shorter probe round trip
	tripLonger     = 0.05                  // weight of a longer one
	refusalFor     = time.Minute           // a refusal outweighs reports that never confirm it for this long
	leastAsk       = 50 * time.Millisecond // between probes that refusals cause
	restartMisses  = 2                     // probes missed in a row that show a restart rather than a lost probe
)

// Periods of probes. A healthy upstream is probed often enough for a drain to
// be seen within 2 s; one that is down less and less often.
const (
	probeHealthy = 500 * time.Millisecond
	probeDown    = 100 * time.Millisecond
	maxProbeDown = 1600 * time.Millisecond
)

// upstream is what a traffic state knows of one upstream.
type upstream struct {
	model.Upstream
	conns      int     // share of the connection cap
	limit      float64 // attempts in flight at most
	inflight   int
	warm       int // open connections as far as known
	latency    time.Duration
	base       time.Duration // decaying minimum of the latency
	downUntil  time.Time
	failures   int // failed connections in a row
	shedAt     time.Time
	answeredAt time.Time
	observedAt time.Time
	probeAt    time.Time // when the next probe is due
	probed     time.Time // when the probe in flight was sent
	misses     int       // probes without a report in a row
	reachable  bool
	cold       bool
	wasDown    bool      // starts slowly when it returns
	leaving    bool      // by its own report or answer
	refusedAt  time.Time // last refusal as drained that no report has confirmed; zero when none
	denied     []denial  // shards refused that reports still list
	askedAt    time.Time // last probe that a refusal caused
	coldSince  time.Time
	load       model.Load
	loadAt     time.Time
	doubt      float64 // how far past reports were off, 0 to 1
	holds      []model.HeldSnapshot
	stale      bool // holds misses what the upstream said since
}

// snapshot names one version of one index.
type snapshot struct {
	index   string
	version model.SnapshotVersion
}

// denial is a shard of a version that the upstream refused as not held.
type denial struct {
	version model.SnapshotVersion
	shard   int
	at      time.Time
}

// drained takes over what a report says about leaving. A report that lags
// behind a refusal as drained says active. It counts again after a report said
// drained as well, after a restart, or when the refusal is old.
func (u *upstream) drained(at time.Time, reported bool) {
	if reported || u.misses >= restartMisses || at.Sub(u.refusedAt) >= refusalFor {
		u.refusedAt = time.Time{}
	}
	u.leaving = reported || !u.refusedAt.IsZero()
}

// deny notes that the upstream refused a shard as not held.
func (u *upstream) deny(at time.Time, version model.SnapshotVersion, shard int) {
	u.denied = append(u.denied, denial{version: version, shard: shard, at: at})
}

// allowed returns a report's holdings without the shards that were refused. A
// refusal is forgotten once a report no longer lists its shard.
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

// live reports whether the upstream takes part in answering queries.
func (u *upstream) live() bool {
	return u.State == model.StateActive && !u.leaving && u.reachable && !u.cold && u.conns > 0
}

// usable reports whether the upstream may get new attempts.
func (u *upstream) usable(at time.Time) bool {
	return u.live() && !at.Before(u.downUntil)
}

// free reports whether another attempt is within the limits.
func (u *upstream) free() bool {
	return u.inflight < max(1, int(u.limit)) && u.inflight < u.conns
}

// probeEvery is the time until the next probe.
func (u *upstream) probeEvery() time.Duration {
	if u.reachable && u.failures == 0 {
		return probeHealthy
	}
	return min(probeDown<<min(u.misses, 8), maxProbeDown)
}

// restart begins the slow start.
func (u *upstream) restart(at time.Time) {
	u.coldSince = at
	u.warm = 0
	u.limit = 1
}

// cost estimates how long an attempt takes that starts now.
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

// expected is the average latency. What it exceeds the other replicas by is
// forgotten slowly while there are no attempts, so that a recovered replica is
// noticed.
func (u *upstream) expected(at time.Time, floor time.Duration) time.Duration {
	idle := at.Sub(u.observedAt)
	if u.latency <= floor || idle < staleAfter || u.observedAt.IsZero() {
		return u.latency
	}
	excess := float64(u.latency-floor) * math.Exp2(-float64(idle-staleAfter)/float64(forgetHalf))
	return floor + time.Duration(excess)
}

// trust is the weight of the last load report, 0 to 1.
func (u *upstream) trust(at time.Time) float64 {
	age := at.Sub(u.loadAt)
	if u.loadAt.IsZero() || age >= reportTrustFor {
		return 0
	}
	return (1 - float64(age)/float64(reportTrustFor)) * (1 - u.doubt)
}

// report takes over a load report.
func (u *upstream) report(at time.Time, load model.Load) {
	u.load = load
	u.loadAt = at
}

// answered takes over the latency of an answer and raises the limit when it is
// what holds attempts back.
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

// compare checks the last load report against a latency: with twice the work in
// hand than slots an answer takes about twice as long.
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

// observe takes over a latency into the average.
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

// shed lowers the limit, once for the attempts that were in flight together.
func (u *upstream) shed(at time.Time) {
	if at.Sub(u.shedAt) < u.latency {
		return
	}
	u.shedAt = at
	u.limit = max(1, u.limit*limitDecrease)
}
