package proxy

import (
	"time"

	"comfreypulley/core/event"
	"comfreypulley/core/model"
)

// call is one caller's request.
type call struct {
	event    event.ProxyRequest
	route    *model.Route
	pace     *pace
	version  uint64
	arrived  time.Time
	deadline time.Time
	cutoff   time.Time // when a partial answer is worth more than a late whole one
	legs     []*leg
	roster   time.Duration // age of the list of upstreams
	flow     time.Time     // when the last part came; the arrival of the call before the first one
	ended    bool
	timer    time.Time
	struck   []model.UpstreamID // that broke off
	stream   stream             // of a portion for another VM
}

// leg is the part of a call that one service answers.
type leg struct {
	service string
	tries   []*attempt
	pending int           // attempts without an end
	part    *part         // the good answer
	failure *part         // the upstream's own failure, passed on when nothing better comes
	next    time.Time     // no attempt before
	blocked time.Time     // since when an attempt waits for an allowance; zero when none does
	after   time.Duration // the longest wait that an upstream asked for
	ran     model.Ran     // whether the request may have run on this leg
	lost    bool          // no further attempt will be made
	told    bool          // the other VM has its piece
}

// part is an answer of an upstream.
type part struct {
	reply   model.Response
	receipt string
}

// attempt is one request on one upstream.
type attempt struct {
	id         model.AttemptID
	call       *call
	leg        *leg
	host       *host
	sent       time.Time
	expected   time.Duration // typical latency of the route on this upstream when it was sent
	took       time.Duration
	outcome    string
	hedge      bool
	delegation *delegation // the attempt is part of it; nil for one on an upstream
	abandoned  bool        // cancelled after its call ended without it
}

// scatter reports whether the answer is merged from shards.
func (c *call) scatter() bool { return len(c.route.Shards) > 0 }

// included counts the legs with a good answer.
func (c *call) included() int {
	n := 0
	for _, l := range c.legs {
		if l.part != nil {
			n++
		}
	}
	return n
}

// enough reports whether the answered legs reach the least coverage.
func (c *call) enough() bool {
	return c.included() >= c.least()
}

// least is the number of legs that an answer must have.
func (c *call) least() int { return leastLegs(c.route, len(c.legs)) }

// lacking is how many more legs a call needs than are answered or under way.
func (c *call) lacking() int {
	n := c.least()
	for _, l := range c.legs {
		if l.part != nil || l.pending > 0 {
			n--
		}
	}
	return n
}

// hopeless reports whether too many legs cannot be answered any more. A caller
// that is told so early may try again within its objective.
func (c *call) hopeless(at time.Time) bool {
	left := len(c.legs)
	for _, l := range c.legs {
		if l.part != nil || l.pending > 0 {
			continue
		}
		if l.lost || !l.blocked.IsZero() && at.Sub(l.blocked) >= giveUpAfter {
			left--
		}
	}
	return left < c.least()
}

// ran says whether the request may have run anywhere.
func (c *call) ran() model.Ran {
	ran := model.RanNo
	for _, l := range c.legs {
		switch {
		case l.part != nil || l.ran == model.RanYes:
			return model.RanYes
		case l.ran == model.RanUnknown || l.pending > 0:
			ran = model.RanUnknown
		}
	}
	return ran
}

// after returns the longest wait that an upstream asked for.
func (c *call) after() time.Duration {
	var longest time.Duration
	for _, l := range c.legs {
		longest = max(longest, l.after)
	}
	return longest
}

// allowed is the number of attempts that the route allows for each leg.
func (c *call) allowed() int {
	if c.route.AtMostOnce {
		return 1
	}
	return max(1, c.route.MaxAttempts)
}

// uncertain notes that the request may have run on the leg.
func (l *leg) uncertain() {
	if l.ran == model.RanNo {
		l.ran = model.RanUnknown
	}
}

// tried reports whether the leg was sent to an upstream.
func (l *leg) tried(h *host) bool {
	for _, a := range l.tries {
		if a.host == h {
			return true
		}
	}
	return false
}

// arrivals counts the attempts that may have reached an upstream.
func (l *leg) arrivals() int {
	n := 0
	for _, a := range l.tries {
		if a.outcome != string(model.FailedRefused) {
			n++
		}
	}
	return n
}
