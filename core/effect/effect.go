// Package effect holds every output of the reducer.
//
// # Usage
//
// A front end carries out the effects in their order. An effect that has a
// result, such as [Send], brings it back as an event.
//
//	for _, e := range out {
//		switch e := e.(type) {
//		case effect.Send:
//			go newCall(e).run()
//		}
//	}
package effect

import (
	"time"

	"comfreypulley/core/event"
)

// Effect is one of the effect types of this package.
type Effect interface{ effect() }

// SetTimer asks for an event.Timer at a time. It replaces the timer of the same
// id.
type SetTimer struct {
	ID event.TimerID
	At time.Time
}

// StopTimer withdraws a timer.
type StopTimer struct{ ID event.TimerID }

// ToControl hands an event to the control state of the process.
type ToControl struct{ Body event.Body }

// ToTraffic hands an event to the traffic states of the process.
type ToTraffic struct {
	Loop int // AllLoops for every traffic state
	Body event.Body
}

// AllLoops addresses every traffic state.
const AllLoops = -1

// Drained tells that nothing is in flight any more after event.Drain.
type Drained struct{}

func (SetTimer) effect()  {}
func (StopTimer) effect() {}
func (ToControl) effect() {}
func (ToTraffic) effect() {}
func (Drained) effect()   {}
