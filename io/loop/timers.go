package loop

import (
	"container/heap"
	"time"

	"comfreypulley/core/event"
)

// longest is how long a loop without timers sleeps.
const longest = time.Hour

// timers is a queue of timers by due time. The zero value is empty.
type timers struct {
	queue timerHeap
	byID  map[event.TimerID]*timer
}

type timer struct {
	id    event.TimerID
	at    time.Time
	index int
}

func (t *timers) set(id event.TimerID, at time.Time) {
	if t.byID == nil {
		t.byID = make(map[event.TimerID]*timer)
	}
	if known, ok := t.byID[id]; ok {
		known.at = at
		heap.Fix(&t.queue, known.index)
		return
	}
	added := &timer{id: id, at: at}
	t.byID[id] = added
	heap.Push(&t.queue, added)
}

func (t *timers) stop(id event.TimerID) {
	if known, ok := t.byID[id]; ok {
		heap.Remove(&t.queue, known.index)
		delete(t.byID, id)
	}
}

// due removes and returns a timer whose time has come.
func (t *timers) due(now time.Time) (event.TimerID, bool) {
	if len(t.queue) == 0 || t.queue[0].at.After(now) {
		return event.TimerID{}, false
	}
	first := heap.Pop(&t.queue).(*timer)
	delete(t.byID, first.id)
	return first.id, true
}

// wait returns how long it is until the first timer is due.
func (t *timers) wait(now time.Time) time.Duration {
	if len(t.queue) == 0 {
		return longest
	}
	return max(0, t.queue[0].at.Sub(now))
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
