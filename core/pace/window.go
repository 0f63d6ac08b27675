package pace

import (
	"time"

	"comfreypulley/core/model"
)

// Parameters of the window.
const (
	minSize        = 1.0 / 32 // attempts in flight
	maxSize        = 8        // attempts in flight; a window above it no longer binds
	lateFactor     = 2        // an answer that takes this many times the usual latency is trouble
	cautiousGrowth = 1.5      // with each answer once there was trouble
	queueFactor    = 0.8      // of the window, with an answer that reports a queue as long as the slots are many

	troublePause = 50 * time.Millisecond  // attempts that fail within it of each other count as one trouble
	quietPeriod  = 2 * time.Second        // without trouble or an answer, after which the window doubles
	probePeriod  = 500 * time.Millisecond // after which one attempt is allowed whatever the window: nothing else shows that the upstream is back
)

// Window limits the attempts in flight to one upstream. The zero value does not limit them.
type Window struct {
	initial   float64   // size when it began
	size      float64   // attempts in flight; 0 when they are not limited
	start     bool      // no trouble yet
	growAt    time.Time // when the window doubles without answers
	sentAt    time.Time // of the last attempt
	troubleAt time.Time // of the last trouble; attempts that were in flight then are part of it
}

// Answer is what an answer says about the pace.
type Answer struct {
	Took  time.Duration
	Usual time.Duration // latency that is usual for such a request
	Load  *model.Load   // nil when the answer reports none
}

// Begin starts the window of an upstream with a number of slots that several VMs use.
func (w *Window) Begin(at time.Time, slots, vms int) {
	initial := min(1, max(minSize, float64(slots)/float64(max(1, vms))))
	*w = Window{initial: initial, size: initial, start: true, growAt: at.Add(quietPeriod), sentAt: at}
}

// Active reports whether the window limits attempts.
func (w *Window) Active() bool { return w.size > 0 }

// Size returns the attempts that may be in flight, 0 when they are not limited.
func (w *Window) Size() float64 { return w.size }

// Allows reports whether another attempt may be sent beside those in flight. draw is a
// random number of at least 0 and below 1, which decides about windows below one.
func (w *Window) Allows(at time.Time, inFlight int, draw float64) bool {
	return draw < w.Chance(at, inFlight)
}

// Chance returns the probability, 0 to 1, that another attempt may be sent beside those in
// flight.
func (w *Window) Chance(at time.Time, inFlight int) float64 {
	if w.Active() && !at.Before(w.growAt) {
		w.grow(at, 2)
	}
	switch {
	case !w.Active():
		return 1
	case w.size >= 1 && float64(inFlight+1) <= w.size:
		return 1
	case w.size >= 1 || inFlight > 0:
		return 0
	case at.Sub(w.sentAt) >= probePeriod:
		return 1
	default:
		return w.size
	}
}

// Sent records that an attempt is sent.
func (w *Window) Sent(at time.Time) { w.sentAt = at }

// HandleAnswer adapts the window to a successful answer.
func (w *Window) HandleAnswer(at time.Time, a Answer) {
	if !w.Active() {
		return
	}
	late := a.Took > lateFactor*a.Usual
	full := a.Load != nil && a.Load.InFlight >= a.Load.Slots
	switch {
	case full && a.Load.Queued >= a.Load.Slots:
		w.start, w.growAt = false, at.Add(quietPeriod)
		w.size = max(minSize, queueFactor*w.size)
	case full:
		w.growAt = at.Add(quietPeriod) // as much as it can take
	case a.Load == nil && late:
		w.HandleTrouble(at)
	case w.start && !late:
		w.grow(at, 2)
	default:
		w.grow(at, cautiousGrowth)
	}
}

// HandleTrouble halves the window. Several attempts that fail at once count as one.
func (w *Window) HandleTrouble(at time.Time) {
	if !w.Active() || !w.troubleAt.IsZero() && at.Sub(w.troubleAt) < troublePause {
		return
	}
	w.start, w.troubleAt, w.growAt = false, at, at.Add(quietPeriod)
	w.size = max(minSize, w.size/2)
}

// HandleRefused begins again after a connection was refused or could not be opened: that
// says that the upstream is down, and nothing about what it takes. After trouble the window
// may be smaller than when it began, and stays so.
func (w *Window) HandleRefused(at time.Time) {
	if w.Active() {
		w.size, w.growAt = min(w.size, w.initial), at.Add(quietPeriod)
	}
}

// grow multiplies the window, and ends it when it no longer binds.
func (w *Window) grow(at time.Time, factor float64) {
	w.growAt = at.Add(quietPeriod)
	if w.size *= factor; w.size >= maxSize {
		*w = Window{}
	}
}
