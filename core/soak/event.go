package soak

import (
	"time"
)

// Body is implemented by the event types of this package.
type Body interface{ isEvent() }

// Class is a kind of request. Each has a route with a path prefix of its name.
type Class int

// Request classes.
const (
	Sweep Class = iota // queries all shards
	Fetch              // may run several times
	Write              // runs at most once
	Move               // goes to a service that differs from change to change
	Added              // goes to a route that exists only for some changes
)

// Request is one request of a caller.
type Request struct {
	Tag    string // id that the caller states
	Entry  int    // VM that the caller sends it to
	Class  Class
	Change int           // that added the route of an Added request
	Digest uint64        // of its method, path and body
	Wait   time.Duration // how long the caller is willing to wait
	At     time.Time     // when the caller began to send it
}

// Run is an attempt that reached an upstream.
type Run struct {
	ID       string // the receipt, which identifies the run
	Host     int
	Service  string
	Tag      string        // of the request
	Digest   uint64        // as in Request
	Wait     time.Duration // time left, as stated to the upstream
	Accepted bool          // false when the upstream states that it does not run the request
	Records  []byte        // the upstream's answer
}

// Event types.
type (
	// Tick reports that time has passed.
	Tick struct{}

	// Stalled reports that the soak test itself did not run since From, so that
	// nothing it observed late can be blamed on the fleet.
	Stalled struct{ From time.Time }

	// Exited reports the end of a VM's process.
	Exited struct {
		VM    int
		Cause string // empty after exit status 0
	}

	// Sent reports that a caller sends a request.
	Sent struct{ Request }

	// Left reports that a caller closed its connection before the answer.
	Left struct{ Tag string }

	// Answered reports the answer to a request, or that the connection ended
	// without one.
	Answered struct {
		Tag      string
		Status   int
		Echo     string   // request id in the answer
		Receipts []string // of the runs whose results the answer holds
		Missing  int      // number of shards without a result; -1 when unreadable
		Body     []byte
		Surplus  int    // number of bytes received after the answer
		Broken   string // error of a connection that ended without a complete answer; empty otherwise
	}

	// Arrived reports a request at an upstream, before it runs.
	Arrived struct{ Run }

	// Ended reports the end of a run.
	Ended struct {
		ID       string // the receipt
		Tag      string // of the request
		Finished bool   // false when it was cancelled or the upstream crashed
	}

	// Ordered reports the answer to a submitted document.
	Ordered struct {
		Order  int // number of the submission
		Status int // HTTP status
	}

	// Read reports a document that a VM returned to an operator.
	Read struct {
		VM    int
		At    time.Time // when the operator sent the request
		Order int       // number of the submission with these bytes; -1 when there is none
	}

	// Listed reports that a VM was sent a list of upstreams with these as draining.
	Listed struct{ Drained []int }

	// Failed reports an error of the soak test itself.
	Failed struct{ Cause string }
)

func (Tick) isEvent()     {}
func (Stalled) isEvent()  {}
func (Exited) isEvent()   {}
func (Sent) isEvent()     {}
func (Left) isEvent()     {}
func (Answered) isEvent() {}
func (Arrived) isEvent()  {}
func (Ended) isEvent()    {}
func (Ordered) isEvent()  {}
func (Read) isEvent()     {}
func (Listed) isEvent()   {}
func (Failed) isEvent()   {}
