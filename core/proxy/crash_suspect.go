package proxy

import (
	"slices"
	"time"

	"comfreypulley/core/effect"
	"comfreypulley/core/event"
	"comfreypulley/core/model"
)

// Limits of the detection of requests that crash upstreams.
const (
	quarantineThreshold = 3 // upstreams that reset the connection without an answer
	suspectPeriod       = 10 * time.Second
	quarantinePeriod    = time.Minute
	maxSuspects         = 4096
	maxPendingCrashes   = 256
	crashDelay          = 2 * minDoubt // after which a suspicion counts although no upstream has answered
)

// crashSuspects are the requests that may have crashed upstreams: the upstreams
// reset the connection. The zero value is empty.
type crashSuspects map[model.Fingerprint]*crashSuspect

type crashSuspect struct {
	upstreams        []model.UpstreamID
	lastCrash        time.Time
	quarantinedUntil time.Time // zero when it never was in quarantine
}

// pendingCrash is a request that may have crashed upstreams, until it is clear that the
// links of this VM work.
type pendingCrash struct {
	fingerprint model.Fingerprint
	upstreams   []model.UpstreamID
	at          time.Time
}

// suspectCrashes notes that upstreams reset the connections of a request. It counts
// only once another upstream answers or the links have not come into doubt, since a
// failure of this VM's own links resets all connections, too.
func (r *Router) suspectCrashes(at time.Time, req *request) {
	if len(req.crashed) == 0 || req.answered() > 0 || len(r.pendingCrashes) >= maxPendingCrashes {
		return
	}
	r.pendingCrashes = append(r.pendingCrashes, pendingCrash{req.event.Fingerprint, slices.Clone(req.crashed), at})
}

// confirmCrashes counts the requests that were suspected before a time, and reports to
// the other VMs what is new.
func (r *Router) confirmCrashes(at, before time.Time, out []effect.Effect) []effect.Effect {
	for len(r.pendingCrashes) > 0 && r.pendingCrashes[0].at.Before(before) {
		p := r.pendingCrashes[0]
		r.pendingCrashes = r.pendingCrashes[1:]
		if report, changed := r.suspects.add(at, p.fingerprint, p.upstreams...); changed {
			out = append(out, effect.ToControl{Body: report})
		}
	}
	return out
}

// quarantined reports whether a request must not run.
func (s crashSuspects) quarantined(at time.Time, fp model.Fingerprint) bool {
	suspect, ok := s[fp]
	return ok && at.Before(suspect.quarantinedUntil)
}

// add records upstreams that reset the connection. It returns what other VMs
// should know of the request, and false when none of it is new.
func (s *crashSuspects) add(at time.Time, fp model.Fingerprint, ids ...model.UpstreamID) (event.CrashReport, bool) {
	if *s == nil {
		*s = make(crashSuspects)
	}
	suspect, ok := (*s)[fp]
	if !ok || at.Sub(suspect.lastCrash) >= suspectPeriod && !at.Before(suspect.quarantinedUntil) {
		if len(*s) >= maxSuspects {
			s.expire(at)
		}
		if len(*s) >= maxSuspects {
			return event.CrashReport{}, false
		}
		suspect = &crashSuspect{}
		(*s)[fp] = suspect
	}
	changed := false
	for _, id := range ids {
		if !slices.Contains(suspect.upstreams, id) {
			suspect.upstreams = append(slices.Clip(suspect.upstreams), id)
			changed = true
		}
	}
	suspect.lastCrash = at
	if len(suspect.upstreams) >= quarantineThreshold && !at.Before(suspect.quarantinedUntil) {
		suspect.quarantinedUntil = at.Add(quarantinePeriod)
		changed = true
	}
	report := event.CrashReport{Fingerprint: fp, Upstreams: suspect.upstreams, Quarantine: max(0, suspect.quarantinedUntil.Sub(at))}
	if suspect.quarantinedUntil.IsZero() {
		report.Quarantine = 0
	}
	return report, changed
}

// clear removes a request that an upstream answered.
func (s crashSuspects) clear(fp model.Fingerprint) { delete(s, fp) }

// expire removes expired entries.
func (s crashSuspects) expire(at time.Time) {
	for fp, suspect := range s {
		if at.Sub(suspect.lastCrash) >= suspectPeriod && !at.Before(suspect.quarantinedUntil) {
			delete(s, fp)
		}
	}
}
