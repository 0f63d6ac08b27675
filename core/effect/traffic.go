package effect

import (
	"net/netip"
	"time"

	"comfreypulley/core/model"
)

// Send starts an attempt on an upstream. Its end comes back as event.AnswerReceived
// or event.AttemptFailed, exactly once, also after Cancel.
type Send struct {
	Attempt       model.AttemptID
	Request       model.RequestID
	AttemptNumber int // attempts of this shard so far, from 1
	Upstream      model.UpstreamID
	Addr          netip.AddrPort
	Path          model.Path
	Index         string
	Version       model.SnapshotVersion
	Shard         int
	Body          []byte
	Timeout       time.Duration
	Key           model.Key // zero for an idempotent request
}

// Cancel ends an attempt early.
type Cancel struct{ Attempt model.AttemptID }

// Probe asks an upstream for its report. The result is event.ProbeResult.
type Probe struct {
	Upstream model.UpstreamID
	Addr     netip.AddrPort
	Timeout  time.Duration
}

// LimitConns sets how many connections may be open to an upstream. A limit of 0
// closes all of them.
type LimitConns struct {
	Upstream model.UpstreamID
	Addr     netip.AddrPort
	Conns    int
}

// SendAnswer answers a caller's request.
type SendAnswer struct{ Answer model.Answer }

// Refuse refuses a caller's request.
type Refuse struct{ Rejection model.Rejection }

// Charge writes one line of the usage log.
type Charge struct {
	Request  model.RequestID
	Customer string
	Class    string
	Price    int64
	At       time.Time
}

// Count adds to a counter of a reason.
type Count struct {
	Counter Counter
	Reason  string
	N       int64
}

// Counter names a group of counters.
type Counter string

// Counter groups.
const (
	CountAttempts Counter = "attempts" // by kind: first, retry, hedge, canary
	CountRefused  Counter = "refused"  // by model.RefusalReason
	CountRetried  Counter = "retried"  // by model.FailureReason
	CountFailed   Counter = "failed"   // by model.FailureReason
	CountServed   Counter = "served"   // by class
	CountCharged  Counter = "charged"  // by customer, in thousandths
	CountControl  Counter = "control"  // control events by kind
)

// Ready tells the balancer's check whether the VM takes requests.
type Ready struct{ Ready bool }

func (Send) effect()       {}
func (Cancel) effect()     {}
func (Probe) effect()      {}
func (LimitConns) effect() {}
func (SendAnswer) effect() {}
func (Refuse) effect()     {}
func (Charge) effect()     {}
func (Count) effect()      {}
func (Ready) effect()      {}
