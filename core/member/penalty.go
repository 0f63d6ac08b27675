package member

import (
	"math"
	"time"
)

// Flap damping. Four failures 10 s apart pass the limit; the VM then stays
// suspected until its penalty has fallen to release.
const (
	halfLife   = 30 * time.Second
	limit      = 2.5
	release    = 1.5
	maxPenalty = 8.0 // ends the longest damping after 73 s
)

// penalty grows by one with each flap and halves each halfLife. The zero value
// is no penalty.
type penalty struct {
	value float64
	at    time.Time
}

func (p *penalty) add(at time.Time) {
	p.value = min(maxPenalty, p.now(at)+1)
	p.at = at
}

func (p *penalty) now(at time.Time) float64 {
	if p.value == 0 {
		return 0
	}
	return p.value * math.Exp2(-float64(at.Sub(p.at))/float64(halfLife))
}
