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

const maxBodyBytes = 1 << 20

// shardRequest is a parsed POST /v1/shard/INDEX/VERSION/SHARD request.
type shardRequest struct {
	index   string
	version uint64
	shard   int
	query   []byte
	timeout time.Duration
}

// shardAnswer is the body of the answer to a shard request.
type shardAnswer struct {
	Version uint64 `json:"version"`
	Shards  int    `json:"shards"`
	Shard   int    `json:"shard"`
	Items   []Item `json:"items"`
}

func (s *Stub) serveShard(w http.ResponseWriter, r *http.Request) {
	request, err := parseShardRequest(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	began := time.Now()
	settings := s.settings.Load()
	s.runs.updateCounters(func(l *RunLog) { l.Attempts++ })
	w.Header().Set("Ran", "no")
	s.setLoadHeader(w)
	snapshot, held := settings.heldSnapshot(request)
	if state := s.currentState(began, settings); state != StateActive {
		w.Header().Set("State", state)
		w.Header().Set("Retry-After", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if !held {
		w.WriteHeader(http.StatusConflict)
		return
	}
	switch s.slots.acquire(r.Context(), settings, request.timeout) {
	case shed:
		s.runs.updateCounters(func(l *RunLog) { l.Shed++ })
		w.Header().Set("Retry-After", "0")
		w.WriteHeader(http.StatusTooManyRequests)
	case expired:
		w.WriteHeader(http.StatusGatewayTimeout)
	case cancelled:
	case acquired:
		s.runShard(w, r, settings, request, snapshot)
	}
}

// runShard runs a request that has acquired a slot, releases the slot and sends
// the answer.
func (s *Stub) runShard(w http.ResponseWriter, r *http.Request, settings *Settings, request shardRequest, h HeldSnapshot) {
	n := s.runs.begin(Run{
		At: time.Now(), RequestID: r.Header.Get("Request"), Attempt: r.Header.Get("Attempt"),
		IdempotencyKey: r.Header.Get("Idempotency-Key"),
		Index:          request.index, Version: request.version, ShardCount: h.ShardCount, Shard: request.shard,
	})
	end := EndFinished
	if asksForCrash(request.query) {
		end = EndCrashed
	} else if !sleep(r.Context(), s.serviceTime(time.Now(), settings)) {
		end = EndCancelled
	}
	s.runs.end(n, end)
	s.slots.release(s.settings.Load())
	switch end {
	case EndCrashed:
		s.Crash()
		panic(http.ErrAbortHandler)
	case EndFinished:
		// The answer's network latency must not occupy the slot.
		sleep(r.Context(), latencyOf(r.Context()))
		w.Header().Set("Ran", "yes")
		s.setLoadHeader(w)
		writeJSON(w, s.answer(settings, request, h))
	}
}

// answer returns the answer to a request. It chooses another version or shard with
// the probability Settings.WrongFraction.
func (s *Stub) answer(settings *Settings, request shardRequest, h HeldSnapshot) shardAnswer {
	version, shard := request.version, request.shard
	s.mu.Lock()
	random := s.random.Float64()
	s.mu.Unlock()
	switch {
	case random >= settings.WrongFraction:
	case random < settings.WrongFraction/2:
		version++
	default:
		shard = (shard + 1) % h.ShardCount
	}
	return shardAnswer{
		Version: version, Shards: h.ShardCount, Shard: shard, Items: ShardItems(request.index, version, h.ShardCount, shard, request.query),
	}
}

// asksForCrash reports whether the query asks the upstream to crash.
func asksForCrash(query []byte) bool {
	var body struct {
		Crash bool `json:"crash"`
	}
	return json.Unmarshal(query, &body) == nil && body.Crash
}

func parseShardRequest(r *http.Request) (request shardRequest, err error) {
	parts := slices.Collect(SplitPath(r.URL.Path))
	if len(parts) != 6 || parts[0] != "" || parts[1] != "v1" || parts[2] != "shard" || r.Method != http.MethodPost {
		return request, fmt.Errorf("%s of path %q is not a shard request", r.Method, r.URL.Path)
	}
	request.index = parts[3]
	if request.version, err = strconv.ParseUint(parts[4], 10, 64); err != nil {
		return request, err
	}
	if request.shard, err = strconv.Atoi(parts[5]); err != nil {
		return request, err
	}
	ms, err := strconv.ParseInt(r.Header.Get("Timeout"), 10, 64)
	if err != nil || ms <= 0 {
		return request, fmt.Errorf("header Timeout must be a number of milliseconds above 0, not %q", r.Header.Get("Timeout"))
	}
	request.timeout = time.Duration(ms) * time.Millisecond
	request.query, err = io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	return request, err
}

// serviceTime draws the time that a request takes to run.
func (s *Stub) serviceTime(at time.Time, settings *Settings) time.Duration {
	s.mu.Lock()
	normal, rare := s.random.NormFloat64(), s.random.Float64()
	age := at.Sub(s.startedAt)
	s.mu.Unlock()
	took := float64(settings.MedianServiceTime) * math.Exp(settings.ServiceTimeSigma*normal)
	if settings.SlowFactor > 0 {
		took *= settings.SlowFactor
	}
	if rare < settings.RareFraction {
		took *= settings.RareFactor
	}
	if left := settings.ColdPeriod + settings.WarmUpPeriod - age; left > 0 && settings.WarmUpFactor > 1 && left <= settings.WarmUpPeriod {
		took *= 1 + (settings.WarmUpFactor-1)*float64(left)/float64(settings.WarmUpPeriod)
	}
	return time.Duration(took)
}

// sleep pauses for d. It reports false when ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
