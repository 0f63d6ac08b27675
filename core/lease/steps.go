package lease

import "time"

// steps contains the recent values of one floor. The value in use is the lowest
// one of the last raiseAfter. The values ascend.
type steps []step

type step struct {
	value int       // when another value replaced it; zero for the current one
	ended time.Time // when another value replaced it, zero for the last
}

// set records a new value.
func (s steps) set(at time.Time, value int) steps {
	if n := len(s); n > 0 {
		if s[n-1].value == value {
			return s
		}
		s[n-1].ended = at
	}
	// A higher value that ended earlier can't be the lowest any more.
	for len(s) > 0 && s[len(s)-1].value >= value {
		s = s[:len(s)-1]
	}
	return append(s, step{value: value})
}

// at returns the value in use, and when a higher one comes into use, or zero if
// none is waiting.
func (s steps) at(at time.Time) (value int, next time.Time) {
	for i := range s {
		if s[i].ended.IsZero() {
			return s[i].value, time.Time{}
		}
		if due := s[i].ended.Add(raiseAfter); at.Before(due) {
			return s[i].value, due
		}
	}
	return 0, time.Time{}
}

// last removes all values but the current one.
func (s steps) last() steps {
	if len(s) > 1 {
		return s[len(s)-1:]
	}
	return s
}

// trim removes the values that no longer count.
func (s steps) trim(at time.Time) steps {
	for len(s) > 1 && !at.Before(s[0].ended.Add(raiseAfter)) {
		s = s[1:]
	}
	return s
}
