package config

import (
	"fmt"

	"comfreypulley/core/frame"
	"comfreypulley/core/model"
)

// DeltaError reports a delta that does not lead from the revision in force to
// the delta's target revision. The configuration is unchanged, and the parent has
// to send the full one.
type DeltaError struct {
	Revision model.Revision // in force
	From     model.Revision // of the delta
	To       model.Revision // of the delta
	Problem  string
}

// Error implements error.
func (e *DeltaError) Error() string {
	return fmt.Sprintf("delta from revision %d to %d at revision %d: %s", e.From, e.To, e.Revision, e.Problem)
}

// ApplyDelta applies a delta from a parent and skips changes that are already in
// force. It rejects a delta that leaves a gap, or whose changes do not produce
// the parent's checksum, as a whole with a *DeltaError.
func (s *Store) ApplyDelta(d frame.ConfigDelta) (err error) {
	problem := func(text string) error {
		return &DeltaError{Revision: s.revision, From: d.From, To: d.To, Problem: text}
	}
	switch {
	case d.To <= s.revision:
		return nil
	case d.From > s.revision:
		return problem("revisions are missing")
	case d.To-d.From != model.Revision(len(d.Changes)):
		return problem(fmt.Sprintf("has %d changes", len(d.Changes)))
	}
	changes := d.Changes[s.revision-d.From:]
	for _, c := range changes {
		if c.Contract == nil && c.Upstream == nil && c.VM == nil && c.Remove == nil && c.Document == nil && c.Zone == nil &&
			(c.InitialConfig == nil || s.revision != 0) {
			return problem("has an empty change")
		}
	}
	undo := make([]func(), 0, len(changes))
	for _, c := range changes {
		undo = append(undo, s.applyChecked(c))
	}
	if s.Checksum() != d.Checksum {
		for i := len(undo) - 1; i >= 0; i-- {
			undo[i]()
		}
		return problem("checksum differs")
	}
	for _, c := range changes {
		s.recordChange(c)
	}
	return nil
}
