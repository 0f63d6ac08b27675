package stub

import (
	"cmp"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// report is the body of a GET /v1/report response.
type report struct {
	State    string         `json:"state"`
	Slots    int            `json:"slots"`
	Conns    int            `json:"conns"`
	InFlight int            `json:"inflight"`
	Queued   int            `json:"queued"`
	Versions []HeldSnapshot `json:"versions"`
}

// reportHistory keeps past reports, for stubs that report their state with a
// delay.
type reportHistory struct {
	mu      sync.Mutex
	samples []sample // ascending by time
}

type sample struct {
	at     time.Time
	report report
}

// delayed adds the current report and returns the newest one that is at least lag
// old, or the oldest one when none is.
func (h *reportHistory) delayed(at time.Time, lag time.Duration, current report) report {
	h.mu.Lock()
	defer h.mu.Unlock()
	if lag == 0 {
		h.samples = nil
		return current
	}
	h.samples = append(h.samples, sample{at: at, report: current})
	newestOld := 0
	for i, s := range h.samples {
		if at.Sub(s.at) >= lag {
			newestOld = i
		}
	}
	h.samples = h.samples[newestOld:]
	return h.samples[0].report
}

// report returns the load and state that the stub reports. They may be delayed or
// false, depending on its settings.
func (s *Stub) report(at time.Time) report {
	settings := s.settings.Load()
	load := s.slots.load(settings)
	r := s.reports.delayed(at, settings.ReportAge, report{
		State: s.currentState(at, settings), Slots: load.Slots, Conns: settings.MaxConns,
		InFlight: load.InFlight, Queued: load.Queued, Versions: settings.Snapshots,
	})
	if settings.FalseReport != nil {
		r.InFlight, r.Queued, r.Slots = settings.FalseReport.InFlight, settings.FalseReport.Queued, settings.FalseReport.Slots
		r.State = cmp.Or(settings.FalseReport.State, r.State)
	}
	return r
}

func (s *Stub) setLoadHeader(w http.ResponseWriter) {
	w.Header().Set("Load", s.loadText(s.report(time.Now())))
}

// loadText returns the value of a load header. Its fourth figure, how long work takes in
// hundredths of the usual time, is left out while that is the usual time.
func (s *Stub) loadText(r report) string {
	text := fmt.Sprintf("%d,%d,%d", r.InFlight, r.Queued, r.Slots)
	if factor := s.settings.Load().SlowFactor; factor > 0 && factor != 1 {
		text += fmt.Sprintf(",%.0f", 100*factor)
	}
	return text
}
