package plane

import (
	"time"

	"comfreypulley/core/effect"
	"comfreypulley/core/entry"
)

// changeReader decides with the newest configuration about a change that does not say what
// it follows.
//
// A copy of such a change may arrive after newer ones: from a VM that was paused or cut
// off. It is therefore carried out only under the operation that is next for its object.
// The first time it is answered with that operation, and the operator sends it again under
// it. A copy that nobody awaits is not sent again, and a late copy of the second request
// names an operation that another change has used.
type changeReader struct {
	seq    uint64
	change entry.Change
}

func (r changeReader) receiveRead(at time.Time, c *Control, current bool, out []effect.Effect) []effect.Effect {
	answer := effect.AnswerOperator{Seq: r.seq, Result: c.store.Check(r.change)}
	next := c.store.NextOperation(r.change)
	switch {
	case !current:
		answer.Result = entry.Result{Status: entry.StatusUnavailable, Detail: "the leader did not confirm that the configuration is the newest"}
	case answer.Result.Status != entry.StatusOK:
	case r.change.Zone != nil && c.store.ZoneOrderInForce(*r.change.Zone):
		answer.Result.Revision = c.store.Revision()
	case r.change.Op != next:
		if r.change.Op != "" {
			n := changeNote(at, r.change, entry.Result{Status: entry.StatusConflict, Detail: "comes late; the next operation is " + string(next)})
			out = append(out, n)
		}
		answer.Confirm = next
		answer.Result = entry.Result{Status: entry.StatusConflict, Detail: "not carried out yet; to be sent again as operation " + string(next)}
	default:
		p := &proposal{command: r.change, deadline: at.Add(commandTimeout), receiver: confirmedReceiver{seq: r.seq}}
		return c.submit(at, p, out)
	}
	return append(out, answer)
}

// confirmedReceiver answers a change that went to the log under its operation.
type confirmedReceiver struct{ seq uint64 }

func (o confirmedReceiver) receiveResult(_ time.Time, _ *Control, _ entry.Command, r entry.Result, out []effect.Effect) []effect.Effect {
	if r.Status == entry.StatusInvalid {
		// The change was checked before, so another one used the operation.
		r = entry.Result{Status: entry.StatusConflict, Detail: "another change came first"}
	}
	return append(out, effect.AnswerOperator{Seq: o.seq, Result: r})
}
