package member

import (
	"time"
)

// vmState is what is known about one VM.
type vmState struct {
	watched        bool // it sends its digests here, so silence counts against it
	lastDigest     time.Time
	round          *probeRound // nil when it is not probed
	suspected      bool
	damped         bool // kept suspected, also if alive, since it failed repeatedly
	lastPing       time.Time
	pingSeq        uint64 // number of the last direct ping
	penalty        penalty
	suspicionCause string
}
