package loop

import (
	"container/heap"
	"time"

	"comfreypulley/core/event"
)

// maxSleep is how long a loop without timers waits before it checks again.
const maxSleep = time.Hour

// timerQueue holds timers in the order of their due times. The zero value is empty.
type timerQueue struct {
	byTime timerHeap
	byID   map[event.TimerID]*timer
}

type timer struct {
	id    event.TimerID
	at    time.Time // when the timer is due
	index int       // in the heap
}

// set adds a timer or changes the due time of the one with the same id.
func (t *timerQueue) set(id event.TimerID, at time.Time) {
	if t.byID == nil {
		t.byID = make(map[event.TimerID]*timer)
	}
	if known, ok := t.byID[id]; ok {
		known.at = at
		heap.Fix(&t.byTime, known.index)
		return
	}
	added := &timer{id: id, at: at}
	t.byID[id] = added
	heap.Push(&t.byTime, added)
}

// stop removes a timer.
func (t *timerQueue) stop(id event.TimerID) {
	if known, ok := t.byID[id]; ok {
		heap.Remove(&t.byTime, known.index)
		delete(t.byID, id)
	}
}

// popDue removes and returns the first timer that is due. It reports false when
// none is.
func (t *timerQueue) popDue(now time.Time) (event.TimerID, bool) {
	if len(t.byTime) == 0 || t.byTime[0].at.After(now) {
		return event.TimerID{}, false
	}
	first := heap.Pop(&t.byTime).(*timer)
	delete(t.byID, first.id)
	return first.id, true
}

// untilNext returns the time until the first timer is due, or maxSleep when there is
// no timer.
func (t *timerQueue) untilNext(now time.Time) time.Duration {
	if len(t.byTime) == 0 {
		return maxSleep
	}
	return max(0, t.byTime[0].at.Sub(now))
}

// timerHeap implements heap.Interface.
type timerHeap []*timer

func (h timerHeap) Len() int           { return len(h) }
func (h timerHeap) Less(i, j int) bool { return h[i].at.Before(h[j].at) }
func (h timerHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index = i
	h[j].index = j
}

// Push implements heap.Interface.
func (h *timerHeap) Push(x any) {
	added := x.(*timer)
	added.index = len(*h)
	*h = append(*h, added)
}

// Pop implements heap.Interface.
func (h *timerHeap) Pop() any {
	old := *h
	n := len(old)
	last := old[n-1]
	old[n-1] = nil
	*h = old[:n-1]
	return last
}
