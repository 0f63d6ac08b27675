package serve

import (
	"github.com/apex/log"

	"comfreypulley/core/effect"
	"comfreypulley/io/caller"
	"comfreypulley/io/dialer"
	"comfreypulley/io/loop"
)

// traffic carries out the effects of one traffic loop.
type traffic struct {
	loop     *loop.Loop
	control  *loop.Loop
	dialer   *dialer.Dialer
	caller   *caller.Server
	counters *Counters
	usage    *Usage
	logger   log.Interface
	verbose  bool // log each refusal
	drained  chan struct{}
}

// Execute implements loop.Executor.
func (t *traffic) Execute(e effect.Effect) {
	switch e := e.(type) {
	case effect.Send:
		t.dialer.Send(e)
	case effect.Cancel:
		t.dialer.Cancel(e)
	case effect.Probe:
		t.dialer.Probe(e)
	case effect.LimitConns:
		t.dialer.LimitConns(e)
	case effect.SendAnswer:
		t.caller.SendAnswer(e)
	case effect.Refuse:
		t.caller.Refuse(e)
		if !t.verbose {
			return
		}
		t.logger.WithFields(log.Fields{
			"request": uint64(e.Rejection.Request), "reason": string(e.Rejection.Reason),
			"detail": e.Rejection.Detail, "ran": e.Rejection.Ran.String(),
		}).Info("refused")
	case effect.Ready:
		t.caller.SetReady(e)
	case effect.Count:
		t.counters.Add(e)
	case effect.Charge:
		t.usage.Write(e)
	case effect.ToControl:
		t.control.Post(e.Body)
	case effect.Drained:
		closeOnce(t.drained)
	}
}
