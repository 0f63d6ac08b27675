package loop

import (
	"time"

	"comfreypulley/core/effect"
	"comfreypulley/core/event"
	"comfreypulley/core/node"
)

// Executor carries out the effects other than timers.
type Executor interface {
	Execute(e effect.Effect)
}

// Loop owns one state. Make it with New.
type Loop struct {
	executor Executor
	state    node.State
	mailbox  mailbox
	stop     chan struct{}
	timers   timers
}

// New returns a loop that hands effects to the executor.
func New(executor Executor) *Loop {
	return &Loop{executor: executor, mailbox: newMailbox(), stop: make(chan struct{})}
}

// Post hands an event to the loop. It never blocks, so that two loops can post
// to each other; the front ends bound what they let in.
func (l *Loop) Post(body event.Body) {
	l.mailbox.post(body)
}

// Run runs the loop until Stop. It fits a run group.
func (l *Loop) Run(start event.Start) error {
	l.run(start)
	return nil
}

// Stop ends Run. It must be called once.
func (l *Loop) Stop(error) {
	close(l.stop)
}

func (l *Loop) run(start event.Start) {
	alarm := time.NewTimer(time.Hour)
	defer alarm.Stop()
	out := make([]effect.Effect, 0, 64)
	out = l.reduce(start, out)
	for {
		alarm.Reset(l.timers.wait(time.Now()))
		select {
		case <-l.mailbox.signal:
			for _, body := range l.mailbox.take() {
				out = l.reduce(body, out)
			}
		case <-alarm.C:
			out = l.fire(out)
		case <-l.stop:
			return
		}
	}
}

// fire hands every due timer to the state.
func (l *Loop) fire(out []effect.Effect) []effect.Effect {
	now := time.Now()
	for {
		id, ok := l.timers.due(now)
		if !ok {
			return out
		}
		out = l.reduce(event.Timer{ID: id}, out)
	}
}

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
