package model

// Ran states whether a request ran on an upstream.
type Ran uint8

// Values of Ran. The zero value is RanUnknown, so that a field left unset never
// claims more than is known.
const (
	RanUnknown Ran = iota // the request may have run
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

// RefusalReason is the reason why a request was refused.
type RefusalReason string

// Refusal reasons. Each one has an expvar counter of the same name.
const (
	RefusedBusy        RefusalReason = "busy"        // the queue of the contract's class is full, or the VM handles too many requests
	RefusedConflict    RefusalReason = "conflict"    // the idempotency key was used with another body
	RefusedCoverage    RefusalReason = "coverage"    // the class's minimum coverage was not reached in time
	RefusedCredential  RefusalReason = "credential"  // unknown customer, wrong secret or unknown key
	RefusedDeadline    RefusalReason = "deadline"    // the deadline cannot be met
	RefusedDraining    RefusalReason = "draining"    // the VM is shutting down
	RefusedExhausted   RefusalReason = "exhausted"   // no attempt ran: the limits allowed none, or upstreams declined all of them
	RefusedExpired     RefusalReason = "expired"     // the idempotency key is older than the retention
	RefusedIndex       RefusalReason = "index"       // the contract does not include the index
	RefusedInvalid     RefusalReason = "invalid"     // the request is malformed
	RefusedIsolated    RefusalReason = "isolated"    // the zone is cut off from the others and lacks upstreams for shards of the request
	RefusedLimit       RefusalReason = "limit"       // the limits that upstreams state leave no room
	RefusedMajority    RefusalReason = "majority"    // the replicated log has no reachable majority
	RefusedPaused      RefusalReason = "paused"      // upstreams have asked for a pause
	RefusedPending     RefusalReason = "pending"     // the idempotency key is claimed and its outcome is unknown
	RefusedQuota       RefusalReason = "quota"       // the customer's limit of requests per second leaves no room
	RefusedQuarantine  RefusalReason = "quarantine"  // upstreams crashed while running equal requests
	RefusedFailed      RefusalReason = "failed"      // the attempt failed and the upstream may have run the request
	RefusedRoute       RefusalReason = "route"       // no route of the document matches
	RefusedTimeout     RefusalReason = "timeout"     // no answer in time, and upstreams may have run the request
	RefusedSnapshot    RefusalReason = "snapshot"    // no snapshot of the index is known
	RefusedUnmetered   RefusalReason = "unmetered"   // no VM that counts the customer's requests is reachable
	RefusedUnreachable RefusalReason = "unreachable" // the VM reaches no upstream, and no other VM took the request
	RefusedStale       RefusalReason = "stale"       // the VM has no configuration yet, or not the one that the request refers to or may need
	RefusedWait        RefusalReason = "wait"        // the stated wait is below every class of the contract
)

// RefusalReasons lists every refusal reason, sorted by name.
func RefusalReasons() []RefusalReason {
	return []RefusalReason{
		RefusedBusy, RefusedConflict, RefusedCoverage, RefusedCredential, RefusedDeadline, RefusedDraining,
		RefusedExhausted, RefusedExpired, RefusedFailed, RefusedIndex, RefusedInvalid, RefusedIsolated, RefusedLimit, RefusedMajority, RefusedPaused, RefusedPending,
		RefusedQuarantine, RefusedQuota, RefusedRoute, RefusedSnapshot, RefusedStale, RefusedTimeout, RefusedUnmetered, RefusedUnreachable, RefusedWait,
	}
}

// FailureReason is the reason why an attempt on an upstream failed. Failed and
// retried attempts are counted by it.
type FailureReason string

// Failure reasons of attempts.
const (
	FailedCancelled   FailureReason = "cancelled"   // this tier cancelled the attempt
	FailedCold        FailureReason = "cold"        // the upstream is still starting up
	FailedConns       FailureReason = "conns"       // the upstream accepts no further connection
	FailedDrained     FailureReason = "drained"     // the upstream is draining
	FailedInvalid     FailureReason = "invalid"     // the answer was malformed or named another version, shard or attempt
	FailedRefused     FailureReason = "refused"     // the connection could not be opened
	FailedReset       FailureReason = "reset"       // the connection broke before the answer was complete
	FailedShed        FailureReason = "shed"        // the upstream rejected the attempt because of overload
	FailedTimeout     FailureReason = "timeout"     // the attempt took too long
	FailedUnreachable FailureReason = "unreachable" // the VM that a portion went to reaches no upstream
	FailedVersion     FailureReason = "version"     // the upstream does not hold the snapshot version
)

// FailureReasons lists every failure reason, sorted by name.
func FailureReasons() []FailureReason {
	return []FailureReason{
		FailedCancelled, FailedCold, FailedConns, FailedDrained, FailedInvalid, FailedRefused, FailedReset, FailedShed,
		FailedTimeout, FailedUnreachable, FailedVersion,
	}
}
