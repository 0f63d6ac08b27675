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
	start := time.Now()
	vm.logger.WithField("grace", vm.settings.ShutdownGrace.String()).Info("draining")
	if vm.proxy != nil {
		vm.control.Post(event.Leave{})
		if !s.drainTraffic(start) {
			return nil
		}
	}
	vm.control.Post(event.Drain{})
	s.wait(vm.executor.drained, time.Now().Add(finalResponseTimeout))
	vm.logger.Info("drained")
	return nil
}

// drainTraffic ends the traffic in steps. Callers may use open connections until
// the process exits, and no request may be read and then left without a response,
// so requests are refused before connections are closed. It returns false when
// the group stops meanwhile.
func (s *platformVMShutdown) drainTraffic(start time.Time) bool {
	vm := s.vm
	at := func(fraction float64) time.Time {
		return start.Add(time.Duration(fraction * float64(vm.settings.ShutdownGrace)))
	}
	vm.proxy.server.StartDraining()
	if !s.wait(nil, at(closeListenerAt)) {
		return false
	}
	vm.callerServer.closeListener()
	if !s.wait(nil, at(refuseRequestsAt)) {
		return false
	}
	idle := vm.proxy.server.RefuseRequests()
	if !s.wait(idle, at(cutOffAt)) || !s.wait(nil, time.Now().Add(flushTime)) {
		return false
	}
	select {
	case <-idle:
	default:
		vm.logger.Warn("grace period is over; requests in flight are cut off")
	}
	return true
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
