package proxy

import (
	"time"

	"comfreypulley/core/model"
	"comfreypulley/core/retry"
)

// How long an answer on a route usually takes.
const (
	typicalGain  = 0.05
	typicalCap   = 4    // a latency counts for at most this many typical ones
	firstTypical = 8    // part of the objective assumed before the first answer
	lateHedge    = 0.95 // quantile of the latencies after which an attempt is hedged when few extra attempts are left
	earlyHedge   = 0.87 // the same when the allowance is full, since it cannot be saved up
	firstWait    = 4    // part of the objective after which the first frame of a portion leaves before the quantile is known
	latestHedge  = 2.5  // part of the objective after which a hedge comes too late; also used before the quantile is known, when this VM itself is slow
	singleHedge  = 0.95 // quantile for a request to one upstream
)

// pace is what is known of the latencies on a route.
type pace struct {
	typical time.Duration
	seen    retry.Histogram
	fresh   int           // latencies since the hedge delays were computed
	late    time.Duration // hedge delay when few extra attempts are left; 0 while not known
	early   time.Duration // hedge delay when the allowance is full
	most    time.Duration // within which most answers come, for the first frame of a portion
}

// refresh is how many latencies pass between two computations of the delays.
const refresh = 32

func (p *pace) add(r *model.Route, latency time.Duration) {
	p.seen.Add(latency)
	if p.fresh++; p.fresh >= refresh || p.late == 0 {
		p.fresh = 0
		p.delays(r)
	}
	if p.typical == 0 {
		p.typical = latency
		return
	}
	latency = min(latency, typicalCap*p.typical)
	p.typical += time.Duration(typicalGain * float64(latency-p.typical))
}

// delays computes the hedge delays.
func (p *pace) delays(r *model.Route) {
	late, early := lateHedge, earlyHedge
	if len(r.Shards) == 0 {
		late, early = singleHedge, singleHedge
	}
	d, ok := p.seen.Quantile(late)
	if !ok {
		return
	}
	p.late = d
	p.early, _ = p.seen.Quantile(early)
	p.most, _ = p.seen.Quantile(firstFrame)
}

func (p *pace) expected(r *model.Route) time.Duration {
	if p.typical > 0 {
		return p.typical
	}
	return objective(r) / firstTypical
}

// hedge returns how long an attempt may take before it is hedged, when a share
// of the allowance for extra attempts is left.
func (p *pace) hedge(r *model.Route, left float64) time.Duration {
	latest := time.Duration(float64(objective(r)) / latestHedge)
	if p.late == 0 {
		return latest
	}
	return min(latest, p.late-time.Duration(left*float64(p.late-p.early)))
}

// first returns how long the first frame of a portion waits for answers.
func (p *pace) first(r *model.Route) time.Duration {
	if p.most > 0 {
		return p.most
	}
	return objective(r) / firstWait
}

// objective returns the latency objective of a route, or a part of its timeout
// when it has none.
func objective(r *model.Route) time.Duration {
	const part = 4
	if r.TargetLatency > 0 {
		return r.TargetLatency
	}
	return r.Timeout / part
}
