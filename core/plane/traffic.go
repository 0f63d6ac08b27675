package plane

import (
	"time"

	"comfreypulley/core/effect"
	"comfreypulley/core/entry"
	"comfreypulley/core/event"
	"comfreypulley/core/model"
)

// HandleProposeRequest handles a traffic state's claim, settlement or release.
// The answer is an event.ProposeResponse, sent when the command is applied or
// at the latest at e.Deadline.
func (c *Control) HandleProposeRequest(at time.Time, e event.ProposeRequest, out []effect.Effect) []effect.Effect {
	p := &proposal{command: e.Command, deadline: e.Deadline, receiver: loopReceiver{loop: e.Loop, request: e.Request}}
	return c.complete(len(out), c.update(at, c.submit(at, p, out)))
}

// loopReceiver sends the answer to the traffic loop that proposed the command.
type loopReceiver struct {
	loop    int
	request model.RequestID
}

func (l loopReceiver) receiveResult(at time.Time, _ *Control, command entry.Command, r entry.Result, out []effect.Effect) []effect.Effect {
	if mustCommit(command) && !r.Status.Applied() {
		out = append(out, effect.Note{
			At: at, Subject: "ledger", Action: "gave up recording an outcome", Cause: r.Status.String() + ": " + r.Detail, Alert: true,
		})
	}
	return append(out, effect.ToTraffic{Loop: l.loop, Body: event.ProposeResponse{Request: l.request, Command: command, Result: r}})
}
