package plane

import (
	"time"

	"comfreypulley/core/effect"
	"comfreypulley/core/entry"
	"comfreypulley/core/model"
)

// fresh holds back the first view of a replica that restarted with a data
// folder. A leader's message may have been sent before the restart and may lie
// about what is committed by now, so the replica commits an entry of its own
// and waits for the revision that was in force there.
type fresh struct {
	pending bool
	least   model.Revision // in force when the entry was applied
}

// holds reports whether the configuration may be older than one in force when
// the process started.
func (f *fresh) holds(c *Control) bool {
	return c.published == 0 && (f.pending || c.store.Revision() < f.least)
}

// refresh commits an entry to learn what is in force. Without a majority the
// replica serves what it has after isolatedAge, as a zone that is cut off goes
// on serving.
func (c *Control) refresh(at time.Time, out []effect.Effect) []effect.Effect {
	c.fresh.pending = true
	return c.submit(at, &proposal{command: entry.Noop{}, until: at.Add(isolatedAge), to: freshReceiver{}}, out)
}

// freshReceiver gets the answer of the entry.
type freshReceiver struct{}

func (freshReceiver) answer(_ time.Time, c *Control, _ entry.Command, r entry.Result, out []effect.Effect) []effect.Effect {
	c.fresh.pending = false
	if r.Status == entry.StatusOK {
		c.fresh.least = r.Revision
	}
	return out
}
