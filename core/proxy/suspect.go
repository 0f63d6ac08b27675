package proxy

import (
	"slices"
	"time"

	"comfreypulley/core/event"
	"comfreypulley/core/model"
)

// Bounds of what is held against a request.
const (
	quarantineAt  = 3 // upstreams that broke off and gave no answer
	suspectFor    = 10 * time.Second
	quarantineFor = time.Minute
	maxSuspects   = 4096
)

// suspects are the requests whose upstreams broke off. The zero value is empty.
type suspects map[model.Fingerprint]*suspect

type suspect struct {
	upstreams []model.UpstreamID
	at        time.Time
	until     time.Time // end of the quarantine; zero when there is none
}

// quarantined reports whether a request must not run.
func (s suspects) quarantined(at time.Time, fp model.Fingerprint) bool {
	known, ok := s[fp]
	return ok && at.Before(known.until)
}

// add notes upstreams that broke off, and returns what other VMs should know,
// or false when nothing is new.
func (s *suspects) add(at time.Time, fp model.Fingerprint, ids ...model.UpstreamID) (event.CrashReport, bool) {
	if *s == nil {
		*s = make(suspects)
	}
	known, ok := (*s)[fp]
	if !ok || at.Sub(known.at) >= suspectFor && !at.Before(known.until) {
		if len(*s) >= maxSuspects {
			s.sweep(at)
		}
		if len(*s) >= maxSuspects {
			return event.CrashReport{}, false
		}
		known = &suspect{}
		(*s)[fp] = known
	}
	news := false
	for _, id := range ids {
		if !slices.Contains(known.upstreams, id) {
			known.upstreams = append(slices.Clip(known.upstreams), id)
			news = true
		}
	}
	known.at = at
	if len(known.upstreams) >= quarantineAt && !at.Before(known.until) {
		known.until = at.Add(quarantineFor)
		news = true
	}
	struck := event.CrashReport{Fingerprint: fp, Upstreams: known.upstreams, Quarantine: max(0, known.until.Sub(at))}
	if known.until.IsZero() {
		struck.Quarantine = 0
	}
	return struck, news
}

// clear drops what is held against a request that an upstream answered.
func (s suspects) clear(fp model.Fingerprint) { delete(s, fp) }

func (s suspects) sweep(at time.Time) {
	for fp, known := range s {
		if at.Sub(known.at) >= suspectFor && !at.Before(known.until) {
			delete(s, fp)
		}
	}
}
