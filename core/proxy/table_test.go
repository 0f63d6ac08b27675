package proxy_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"comfreypulley/core/event"
	"comfreypulley/core/model"
)

// Guards against the breaks that any order of answers, failures, documents and
// lists of upstreams can cause: two ends of a request or none, a request that
// runs twice though it must not, a refusal as "not run" of one that ran, parts
// of two documents in an answer, untrue coverage, more extra attempts than the
// bound, more time than the caller has, and work for draining upstreams. Portions
// of calls go to other VMs and come from them.
func TestRoutedPromises(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		steps := rapid.IntRange(10, 150).Draw(t, "steps")
		for range steps {
			switch rapid.IntRange(0, 11).Draw(t, "action") {
			case 0:
				w.call("/all/")
			case 1:
				w.call("/one/")
			case 2:
				w.call("/once/")
			case 3:
				w.pass(time.Duration(rapid.IntRange(0, 60).Draw(t, "ms")) * time.Millisecond)
			case 10:
				w.callPortion("/all/", &model.Portion{DocumentVersion: w.version, Shards: []int{1, 2, 4}})
			case 11:
				w.daemons()
			case 4:
				w.change(rapid.IntRange(0, 3).Draw(t, "change"))
			default:
				w.end(rapid.IntRange(0, 8).Draw(t, "outcome"))
			}
		}
		w.pass(time.Second)
		for id, c := range w.callers {
			if c.finals == 0 && !c.gone {
				t.Fatalf("request %d has no end", id)
			}
		}
	})
}

// change moves the document or the list on, or lets a caller leave.
func (w *world) change(kind int) {
	switch kind {
	case 0:
		w.view()
	case 1:
		w.roster()
	case 2:
		id := model.RequestID(rapid.IntRange(1, int(max(1, w.next))).Draw(w.t, "caller"))
		if c, ok := w.callers[id]; ok && c.finals == 0 {
			c.gone = true
			w.do(w.table.Gone(w.now, event.CallerDisconnected{Request: id}, nil))
		}
	default:
		for _, h := range w.hosts {
			if h.upstream.Index != "single" && h.upstream.State == model.StateActive {
				continue
			}
			if h.upstream.ID == "single/0" {
				h.upstream.State ^= 1
			}
		}
		w.roster()
	}
}
