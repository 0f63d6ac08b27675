package serve

import (
	"expvar"
	"sync"

	"comfreypulley/core/effect"
	"comfreypulley/core/model"
)

// Counters are the expvar counters of one VM, by group and reason.
type Counters struct {
	mu     sync.Mutex
	groups map[effect.Counter]*expvar.Map
}

// newCounters returns counters in which every known reason is present with 0.
func newCounters() *Counters {
	c := &Counters{groups: make(map[effect.Counter]*expvar.Map)}
	for _, reason := range model.Refusals() {
		c.Add(effect.Count{Counter: effect.CountRefused, Reason: string(reason)})
	}
	for _, reason := range model.Failures() {
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
