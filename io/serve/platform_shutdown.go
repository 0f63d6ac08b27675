package serve

import (
	"context"
	"time"

	"comfreypulley/core/event"
)

// platformVMShutdown shuts a [PlatformVM] down in steps when ctx is done. The VM
// reports that it is not ready until the load balancer has noticed, accepts no
// new connections, finishes the requests in flight and hands over the leadership
// of the log.
type platformVMShutdown struct {
	vm      *PlatformVM
	ctx     context.Context
	stopped chan struct{}
}

func (s *platformVMShutdown) run() error {
	select {
	case <-s.ctx.Done():
	case <-s.stopped:
		return nil
	}
	vm := s.vm
	plan := shutdownPlan{start: time.Now(), grace: time.Duration(vm.grace.Load())}
	vm.logger.WithField("grace", plan.grace.String()).Info("draining")
	for _, a := range vm.httpActors() {
		a.setDeadline(plan.at(exitAt))
	}
	idle := make(<-chan struct{})
	if vm.proxy != nil {
		vm.control.Post(event.Leave{})
		if idle = s.drainTraffic(plan); idle == nil {
			return nil
		}
	}
	vm.control.Post(event.Drain{})
	if !s.wait(vm.executor.drained, plan.at(stopServersAt)) {
		return nil
	}
	if vm.proxy != nil && !s.wait(idle, plan.at(stopServersAt)) {
		return nil
	}
	vm.logger.Info("drained")
	return nil
}

// drainTraffic ends the traffic in steps. Callers may use open connections until
// the process exits, and no request may be read and then left without a response,
// so requests are refused before connections are closed. The returned channel is
// closed once no request is in flight. It is nil when the group stops meanwhile.
func (s *platformVMShutdown) drainTraffic(plan shutdownPlan) <-chan struct{} {
	vm := s.vm
	vm.proxy.server.StartDraining()
	if !s.wait(nil, plan.at(closeListenerAt)) {
		return nil
	}
	vm.callerServer.closeListener(plan.at(refuseRequestsAt))
	if !s.wait(nil, plan.at(refuseRequestsAt)) {
		return nil
	}
	idle := vm.proxy.server.RefuseRequests()
	vm.proxy.loop.Post(event.Drain{})
	vm.callerServer.closeIdleConns()
	if !s.wait(idle, plan.at(cutOffAt)) {
		return nil
	}
	select {
	case <-idle:
	default:
		vm.logger.Warn("grace period is over; requests in flight are cut off")
	}
	vm.proxy.server.CutOff()
	vm.proxy.loop.Post(event.CutOff{})
	return idle
}

// wait returns true at a given time or when done is closed, and false when the
// group stops first.
func (s *platformVMShutdown) wait(done <-chan struct{}, until time.Time) bool {
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	select {
	case <-done:
		return true
	case <-timer.C:
		return true
	case <-s.stopped:
		return false
	}
}

func (s *platformVMShutdown) stop(error) { close(s.stopped) }
