package proxy

import (
	"slices"
	"time"

	"comfreypulley/core/effect"
	"comfreypulley/core/model"
)

// When a VM answers a portion. Most shards come in one frame; what is late
// follows piece by piece, so that the origin need not wait for it and does not
// lose it.
const (
	firstFrame  = 0.85                 // quantile of the latencies after which the first frame leaves
	firstLatest = 0.25                 // part of the objective after which it does in any case
	lastFrame   = 0.8                  // part of the objective after which nothing is waited for
	failedFrame = 3 * time.Millisecond // from a failure until it is told, with others that come meanwhile
)

// stream is how far the answer to a portion is.
type stream struct {
	began  bool      // the first frame has left
	failed time.Time // when failures are told; zero when there are none
}

// narrow turns a call for another VM's portion into one over its shards, with a
// single attempt for each: the other VM makes the second one. It reports false
// when the portion is not one of the document.
func (t *Table) narrow(c *call) bool {
	p := c.event.Portion
	if !c.scatter() {
		return false
	}
	route := *c.route
	route.MaxAttempts = 1
	for i, n := range p.Shards {
		if n < 0 || n >= len(route.Shards) || i > 0 && n <= p.Shards[i-1] {
			return false
		}
		c.legs = append(c.legs, &leg{service: route.Shards[n], ran: model.RanNo})
	}
	c.route = &route
	return len(c.legs) > 0
}

// stepPortion makes the attempts of a portion and sends what has come of it.
func (t *Table) stepPortion(at time.Time, c *call, out []effect.Effect) []effect.Effect {
	out = t.askShards(at, c, out)
	answered, failed, open := c.untold()
	wait := float64(objective(c.route))
	first := c.arrived.Add(min(c.pace.first(c.route), time.Duration(firstLatest*wait)))
	end := c.arrived.Add(time.Duration(lastFrame * wait))
	if c.deadline.Before(end) {
		end = c.deadline
	}
	switch {
	case len(open) == 0 || !at.Before(end):
		out = t.frame(c, slices.Concat(answered, failed, open), false, out)
		outcome := "gathered"
		if c.included() < len(c.legs) {
			outcome = "incomplete"
		}
		return t.close(at, c, outcome, "", out)
	case !c.stream.began && !at.Before(first):
		c.stream.began, c.stream.failed = true, time.Time{}
		out = t.frame(c, slices.Concat(answered, failed, open), true, out)
		failed = nil
	case c.stream.began:
		// A later frame has one answer, since the other VM may have others
		// directly by then.
		for _, n := range answered {
			out = t.frame(c, []int{n}, true, out)
		}
	}
	if out = t.frameFailures(at, c, failed, out); !c.stream.failed.IsZero() && c.stream.failed.Before(end) {
		end = c.stream.failed
	}
	if !c.stream.began && first.Before(end) {
		end = first
	}
	return t.wakeAt(at, c, end, out)
}

// askShards makes the first attempt of each shard, and another one while no
// upstream was reached: that does not count as an attempt.
func (t *Table) askShards(at time.Time, c *call, out []effect.Effect) []effect.Effect {
	for _, l := range c.legs {
		if l.lost || l.pending > 0 || l.part != nil {
			continue
		}
		if h := t.pick(at, c, l); h != nil && l.arrivals() == 0 {
			out = t.send(at, c, l, h, out)
		} else {
			l.lost = true // the other VM goes on with this shard
		}
	}
	return out
}

// untold returns the legs whose pieces the other VM does not have.
func (c *call) untold() (answered, failed, open []int) {
	for n, l := range c.legs {
		switch {
		case l.told:
		case l.part != nil:
			answered = append(answered, n)
		case l.pending == 0:
			failed = append(failed, n)
		default:
			open = append(open, n)
		}
	}
	return answered, failed, open
}

// frameFailures tells failures after a short wait for others.
func (t *Table) frameFailures(at time.Time, c *call, failed []int, out []effect.Effect) []effect.Effect {
	switch {
	case len(failed) == 0:
		c.stream.failed = time.Time{}
	case c.stream.failed.IsZero():
		c.stream.failed = at.Add(failedFrame)
	case !at.Before(c.stream.failed):
		c.stream.failed = time.Time{}
		return t.frame(c, failed, true, out)
	}
	return out
}

// frame sends the pieces of some legs. Of those that are open the origin learns
// which upstream it need not try.
func (t *Table) frame(c *call, legs []int, more bool, out []effect.Effect) []effect.Effect {
	g := effect.SendPortionResult{Request: c.event.ID, More: more}
	var parts []*leg
	for _, n := range legs {
		l := c.legs[n]
		l.told = l.part != nil || l.pending == 0 || !more
		p := model.ShardResult{Shard: c.event.Portion.Shards[n], Pending: !l.told}
		for _, a := range l.tries {
			if a.outcome != string(model.FailedRefused) {
				p.Upstream = a.host.upstream.ID
			}
		}
		if l.part != nil {
			p.Receipt = l.part.receipt
			parts = append(parts, l)
		}
		g.Results = append(g.Results, p)
	}
	g.Records = merge(parts, c.route.TopK).Records
	if more && len(g.Results) == 0 {
		return out
	}
	return append(out, g)
}
