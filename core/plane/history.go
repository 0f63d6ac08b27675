package plane

import (
	"slices"

	"comfreypulley/core/effect"
	"comfreypulley/core/frame"
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

// seal completes the effects of one event, from an index on: it keeps the notes
// of every part in the history, and fills in addresses that a part such as the
// log does not know.
func (c *Control) seal(from int, out []effect.Effect) []effect.Effect {
	for i, e := range out[from:] {
		switch e := e.(type) {
		case effect.Note:
			c.history.add(e)
		case effect.SendMessage:
			if d, ok := e.Message.(frame.Digest); ok && c.start.SelfRegistration {
				d.UpstreamListChecksum = c.roster.stamp
				if c.start.PortionAddr.IsValid() {
					d.PortionAddr, d.Zone, d.EntryVMsChecksum = c.start.PortionAddr, c.start.VM.Zone, c.daemons.stamp
				}
				e.Message = d
				out[from+i] = e
			}
			if !e.Addr.IsValid() {
				e.Addr = c.addr(e.To)
				out[from+i] = e
			}
		}
	}
	return out
}
