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
	ID         string // upstream id; also the prefix of run ids
	Seed       uint64
	RunLogFile string // path of the run log file, which is appended to; empty for none
	Settings   Settings
	Forwarding *ForwardingConfig // nil for a stub that answers shard requests
}

// Settings is the part of the configuration that can change while a stub runs.
// A value in use is never modified.
type Settings struct {
	State             string        // one of the State constants; empty means StateActive
	Slots             int           // number of requests that run concurrently
	MaxQueued         int           // number of requests that may wait for a slot; further ones are rejected with status 429 or 503
	MaxConns          int           // limit of open connections; 0 means no limit
	DialCost          time.Duration // delay between accepting a connection and serving its first request
	MedianServiceTime time.Duration // median time to run a request
	ServiceTimeSigma  float64       // sigma of the log-normal service time
	SlowFactor        float64       // factor on every service time; 0 means 1
	RareFraction      float64       // fraction of the requests whose service time is multiplied by RareFactor
	RareFactor        float64
	WrongFraction     float64       // fraction of answers from another version or shard than requested, which the answer states
	ColdPeriod        time.Duration // after a start, time during which shard requests are answered with status 503 and the state cold
	WarmUpPeriod      time.Duration // after the cold period, time during which the factor on service times falls from WarmUpFactor to 1
	WarmUpFactor      float64
	RestartDelay      time.Duration  // time from a crash to the next start; 0 means no restart
	Pause             time.Duration  // for which forwarded requests are turned away, as their Retry-After states; 0 for none
	ReportAge         time.Duration  // age of the reported load and state
	FalseReport       *FalseReport   // reported instead of the true load and state; nil reports the truth
	Snapshots         []HeldSnapshot // snapshots that the stub has shards of
}

// Load is the load that a stub reports.
type Load struct {
	InFlight int `json:"inflight"` // requests running
	Queued   int `json:"queued"`   // requests waiting for a slot
	Slots    int `json:"slots"`    // requests that can run concurrently
}

// FalseReport is a false load and state that a stub reports.
type FalseReport struct {
	Load
	State string `json:"state"` // empty reports the true state
}

// HeldSnapshot describes the part of one snapshot that a stub holds.
type HeldSnapshot struct {
	Index      string `json:"index"`
	Version    uint64 `json:"version"`
	ShardCount int    `json:"shards"` // number of shards of the whole snapshot
	HeldShards []int  `json:"holds"`  // numbers of the shards that the stub holds
}

// validate returns an error for the first invalid setting.
func (s *Settings) validate() error {
	switch {
	case s.State != StateActive && s.State != StateCold && s.State != StateDrained:
		return fmt.Errorf("state must be active, cold or drained, not %q", s.State)
	case s.Slots < 1 || s.MaxQueued < 0 || s.MaxConns < 0:
		return fmt.Errorf("slots must be at least 1, queue and conns at least 0, not %d, %d and %d", s.Slots, s.MaxQueued, s.MaxConns)
	case s.ServiceTimeSigma < 0 || s.SlowFactor < 0 || s.RareFactor < 0 || s.WarmUpFactor < 0:
		return fmt.Errorf("spread, slow, rareby and warmby must not be negative: %v, %v, %v, %v",
			s.ServiceTimeSigma, s.SlowFactor, s.RareFactor, s.WarmUpFactor)
	case !(s.RareFraction >= 0 && s.RareFraction <= 1) || !(s.WrongFraction >= 0 && s.WrongFraction <= 1):
		return fmt.Errorf("rare and wrong must be fractions between 0 and 1, not %v and %v", s.RareFraction, s.WrongFraction)
	}
	for _, h := range s.Snapshots {
		if h.Index == "" || h.ShardCount < 1 || slices.ContainsFunc(h.HeldShards, func(n int) bool { return n < 0 || n >= h.ShardCount }) {
			return fmt.Errorf("held snapshot of index %q, version %d has shards outside 0 to %d", h.Index, h.Version, h.ShardCount-1)
		}
	}
	return nil
}

// heldSnapshot returns the snapshot that a request is for. It reports false when
// the stub does not hold the requested shard of it.
func (s *Settings) heldSnapshot(request shardRequest) (HeldSnapshot, bool) {
	for _, h := range s.Snapshots {
		if h.Index == request.index && h.Version == request.version && slices.Contains(h.HeldShards, request.shard) {
			return h, true
		}
	}
	return HeldSnapshot{}, false
}
