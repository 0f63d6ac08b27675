package model

// Ran states whether a request may have run on an upstream.
type Ran uint8

// The zero value is RanUnknown, so that a forgotten field never claims more
// than is known.
const (
	RanUnknown Ran = iota
	RanNo
	RanYes
)

// String returns the name used in the caller and upstream protocols.
func (r Ran) String() string {
	switch r {
	case RanNo:
		return "no"
	case RanYes:
		return "yes"
	default:
		return "unknown"
	}
}

// Refusal is the typed reason why a request got no answer.
type Refusal string

// Refusal reasons. Each one has an expvar counter of the same name.
const (
	RefusedBusy       Refusal = "busy"       // the queue of the contract's class is full
	RefusedConflict   Refusal = "conflict"   // the idempotency key was used with another body
	RefusedCoverage   Refusal = "coverage"   // the class's least coverage was not reached in time
	RefusedCredential Refusal = "credential" // unknown customer or wrong secret
	RefusedDeadline   Refusal = "deadline"   // the deadline cannot be met
	RefusedDraining   Refusal = "draining"   // the VM is shutting down
	RefusedExhausted  Refusal = "exhausted"  // no attempt could run within the limits
	RefusedExpired    Refusal = "expired"    // the idempotency key is older than the retention
	RefusedIndex      Refusal = "index"      // the contract does not include the index
	RefusedInvalid    Refusal = "invalid"    // the request is malformed
	RefusedIsolated   Refusal = "isolated"   // the zone is cut off and lacks shards that the request needs
	RefusedMajority   Refusal = "majority"   // the replicated log has no reachable majority
	RefusedPending    Refusal = "pending"    // the key is claimed and its outcome is not known
	RefusedQuarantine Refusal = "quarantine" // the request crashed upstreams that ran it
	RefusedFailed     Refusal = "failed"     // the upstream broke off and may have run the request
	RefusedRoute      Refusal = "route"      // no route of the document matches
	RefusedTimeout    Refusal = "timeout"    // no answer in time from upstreams that may have run the request
	RefusedSnapshot   Refusal = "snapshot"   // no version of the index is known
	RefusedStale      Refusal = "stale"      // the VM has no configuration in force yet
	RefusedWait       Refusal = "wait"       // the stated wait is below every class of the contract
)

// Refusals lists every refusal reason in the order of its name.
func Refusals() []Refusal {
	return []Refusal{
		RefusedBusy, RefusedConflict, RefusedCoverage, RefusedCredential, RefusedDeadline, RefusedDraining,
		RefusedExhausted, RefusedExpired, RefusedFailed, RefusedIndex, RefusedInvalid, RefusedIsolated, RefusedMajority, RefusedPending,
		RefusedQuarantine, RefusedRoute, RefusedSnapshot, RefusedStale, RefusedTimeout, RefusedWait,
	}
}

// Failure is the typed reason why an attempt on an upstream failed. It is the
// reason counted when the attempt is retried.
type Failure string

// Failure reasons of attempts.
const (
	FailedCancelled Failure = "cancelled" // the tier cancelled the attempt
	FailedCold      Failure = "cold"      // the upstream is still starting
	FailedDrained   Failure = "drained"   // the upstream is leaving
	FailedInvalid   Failure = "invalid"   // the answer was malformed or named another version, shard or attempt
	FailedRefused   Failure = "refused"   // no connection could be made
	FailedReset     Failure = "reset"     // the connection broke before the answer was complete
	FailedShed      Failure = "shed"      // the upstream shed the attempt
	FailedTimeout   Failure = "timeout"   // the attempt's time ran out
	FailedVersion   Failure = "version"   // the upstream does not hold the version
)

// Failures lists every failure reason in the order of its name.
func Failures() []Failure {
	return []Failure{
		FailedCancelled, FailedCold, FailedDrained, FailedInvalid, FailedRefused, FailedReset, FailedShed,
		FailedTimeout, FailedVersion,
	}
}
