package query

import "time"

// scheduleHeap is a min-heap of the shards with a scheduled attempt, earliest
// first. An entry whose time is no longer the scheduled time of its shard is
// stale and is skipped when it is popped.
type scheduleHeap []scheduledAttempt

type scheduledAttempt struct {
	at    time.Time
	shard int
}

func (s *scheduleHeap) push(e scheduledAttempt) {
	h := append(*s, e)
	for i := len(h) - 1; i > 0; {
		parent := (i - 1) / 2
		if !h[i].at.Before(h[parent].at) {
			break
		}
		h[i], h[parent] = h[parent], h[i]
		i = parent
	}
	*s = h
}

func (s *scheduleHeap) pop() scheduledAttempt {
	h := *s
	first := h[0]
	last := len(h) - 1
	h[0] = h[last]
	h = h[:last]
	for i := 0; ; {
		smallest := i
		for child := 2*i + 1; child <= 2*i+2 && child < last; child++ {
			if h[child].at.Before(h[smallest].at) {
				smallest = child
			}
		}
		if smallest == i {
			break
		}
		h[i], h[smallest] = h[smallest], h[i]
		i = smallest
	}
	*s = h
	return first
}
