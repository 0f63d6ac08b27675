package event

import (
	"time"

	"comfreypulley/core/model"
)

// AnswerReceived is a complete answer of an attempt.
type AnswerReceived struct {
	Attempt    model.AttemptID
	Version    model.SnapshotVersion // as stated by the upstream
	ShardCount int                   // as stated by the upstream
	Shard      int                   // as stated by the upstream
	Items      []model.Item
	Load       *model.Load // nil when the upstream did not report
	NewConn    bool        // a new connection was made for the attempt
}

// AttemptFailed is the end of an attempt without an answer.
type AttemptFailed struct {
	Attempt    model.AttemptID
	Reason     model.FailureReason
	Ran        model.Ran
	RetryAfter time.Duration // Retry-After, 0 when not stated
	Load       *model.Load   // nil when the upstream did not report
	NewConn    bool          // a new connection was made for the attempt
}

// ProbeResult is the result of a probe. With Reachable unset only Upstream counts.
type ProbeResult struct {
	Upstream  model.UpstreamID
	Reachable bool
	Draining  bool
	Cold      bool
	Load      model.Load
	Conns     int
	Snapshots []model.HeldSnapshot
}

func (AnswerReceived) body() {}
func (AttemptFailed) body()  {}
func (ProbeResult) body()    {}
