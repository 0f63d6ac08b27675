package serve

import (
	"context"

	"comfreypulley/core/effect"
	"comfreypulley/core/entry"
)

// Asker hands operators' changes and questions to the control loop.
type Asker interface {
	// Change sends a change to the log and returns its result.
	Change(ctx context.Context, c entry.Change) entry.Result
	// Inquire returns what the VM knows. It reports false without an answer, or
	// when a confirmed one was asked for and the leader did not confirm it.
	Inquire(ctx context.Context, confirmed bool) (*effect.FleetStatus, bool)
}
