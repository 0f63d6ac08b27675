package member

import (
	"math"
	"time"
)

// Flap damping. Four failures 10 s apart exceed dampingThreshold; the VM then
// stays suspected until its penalty has fallen to releaseThreshold.
const (
	penaltyHalfLife  = 30 * time.Second
	dampingThreshold = 2.5
	releaseThreshold = 1.5
	maxPenalty       = 8.0 // ends the longest damping after 73 s
)

// penalty grows by one with each failure of a VM and halves each
// penaltyHalfLife. The zero value is no penalty.
type penalty struct {
	value float64
	at    time.Time // when value was current
}

func (p *penalty) add(at time.Time) {
	p.value = min(maxPenalty, p.current(at)+1)
	p.at = at
}

func (p *penalty) current(at time.Time) float64 {
	if p.value == 0 {
		return 0
	}
	return p.value * math.Exp2(-float64(at.Sub(p.at))/float64(penaltyHalfLife))
}
