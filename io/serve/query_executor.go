package serve

import (
	"github.com/apex/log"

	"comfreypulley/core/effect"
	"comfreypulley/io/admin"
	"comfreypulley/io/caller"
	"comfreypulley/io/dialer"
	"comfreypulley/io/loop"
)

// queryExecutor carries out the effects of one traffic loop that answers queries.
type queryExecutor struct {
	loop      *loop.Loop
	control   *loop.Loop
	dialer    *dialer.Dialer
	caller    *caller.Server
	operators *admin.Server
	counters  *Counters
	usage     *UsageLog
	logger    log.Interface
	verbose   bool // write a log line for each refusal
	drained   chan struct{}
}

// Execute implements loop.Executor.
func (q *queryExecutor) Execute(e effect.Effect) {
	switch e := e.(type) {
	case effect.Send:
		q.dialer.Send(e)
	case effect.Cancel:
		q.dialer.Cancel(e)
	case effect.Probe:
		q.dialer.Probe(e)
	case effect.LimitConns:
		q.dialer.LimitConns(e)
	case effect.SendAnswer:
		q.caller.SendAnswer(e)
	case effect.Refuse:
		q.caller.Refuse(e)
		if !q.verbose {
			return
		}
		q.logger.WithFields(log.Fields{
			"request": uint64(e.Refusal.Request), "reason": string(e.Refusal.Reason),
			"detail": e.Refusal.Detail, "ran": e.Refusal.Ran.String(),
		}).Info("refused")
	case effect.AnswerOperator:
		q.operators.Respond(e)
	case effect.Ready:
		q.caller.SetReady(e)
	case effect.Count:
		q.counters.Add(e)
	case effect.Charge:
		q.usage.Write(e)
	case effect.ToControl:
		q.control.Post(e.Body)
	case effect.Drained:
		closeOnce(q.drained)
	}
}
