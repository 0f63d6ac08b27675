package proxy

import (
	"time"

	"comfreypulley/core/model"
	"comfreypulley/core/retry"
)

// How long an answer on a route usually takes.
const (
	typicalGain   = 0.05
	typicalCap    = 4    // a latency counts for at most this many typical ones
	firstTypical  = 8    // part of the objective assumed before the first answer
	hedgeQuantile = 0.9  // of the latencies, after which a second attempt is worth its load
	firstHedge    = 4    // part of the objective used before the quantile is known
	latestHedge   = 2.5  // part of the objective after which a hedge comes too late
	singleHedge   = 0.95 // quantile for a request to one upstream
)

// pace is what is known of the latencies on a route.
type pace struct {
	typical time.Duration
	seen    retry.Histogram
}

func (p *pace) add(latency time.Duration) {
	p.seen.Add(latency)
	if p.typical == 0 {
		p.typical = latency
		return
	}
	latency = min(latency, typicalCap*p.typical)
	p.typical += time.Duration(typicalGain * float64(latency-p.typical))
}

func (p *pace) expected(r *model.Route) time.Duration {
	if p.typical > 0 {
		return p.typical
	}
	return objective(r) / firstTypical
}

// hedge returns how long an attempt may take before it is hedged.
func (p *pace) hedge(r *model.Route) time.Duration {
	q := hedgeQuantile
	if len(r.Shards) == 0 {
		q = singleHedge
	}
	delay, ok := p.seen.Quantile(q)
	if !ok {
		delay = objective(r) / firstHedge
	}
	return min(delay, time.Duration(float64(objective(r))/latestHedge))
}

// objective returns the latency objective of a route, or a part of its timeout
// when it has none.
func objective(r *model.Route) time.Duration {
	const part = 4
	if r.Objective > 0 {
		return r.Objective
	}
	return r.Timeout / part
}
