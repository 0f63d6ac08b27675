package stub

import (
	"fmt"
	"slices"
	"time"
)

// States of a stub.
const (
	StateActive  = "active"
	StateCold    = "cold"
	StateDrained = "drained"
)

// Config configures a stub.
type Config struct {
	ID       string // upstream id; also the prefix of run ids
	Seed     uint64
	Log      string // path of the run log file, which is appended to; empty for none
	Settings Settings
	Routed   *Routed // nil for a stub that answers shard requests
}

// Settings is the part of the configuration that can change while a stub runs.
// A value in use is never modified.
type Settings struct {
	State   string        // one of the State constants; empty means StateActive
	Slots   int           // number of requests that run concurrently
	Queue   int           // number of requests that may wait for a slot; further ones are rejected with status 429 or 503
	Conns   int           // limit of open connections; 0 means no limit
	Dial    time.Duration // delay between accepting a connection and serving its first request
	Service time.Duration // median time to run a request
	Spread  float64       // sigma of the log-normal service time
	Slow    float64       // factor on every service time; 0 means 1
	Rare    float64       // fraction of the requests whose service time is multiplied by RareBy
	RareBy  float64
	Wrong   float64       // fraction of answers from another version or shard than requested, which the answer states
	Cold    time.Duration // after a start, time during which shard requests get status 503 and the state cold
	Warm    time.Duration // after the cold period, time during which the factor on service times falls from WarmBy to 1
	WarmBy  float64
	Restart time.Duration // time from a crash to the next start; 0 means no restart
	Lag     time.Duration // age of the reported load and state
	Lie     *Lie          // reported instead of the true load and state; nil reports the truth
	Holds   []Holding     // snapshots that the stub has shards of
}

// Load is the load that a stub reports.
type Load struct {
	Inflight int `json:"inflight"` // requests running
	Queued   int `json:"queued"`   // requests waiting for a slot
	Slots    int `json:"slots"`    // requests that can run concurrently
}

// Lie is a false load and state that a stub reports.
type Lie struct {
	Load
	State string `json:"state"` // empty reports the true state
}

// Holding describes the part of one snapshot that a stub holds.
type Holding struct {
	Index   string `json:"index"`
	Version uint64 `json:"version"`
	Shards  int    `json:"shards"` // number of shards of the whole snapshot
	Shard   []int  `json:"holds"`  // numbers of the shards that the stub holds
}

// validate returns an error for the first invalid setting.
func (s *Settings) validate() error {
	switch {
	case s.State != StateActive && s.State != StateCold && s.State != StateDrained:
		return fmt.Errorf("state must be active, cold or drained, not %q", s.State)
	case s.Slots < 1 || s.Queue < 0 || s.Conns < 0:
		return fmt.Errorf("slots must be at least 1, queue and conns at least 0, not %d, %d and %d", s.Slots, s.Queue, s.Conns)
	case s.Spread < 0 || s.Slow < 0 || s.RareBy < 0 || s.WarmBy < 0:
		return fmt.Errorf("spread, slow, rareby and warmby must not be negative: %v, %v, %v, %v", s.Spread, s.Slow, s.RareBy, s.WarmBy)
	case !(s.Rare >= 0 && s.Rare <= 1) || !(s.Wrong >= 0 && s.Wrong <= 1):
		return fmt.Errorf("rare and wrong must be fractions between 0 and 1, not %v and %v", s.Rare, s.Wrong)
	}
	for _, h := range s.Holds {
		if h.Index == "" || h.Shards < 1 || slices.ContainsFunc(h.Shard, func(n int) bool { return n < 0 || n >= h.Shards }) {
			return fmt.Errorf("held snapshot of index %q, version %d has shards outside 0 to %d", h.Index, h.Version, h.Shards-1)
		}
	}
	return nil
}

// heldSnapshot returns the snapshot that a request is for. It reports false when
// the stub does not hold the requested shard of it.
func (s *Settings) heldSnapshot(request shardRequest) (Holding, bool) {
	for _, h := range s.Holds {
		if h.Index == request.index && h.Version == request.version && slices.Contains(h.Shard, request.shard) {
			return h, true
		}
	}
	return Holding{}, false
}
