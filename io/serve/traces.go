package serve

import (
	"strconv"
	"strings"
	"time"

	"github.com/apex/log"

	"comfreypulley/core/effect"
)

// Bounds of the lines on requests. A line costs about 20 µs.
const (
	tracePeriod  = time.Second
	failedTraces = 20 // lines of requests that were not served whole, in a period
	servedTraces = 2  // lines of served requests, in a period
)

// traces writes one line for a request, within a bound for each outcome, and
// counts what it leaves out. The zero value needs a logger and counters.
type traces struct {
	logger   log.Interface
	counters *Counters
	period   time.Time
	written  map[string]int
	omitted  map[string]int
}

func (t *traces) write(e effect.Trace) {
	now := time.Now()
	if now.Sub(t.period) >= tracePeriod {
		for outcome, n := range t.omitted {
			t.logger.WithFields(log.Fields{"outcome": outcome, "lines": n}).Info("requests not logged")
		}
		t.period, t.written, t.omitted = now, make(map[string]int), make(map[string]int)
	}
	most := failedTraces
	if e.Outcome == "served" || e.Outcome == "gathered" {
		most = servedTraces
	}
	t.counters.Latency(e.Outcome, e.Took)
	if t.written[e.Outcome]++; t.written[e.Outcome] > most {
		t.omitted[e.Outcome]++
		return
	}
	fields := log.Fields{
		"request": e.CallerRequestID, "route": e.Route, "outcome": e.Outcome, "took": e.Took.String(), "document": e.DocumentVersion,
		"roster": e.UpstreamListAge.Truncate(time.Millisecond).String(), "included": e.IncludedShards, "allowed": e.MaxAttempts, "legs": legsText(e),
	}
	if e.Reason != "" {
		fields["reason"] = string(e.Reason)
	}
	t.logger.WithFields(fields).Info("request")
}

// legsText says for each service which upstreams were tried: when, for how long
// and with what end, times in milliseconds.
func legsText(e effect.Trace) string {
	var b strings.Builder
	ms := func(d time.Duration) string {
		return strconv.FormatFloat(float64(d.Microseconds())/1000, 'f', 1, 64)
	}
	for i, leg := range e.Services {
		if i > 0 {
			b.WriteByte(' ')
		}
		b.WriteString(leg.Service)
		b.WriteByte('[')
		for j, try := range leg.Attempts {
			if j > 0 {
				b.WriteByte(',')
			}
			b.WriteString(string(try.Upstream) + "@" + ms(try.Sent))
			if try.Outcome != "" {
				b.WriteString("+" + ms(try.Took) + ":" + try.Outcome)
			}
		}
		b.WriteByte(']')
	}
	return b.String()
}
