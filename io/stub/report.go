package stub

import (
	"cmp"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// report is the body of GET /v1/report.
type report struct {
	State    string    `json:"state"`
	Slots    int       `json:"slots"`
	Conns    int       `json:"conns"`
	Inflight int       `json:"inflight"`
	Queued   int       `json:"queued"`
	Versions []Holding `json:"versions"`
}

// history keeps past reports, so that a lagging stand-in can give an old one.
type history struct {
	mu   sync.Mutex
	past []sample // ascending
}

type sample struct {
	at     time.Time
	report report
}

// lagged adds a report and returns the newest one that is at least lag old, or
// the oldest one known.
func (h *history) lagged(at time.Time, lag time.Duration, now report) report {
	h.mu.Lock()
	defer h.mu.Unlock()
	if lag == 0 {
		h.past = nil
		return now
	}
	h.past = append(h.past, sample{at: at, report: now})
	newest := 0
	for i, s := range h.past {
		if at.Sub(s.at) >= lag {
			newest = i
		}
	}
	h.past = h.past[newest:]
	return h.past[0].report
}

// report returns what the stand-in says of itself, which may be old or a lie.
func (s *Stub) report(at time.Time) report {
	set := s.settings.Load()
	load := s.slots.load(set)
	r := s.history.lagged(at, set.Lag, report{
		State: s.state(at, set), Slots: load.Slots, Conns: set.Conns, Inflight: load.Inflight, Queued: load.Queued, Versions: set.Holds,
	})
	if set.Lie != nil {
		r.Inflight, r.Queued, r.Slots = set.Lie.Inflight, set.Lie.Queued, set.Lie.Slots
		r.State = cmp.Or(set.Lie.State, r.State)
	}
	return r
}

func (s *Stub) setLoad(w http.ResponseWriter) {
	r := s.report(time.Now())
	w.Header().Set("Load", fmt.Sprintf("%d,%d,%d", r.Inflight, r.Queued, r.Slots))
}
