package fault

import (
	"fmt"
	"net/netip"
	"time"
)

// maxPieces is the largest valid value of Pieces.
const maxPieces = 1000

// Rules are the faults that a proxy injects. The zero value injects none.
type Rules struct {
	Cut    bool          // partition: open and new connections hang until the rule is removed
	Refuse bool          // new connections are reset
	Skew   time.Duration // each connection is delayed by a random time of its own below Skew
	Up     Flow          // from the client to the target
	Down   Flow          // from the target to the client

	Sources []Source // additional faults of connections from some source addresses
}

// Source holds additional faults of the connections whose source address is in a
// prefix.
type Source struct {
	From  netip.Prefix
	Cut   bool          // partition
	Stall bool          // bytes of both directions wait until the rule is removed
	Delay time.Duration // added to every byte of both directions
}

// Flow holds the faults of one direction.
type Flow struct {
	Delay  time.Duration // added to every byte
	Jitter time.Duration // additional random delay of each received chunk, below Jitter
	Stall  bool          // bytes wait until the rule is removed
	Lose   bool          // bytes are lost; the connection is reset when the rule is removed
	Pieces int           // number of writes into which each chunk is split; 0 means 1
	Gap    time.Duration // between the writes of a chunk
}

// validate returns an error for the first invalid value.
func (r *Rules) validate() error {
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
			return fmt.Errorf("source must have a valid prefix and a delay that is not negative, not %v and %v", s.From, s.Delay)
		}
	}
	return nil
}

// forSource returns the rules for connections from an address, with those of its
// sources applied.
func (r Rules) forSource(addr netip.Addr) Rules {
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

// direction is a direction of a connection.
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
