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

// controlExecutor carries out the effects of the control loop.
type controlExecutor struct {
	trafficLoops []*loop.Loop
	counters     *Counters
	logger       log.Interface
	operators    *admin.Server
	store        *disk.Store     // nil on a VM without a data folder
	peers        *peer.Transport // nil on a VM without a peer address
	lister       UpstreamLister  // nil when the upstreams do not come from a list of the platform
	loop         *loop.Loop
	drained      chan struct{}
}

// readUpstreamList reads the platform's list of upstreams and posts the result.
func (c *controlExecutor) readUpstreamList(e effect.ReadUpstreamList) {
	ctx, cancel := context.WithTimeout(context.Background(), e.Timeout)
	defer cancel()
	result, err := c.lister.List(ctx)
	if err != nil {
		result = event.UpstreamListRead{Problem: err.Error()}
	}
	c.loop.Post(result)
}

// Execute implements loop.Executor.
func (c *controlExecutor) Execute(e effect.Effect) {
	switch e := e.(type) {
	case effect.ToTraffic:
		for i, l := range c.trafficLoops {
			if e.Loop == effect.AllLoops || e.Loop == i {
				l.Post(e.Body)
			}
		}
	case effect.SendMessage:
		if c.peers != nil {
			c.peers.Send(e)
		}
	case effect.AppendEntries, effect.SaveVote, effect.SaveImage, effect.SaveFounders:
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
		go c.readUpstreamList(e)
	}
}
