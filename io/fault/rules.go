package fault

import (
	"fmt"
	"time"
)

// maxPieces bounds the pieces of one delivery.
const maxPieces = 1000

// Rules are the faults in force. The zero value forwards everything at once.
type Rules struct {
	Cut    bool          // partition: open and new connections hang until it is lifted
	Refuse bool          // new connections are reset
	Skew   time.Duration // each connection is late by a time of its own, below Skew
	Up     Flow
	Down   Flow
}

// Flow is what happens to the bytes of one direction.
type Flow struct {
	Delay  time.Duration // added to every byte
	Jitter time.Duration // further delay of each delivery, drawn below Jitter
	Stall  bool          // bytes wait until it is lifted
	Lose   bool          // bytes are lost; the connection is reset once it is lifted
	Pieces int           // deliveries are split into this many writes; 0 and 1 mean one
	Gap    time.Duration // between the pieces
}

// check reports the first unusable value.
func (r *Rules) check() error {
	for _, f := range []Flow{r.Up, r.Down} {
		if f.Delay < 0 || f.Jitter < 0 || f.Gap < 0 || r.Skew < 0 {
			return fmt.Errorf("delay, jitter, gap and skew must not be negative: %v, %v, %v, %v", f.Delay, f.Jitter, f.Gap, r.Skew)
		}
		if f.Pieces < 0 || f.Pieces > maxPieces {
			return fmt.Errorf("pieces must be between 0 and %d, not %d", maxPieces, f.Pieces)
		}
	}
	return nil
}

// direction selects a flow of the rules.
type direction int

const (
	up direction = iota
	down
)

func (r *Rules) flow(d direction) Flow {
	if d == up {
		return r.Up
	}
	return r.Down
}
