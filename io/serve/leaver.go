package serve

import (
	"context"
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
	began := time.Now()
	r.logger.WithField("grace", r.site.Grace.String()).Info("draining")
	if r.routed != nil {
		r.control.Post(event.Leave{})
		if !l.drainRouted(began) {
			return nil
		}
	}
	r.control.Post(event.Drain{})
	l.wait(r.executor.drained, time.Now().Add(lastAnswers))
	r.logger.Info("drained")
	return nil
}

// drainRouted ends the traffic in steps. Callers may use open connections until
// the process is gone, and a request must not be read and then left without an
// answer, so requests are refused before connections are closed. It returns
// false when the group stops meanwhile.
func (l *leaver) drainRouted(began time.Time) bool {
	r := l.resident
	at := func(share float64) time.Time { return began.Add(time.Duration(share * float64(r.site.Grace))) }
	r.routed.server.StartDraining()
	if !l.wait(nil, at(unreadyShare)) {
		return false
	}
	r.callers.closeListener()
	if !l.wait(nil, at(refuseShare)) {
		return false
	}
	idle := r.routed.server.RefuseRequests()
	if !l.wait(idle, at(finishingShare)) || !l.wait(nil, time.Now().Add(flushPause)) {
		return false
	}
	select {
	case <-idle:
	default:
		r.logger.Warn("grace period is over; requests in flight are cut off")
	}
	return true
}

// wait returns at a time or when the channel is closed, and false when the
// group stops meanwhile.
func (l *leaver) wait(done <-chan struct{}, until time.Time) bool {
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
