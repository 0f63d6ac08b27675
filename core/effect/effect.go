// Package effect holds every output of the reducer.
//
// # Usage
//
// A front end carries out the effects in order. The result of an effect that has
// one, such as [Send], comes back as an event.
//
//	for _, e := range out {
//		switch e := e.(type) {
//		case effect.Send:
//			dialer.Send(e)
//		}
//	}
package effect

import (
	"time"

	"comfreypulley/core/event"
)

// Effect is implemented by the effect types of this package.
type Effect interface{ effect() }

// SetTimer requests an event.Timer at a time. It replaces a pending timer with
// the same id.
type SetTimer struct {
	ID event.TimerID
	At time.Time
}

// StopTimer cancels a pending timer.
type StopTimer struct{ ID event.TimerID }

// ToControl passes an event to the control state of the process.
type ToControl struct{ Body event.Body }

// ToTraffic passes an event to one or all traffic states of the process.
type ToTraffic struct {
	Loop int // index of the traffic loop, or AllLoops
	Body event.Body
}

// AllLoops addresses every traffic state.
const AllLoops = -1

// Drained reports that no request is in flight any more after event.Drain.
type Drained struct{}

func (SetTimer) effect()  {}
func (StopTimer) effect() {}
func (ToControl) effect() {}
func (ToTraffic) effect() {}
func (Drained) effect()   {}
