package plane

import (
	"time"

	"comfreypulley/core/config"
	"comfreypulley/core/effect"
	"comfreypulley/core/entry"
	"comfreypulley/core/event"
)

// HandleZoneOrder handles an operator's order about a zone. The answer is an
// effect.AnswerOperator.
//
// Nothing in an order says which orders the operator knew of, and a copy of it may
// arrive after newer ones: from a VM that was paused or cut off. An order that would
// change something is therefore carried out only under the operation that follows the
// last order about the zone. The first time it is answered with that operation, and
// the operator sends it again under it. A copy that nobody awaits is not sent again,
// and a late copy of the second request names an operation that another order has used.
func (c *Control) HandleZoneOrder(at time.Time, e event.ZoneOrder, out []effect.Effect) []effect.Effect {
	return c.complete(len(out), c.startRead(at, e.Seq, zoneOrderReader{e}, out))
}

// zoneOrderReader decides about an order with the newest configuration.
type zoneOrderReader struct{ event event.ZoneOrder }

func (r zoneOrderReader) receiveRead(at time.Time, c *Control, current bool, out []effect.Effect) []effect.Effect {
	seq, order := r.event.Seq, r.event.Order
	if valid := config.CheckZone(order.Zone); valid.Status != entry.StatusOK {
		return append(out, effect.AnswerOperator{Seq: seq, Result: valid})
	}
	next := c.store.NextZoneOrderID(order.Zone)
	switch {
	case !current:
		return append(out, effect.AnswerOperator{Seq: seq, Result: entry.Result{
			Status: entry.StatusUnavailable, Detail: "the leader did not confirm which order about the zone is the newest",
		}})
	case c.store.ZoneOrderInForce(order):
		return append(out, effect.AnswerOperator{Seq: seq, Result: entry.Result{Status: entry.StatusOK, Revision: c.store.Revision()}})
	case r.event.Operation != next:
		if r.event.Operation != "" {
			out = append(out, effect.Note{
				At: at, Subject: "zone " + string(order.Zone), Action: "late order not carried out", Cause: "it follows " + string(r.event.Operation) + ", not " + string(next),
			})
		}
		return append(out, effect.AnswerOperator{Seq: seq, Confirm: next, Result: entry.Result{
			Status: entry.StatusConflict, Detail: "not carried out yet; to be sent again as operation " + string(next),
		}})
	}
	p := &proposal{
		command: entry.Change{Op: next, Zone: &order}, deadline: at.Add(commandTimeout), receiver: zoneOrderReceiver{seq: seq},
	}
	return c.submit(at, p, out)
}

// zoneOrderReceiver answers an order about a zone that went to the log.
type zoneOrderReceiver struct{ seq uint64 }

func (o zoneOrderReceiver) receiveResult(_ time.Time, _ *Control, _ entry.Command, r entry.Result, out []effect.Effect) []effect.Effect {
	if r.Status == entry.StatusInvalid {
		// The names were checked before, so another order used the operation.
		r = entry.Result{Status: entry.StatusConflict, Detail: "another order about the zone came first"}
	}
	return append(out, effect.AnswerOperator{Seq: o.seq, Result: r})
}
