package proxy

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"comfreypulley/core/model"
)

// Dialect names the headers of requests and answers.
type Dialect struct {
	Tag      string // caller's id of the request; upstreams repeat it
	Wait     string // how long the answer is waited for, in milliseconds
	Receipt  string // proof of an upstream's answer
	Expect   string // upstream that a request is meant for
	NotRun   string // the upstream states that it did not run the request
	Load     string // of the upstream: running, waiting and slots, separated by commas
	Receipts string // of the parts in a merged answer
	Missing  string // shards left out of a merged answer
}

// wait reads how long the caller waits, 0 when it does not say.
func (d *Dialect) wait(h http.Header) time.Duration {
	ms, err := strconv.ParseInt(strings.TrimSpace(h.Get(d.Wait)), 10, 64)
	if err != nil || ms <= 0 || ms > int64(time.Hour/time.Millisecond) {
		return 0 // the timeout of the route applies
	}
	return time.Duration(ms) * time.Millisecond
}

// load reads a load report, nil when there is none that makes sense.
func (d *Dialect) load(h http.Header) *model.Load {
	parts := strings.Split(h.Get(d.Load), ",")
	if len(parts) != 3 {
		return nil
	}
	var n [3]int
	for i, part := range parts {
		v, err := strconv.Atoi(strings.TrimSpace(part))
		if err != nil || v < 0 {
			return nil
		}
		n[i] = v
	}
	return &model.Load{Inflight: n[0], Queued: n[1], Slots: n[2]}
}

// after reads Retry-After in seconds, 0 when it is missing or makes no sense.
func after(h http.Header) time.Duration {
	const most = time.Hour
	seconds, err := strconv.ParseFloat(h.Get("Retry-After"), 64)
	if err != nil || !(seconds > 0) || seconds > most.Seconds() {
		return 0
	}
	return time.Duration(seconds * float64(time.Second))
}

// passing returns the headers without those of a single connection.
func passing(h http.Header) http.Header {
	kept := h.Clone()
	for _, list := range h.Values("Connection") {
		for name := range strings.SplitSeq(list, ",") {
			kept.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range []string{
		"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te", "Trailer",
		"Transfer-Encoding", "Upgrade", "Expect",
	} {
		kept.Del(name)
	}
	return kept
}
