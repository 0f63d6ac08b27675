package plane

import (
	"time"

	"comfreypulley/core/effect"
	"comfreypulley/core/entry"
	"comfreypulley/core/event"
	"comfreypulley/core/model"
)

// Propose takes a traffic state's claim, settlement or release. Its answer is an
// event.ProposeResponse when it is applied or the time it states has come.
func (c *Control) Propose(at time.Time, e event.ProposeRequest, out []effect.Effect) []effect.Effect {
	p := &proposal{command: e.Command, until: e.Deadline, to: loopReceiver{loop: e.Loop, request: e.Request}}
	return c.seal(len(out), c.moved(at, c.submit(at, p, out)))
}

// loopReceiver answers a traffic state.
type loopReceiver struct {
	loop    int
	request model.RequestID
}

func (l loopReceiver) answer(at time.Time, _ *Control, command entry.Command, r entry.Result, out []effect.Effect) []effect.Effect {
	if mustCommit(command) && !r.Status.Applied() {
		out = append(out, effect.Note{
			At: at, Subject: "ledger", Action: "gave up recording an outcome", Cause: r.Status.String() + ": " + r.Detail, Alert: true,
		})
	}
	return append(out, effect.ToTraffic{Loop: l.loop, Body: event.ProposeResponse{Request: l.request, Command: command, Result: r}})
}
