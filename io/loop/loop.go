package loop

import (
	"time"

	"comfreypulley/core/effect"
	"comfreypulley/core/event"
	"comfreypulley/core/node"
)

// Executor carries out effects, except effect.SetTimer and effect.StopTimer.
type Executor interface {
	Execute(e effect.Effect)
}

// Loop runs one state. It is created by New.
type Loop struct {
	executor Executor
	state    node.State
	events   eventQueue
	stop     chan struct{}
	timers   timerQueue
}

// New returns a loop that passes effects to the executor.
func New(executor Executor) *Loop {
	return &Loop{executor: executor, events: newEventQueue(), stop: make(chan struct{})}
}

// Post queues an event for the loop. It never blocks, so that two loops can post to
// each other. The queue has no limit; the front ends limit the requests that they
// accept.
func (l *Loop) Post(body event.Body) {
	l.events.push(body)
}

// Run starts the state and runs the loop until Stop. It always returns nil;
// callers wrap it in an actor of a run group.
func (l *Loop) Run(start event.Start) error {
	l.run(start)
	return nil
}

// Stop ends Run. It must be called once.
func (l *Loop) Stop(error) {
	close(l.stop)
}

func (l *Loop) run(start event.Start) {
	wakeUp := time.NewTimer(time.Hour)
	defer wakeUp.Stop()
	out := make([]effect.Effect, 0, 64)
	out = l.reduce(start, out)
	for {
		wakeUp.Reset(l.timers.untilNext(time.Now()))
		select {
		case <-l.events.signal:
			for _, body := range l.events.takeAll() {
				out = l.reduce(body, out)
			}
		case <-wakeUp.C:
			out = l.fireTimers(out)
		case <-l.stop:
			return
		}
	}
}

// fireTimers passes every due timer to the state.
func (l *Loop) fireTimers(out []effect.Effect) []effect.Effect {
	now := time.Now()
	for {
		id, ok := l.timers.popDue(now)
		if !ok {
			return out
		}
		out = l.reduce(event.Timer{ID: id}, out)
	}
}

// reduce passes an event to the state and carries out the effects. It returns out,
// whose memory is reused.
func (l *Loop) reduce(body event.Body, out []effect.Effect) []effect.Effect {
	out = l.state.Reduce(event.Event{At: time.Now(), Body: body}, out[:0])
	for i, e := range out {
		out[i] = nil
		switch e := e.(type) {
		case effect.SetTimer:
			l.timers.set(e.ID, e.At)
		case effect.StopTimer:
			l.timers.stop(e.ID)
		default:
			l.executor.Execute(e)
		}
	}
	return out
}
