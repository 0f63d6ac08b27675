package model

import (
	"crypto/sha256"
	"strconv"
	"time"
)

// KeyHash is the SHA-256 hash of a key with which callers authenticate. Keys are compared by
// their hashes alone, so that none appears in a log or a dump; only replicas of the log have
// the operator's text with the keys. The zero value stands for no key.
type KeyHash [sha256.Size]byte

// HashKey returns the hash of a key.
func HashKey(key string) KeyHash { return sha256.Sum256([]byte(key)) }

// Team is a customer whose callers send requests along the routes of the document.
type Team struct {
	Name     string // for upstreams and people; several teams may have the same
	Keys     []KeyHash
	Priority *int // instead of that of the route; nil for that of the route. No decision uses priorities yet.
	Limit    RateLimit
}

// LimitNames returns, for each team, the name under which its limit is kept. Only keys
// tell teams apart, so a name that repeats is completed by its number among the teams of
// that name, after a NUL, which no name has. The first keeps the name alone, which earlier
// builds use for it.
func (d *Document) LimitNames() []string {
	names := make([]string, len(d.Teams))
	seen := make(map[string]int, len(d.Teams))
	for i, t := range d.Teams {
		names[i] = t.Name
		if n := seen[t.Name]; n > 0 {
			names[i] += "\x00" + strconv.Itoa(n)
		}
		seen[t.Name]++
	}
	return names
}

// RateLimit restricts the requests of one customer to all VMs together: in any period
// they are at most Rate times its length, plus Burst. With a Rate of 0 there is no limit.
type RateLimit struct {
	Rate  float64 // requests per second
	Burst float64 // requests
}

// QuotaTolerance is by how much a customer may exceed its limit: in a period of length
// Window its requests may be Overage times what the limit allows, plus Slack, beyond the
// limit. The zero value allows nothing.
type QuotaTolerance struct {
	Window  time.Duration
	Overage float64 // fraction, 0 to 1
	Slack   float64 // requests
}

// Beyond returns how many requests a limit may be exceeded by in a Window, and how many
// it allows in one.
func (t QuotaTolerance) Beyond(l RateLimit) (beyond, allowed float64) {
	allowed = l.Rate*t.Window.Seconds() + l.Burst
	return t.Overage*allowed + t.Slack, allowed
}

// Limited reports whether there is a limit.
func (l RateLimit) Limited() bool { return l.Rate > 0 }
