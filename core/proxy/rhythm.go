package proxy

import (
	"math"
	"time"
)

// Bounds of a rhythm of pauses.
const (
	leastPeriod     = time.Second
	leastApart      = 500 * time.Millisecond // answers that are held up closer together belong to one pause, or to a slow upstream
	mostPeriod      = 12 * time.Second
	rhythmTolerance = 40 * time.Millisecond // by which the ends of pauses may differ from the rhythm
	sameEnd         = 60 * time.Millisecond // within which held up answers come from the same pause
	mostPause       = 400 * time.Millisecond
	rhythmSure      = 2   // pauses that must fit before the rhythm is used
	rhythmCap       = 6   // so that a change of the rhythm is learnt soon
	rhythmMisses    = 3   // pauses off the rhythm, after which it is learnt anew
	mostParts       = 3   // times that a learnt period may be too long, by pauses that were not noticed
	lengthKept      = 0.9 // of the length of pauses, after one that was shorter
	pauseGuard      = 12 * time.Millisecond
)

// rhythm is the learnt period of an upstream's pauses, such as those of a
// collector or a compaction. The zero value knows none.
type rhythm struct {
	anchor  time.Time // end of a pause, from which the others are counted
	last    time.Time // end of the last pause noticed
	noticed time.Time // last answer that was held up, by a pause or otherwise
	period  time.Duration
	length  time.Duration // of a pause, as far as noticed
	fits    int
	misses  int
}

// note takes an answer that came at a time and was held up for a while.
func (r *rhythm) note(end time.Time, held time.Duration) {
	held = min(held, mostPause)
	since := end.Sub(r.noticed)
	r.noticed = end
	if end.Sub(r.last) <= sameEnd {
		r.length = max(r.length, held)
	}
	if since < leastApart {
		return
	}
	if r.period > 0 && !r.fit(end, held) {
		return
	}
	if r.period == 0 && !r.last.IsZero() && end.Sub(r.last) <= mostPeriod {
		r.anchor, r.period, r.length, r.fits, r.misses = r.last, end.Sub(r.last), held, 1, 0
	}
	r.last = end
}

// fit compares the end of a pause with the rhythm, and corrects the rhythm. It
// reports false for a pause that does not count.
func (r *rhythm) fit(end time.Time, held time.Duration) bool {
	for parts := 1; parts <= mostParts; parts++ {
		// Missed pauses may have made the period two or three times too long.
		period := r.period / time.Duration(parts)
		if period < leastPeriod {
			break
		}
		n := math.Round(float64(end.Sub(r.anchor)) / float64(period))
		off := end.Sub(r.anchor) - time.Duration(n*float64(period))
		if off.Abs() > rhythmTolerance || n < 1 {
			continue
		}
		r.period = time.Duration(float64(end.Sub(r.anchor)) / n)
		r.length = max(time.Duration(lengthKept*float64(r.length)), held)
		r.fits, r.misses = min(r.fits+1, rhythmCap), 0
		return true
	}
	if r.misses++; r.misses >= rhythmMisses {
		r.period, r.fits, r.misses = 0, 0, 0
		return true
	}
	return false
}

// wait returns how long an attempt that is sent now and takes as long as given
// would be held up by the next pause.
func (r *rhythm) wait(at time.Time, takes time.Duration) time.Duration {
	if r.fits < rhythmSure {
		return 0
	}
	n := math.Ceil(float64(at.Sub(r.anchor)-pauseGuard) / float64(r.period))
	end := r.anchor.Add(time.Duration(n * float64(r.period)))
	if at.Before(end.Add(-r.length - takes - pauseGuard)) {
		return 0
	}
	return max(0, end.Add(pauseGuard).Sub(at))
}
