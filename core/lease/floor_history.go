package lease

import "time"

// floorHistory contains the recent values of one floor, in ascending order. The
// value in use is the lowest one of the last raiseDelay: a lowered floor
// applies at once, a raised one waits.
type floorHistory []floorValue

type floorValue struct {
	value      int
	replacedAt time.Time // when another value replaced it, zero for the newest
}

// record records a new value.
func (h floorHistory) record(at time.Time, value int) floorHistory {
	if n := len(h); n > 0 {
		if h[n-1].value == value {
			return h
		}
		h[n-1].replacedAt = at
	}
	// A higher value that was replaced earlier can't be the lowest any more.
	for len(h) > 0 && h[len(h)-1].value >= value {
		h = h[:len(h)-1]
	}
	return append(h, floorValue{value: value})
}

// current returns the value in use, and when the next higher one comes into
// use, or zero if none is waiting.
func (h floorHistory) current(at time.Time) (value int, next time.Time) {
	for i := range h {
		if h[i].replacedAt.IsZero() {
			return h[i].value, time.Time{}
		}
		if due := h[i].replacedAt.Add(raiseDelay); at.Before(due) {
			return h[i].value, due
		}
	}
	return 0, time.Time{}
}

// newest returns a history of the newest value only.
func (h floorHistory) newest() floorHistory {
	if len(h) > 1 {
		return h[len(h)-1:]
	}
	return h
}

// trim removes the values that no longer count.
func (h floorHistory) trim(at time.Time) floorHistory {
	for len(h) > 1 && !at.Before(h[0].replacedAt.Add(raiseDelay)) {
		h = h[1:]
	}
	return h
}
