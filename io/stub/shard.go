package stub

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"net/http"
	"slices"
	"strconv"
	"time"
)

const maxQuery = 1 << 20

// subrequest is a parsed shard request.
type subrequest struct {
	index   string
	version uint64
	shard   int
	query   []byte
	timeout time.Duration
}

// answer is the body of a shard's answer.
type answer struct {
	Version uint64 `json:"version"`
	Shards  int    `json:"shards"`
	Shard   int    `json:"shard"`
	Items   []Item `json:"items"`
}

func (s *Stub) serveShard(w http.ResponseWriter, r *http.Request) {
	sub, err := parseSubrequest(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	began := time.Now()
	set := s.settings.Load()
	s.runlog.count(func(l *Log) { l.Attempts++ })
	w.Header().Set("Ran", "no")
	s.setLoad(w)
	holding, held := set.holding(sub)
	if state := s.state(began, set); state != StateActive {
		w.Header().Set("State", state)
		w.Header().Set("Retry-After", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if !held {
		w.WriteHeader(http.StatusConflict)
		return
	}
	switch s.slots.enter(r.Context(), set, sub.timeout) {
	case shed:
		s.runlog.count(func(l *Log) { l.Shed++ })
		w.Header().Set("Retry-After", "0")
		w.WriteHeader(http.StatusTooManyRequests)
	case expired:
		w.WriteHeader(http.StatusGatewayTimeout)
	case cancelled:
	case entered:
		s.runShard(w, r, set, sub, holding)
	}
}

// runShard runs a request in its slot and then answers it.
func (s *Stub) runShard(w http.ResponseWriter, r *http.Request, set *Settings, sub subrequest, h Holding) {
	n := s.runlog.begin(Run{
		At: time.Now(), Request: r.Header.Get("Request"), Attempt: r.Header.Get("Attempt"),
		Key: r.Header.Get("Idempotency-Key"), Index: sub.index, Version: sub.version, Shards: h.Shards, Shard: sub.shard,
	})
	end := EndFinished
	if crashes(sub.query) {
		end = EndCrashed
	} else if !sleep(r.Context(), s.serviceTime(time.Now(), set)) {
		end = EndCancelled
	}
	s.runlog.end(n, end)
	s.slots.leave(s.settings.Load())
	switch end {
	case EndCrashed:
		s.Crash()
		panic(http.ErrAbortHandler)
	case EndFinished:
		// The way back takes place outside of the slot.
		sleep(r.Context(), distanceOf(r.Context()))
		w.Header().Set("Ran", "yes")
		s.setLoad(w)
		writeJSON(w, s.answer(set, sub, h))
	}
}

// answer returns the answer to a request, or a wrong one now and then.
func (s *Stub) answer(set *Settings, sub subrequest, h Holding) answer {
	version, shard := sub.version, sub.shard
	s.mu.Lock()
	draw := s.random.Float64()
	s.mu.Unlock()
	switch {
	case draw >= set.Wrong:
	case draw < set.Wrong/2:
		version++
	default:
		shard = (shard + 1) % h.Shards
	}
	return answer{
		Version: version, Shards: h.Shards, Shard: shard, Items: Content(sub.index, version, h.Shards, shard, sub.query),
	}
}

// crashes reports whether a query is marked to crash whoever runs it.
func crashes(query []byte) bool {
	var mark struct {
		Crash bool `json:"crash"`
	}
	return json.Unmarshal(query, &mark) == nil && mark.Crash
}

func parseSubrequest(r *http.Request) (sub subrequest, err error) {
	parts := slices.Collect(SplitPath(r.URL.Path))
	if len(parts) != 6 || parts[0] != "" || parts[1] != "v1" || parts[2] != "shard" || r.Method != http.MethodPost {
		return sub, fmt.Errorf("%s of path %q is not a shard request", r.Method, r.URL.Path)
	}
	sub.index = parts[3]
	if sub.version, err = strconv.ParseUint(parts[4], 10, 64); err != nil {
		return sub, err
	}
	if sub.shard, err = strconv.Atoi(parts[5]); err != nil {
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

// serviceTime draws the time that a request takes.
func (s *Stub) serviceTime(at time.Time, set *Settings) time.Duration {
	s.mu.Lock()
	normal, rare := s.random.NormFloat64(), s.random.Float64()
	age := at.Sub(s.started)
	s.mu.Unlock()
	took := float64(set.Service) * math.Exp(set.Spread*normal)
	if set.Slow > 0 {
		took *= set.Slow
	}
	if rare < set.Rare {
		took *= set.RareBy
	}
	if left := set.Cold + set.Warm - age; left > 0 && set.WarmBy > 1 && left <= set.Warm {
		took *= 1 + (set.WarmBy-1)*float64(left)/float64(set.Warm)
	}
	return time.Duration(took)
}

// sleep waits and reports false when ctx ends first.
func sleep(ctx context.Context, period time.Duration) bool {
	if period <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(period)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
