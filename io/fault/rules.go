package fault

import (
	"fmt"
	"net/netip"
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

	Sources []Source // further faults of connections from some sources
}

// Source is what happens to the connections whose source address is in a prefix.
// It comes on top of the other rules.
type Source struct {
	From  netip.Prefix
	Cut   bool          // partition
	Stall bool          // bytes of both directions wait until it is lifted
	Delay time.Duration // added to every byte of both directions
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
	for _, s := range r.Sources {
		if !s.From.IsValid() || s.Delay < 0 {
			return fmt.Errorf("source must have a prefix and a delay that is not negative: %v, %v", s.From, s.Delay)
		}
	}
	return nil
}

// from returns the rules for connections from an address.
func (r Rules) from(addr netip.Addr) Rules {
	for _, s := range r.Sources {
		if !s.From.Contains(addr) {
			continue
		}
		r.Cut = r.Cut || s.Cut
		for _, f := range []*Flow{&r.Up, &r.Down} {
			f.Stall = f.Stall || s.Stall
			f.Delay += s.Delay
		}
	}
	return r
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
