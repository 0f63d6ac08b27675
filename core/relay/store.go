package relay

import (
	"comfreypulley/core/entry"
	"comfreypulley/core/frame"
	"comfreypulley/core/model"
)

// Store holds the configuration of this VM.
type Store interface {
	// Restore replaces the configuration, unless that would lower the revision.
	Restore(c entry.Config)
	// Image returns the whole configuration.
	Image() entry.Config
	// ChangesSince returns the changes after a revision, or false if some of
	// them are no longer retained.
	ChangesSince(from model.Revision) (changes []entry.Change, ok bool)
	// ApplyDelta applies a delta. It returns an error and changes nothing if the
	// delta does not start at the current revision or does not result in the
	// delta's checksum.
	ApplyDelta(d frame.ConfigDelta) error
	// Topology returns the current configuration, nil if there is none.
	Topology() *model.Topology
	// Revision returns the current revision.
	Revision() model.Revision
	// Checksum returns the checksum of the current configuration.
	Checksum() uint64
}
