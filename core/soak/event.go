package soak

import (
	"time"
)

// Body is implemented by the event types of this package.
type Body interface{ isEvent() }

// RequestClass is a kind of request. Each has routes with a path prefix named after
// it.
type RequestClass int

// Request classes.
const (
	Sweep RequestClass = iota // queries all shards
	Fetch                     // may run several times
	Write                     // runs at most once
	Move                      // goes to a service that differs from change to change
	Added                     // goes to a route that exists only for some changes
)

// Request is one request of a caller.
type Request struct {
	ID     string // as stated by the caller
	VM     int    // VM that the caller sends it to
	Class  RequestClass
	Team   Team          // whose request it is
	Change int           // that added the route and the key of an Added request
	Digest uint64        // of its method, path and body
	Wait   time.Duration // how long the caller is willing to wait
	At     time.Time     // when the caller began to send it
}

// Run is an attempt that reached an upstream.
type Run struct {
	Receipt   string // identifies the run
	Upstream  int
	Service   string        // of the upstream that the request was intended for
	RequestID string        // as in Request
	Digest    uint64        // as in Request
	Wait      time.Duration // time left, as stated to the upstream
	Accepted  bool          // false when the upstream states that it does not run the request
	Records   []byte        // the upstream's answer
	Sender    int           // VM that sent it; -1 when it is not known
	Team      Team          // as stated to the upstream
	KeyPassed bool          // the caller's key was passed on
	Pause     time.Duration // that the upstream asked for; 0 for none
}

// Event types.
type (
	// Tick reports that time has passed.
	Tick struct{}

	// HarnessStalled reports that the soak test itself did not run since From, so
	// that nothing it observed late can be blamed on the fleet.
	HarnessStalled struct{ From time.Time }

	// ProcessExited reports the end of a VM's process.
	ProcessExited struct {
		VM    int
		Cause string // empty after exit status 0
	}

	// RequestSent reports that a caller sends a request.
	RequestSent struct{ Request }

	// CallerDisconnected reports that a caller closed its connection before the
	// answer.
	CallerDisconnected struct{ RequestID string }

	// AnswerReceived reports the answer to a request, or that the connection ended
	// without one.
	AnswerReceived struct {
		RequestID     string
		Status        int
		EchoedID      string   // request id in the answer
		Receipts      []string // of the runs whose results the answer holds
		MissingShards int      // number of shards without a result; -1 when unreadable
		Body          []byte
		ExtraBytes    int    // number of bytes received after the answer
		ConnError     string // error of a connection that ended without a complete answer; empty otherwise
	}

	// RequestArrived reports a request at an upstream, before it runs.
	RequestArrived struct{ Run }

	// RunEnded reports the end of a run.
	RunEnded struct {
		Receipt   string
		RequestID string
		Finished  bool // false when it was cancelled or the upstream crashed
	}

	// SubmissionResult reports the answer to a submitted document.
	SubmissionResult struct {
		Submission int // number of the submission
		Status     int // HTTP status
	}

	// ZoneResult reports that an order for a zone was acknowledged.
	ZoneResult struct {
		Zone int
		Out  bool
	}

	// DocumentRead reports a document that a VM returned to an operator.
	DocumentRead struct {
		VM         int
		AskedAt    time.Time // when the operator sent the request
		Submission int       // number of the submission with these bytes; -1 when there is none
	}

	// DrainListed reports that a VM was sent a list that shows these upstreams as
	// draining.
	DrainListed struct{ Drained []int }

	// HarnessFailed reports an error of the soak test itself.
	HarnessFailed struct{ Cause string }
)

func (Tick) isEvent()               {}
func (HarnessStalled) isEvent()     {}
func (ProcessExited) isEvent()      {}
func (RequestSent) isEvent()        {}
func (CallerDisconnected) isEvent() {}
func (AnswerReceived) isEvent()     {}
func (RequestArrived) isEvent()     {}
func (RunEnded) isEvent()           {}
func (SubmissionResult) isEvent()   {}
func (ZoneResult) isEvent()         {}
func (DocumentRead) isEvent()       {}
func (DrainListed) isEvent()        {}
func (HarnessFailed) isEvent()      {}
