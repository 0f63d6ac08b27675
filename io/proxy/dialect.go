package proxy

import (
	"net/http"
	"strconv"
	"strings"
	"time"
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
