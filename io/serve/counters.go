package serve

import (
	"expvar"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"comfreypulley/core/effect"
	"comfreypulley/core/model"
)

// Counters holds the expvar counters of one VM, by group and reason, and latency
// histograms.
type Counters struct {
	mu         sync.Mutex
	groups     map[effect.Counter]*expvar.Map
	histograms map[string]*hdrhistogram.Histogram // latencies by outcome, in microseconds
}

// Range and precision of the latency histograms.
const (
	minLatencyMicros         = 1
	maxLatencyMicros         = 60_000_000
	latencySignificantDigits = 2
)

// RecordLatency adds a latency to the histogram of an outcome.
func (c *Counters) RecordLatency(outcome string, took time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	h, ok := c.histograms[outcome]
	if !ok {
		if c.histograms == nil {
			c.histograms = make(map[string]*hdrhistogram.Histogram)
		}
		h = hdrhistogram.New(minLatencyMicros, maxLatencyMicros, latencySignificantDigits)
		c.histograms[outcome] = h
	}
	_ = h.RecordValue(min(max(took.Microseconds(), minLatencyMicros), maxLatencyMicros)) // fails only outside the range
}

// latencyQuantiles returns the quantiles of the histograms, in microseconds. c.mu
// must be held.
func (c *Counters) latencyQuantiles() *expvar.Map {
	all := new(expvar.Map)
	for outcome, h := range c.histograms {
		quantiles := new(expvar.Map)
		quantiles.Add("count", h.TotalCount())
		for name, q := range map[string]float64{"p50": 50, "p90": 90, "p99": 99, "p999": 99.9} {
			quantiles.Add(name, h.ValueAtQuantile(q))
		}
		all.Set(outcome, quantiles)
	}
	return all
}

// newCounters returns counters with a 0 for every known reason.
func newCounters() *Counters {
	c := &Counters{groups: make(map[effect.Counter]*expvar.Map)}
	for _, reason := range model.RefusalReasons() {
		c.Add(effect.Count{Counter: effect.CountRefused, Reason: string(reason)})
	}
	for _, reason := range model.FailureReasons() {
		c.Add(effect.Count{Counter: effect.CountRetried, Reason: string(reason)})
		c.Add(effect.Count{Counter: effect.CountFailed, Reason: string(reason)})
	}
	return c
}

// Add increments a counter.
func (c *Counters) Add(e effect.Count) {
	c.group(e.Counter).Add(e.Reason, e.N)
}

// AddGroup adds a group that another package updates.
func (c *Counters) AddGroup(name effect.Counter, group *expvar.Map) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.groups[name] = group
}

// String returns all counters as one JSON object. It implements expvar.Var.
func (c *Counters) String() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	all := new(expvar.Map)
	for name, group := range c.groups {
		all.Set(string(name), group)
	}
	if len(c.histograms) > 0 {
		all.Set("latency", c.latencyQuantiles())
	}
	return all.String()
}

func (c *Counters) group(name effect.Counter) *expvar.Map {
	c.mu.Lock()
	defer c.mu.Unlock()
	group, ok := c.groups[name]
	if !ok {
		group = new(expvar.Map)
		c.groups[name] = group
	}
	return group
}
