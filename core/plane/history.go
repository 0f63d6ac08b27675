package plane

import (
	"slices"

	"comfreypulley/core/effect"
	"comfreypulley/core/frame"
)

// maxNotes is how many notes are kept for operators.
const maxNotes = 512

// history keeps the most recent notes.
type history struct {
	recent []effect.Note // oldest first, up to 2*maxNotes, so that it is rarely copied
}

func (h *history) add(n effect.Note) {
	h.recent = append(h.recent, n)
	if len(h.recent) >= 2*maxNotes {
		h.recent = slices.Clone(h.recent[len(h.recent)-maxNotes:])
	}
}

// notes returns the last maxNotes notes, oldest first.
func (h *history) notes() []effect.Note {
	return slices.Clone(h.recent[max(0, len(h.recent)-maxNotes):])
}

// complete fills in what components leave out of the effects of one event, those
// from index first on: it keeps notes in the history, adds to digests what they
// carry besides the state of the tree, and adds the addresses of the VMs that
// messages go to.
func (c *Control) complete(first int, out []effect.Effect) []effect.Effect {
	for i, e := range out[first:] {
		switch e := e.(type) {
		case effect.Note:
			c.history.add(e)
		case effect.SendMessage:
			if d, ok := e.Message.(frame.Digest); ok && c.settings.SelfRegistration {
				d.UpstreamListChecksum = c.upstreamList.checksum
				if c.settings.PortionAddr.IsValid() {
					d.PortionAddr, d.Zone, d.EntryVMsChecksum = c.settings.PortionAddr, c.settings.VM.Zone, c.entryVMs.checksum
				}
				if c.tree != nil && e.To == c.tree.Parent() {
					d.Limits = c.limits.current
				}
				e.Message = d
				out[first+i] = e
			}
			if !e.Addr.IsValid() {
				e.Addr = c.peerAddr(e.To)
				out[first+i] = e
			}
		}
	}
	return out
}
