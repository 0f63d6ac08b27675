package relay

import (
	"comfreypulley/core/entry"
	"comfreypulley/core/frame"
	"comfreypulley/core/model"
)

// Store is the configuration in force on this VM.
type Store interface {
	// Restore replaces the configuration, never by a lower revision.
	Restore(c entry.Config)
	// Image returns the whole configuration.
	Image() entry.Config
	// ChangesSince returns the changes after a revision, and false when some of them
	// are no longer retained.
	ChangesSince(from model.Revision) (changes []entry.Change, ok bool)
	// ApplyDelta applies a delta, and fails without effect when it does not start
	// at the revision in force or does not lead to its checksum.
	ApplyDelta(d frame.ConfigDelta) error
	// Topology returns the configuration in force, nil when there is none.
	Topology() *model.Topology
	// Revision returns the revision in force.
	Revision() model.Revision
	// Checksum returns the checksum of the configuration in force.
	Checksum() uint64
}
