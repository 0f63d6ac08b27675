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

// RefusalReason is the typed reason why a request got no answer.
type RefusalReason string

// Refusal reasons. Each one has an expvar counter of the same name.
const (
	RefusedBusy       RefusalReason = "busy"       // the queue of the contract's class is full
	RefusedConflict   RefusalReason = "conflict"   // the idempotency key was used with another body
	RefusedCoverage   RefusalReason = "coverage"   // the class's least coverage was not reached in time
	RefusedCredential RefusalReason = "credential" // unknown customer or wrong secret
	RefusedDeadline   RefusalReason = "deadline"   // the deadline cannot be met
	RefusedDraining   RefusalReason = "draining"   // the VM is shutting down
	RefusedExhausted  RefusalReason = "exhausted"  // no attempt could run within the limits
	RefusedExpired    RefusalReason = "expired"    // the idempotency key is older than the retention
	RefusedIndex      RefusalReason = "index"      // the contract does not include the index
	RefusedInvalid    RefusalReason = "invalid"    // the request is malformed
	RefusedIsolated   RefusalReason = "isolated"   // the zone is cut off and lacks shards that the request needs
	RefusedMajority   RefusalReason = "majority"   // the replicated log has no reachable majority
	RefusedPending    RefusalReason = "pending"    // the key is claimed and its outcome is not known
	RefusedQuarantine RefusalReason = "quarantine" // the request crashed upstreams that ran it
	RefusedFailed     RefusalReason = "failed"     // the upstream broke off and may have run the request
	RefusedRoute      RefusalReason = "route"      // no route of the document matches
	RefusedTimeout    RefusalReason = "timeout"    // no answer in time from upstreams that may have run the request
	RefusedSnapshot   RefusalReason = "snapshot"   // no version of the index is known
	RefusedStale      RefusalReason = "stale"      // the VM has no configuration in force yet
	RefusedWait       RefusalReason = "wait"       // the stated wait is below every class of the contract
)

// RefusalReasons lists every refusal reason in the order of its name.
func RefusalReasons() []RefusalReason {
	return []RefusalReason{
		RefusedBusy, RefusedConflict, RefusedCoverage, RefusedCredential, RefusedDeadline, RefusedDraining,
		RefusedExhausted, RefusedExpired, RefusedFailed, RefusedIndex, RefusedInvalid, RefusedIsolated, RefusedMajority, RefusedPending,
		RefusedQuarantine, RefusedRoute, RefusedSnapshot, RefusedStale, RefusedTimeout, RefusedWait,
	}
}

// FailureReason is the typed reason why an attempt on an upstream failed. It is the
// reason counted when the attempt is retried.
type FailureReason string

// Failure reasons of attempts.
const (
	FailedCancelled FailureReason = "cancelled" // the tier cancelled the attempt
	FailedCold      FailureReason = "cold"      // the upstream is still starting
	FailedDrained   FailureReason = "drained"   // the upstream is leaving
	FailedInvalid   FailureReason = "invalid"   // the answer was malformed or named another version, shard or attempt
	FailedRefused   FailureReason = "refused"   // no connection could be made
	FailedReset     FailureReason = "reset"     // the connection broke before the answer was complete
	FailedShed      FailureReason = "shed"      // the upstream shed the attempt
	FailedTimeout   FailureReason = "timeout"   // the attempt's time ran out
	FailedVersion   FailureReason = "version"   // the upstream does not hold the version
)

// FailureReasons lists every failure reason in the order of its name.
func FailureReasons() []FailureReason {
	return []FailureReason{
		FailedCancelled, FailedCold, FailedDrained, FailedInvalid, FailedRefused, FailedReset, FailedShed,
		FailedTimeout, FailedVersion,
	}
}
