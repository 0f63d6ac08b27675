package stub

import (
	"encoding/json"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

const maxQuery = 1 << 20

// Config describes a stand-in.
type Config struct {
	ID      string
	Slots   int           // requests run at once
	Queue   int           // requests that wait for a slot; more are shed
	Conns   int           // connections accepted; reported only
	Service time.Duration // median time to run a request
	Spread  float64       // sigma of the log-normal service time
	Slow    float64       // factor on every service time; 0 means 1
	Rare    float64       // share of requests that take RareBy times as long
	RareBy  float64
	Seed    uint64
	Holds   []Holding
}

// Holding is a version with the shards that the stand-in has.
type Holding struct {
	Index   string `json:"index"`
	Version uint64 `json:"version"`
	Shards  int    `json:"shards"`
	Shard   []int  `json:"holds"`
}

// Run is one line of the run log.
type Run struct {
	At       time.Time `json:"at"`
	Request  string    `json:"request"`
	Attempt  string    `json:"attempt"`
	Key      string    `json:"key"`
	Index    string    `json:"index"`
	Version  uint64    `json:"version"`
	Shard    int       `json:"shard"`
	Finished bool      `json:"finished"` // false when the request was cancelled while it ran
}

// Stub is a stand-in upstream. Make it with New.
type Stub struct {
	cfg    Config
	slots  chan struct{}
	mu     sync.Mutex
	random *rand.Rand
	queued int
	runs   []Run
	holds  []Holding
	state  string
	slow   float64
}

// New returns a stand-in.
func New(cfg Config) *Stub {
	cfg.Slots = max(1, cfg.Slots)
	return &Stub{
		cfg: cfg, slots: make(chan struct{}, cfg.Slots), random: rand.New(rand.NewPCG(cfg.Seed, 1)),
		holds: cfg.Holds, state: "active", slow: max(cfg.Slow, 0),
	}
}

// Runs returns a copy of the run log.
func (s *Stub) Runs() []Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.runs)
}

// SetHolds replaces the versions it holds.
func (s *Stub) SetHolds(holds []Holding) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.holds = holds
}

// SetState makes it active, drained or cold.
func (s *Stub) SetState(state string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state = state
}

// SetSlow sets the factor on every service time.
func (s *Stub) SetSlow(factor float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slow = factor
}

// ServeHTTP implements http.Handler.
func (s *Stub) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/v1/report" {
		s.serveReport(w)
		return
	}
	s.serveShard(w, r)
}

func (s *Stub) serveReport(w http.ResponseWriter) {
	s.mu.Lock()
	body := map[string]any{
		"state": s.state, "slots": s.cfg.Slots, "conns": s.cfg.Conns,
		"inflight": len(s.slots), "queued": s.queued, "versions": s.holds,
	}
	s.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}

// subrequest is a parsed shard request.
type subrequest struct {
	index   string
	version uint64
	shard   int
	query   []byte
	timeout time.Duration
}

func (s *Stub) serveShard(w http.ResponseWriter, r *http.Request) {
	sub, err := parseSubrequest(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	holding, state := s.lookup(sub)
	w.Header().Set("Ran", "no")
	s.setLoad(w)
	switch {
	case state != "active":
		w.Header().Set("State", state)
		w.Header().Set("Retry-After", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case holding == nil:
		w.WriteHeader(http.StatusConflict)
		return
	case !s.enter(r, sub.timeout):
		w.Header().Set("Retry-After", "0")
		w.WriteHeader(http.StatusTooManyRequests)
		return
	}
	defer func() { <-s.slots }()
	n := s.begin(r, sub)
	w.Header().Set("Ran", "yes")
	timer := time.NewTimer(s.serviceTime())
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-r.Context().Done():
		return
	}
	s.finish(n)
	s.setLoad(w)
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{
		"version": sub.version, "shards": holding.Shards, "shard": sub.shard,
		"items": Content(sub.index, sub.version, holding.Shards, sub.shard, sub.query),
	})
}

func parseSubrequest(r *http.Request) (sub subrequest, err error) {
	var n int
	n, err = fmt.Sscanf(r.URL.Path, "/v1/shard/%s", &sub.index)
	if err != nil || n != 1 {
		return sub, fmt.Errorf("path %q is not a shard", r.URL.Path)
	}
	parts := slices.Collect(SplitPath(sub.index))
	if len(parts) != 3 {
		return sub, fmt.Errorf("path %q is not a shard", r.URL.Path)
	}
	sub.index = parts[0]
	if sub.version, err = strconv.ParseUint(parts[1], 10, 64); err != nil {
		return sub, err
	}
	if sub.shard, err = strconv.Atoi(parts[2]); err != nil {
		return sub, err
	}
	ms, err := strconv.ParseInt(r.Header.Get("Timeout"), 10, 64)
	if err != nil || ms <= 0 {
		return sub, fmt.Errorf("header Timeout must be milliseconds above 0, not %q", r.Header.Get("Timeout"))
	}
	sub.timeout = time.Duration(ms) * time.Millisecond
	sub.query, err = io.ReadAll(io.LimitReader(r.Body, maxQuery))
	return sub, err
}

func (s *Stub) lookup(sub subrequest) (*Holding, string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, h := range s.holds {
		if h.Index == sub.index && h.Version == sub.version && slices.Contains(h.Shard, sub.shard) {
			return &h, s.state
		}
	}
	return nil, s.state
}

// enter takes a slot, waiting in the queue while it is not full.
func (s *Stub) enter(r *http.Request, timeout time.Duration) bool {
	select {
	case s.slots <- struct{}{}:
		return true
	default:
	}
	s.mu.Lock()
	if s.queued >= s.cfg.Queue {
		s.mu.Unlock()
		return false
	}
	s.queued++
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		s.queued--
		s.mu.Unlock()
	}()
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case s.slots <- struct{}{}:
		return true
	case <-timer.C:
		return false
	case <-r.Context().Done():
		return false
	}
}

func (s *Stub) begin(r *http.Request, sub subrequest) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs = append(s.runs, Run{
		At: time.Now(), Request: r.Header.Get("Request"), Attempt: r.Header.Get("Attempt"),
		Key: r.Header.Get("Idempotency-Key"), Index: sub.index, Version: sub.version, Shard: sub.shard,
	})
	return len(s.runs) - 1
}

func (s *Stub) finish(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs[n].Finished = true
}

func (s *Stub) serviceTime() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	took := float64(s.cfg.Service) * math.Exp(s.cfg.Spread*s.random.NormFloat64())
	if s.slow > 0 {
		took *= s.slow
	}
	if s.cfg.Rare > 0 && s.random.Float64() < s.cfg.Rare {
		took *= s.cfg.RareBy
	}
	return time.Duration(took)
}

func (s *Stub) setLoad(w http.ResponseWriter) {
	s.mu.Lock()
	queued := s.queued
	s.mu.Unlock()
	w.Header().Set("Load", fmt.Sprintf("%d,%d,%d", len(s.slots), queued, s.cfg.Slots))
}
