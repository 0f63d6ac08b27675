package plane

import (
	"time"

	"comfreypulley/core/effect"
	"comfreypulley/core/entry"
	"comfreypulley/core/model"
)

// restartBarrier holds back the first view of a replica that restarted with a
// data folder. A message of the leader may have been sent before the restart, so
// the commit index in it may be out of date. The replica therefore commits an
// entry of its own and waits for the revision that was in force when that entry
// was applied.
type restartBarrier struct {
	pending     bool           // the entry has no answer yet
	minRevision model.Revision // in force when the entry was applied
}

// blocks reports whether the configuration may be older than the one in force
// when the process started.
func (b *restartBarrier) blocks(c *Control) bool {
	return c.publishedRevision == 0 && (b.pending || c.store.Revision() < b.minRevision)
}

// startBarrier commits an empty entry to determine which revision is in force.
// Without a majority the replica serves the configuration that it has after
// maxMajorityAge, since a zone that is cut off must continue to serve.
func (c *Control) startBarrier(at time.Time, out []effect.Effect) []effect.Effect {
	c.barrier.pending = true
	return c.submit(at, &proposal{command: entry.Noop{}, deadline: at.Add(maxMajorityAge), receiver: barrierReceiver{}}, out)
}

// barrierReceiver receives the answer to the barrier's entry.
type barrierReceiver struct{}

func (barrierReceiver) receiveResult(_ time.Time, c *Control, _ entry.Command, r entry.Result, out []effect.Effect) []effect.Effect {
	c.barrier.pending = false
	if r.Status == entry.StatusOK {
		c.barrier.minRevision = r.Revision
	}
	return out
}
