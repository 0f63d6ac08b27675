package soak

import (
	"time"
)

// Body is an event.
type Body interface{ isEvent() }

// Class is a kind of request.
type Class int

// Classes.
const (
	Sweep Class = iota // over all shards
	Fetch              // may be repeated
	Write              // runs once at most
	Move               // its service says which change is in force
	Added              // on a route that only some changes have
)

// Request is one request of a caller.
type Request struct {
	Tag    string
	Entry  int // VM
	Class  Class
	Change int    // of an Added request
	Digest uint64 // of its method, path and body
	Wait   time.Duration
	At     time.Time // when its first byte was sent
}

// Run is a request that reached an upstream.
type Run struct {
	ID       string // the receipt
	Host     int
	Service  string
	Tag      string
	Digest   uint64
	Wait     time.Duration // as stated to the upstream
	Accepted bool          // false when the upstream stated that it does not run it
	Records  []byte        // its answer
}

// Events.
type (
	// Tick lets time pass.
	Tick struct{}

	// Stalled is a time in which the soak itself did not run, so that nothing
	// that it saw late can be judged.
	Stalled struct{ From time.Time }

	// Exited is the end of a process.
	Exited struct {
		VM    int
		Cause string // empty for a clean end
	}

	// Sent is a request on its way.
	Sent struct{ Request }

	// Left is a caller that closed its connection before the answer.
	Left struct{ Tag string }

	// Answered is the end of a request at its caller.
	Answered struct {
		Tag      string
		Status   int
		Echo     string // tag of the answer
		Receipts []string
		Missing  int
		Body     []byte
		Surplus  int    // bytes after the answer that nobody asked for
		Broken   string // the connection ended without a complete answer
	}

	// Arrived is a request at an upstream, before it runs.
	Arrived struct{ Run }

	// Ended is the end of a run.
	Ended struct {
		ID       string
		Tag      string
		Finished bool
	}

	// Ordered is the outcome of a change at an operator.
	Ordered struct {
		Order  int // its number
		Status int
	}

	// Read is a document that was read back.
	Read struct {
		VM    int
		At    time.Time // when it was asked for
		Order int       // the order with these bytes, below 0 when there is none
	}

	// Listed is an answer of the list of upstreams that shows the drained ones.
	Listed struct{ Drained []int }

	// Failed is a fault of the soak itself.
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
