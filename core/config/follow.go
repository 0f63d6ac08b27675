package config

import (
	"fmt"

	"comfreypulley/core/frame"
	"comfreypulley/core/model"
)

// FollowError reports a delta that does not lead from the revision in force to
// the one it names. The configuration is unchanged; the full one is needed.
type FollowError struct {
	Revision model.Revision // in force
	From     model.Revision
	To       model.Revision
	Problem  string
}

// Error implements error.
func (e *FollowError) Error() string {
	return fmt.Sprintf("delta from revision %d to %d at revision %d: %s", e.From, e.To, e.Revision, e.Problem)
}

// Follow applies a delta from a parent. Changes up to the revision in force are
// skipped. A delta that leaves a gap or does not give the parent's checksum is
// refused as a whole with a *FollowError.
func (s *Store) Follow(d frame.ConfigDelta) (err error) {
	problem := func(text string) error {
		return &FollowError{Revision: s.revision, From: d.From, To: d.To, Problem: text}
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
		if c.Contract == nil && c.Upstream == nil && c.VM == nil && c.Remove == nil && c.Document == nil &&
			(c.InitialConfig == nil || s.revision != 0) {
			return problem("has an empty change")
		}
	}
	undo := make([]func(), 0, len(changes))
	for _, c := range changes {
		undo = append(undo, s.advance(c))
	}
	if s.Sum() != d.Checksum {
		for i := len(undo) - 1; i >= 0; i-- {
			undo[i]()
		}
		return problem("checksum differs")
	}
	for _, c := range changes {
		s.retain(c)
	}
	return nil
}
