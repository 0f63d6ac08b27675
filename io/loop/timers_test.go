package loop

import (
	"flag"
	"testing"
	"time"

	"pgregory.net/rapid"

	"comfreypulley/core/event"
)

// init sets a default seed, so that every run checks the same cases. The flag on
// the command line overrides it.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

// Guards against timers that fire early, late, twice or after they were stopped, in
// any order of set, stop and popDue.
func TestTimersMatchModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var queue timerQueue
		model := make(map[event.TimerID]time.Time)
		now := time.Unix(0, 0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			id := event.TimerID{N: rapid.Uint64Range(0, 5).Draw(t, "id")}
			switch rapid.IntRange(0, 2).Draw(t, "action") {
			case 0:
				at := now.Add(time.Duration(rapid.IntRange(-5, 20).Draw(t, "delay")))
				queue.set(id, at)
				model[id] = at
			case 1:
				queue.stop(id)
				delete(model, id)
			default:
				now = now.Add(time.Duration(rapid.IntRange(0, 10).Draw(t, "pass")))
				for {
					got, ok := queue.popDue(now)
					if !ok {
						break
					}
					want, set := model[got]
					if !set || want.After(now) {
						t.Fatalf("timer %v fired at %v, want %v (set: %v)", got, now, want, set)
					}
					delete(model, got)
				}
				for id, at := range model {
					if !at.After(now) {
						t.Fatalf("timer %v due at %v did not fire at %v", id, at, now)
					}
				}
			}
		}
	})
}
