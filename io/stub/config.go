package stub

import (
	"fmt"
	"slices"
	"time"
)

// States of a stand-in.
const (
	StateActive  = "active"
	StateCold    = "cold"
	StateDrained = "drained"
)

// Config describes a stand-in.
type Config struct {
	ID       string // appears in run ids
	Seed     uint64
	Log      string // file that the run log is appended to; empty writes none
	Settings Settings
	Routed   *Routed // nil for a stand-in of shard requests
}

// Settings are what can be changed while a stand-in runs. A value in use is
// never modified.
type Settings struct {
	State   string        // active, cold or drained; empty means active
	Slots   int           // requests run at once
	Queue   int           // requests that wait for a slot; more are shed
	Conns   int           // connections accepted at once; 0 means no cap
	Dial    time.Duration // from accepting a connection to its first request
	Service time.Duration // median time to run a request
	Spread  float64       // sigma of the log-normal service time
	Slow    float64       // factor on every service time; 0 means 1
	Rare    float64       // share of requests that take RareBy times as long
	RareBy  float64
	Wrong   float64       // share of answers from another version or shard than asked, and stated as such
	Cold    time.Duration // after a start, requests get 503 cold
	Warm    time.Duration // after the cold time, requests take WarmBy times as long, falling to 1
	WarmBy  float64
	Restart time.Duration // from a crash to the next start; 0 means never
	Lag     time.Duration // age of the loads and reports it gives
	Lie     *Lie          // given instead of the true load and state
	Holds   []Holding
}

// Load is what a stand-in reports of its own load.
type Load struct {
	Inflight int `json:"inflight"`
	Queued   int `json:"queued"`
	Slots    int `json:"slots"`
}

// Lie is what a stand-in reports whatever is true.
type Lie struct {
	Load
	State string `json:"state"` // empty gives the true state in reports
}

// Holding is a version with the shards that the stand-in has.
type Holding struct {
	Index   string `json:"index"`
	Version uint64 `json:"version"`
	Shards  int    `json:"shards"`
	Shard   []int  `json:"holds"`
}

// check reports the first unusable value.
func (s *Settings) check() error {
	switch {
	case s.State != StateActive && s.State != StateCold && s.State != StateDrained:
		return fmt.Errorf("state must be active, cold or drained, not %q", s.State)
	case s.Slots < 1 || s.Queue < 0 || s.Conns < 0:
		return fmt.Errorf("needs slots of at least 1, queue and conns of at least 0, not %d, %d and %d", s.Slots, s.Queue, s.Conns)
	case s.Spread < 0 || s.Slow < 0 || s.RareBy < 0 || s.WarmBy < 0:
		return fmt.Errorf("spread, slow, rareby and warmby must not be negative: %v, %v, %v, %v", s.Spread, s.Slow, s.RareBy, s.WarmBy)
	case !(s.Rare >= 0 && s.Rare <= 1) || !(s.Wrong >= 0 && s.Wrong <= 1):
		return fmt.Errorf("rare and wrong must be shares between 0 and 1, not %v and %v", s.Rare, s.Wrong)
	}
	for _, h := range s.Holds {
		if h.Index == "" || h.Shards < 1 || slices.ContainsFunc(h.Shard, func(n int) bool { return n < 0 || n >= h.Shards }) {
			return fmt.Errorf("holding of index %q, version %d has shards outside 0 to %d", h.Index, h.Version, h.Shards-1)
		}
	}
	return nil
}

// holding returns the holding that has a shard of a version.
func (s *Settings) holding(sub subrequest) (Holding, bool) {
	for _, h := range s.Holds {
		if h.Index == sub.index && h.Version == sub.version && slices.Contains(h.Shard, sub.shard) {
			return h, true
		}
	}
	return Holding{}, false
}
