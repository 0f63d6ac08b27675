package serve

import (
	"github.com/apex/log"

	"comfreypulley/core/effect"
	"comfreypulley/io/loop"
	"comfreypulley/io/proxy"
)

// routed carries out the effects of the traffic along routes.
type routed struct {
	loop     *loop.Loop
	control  *loop.Loop
	client   *proxy.Client
	server   *proxy.Server
	counters *Counters
	traces   *traces
	logger   log.Interface
	drained  chan struct{}
}

// Execute implements loop.Executor.
func (r *routed) Execute(e effect.Effect) {
	switch e := e.(type) {
	case effect.Forward:
		r.client.Forward(e)
	case effect.Cancel:
		r.client.Cancel(e)
	case effect.CloseIdleConns:
		r.client.CloseIdleConns(e)
	case effect.SendResponse:
		r.server.Respond(e.Request, e)
	case effect.SendMergedResponse:
		r.server.Respond(e.Request, e)
	case effect.SendPortionResult:
		r.server.Respond(e.Request, e)
	case effect.Refuse:
		r.server.Respond(e.Rejection.Request, e)
	case effect.Ready:
		r.server.SetReady(e.Ready)
	case effect.Count:
		r.counters.Add(e)
	case effect.ToControl:
		r.control.Post(e.Body)
	case effect.Trace:
		r.traces.write(e)
	case effect.Note:
		writeNote(r.logger, e)
	case effect.Drained:
		closeOnce(r.drained)
	}
}

// closeOnce closes a channel that only the calling goroutine closes.
func closeOnce(c chan struct{}) {
	select {
	case <-c:
	default:
		close(c)
	}
}

func writeNote(logger log.Interface, n effect.Note) {
	entry := logger.WithFields(log.Fields{"subject": n.Subject, "cause": n.Cause})
	if n.Alert {
		entry.Warn(n.Action)
		return
	}
	entry.Info(n.Action)
}
