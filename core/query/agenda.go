package query

import "time"

// agenda is a min-heap of the shards with a scheduled attempt, earliest first. An
// entry whose time is no longer the scheduled time of its shard is stale and is
// skipped when it is popped.
type agenda []appointment

type appointment struct {
	at    time.Time
	shard int
}

func (a *agenda) push(e appointment) {
	h := append(*a, e)
	for i := len(h) - 1; i > 0; {
		up := (i - 1) / 2
		if !h[i].at.Before(h[up].at) {
			break
		}
		h[i], h[up] = h[up], h[i]
		i = up
	}
	*a = h
}

func (a *agenda) pop() appointment {
	h := *a
	first := h[0]
	last := len(h) - 1
	h[0] = h[last]
	h = h[:last]
	for i := 0; ; {
		least := i
		for down := 2*i + 1; down <= 2*i+2 && down < last; down++ {
			if h[down].at.Before(h[least].at) {
				least = down
			}
		}
		if least == i {
			break
		}
		h[i], h[least] = h[least], h[i]
		i = least
	}
	*a = h
	return first
}
