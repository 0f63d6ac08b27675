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
	Cut          bool          // partition: open and new connections hang until the rule is removed
	Refuse       bool          // new connections are reset
	MaxConnDelay time.Duration // limit of the random delay added to each connection
	Up           StreamRules   // from the client to the target
	Down         StreamRules   // from the target to the client

	Sources []SourceRules // additional faults of connections from some source addresses
}

// SourceRules holds additional faults of the connections whose source address is in
// a prefix.
type SourceRules struct {
	Prefix netip.Prefix
	Cut    bool          // partition
	Stall  bool          // bytes of both directions wait until the rule is removed
	Delay  time.Duration // added to every byte of both directions
}

// StreamRules holds the faults of one direction.
type StreamRules struct {
	Delay    time.Duration // added to every byte
	Jitter   time.Duration // limit of the additional random delay of each received chunk
	Stall    bool          // bytes wait until the rule is removed
	Drop     bool          // bytes are lost; the connection is reset when the rule is removed
	Pieces   int           // number of writes into which each chunk is split; 0 means 1
	PieceGap time.Duration // between the writes of a chunk
}

// validate returns an error for the first invalid value.
func (r *Rules) validate() error {
	for _, f := range []StreamRules{r.Up, r.Down} {
		if f.Delay < 0 || f.Jitter < 0 || f.PieceGap < 0 || r.MaxConnDelay < 0 {
			return fmt.Errorf("delay, jitter, gap and skew must not be negative: %v, %v, %v, %v", f.Delay, f.Jitter, f.PieceGap, r.MaxConnDelay)
		}
		if f.Pieces < 0 || f.Pieces > maxPieces {
			return fmt.Errorf("pieces must be between 0 and %d, not %d", maxPieces, f.Pieces)
		}
	}
	for _, s := range r.Sources {
		if !s.Prefix.IsValid() || s.Delay < 0 {
			return fmt.Errorf("source must have a valid prefix and a delay that is not negative, not %v and %v", s.Prefix, s.Delay)
		}
	}
	return nil
}

// forSource returns the rules for connections from an address, with those of its
// sources applied.
func (r Rules) forSource(addr netip.Addr) Rules {
	for _, s := range r.Sources {
		if !s.Prefix.Contains(addr) {
			continue
		}
		r.Cut = r.Cut || s.Cut
		for _, f := range []*StreamRules{&r.Up, &r.Down} {
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

// stream returns the faults of a direction.
func (r *Rules) stream(d direction) StreamRules {
	if d == up {
		return r.Up
	}
	return r.Down
}
