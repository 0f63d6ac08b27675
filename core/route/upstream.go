package route

import (
	"time"

	"comfreypulley/core/model"
)

// Tuning of load estimates and limits.
const (
	latencyDecay   = 0.1                    // weight of a new latency in the average
	firstLatency   = 5 * time.Millisecond   // assumed before any answer
	downFor        = 250 * time.Millisecond // no new attempt after a refused connection
	limitDecrease  = 0.5                    // on shed
	slowStart      = 5 * time.Second        // ramp of a cold upstream
	reportTrustFor = time.Second            // age at which a report counts for nothing
)

// upstream is what a traffic state knows of one upstream.
type upstream struct {
	model.Upstream
	conns     int     // share of the connection cap
	limit     float64 // attempts in flight at most
	inflight  int
	warm      int // open connections as far as known
	latency   time.Duration
	downUntil time.Time
	reachable bool
	leaving   bool // by its own report or answer
	coldSince time.Time
	load      model.Load
	loadAt    time.Time
	disagree  float64 // how far past reports were off, 0 to 1
	holds     map[snapshot]held
}

// snapshot names one version of one index.
type snapshot struct {
	index   string
	version model.Version
}

// held is what an upstream reports about one snapshot.
type held struct {
	shards int   // of the whole snapshot
	list   []int // shards this upstream holds
}

// usable reports whether the upstream may get new attempts.
func (u *upstream) usable(at time.Time) bool {
	return u.State == model.StateActive && !u.leaving && u.reachable && !at.Before(u.downUntil)
}

// free reports whether another attempt is within the limits.
func (u *upstream) free() bool {
	return u.inflight < max(1, int(u.limit)) && u.inflight < u.conns
}

// cost estimates how long an attempt takes that starts now.
func (u *upstream) cost(at time.Time, zone model.Zone, distance time.Duration) time.Duration {
	busy := float64(u.inflight) + u.trust(at)*float64(u.load.Inflight+u.load.Queued)
	cost := float64(u.latency) * (busy + 1) / float64(max(1, u.Slots))
	if u.inflight >= u.warm {
		cost += float64(u.Dial)
	}
	if u.Zone != zone {
		cost += float64(2 * distance)
	}
	if ramp := at.Sub(u.coldSince); !u.coldSince.IsZero() && ramp < slowStart {
		cost *= float64(slowStart) / float64(ramp+slowStart/20)
	}
	return time.Duration(cost)
}

// trust is the weight of the last load report, 0 to 1.
func (u *upstream) trust(at time.Time) float64 {
	age := at.Sub(u.loadAt)
	if u.loadAt.IsZero() || age >= reportTrustFor {
		return 0
	}
	return (1 - float64(age)/float64(reportTrustFor)) * (1 - u.disagree)
}

// report takes over a load report.
func (u *upstream) report(at time.Time, load model.Load) {
	u.load = load
	u.loadAt = at
}

// observe takes over the latency of an answer and raises the limit.
func (u *upstream) observe(latency time.Duration) {
	if u.latency == 0 {
		u.latency = firstLatency
	}
	u.latency += time.Duration(latencyDecay * float64(latency-u.latency))
	u.limit = min(u.limit+1/max(1, u.limit), float64(u.conns))
}
