// Package heads reads header values that callers' and upstreams' protocols
// share.
//
// # Usage
//
//	load := heads.Load(h.Get("Load"))  // nil when it makes no sense
//	wait := heads.After(h)             // 0 when it is missing
package heads

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"comfreypulley/core/model"
)

// maxAfter bounds a Retry-After that is taken seriously.
const maxAfter = time.Hour

// After reads Retry-After, in seconds with an optional fraction. It is 0 when
// the header is missing or makes no sense.
func After(h http.Header) time.Duration {
	seconds, err := strconv.ParseFloat(h.Get("Retry-After"), 64)
	if err != nil || !(seconds > 0) || seconds > maxAfter.Seconds() {
		return 0
	}
	return time.Duration(seconds * float64(time.Second))
}

// Load reads a load report: in flight, queued and slots, separated by commas.
// It is nil for anything else.
func Load(text string) *model.Load {
	parts := strings.Split(text, ",")
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
