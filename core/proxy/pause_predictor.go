package proxy

import (
	"math"
	"time"
)

// Parameters of the prediction of periodic pauses.
const (
	minPeriod        = time.Second
	minSlowInterval  = 500 * time.Millisecond // slow answers closer together are of one pause, or of an upstream that is slow throughout
	maxPeriod        = 12 * time.Second
	periodTolerance  = 40 * time.Millisecond  // how far the end of a pause may be from the predicted one
	samePauseWindow  = 60 * time.Millisecond  // slow answers within this time of a pause's end are of that pause
	maxPauseLength   = 400 * time.Millisecond // caps the length learnt from one answer
	minMatches       = 2                      // pauses that must match the period before it is used
	maxMisses        = 3                      // pauses in a row off the period, after which the period is learnt again
	maxPeriodDivisor = 3                      // the learnt period may be up to this many real ones long, since some pauses go unnoticed
	lengthDecay      = 0.9                    // factor on the learnt length for each pause that was shorter
	pauseMargin      = 12 * time.Millisecond
)

// pausePredictor learns the period of an upstream's recurring pauses, such as
// those of garbage collection or compaction. The zero value has learnt none.
type pausePredictor struct {
	anchor   time.Time // end of the pause from which the period is counted
	lastEnd  time.Time // end of the last pause that was noticed
	lastSlow time.Time // last slow answer, of a pause or not
	period   time.Duration
	length   time.Duration // of a pause
	matches  int
	misses   int
}

// observe records when a slow answer ended and by how much it was delayed.
func (p *pausePredictor) observe(end time.Time, delay time.Duration) {
	delay = min(delay, maxPauseLength)
	since := end.Sub(p.lastSlow)
	p.lastSlow = end
	if end.Sub(p.lastEnd) <= samePauseWindow {
		p.length = max(p.length, delay)
	}
	if since < minSlowInterval {
		return
	}
	if p.period > 0 && !p.match(end, delay) {
		return
	}
	if p.period == 0 && !p.lastEnd.IsZero() && end.Sub(p.lastEnd) <= maxPeriod {
		p.anchor, p.period, p.length, p.matches, p.misses = p.lastEnd, end.Sub(p.lastEnd), delay, 1, 0
	}
	p.lastEnd = end
}

// match compares the end of a pause with the learnt period and refines the
// period. It reports false for a pause that is to be ignored.
func (p *pausePredictor) match(end time.Time, delay time.Duration) bool {
	for divisor := 1; divisor <= maxPeriodDivisor; divisor++ {
		// Unnoticed pauses may have made the period two or three times too long.
		period := p.period / time.Duration(divisor)
		if period < minPeriod {
			break
		}
		n := math.Round(float64(end.Sub(p.anchor)) / float64(period))
		off := end.Sub(p.anchor) - time.Duration(n*float64(period))
		if off.Abs() > periodTolerance || n < 1 {
			continue
		}
		p.period = time.Duration(float64(end.Sub(p.anchor)) / n)
		p.length = max(time.Duration(lengthDecay*float64(p.length)), delay)
		p.matches, p.misses = p.matches+1, 0
		return true
	}
	if p.misses++; p.misses >= maxMisses {
		p.period, p.matches, p.misses = 0, 0, 0
		return true
	}
	return false
}

// delay returns for how long the next pause would delay an attempt that is sent
// now and has the given latency; 0 when it ends before the pause.
func (p *pausePredictor) delay(at time.Time, latency time.Duration) time.Duration {
	if p.matches < minMatches {
		return 0
	}
	n := math.Ceil(float64(at.Sub(p.anchor)-pauseMargin) / float64(p.period))
	end := p.anchor.Add(time.Duration(n * float64(p.period)))
	if at.Before(end.Add(-p.length - latency - pauseMargin)) {
		return 0
	}
	return max(0, end.Add(pauseMargin).Sub(at))
}
