package proxy

import (
	"bytes"
	"time"

	"comfreypulley/core/effect"
	"comfreypulley/core/model"
)

// narrow turns a call for another VM's portion into one over its shards, with a
// single attempt for each: the other VM makes the second one. It reports false
// when the portion is not of the document in force.
func (t *Table) narrow(c *call) bool {
	p := c.event.Portion
	if p.Version != t.document.Version || !c.scatter() {
		return false
	}
	route := *c.route
	route.Attempts = 1
	for _, n := range p.Legs {
		if n < 0 || n >= len(route.Shards) {
			return false
		}
		c.legs = append(c.legs, &leg{service: route.Shards[n], ran: model.RanNo})
	}
	c.route = &route
	return len(c.legs) > 0
}

// stepPortion makes the attempts of a portion and answers once each shard has an
// answer, cannot get one, or is overdue.
func (t *Table) stepPortion(at time.Time, c *call, out []effect.Effect) []effect.Effect {
	open := false
	due := c.deadline
	for _, l := range c.legs {
		if len(l.tries) == 0 && !l.lost {
			if h := t.pick(at, c, l); h != nil {
				out = t.send(at, c, l, h, out)
			}
			l.lost = true // whatever comes, the other VM goes on with this shard
		}
		if l.part != nil || l.pending == 0 {
			continue
		}
		hedge := l.tries[0].sent.Add(c.pace.portion(c.route))
		if flow := c.flow.Add(flowGap); flow.After(hedge) {
			hedge = flow
		}
		open = open || hedge.After(at)
		if hedge.After(at) && hedge.Before(due) {
			due = hedge
		}
	}
	if !open || !at.Before(c.deadline) {
		return t.finishPortion(at, c, out)
	}
	return t.wakeAt(at, c, due, out)
}

// finishPortion answers the other VM.
func (t *Table) finishPortion(at time.Time, c *call, out []effect.Effect) []effect.Effect {
	g := effect.Gather{Request: c.event.ID}
	for i, l := range c.legs {
		p := model.Piece{Leg: c.event.Portion.Legs[i]}
		if len(l.tries) > 0 && l.arrivals() > 0 {
			p.Tried = l.tries[0].host.upstream.ID
		}
		if l.part != nil {
			p.Receipt = l.part.receipt
		}
		g.Pieces = append(g.Pieces, p)
	}
	g.Records = bytes.Clone(merge(c).Records)
	out = append(out, g)
	return t.close(at, c, "gathered", "", out)
}
