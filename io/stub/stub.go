package stub

import (
	"errors"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Stub is an upstream whose behaviour can be configured. It is created by New.
type Stub struct {
	settings   atomic.Pointer[Settings]
	runs       *runRecorder
	forwarding *ForwardingConfig      // nil for a stub that answers shard requests
	upstreamID atomic.Pointer[string] // forwarded requests for another upstream are refused
	slots      slotQueue
	reports    reportHistory

	mu        sync.Mutex
	random    *rand.Rand
	startedAt time.Time
	crash     func() // closes the listeners and resets the connections; nil without a Server
}

// New returns a stub. It fails when a setting is invalid or the run log file
// cannot be opened.
func New(cfg Config) (s *Stub, err error) {
	settings := cfg.Settings
	if settings.State == "" {
		settings.State = StateActive
	}
	settings.Slots = max(1, settings.Slots)
	if err := settings.validate(); err != nil {
		return nil, err
	}
	s = &Stub{forwarding: cfg.Forwarding, random: rand.New(rand.NewPCG(cfg.Seed, 1)), startedAt: time.Now()}
	s.settings.Store(&settings)
	s.SetUpstreamID(cfg.ID)
	s.runs, err = newRunRecorder(cfg.ID, cfg.RunLogFile)
	return s, err
}

// Runs returns a copy of the run log.
func (s *Stub) Runs() []Run {
	return s.runs.copy().Runs
}

// RunLog returns a copy of the run log and the counters.
func (s *Stub) RunLog() RunLog {
	return s.runs.copy()
}

// Settings returns the settings in force. Their slices must not be modified.
func (s *Stub) Settings() Settings {
	return *s.settings.Load()
}

// Change replaces the settings by an edited copy. The edit must replace slices
// instead of modifying them. When the result is invalid, Change returns an error
// and the settings stay as they are.
func (s *Stub) Change(edit func(next *Settings)) error {
	return s.applyChange(func(current Settings) (Settings, error) {
		edit(&current)
		return current, nil
	})
}

func (s *Stub) applyChange(edit func(Settings) (Settings, error)) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	next, err := edit(*s.settings.Load())
	if err != nil {
		return err
	}
	if err := next.validate(); err != nil {
		return err
	}
	s.settings.Store(&next)
	return nil
}

// Crash closes the listeners and resets the connections. The Server listens again
// after the restart delay of the settings.
func (s *Stub) Crash() {
	s.runs.updateCounters(func(l *RunLog) { l.Crashes++ })
	s.mu.Lock()
	crash := s.crash
	s.mu.Unlock()
	if crash != nil {
		crash()
	}
}

// markStarted begins the cold period.
func (s *Stub) markStarted(at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.startedAt = at
}

// currentState returns the state at a time: an active stub is cold at first after
// a start.
func (s *Stub) currentState(at time.Time, settings *Settings) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if settings.State == StateActive && at.Sub(s.startedAt) < settings.ColdPeriod {
		return StateCold
	}
	return settings.State
}

// ServeHTTP implements http.Handler.
func (s *Stub) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if attempt := r.Header.Get("Attempt"); attempt != "" {
		w.Header().Set("Attempt", attempt) // tells the response from a late copy of another one
	}
	switch r.URL.Path {
	case "/v1/control":
		s.serveControl(w, r)
	case "/v1/crash":
		s.Crash()
	case "/v1/runs":
		writeJSON(w, s.RunLog())
	case "/v1/report":
		if awaitDialCost(r.Context()) && sleep(r.Context(), 2*latencyOf(r.Context())) {
			writeJSON(w, s.report(time.Now()))
		}
	default:
		if awaitDialCost(r.Context()) && sleep(r.Context(), latencyOf(r.Context())) {
			s.serveUpstream(w, r)
		}
	}
}

func (s *Stub) serveUpstream(w http.ResponseWriter, r *http.Request) {
	if s.forwarding != nil {
		s.serveForwarded(w, r)
		return
	}
	s.serveShard(w, r)
}

// Close closes the run log file.
func (s *Stub) Close() error {
	if s.runs.file == nil {
		return nil
	}
	return errors.Join(s.runs.file.Sync(), s.runs.file.Close())
}
