package serve

import (
	"time"

	"github.com/apex/log"

	"comfreypulley/core/effect"
	"comfreypulley/io/admin"
	"comfreypulley/io/loop"
	"comfreypulley/io/proxy"
)

// proxyExecutor carries out the effects of the traffic loop that forwards
// requests along routes.
type proxyExecutor struct {
	loop      *loop.Loop
	control   *loop.Loop
	client    *proxy.Client
	server    *proxy.Server
	counters  *Counters
	traces    *traceLog
	operators *admin.Server
	logger    log.Interface
	drained   chan struct{}

	limitIdle func(time.Duration) // sets how long callers may leave a connection idle; 0 for the default
}

// Execute implements loop.Executor.
func (p *proxyExecutor) Execute(e effect.Effect) {
	switch e := e.(type) {
	case effect.Forward:
		p.client.Forward(e)
	case effect.OpenConn:
		p.client.OpenConn(e)
	case effect.Cancel:
		p.client.Cancel(e)
	case effect.LimitCallers:
		p.server.SetMaxBody(e.Limits.MaxBodyBytes)
		p.limitIdle(e.Limits.IdleTimeout)
	case effect.CloseIdleConns:
		p.client.CloseIdleConns(e)
	case effect.AcceptHandover:
		p.server.Respond(e.Request, e)
	case effect.SendResponse:
		p.server.Respond(e.Request, e)
	case effect.SendMergedResponse:
		p.server.Respond(e.Request, e)
	case effect.SendPortionResult:
		p.server.Respond(e.Request, e)
	case effect.Refuse:
		p.server.Respond(e.Refusal.Request, e)
	case effect.Ready:
		p.server.SetReady(e.Ready)
	case effect.AnswerOperator:
		p.operators.Respond(e)
	case effect.Count:
		p.counters.Add(e)
	case effect.ToControl:
		p.control.Post(e.Body)
	case effect.Trace:
		p.traces.write(e)
	case effect.Note:
		writeNote(p.logger, e)
	case effect.Drained:
		closeOnce(p.drained)
	}
}

// closeOnce closes a channel unless it is closed. Only one goroutine may call it
// for a channel.
func closeOnce(c chan struct{}) {
	select {
	case <-c:
	default:
		close(c)
	}
}

// writeNote logs a decision of a loop.
func writeNote(logger log.Interface, n effect.Note) {
	entry := logger.WithFields(log.Fields{"subject": n.Subject, "cause": n.Cause})
	if n.Alert {
		entry.Warn(n.Action)
		return
	}
	entry.Info(n.Action)
}
