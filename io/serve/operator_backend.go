package serve

import (
	"context"

	"comfreypulley/core/effect"
	"comfreypulley/core/entry"
)

// OperatorBackend passes operators' changes and status requests to the control
// loop.
type OperatorBackend interface {
	// Change has a change committed to the replicated log and returns its result.
	Change(ctx context.Context, c entry.Change) entry.Result
	// FleetStatus returns what the VM knows about the fleet. With linearizable
	// set, the leader must confirm that it is current. It reports false without
	// an answer or without that confirmation.
	FleetStatus(ctx context.Context, linearizable bool) (*effect.FleetStatus, bool)
}
