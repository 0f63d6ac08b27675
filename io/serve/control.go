package serve

import (
	"github.com/apex/log"

	"comfreypulley/core/effect"
	"comfreypulley/io/admin"
	"comfreypulley/io/disk"
	"comfreypulley/io/loop"
	"comfreypulley/io/peer"
)

// control carries out the effects of the control loop.
type control struct {
	loops     []*loop.Loop
	counters  *Counters
	logger    log.Interface
	operators *admin.Server
	store     *disk.Store     // nil on a VM without a data folder
	peers     *peer.Transport // nil on a VM without a peer address
	drained   chan struct{}
}

// Execute implements loop.Executor.
func (c *control) Execute(e effect.Effect) {
	switch e := e.(type) {
	case effect.ToTraffic:
		for i, l := range c.loops {
			if e.Loop == effect.AllLoops || e.Loop == i {
				l.Post(e.Body)
			}
		}
	case effect.Tell:
		if c.peers != nil {
			c.peers.Tell(e)
		}
	case effect.Append, effect.Vote, effect.Save:
		c.store.Execute(e)
	case effect.Respond:
		c.operators.Respond(e)
	case effect.Drained:
		select {
		case <-c.drained:
		default:
			close(c.drained)
		}
	case effect.Count:
		c.counters.Add(e)
	case effect.Note:
		entry := c.logger.WithFields(log.Fields{"subject": e.Subject, "cause": e.Cause})
		if e.Alert {
			entry.Warn(e.Action)
			return
		}
		entry.Info(e.Action)
	}
}
