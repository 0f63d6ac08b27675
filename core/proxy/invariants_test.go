package proxy_test

import (
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"comfreypulley/core/event"
	"comfreypulley/core/model"
)

// Guards against violations of the router's invariants under any order of
// answers, failures, documents and upstream lists: a request is answered or
// refused exactly once, a request that may run at most once is not repeated
// after it ran, a refusal states "not run" only when that is true, an answer
// has shards of one document only and states its coverage, extra attempts stay
// within their bound, attempts end before the caller's time is over, and
// draining upstreams receive none. Portions and whole requests are both sent to
// and received from other VMs.
func TestRouterInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t)
		steps := rapid.IntRange(10, 150).Draw(t, "steps")
		for range steps {
			switch rapid.IntRange(0, 14).Draw(t, "action") {
			case 0:
				s.request("/all/")
			case 1:
				s.request("/one/")
			case 2:
				s.request("/once/")
			case 3:
				s.advance(time.Duration(rapid.IntRange(0, 60).Draw(t, "ms")) * time.Millisecond)
			case 10:
				s.receive("/all/", &model.Portion{DocumentVersion: s.documentVersion, Shards: []int{1, 2, 4}}, nil)
			case 12:
				s.receive([]string{"/all/", "/one/", "/once/"}[rapid.IntRange(0, 2).Draw(t, "path")], nil,
					&model.Handover{DocumentVersion: s.documentVersion, MaxAttempts: 2})
			case 13:
				s.endChecks(rapid.IntRange(0, 2).Draw(t, "checks") == 0)
			case 14:
				s.loseLinks()
			case 11:
				s.updateEntryVMs()
			case 4:
				s.change(rapid.IntRange(0, 4).Draw(t, "change"))
			default:
				s.endAttempt(rapid.IntRange(0, 8).Draw(t, "outcome"))
			}
		}
		s.advance(time.Second)
		for id, req := range s.requests {
			if req.ends == 0 && !req.disconnected {
				t.Fatalf("request %d has no end", id)
			}
		}
	})
}

// loseLinks fails every connection for a while, with requests that need some, and
// the checks that follow.
func (s *simulation) loseLinks() {
	for range 2 {
		s.request("/one/")
	}
	for _, id := range slices.Sorted(maps.Keys(s.attempts)) {
		a := s.attempts[id]
		if a.delegated || a.handedOver || a.ran {
			continue
		}
		delete(s.attempts, id)
		a.connFailed = true
		s.apply(s.router.HandleAttemptFailed(s.now, event.AttemptFailed{Attempt: id, Reason: model.FailedRefused, Ran: model.RanNo}, nil))
	}
	s.advance(100 * time.Millisecond)
	s.endChecks(false)
	s.advance(100 * time.Millisecond)
	s.endChecks(false)
}

// change updates the document or the upstream list, disconnects a caller, or ends
// every request.
func (s *simulation) change(kind int) {
	switch kind {
	case 0:
		s.updateDocument()
	case 1:
		s.updateUpstreams()
	case 2:
		id := model.RequestID(rapid.IntRange(1, int(max(1, s.lastID))).Draw(s.t, "caller"))
		if req, ok := s.requests[id]; ok && req.ends == 0 {
			req.disconnected = true
			s.apply(s.router.HandleCallerDisconnected(s.now, event.CallerDisconnected{Request: id}, nil))
		}
	case 3:
		s.apply(s.router.CutOff(s.now, nil))
	default:
		for _, u := range s.upstreams {
			if u.spec.Index != "single" && u.spec.State == model.StateActive {
				continue
			}
			if u.spec.ID == "single/0" {
				u.spec.State ^= 1
			}
		}
		s.updateUpstreams()
	}
}
