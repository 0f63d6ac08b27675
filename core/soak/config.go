package soak

import (
	"time"
)

// Config describes the fleet under test and the length of the run.
type Config struct {
	Seed              uint64
	FaultPeriod       time.Duration // in which faults are injected
	StartedAt         time.Time
	LogVMs            int           // number of VMs that replicate the log; they come first
	EntryVMs          int           // number of entry VMs; they come after those with the log
	Zones             int           // number of zones; VM and upstream n is in zone n modulo Zones
	ShutdownGrace     time.Duration // for a VM to exit after a stop signal
	RetryBudgetRatio  float64       // limit of retries and hedges as a fraction of a service's requests
	RetryBudgetExtra  int           // retries and hedges of a service allowed beyond that, in a window
	RetryBudgetWindow time.Duration // in which they are counted
	Upstreams         []UpstreamConfig
}

// UpstreamConfig describes an upstream.
type UpstreamConfig struct {
	Service string
}

// Time limits of the documented guarantees, and tolerances of their checks.
const (
	stableWindow  = 4 * time.Second        // without faults after which a component must work as usual
	ApplyWithin   = 3 * time.Second        // from the acknowledgement of a change until all VMs use it
	drainWithin   = 3 * time.Second        // from an upstream's listing as draining until its last request
	reorderSlack  = 250 * time.Millisecond // for requests that overtake each other on the way to an upstream
	cancelSlack   = 500 * time.Millisecond // from a caller's disconnect until the work for it ends
	closeSlack    = 200 * time.Millisecond // in which a closing VM may not have read a request yet
	timeoutSlack  = 500 * time.Millisecond // from a route's timeout until the answer
	recoverWithin = 12 * time.Second       // from the last fault until requests are served as before
)

// Times of a run.
const (
	startupTime       = time.Second             // of a process until it accepts connections
	settleTime        = 5 * time.Second         // from the start of the fleet to the first fault
	finalReadTime     = stableWindow            // at the end of the run, in which the newest document must be read back
	cycleLength       = 20 * time.Second        // of unrestricted faults, then fewer ones between which VMs are stable
	unrestrictedTime  = 4 * time.Second         // at the start of a cycle, when any fault may occur
	firstChangeAfter  = 1250 * time.Millisecond // from the start of the fleet
	minChangeInterval = 1200 * time.Millisecond // between two submissions; the maximum is twice that
)

// MaxAttempts is the limit of upstreams that a request may be sent to, for each
// shard.
const MaxAttempts = 2
