package serve

import (
	"expvar"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"comfreypulley/core/effect"
	"comfreypulley/core/model"
)

// Counters are the expvar counters of one VM, by group and reason.
type Counters struct {
	mu     sync.Mutex
	groups map[effect.Counter]*expvar.Map
	times  map[string]*hdrhistogram.Histogram // latencies by outcome, in microseconds
}

// Bounds of the latency histograms, in microseconds, and their precision.
const (
	leastLatency  = 1
	mostLatency   = 60_000_000
	latencyDigits = 2
)

// Latency adds to the latency histogram of an outcome.
func (c *Counters) Latency(outcome string, took time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	h, ok := c.times[outcome]
	if !ok {
		if c.times == nil {
			c.times = make(map[string]*hdrhistogram.Histogram)
		}
		h = hdrhistogram.New(leastLatency, mostLatency, latencyDigits)
		c.times[outcome] = h
	}
	_ = h.RecordValue(min(max(took.Microseconds(), leastLatency), mostLatency)) // within the bounds
}

// latencies returns the quantiles of the histograms, in microseconds. The
// caller holds mu.
func (c *Counters) latencies() *expvar.Map {
	all := new(expvar.Map)
	for outcome, h := range c.times {
		quantiles := new(expvar.Map)
		quantiles.Add("count", h.TotalCount())
		for name, q := range map[string]float64{"p50": 50, "p90": 90, "p99": 99, "p999": 99.9} {
			quantiles.Add(name, h.ValueAtQuantile(q))
		}
		all.Set(outcome, quantiles)
	}
	return all
}

// newCounters returns counters in which every known reason is present with 0.
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

// Add adds to a counter.
func (c *Counters) Add(e effect.Count) {
	c.group(e.Counter).Add(e.Reason, e.N)
}

// Share adds a group that another part counts in.
func (c *Counters) Share(name effect.Counter, group *expvar.Map) {
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
	if len(c.times) > 0 {
		all.Set("latency", c.latencies())
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
