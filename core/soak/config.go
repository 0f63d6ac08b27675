package soak

import (
	"time"
)

// Config is what a soak runs with.
type Config struct {
	Seed     uint64
	Period   time.Duration // with faults
	Began    time.Time
	Controls int // VMs that replicate the log, the first ones
	Entries  int // VMs that take callers, after them
	Zones    int // VMs and upstreams alternate between the zones
	Grace    time.Duration
	Ratio    float64 // extra attempts as a share of the requests for a service
	Extra    int     // extra attempts for a service beyond that, in a window
	Window   time.Duration
	Hosts    []Host // upstreams
}

// Host is an upstream.
type Host struct {
	Service string
}

// Bounds that the users' pages state.
const (
	stableWindow  = 4 * time.Second        // without faults until a VM counts as calm
	applyWithin   = 3 * time.Second        // from the acknowledgement of a change until it is obeyed
	drainWithin   = 3 * time.Second        // from the listing of a leaving upstream to its last request
	rollbackSlack = 250 * time.Millisecond // for requests that overtake each other
	goneSlack     = 500 * time.Millisecond // from a caller's end to that of the work for it
	lossSlack     = 200 * time.Millisecond // from a request's last byte until it counts as read
	timeoutSlack  = 500 * time.Millisecond // from a route's timeout to the last answer
	recoverWithin = 12 * time.Second
)

// Times of a soak.
const (
	starting     = time.Second     // of a process, until it accepts connections
	settling     = 5 * time.Second // from the first start to the first fault
	lastReads    = stableWindow    // after the recovery, when the state is read back
	cycle        = 20 * time.Second
	unrestricted = 4 * time.Second         // of a cycle, when any fault may come; calm VMs are judged in the rest
	firstChange  = 1250 * time.Millisecond // from the first start
	changeEvery  = 1200 * time.Millisecond // between two changes at least, at most twice that
)

// Attempts is the number of upstreams that a request may be sent to, for each
// shard.
const Attempts = 2
