package event

import (
	"time"

	"comfreypulley/core/model"
)

// Answered is a complete answer of an attempt.
type Answered struct {
	Attempt model.AttemptID
	Version model.Version // as stated by the upstream
	Shards  int           // as stated by the upstream
	Shard   int           // as stated by the upstream
	Items   []model.Item
	Load    *model.Load // nil when the upstream did not report
	Fresh   bool        // a new connection was made for the attempt
}

// Failed is the end of an attempt without an answer.
type Failed struct {
	Attempt model.AttemptID
	Reason  model.Failure
	Ran     model.Ran
	After   time.Duration // Retry-After, 0 when not stated
	Load    *model.Load   // nil when the upstream did not report
	Fresh   bool          // a new connection was made for the attempt
}

// Reported is the result of a probe. With Reachable unset only Upstream counts.
type Reported struct {
	Upstream  model.UpstreamID
	Reachable bool
	Draining  bool
	Cold      bool
	Load      model.Load
	Conns     int
	Holdings  []model.Holding
}

func (Answered) body() {}
func (Failed) body()   {}
func (Reported) body() {}
