package conns

import "time"

// Signs of a shortage.
const (
	shortageSigns  = 3               // connections that are rejected in a row within signPeriod
	signPeriod     = time.Second     // a single one may have met a moment of much load
	shortagePeriod = 3 * time.Second // how long a shortage lasts after the last sign of it
)

// Shortage is whether upstreams have too few connections for all VMs. While they have, a VM
// opens as few as it needs, closes them early, and waits for the reset of a new one before it
// sends a request on it.
type Shortage struct {
	rejected [shortageSigns - 1]time.Time // the last rejections, the oldest first
	until    time.Time
}

// Rejected records that an upstream has reset a new connection at once.
func (s *Shortage) Rejected(at time.Time) {
	if first := s.rejected[0]; s.Active(at) || !first.IsZero() && at.Sub(first) < signPeriod {
		s.until = at.Add(shortagePeriod)
	}
	copy(s.rejected[:], s.rejected[1:])
	s.rejected[len(s.rejected)-1] = at
}

// Active reports whether there is a shortage.
func (s *Shortage) Active(at time.Time) bool { return at.Before(s.until) }
