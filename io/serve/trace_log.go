package serve

import (
	"strconv"
	"strings"
	"time"

	"github.com/apex/log"

	"comfreypulley/core/effect"
)

// Limits of the log lines about requests, by outcome. A line costs about 20 µs.
const (
	tracePeriod     = time.Second
	maxFailedTraces = 20 // lines in a period about requests without a complete response
	maxServedTraces = 2  // lines in a period about requests with a complete response
)

// traceLog writes one log line for each request, up to a limit of lines for each
// outcome in a period, and reports how many it left out.
type traceLog struct {
	logger      log.Interface
	counters    *Counters
	periodStart time.Time
	written     map[string]int
	omitted     map[string]int
}

func (t *traceLog) write(e effect.Trace) {
	now := time.Now()
	if now.Sub(t.periodStart) >= tracePeriod {
		for outcome, n := range t.omitted {
			t.logger.WithFields(log.Fields{"outcome": outcome, "lines": n}).Info("requests not logged")
		}
		t.periodStart, t.written, t.omitted = now, make(map[string]int), make(map[string]int)
	}
	limit := maxFailedTraces
	if e.Outcome == "served" || e.Outcome == "gathered" {
		limit = maxServedTraces
	}
	t.counters.RecordLatency(e.Outcome, e.Took)
	if t.written[e.Outcome]++; t.written[e.Outcome] > limit {
		t.omitted[e.Outcome]++
		return
	}
	fields := log.Fields{
		"request": e.CallerRequestID, "route": e.Route, "outcome": e.Outcome, "took": e.Took.String(), "document": e.DocumentVersion,
		"roster": e.UpstreamListAge.Truncate(time.Millisecond).String(), "included": e.IncludedShards, "allowed": e.MaxAttempts, "legs": servicesText(e),
	}
	if e.Team != "" {
		fields["team"] = e.Team
	}
	if e.Handover {
		fields["handover"] = true
	}
	if e.Reason != "" {
		fields["reason"] = string(e.Reason)
	}
	t.logger.WithFields(fields).Info("request")
}

// servicesText lists the attempts for each service, with times in milliseconds:
// service[upstream@sent+took:outcome,...].
func servicesText(e effect.Trace) string {
	var b strings.Builder
	ms := func(d time.Duration) string {
		return strconv.FormatFloat(float64(d.Microseconds())/1000, 'f', 1, 64)
	}
	for i, service := range e.Services {
		if i > 0 {
			b.WriteByte(' ')
		}
		b.WriteString(service.Service)
		b.WriteByte('[')
		for j, attempt := range service.Attempts {
			if j > 0 {
				b.WriteByte(',')
			}
			b.WriteString(string(attempt.Upstream) + "@" + ms(attempt.Sent))
			if attempt.Outcome != "" {
				b.WriteString("+" + ms(attempt.Took) + ":" + attempt.Outcome)
			}
		}
		b.WriteByte(']')
	}
	return b.String()
}
