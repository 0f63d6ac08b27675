package serve

import (
	"context"

	"comfreypulley/core/effect"
	"comfreypulley/core/entry"
	"comfreypulley/core/model"
)

// OperatorBackend passes operators' changes and status requests to the control
// loop.
type OperatorBackend interface {
	// Change has a change committed to the replicated log and returns its result. When
	// it was not carried out, confirm is the operation under which the operator must send
	// it again; otherwise confirm is empty.
	Change(ctx context.Context, c entry.Change) (result entry.Result, confirm model.OpID)
	// FleetStatus returns what the VM knows about the fleet. With linearizable
	// set, the leader must confirm that it is current. It reports false without
	// an answer or without that confirmation.
	FleetStatus(ctx context.Context, linearizable bool) (*effect.FleetStatus, bool)
}
