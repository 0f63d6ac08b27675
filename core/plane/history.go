package plane

import (
	"slices"

	"comfreypulley/core/effect"
)

// maxNotes is how many notes are kept for operators.
const maxNotes = 512

// history keeps the last notes.
type history struct {
	kept []effect.Note
}

func (h *history) add(n effect.Note) {
	h.kept = append(h.kept, n)
	if len(h.kept) >= 2*maxNotes {
		h.kept = slices.Clone(h.kept[len(h.kept)-maxNotes:])
	}
}

// notes returns the last notes, oldest first.
func (h *history) notes() []effect.Note {
	return slices.Clone(h.kept[max(0, len(h.kept)-maxNotes):])
}

func (c *Control) note(n effect.Note, out []effect.Effect) []effect.Effect {
	c.history.add(n)
	return append(out, n)
}
