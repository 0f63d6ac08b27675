package stub

import (
	"errors"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Stub is a stand-in upstream. Make it with New.
type Stub struct {
	settings atomic.Pointer[Settings]
	runlog   *runlog
	routed   *Routed                // nil for a stand-in of shard requests
	name     atomic.Pointer[string] // that routed requests must name
	slots    slots
	history  history

	mu      sync.Mutex
	random  *rand.Rand
	started time.Time
	crash   func() // closes listeners and connections; nil without a Host
}

// New returns a stand-in. Sources of errors are the settings and the log file.
func New(cfg Config) (s *Stub, err error) {
	set := cfg.Settings
	if set.State == "" {
		set.State = StateActive
	}
	set.Slots = max(1, set.Slots)
	if err := set.check(); err != nil {
		return nil, err
	}
	s = &Stub{routed: cfg.Routed, random: rand.New(rand.NewPCG(cfg.Seed, 1)), started: time.Now()}
	s.settings.Store(&set)
	s.Rename(cfg.ID)
	s.runlog, err = openRunlog(cfg.ID, cfg.Log)
	return s, err
}

// Runs returns a copy of the run log.
func (s *Stub) Runs() []Run {
	return s.runlog.copy().Runs
}

// Log returns a copy of the run log and the counters.
func (s *Stub) Log() Log {
	return s.runlog.copy()
}

// Settings returns the settings in force. Their slices are not to be modified.
func (s *Stub) Settings() Settings {
	return *s.settings.Load()
}

// Change replaces the settings by an edited copy. Slices are replaced, not
// modified. Unusable settings are reported and not taken over.
func (s *Stub) Change(edit func(next *Settings)) error {
	return s.change(func(current Settings) (Settings, error) {
		edit(&current)
		return current, nil
	})
}

func (s *Stub) change(edit func(Settings) (Settings, error)) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	next, err := edit(*s.settings.Load())
	if err != nil {
		return err
	}
	if err := next.check(); err != nil {
		return err
	}
	s.settings.Store(&next)
	return nil
}

// Crash closes the listeners and connections at once. The Host starts again
// after the restart time of the settings.
func (s *Stub) Crash() {
	s.runlog.count(func(l *Log) { l.Crashes++ })
	s.mu.Lock()
	crash := s.crash
	s.mu.Unlock()
	if crash != nil {
		crash()
	}
}

// start begins the cold time.
func (s *Stub) start(at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.started = at
}

// state returns the state at a time: a stand-in that has just started is cold.
func (s *Stub) state(at time.Time, set *Settings) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if set.State == StateActive && at.Sub(s.started) < set.Cold {
		return StateCold
	}
	return set.State
}

// ServeHTTP implements http.Handler.
func (s *Stub) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/v1/control":
		s.serveControl(w, r)
	case "/v1/crash":
		s.Crash()
	case "/v1/runs":
		writeJSON(w, s.Log())
	case "/v1/report":
		if dialled(r.Context()) && sleep(r.Context(), 2*distanceOf(r.Context())) {
			writeJSON(w, s.report(time.Now()))
		}
	default:
		if dialled(r.Context()) && sleep(r.Context(), distanceOf(r.Context())) {
			s.serve(w, r)
		}
	}
}

func (s *Stub) serve(w http.ResponseWriter, r *http.Request) {
	if s.routed != nil {
		s.serveRouted(w, r)
		return
	}
	s.serveShard(w, r)
}

// Close closes the log file.
func (s *Stub) Close() error {
	if s.runlog.file == nil {
		return nil
	}
	return errors.Join(s.runlog.file.Sync(), s.runlog.file.Close())
}
