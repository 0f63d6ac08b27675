package serve

import (
	"context"
	"net/http"
	"time"

	"comfreypulley/core/event"
)

// leaver is the actor that stops a resident in order: unready until the
// balancer has noticed, then no new connections, then the end of what is in
// flight, then the hand-over of the log.
type leaver struct {
	resident *Resident
	ctx      context.Context
	stopped  chan struct{}
}

func (l *leaver) run() error {
	select {
	case <-l.ctx.Done():
	case <-l.stopped:
		return nil
	}
	r := l.resident
	end := time.Now().Add(time.Duration(finishingShare * float64(r.site.Grace)))
	r.logger.WithField("grace", r.site.Grace.String()).Info("draining")
	if r.routed != nil && !l.drainRouted(end) {
		return nil
	}
	r.control.Post(event.Drain{})
	l.wait(r.executor.drained, time.Now().Add(lastAnswers))
	r.logger.Info("drained")
	return nil
}

// drainRouted returns false when the group stops meanwhile.
func (l *leaver) drainRouted(end time.Time) bool {
	r := l.resident
	r.routed.server.Leave()
	unready := time.Now().Add(time.Duration(unreadyShare * float64(r.site.Grace)))
	if !l.wait(nil, unready) {
		return false
	}
	// The loop drains only after the server: a request that the server has read
	// may not have reached the loop yet.
	c := &closer{server: r.servers[0].server, limit: time.Until(end), done: make(chan struct{})}
	go c.run()
	if !l.wait(c.done, end) {
		return false
	}
	r.routed.loop.Post(event.Drain{})
	if !l.wait(r.routed.drained, end) {
		return false
	}
	select {
	case <-r.routed.drained:
	default:
		r.logger.Warn("grace period is over; requests in flight are cut off")
	}
	return true
}

// closer shuts a server down while others wait for it.
type closer struct {
	server *http.Server
	limit  time.Duration
	done   chan struct{}
}

func (c *closer) run() {
	defer close(c.done)
	shutdownWithin(c.server, c.limit)
}

// wait returns at a time or when the channel is closed, and false when the
// group stops meanwhile.
func (l *leaver) wait(done chan struct{}, until time.Time) bool {
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	select {
	case <-done:
		return true
	case <-timer.C:
		return true
	case <-l.stopped:
		return false
	}
}

func (l *leaver) stop(error) { close(l.stopped) }
