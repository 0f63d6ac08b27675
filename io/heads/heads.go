// Package heads checks the status lines, and parses the headers, that several protocols
// of upstreams have in common.
//
// # Usage
//
//	load := heads.ParseLoad(h.Get("Load")) // nil when it is missing or invalid
//	limit := heads.ParseLimit(h.Get("Limit")) // nil when it is missing or invalid
//	wait := heads.ParseRetryAfter(h)       // 0 when it is missing or invalid
//	interim, err := heads.CheckStatus(response)
package heads

import (
	"errors"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"comfreypulley/core/model"
)

// maxRetryAfter is the longest Retry-After; a longer one counts as this one.
const maxRetryAfter = time.Hour

// Upper bounds of what an upstream may report. A report above them is not believed.
const (
	maxLoad = 1 << 20 // requests or slots
	maxRate = 1e9     // requests per second

	maxSlowdown = 100 // times the usual time; more counts as this
	percent     = 100
)

// ParseRetryAfter parses Retry-After, which is a number of seconds with an
// optional fraction. It returns 0 when the header is missing or invalid, and an hour
// when it states more.
func ParseRetryAfter(h http.Header) time.Duration {
	seconds, err := strconv.ParseFloat(h.Get("Retry-After"), 64)
	tooLarge := errors.Is(err, strconv.ErrRange) && seconds > 0
	if err != nil && !tooLarge || !(seconds > 0) || math.IsInf(seconds, 0) && !tooLarge {
		return 0
	}
	return time.Duration(min(seconds, maxRetryAfter.Seconds()) * float64(time.Second))
}

// ParseLoad parses the load of an upstream: the numbers of running requests,
// waiting requests and slots, and optionally how long work takes at this moment, as a
// percentage of the usual time, separated by commas. It returns nil for any other text.
func ParseLoad(text string) *model.Load {
	parts := strings.Split(text, ",")
	if len(parts) != 3 && len(parts) != 4 {
		return nil
	}
	var n [4]int
	for i, part := range parts {
		v, err := strconv.Atoi(strings.TrimSpace(part))
		if err != nil || v < 0 || v > maxLoad {
			return nil
		}
		n[i] = v
	}
	return &model.Load{InFlight: n[0], Queued: n[1], Slots: n[2], Slowdown: min(float64(n[3])/percent, maxSlowdown)}
}

// ParseLimit parses the limit that an upstream states: a decimal number of
// requests per second. It returns nil for any other text.
func ParseLimit(text string) *model.Limit {
	rate, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
	if err != nil || !(rate >= 0) || rate > maxRate {
		return nil
	}
	return &model.Limit{Rate: rate}
}
