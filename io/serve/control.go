package serve

import (
	"context"

	"github.com/apex/log"

	"comfreypulley/core/effect"
	"comfreypulley/core/event"
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
	lister    Lister          // nil in a fleet without a platform's list
	self      *loop.Loop
	drained   chan struct{}
}

// read reads the platform's list of upstreams.
func (c *control) read(e effect.ReadUpstreamList) {
	ctx, cancel := context.WithTimeout(context.Background(), e.Timeout)
	defer cancel()
	upstreams, ignored, err := c.lister.List(ctx)
	listed := event.UpstreamListRead{Upstreams: upstreams, Ignored: ignored}
	if err != nil {
		listed = event.UpstreamListRead{Problem: err.Error()}
	}
	c.self.Post(listed)
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
	case effect.SendMessage:
		if c.peers != nil {
			c.peers.Send(e)
		}
	case effect.AppendEntries, effect.SaveVote, effect.SaveImage:
		c.store.Execute(e)
	case effect.AnswerOperator:
		c.operators.Respond(e)
	case effect.Drained:
		closeOnce(c.drained)
	case effect.Count:
		c.counters.Add(e)
	case effect.Note:
		writeNote(c.logger, e)
	case effect.ReadUpstreamList:
		go c.read(e)
	}
}
