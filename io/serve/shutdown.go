package serve

import (
	"context"
	"time"

	"comfreypulley/core/effect"
	"comfreypulley/core/event"
)

// vmShutdown shuts a VM down in steps when ctx is done: the VM reports that it is
// not ready, accepts requests for the grace period, and then drains its loops.
type vmShutdown struct {
	vm      *VM
	ctx     context.Context
	stopped chan struct{}
}

func (s *vmShutdown) run() error {
	select {
	case <-s.ctx.Done():
	case <-s.stopped:
		return nil
	}
	vm := s.vm
	vm.logger.Info("draining")
	vm.caller.SetReady(effect.Ready{Ready: false})
	if !s.sleep(vm.settings.DrainDelay) {
		return nil
	}
	for _, q := range vm.queryExecutors {
		q.loop.Post(event.Drain{})
	}
	deadline := time.NewTimer(vm.settings.DrainTimeout)
	defer deadline.Stop()
	for _, q := range vm.queryExecutors {
		if !s.waitDrained(q.drained, deadline) {
			return nil
		}
	}
	// The loops refuse requests until they stop, so no request may be left to them.
	if !s.waitDrained(vm.caller.RefuseRequests(), deadline) {
		return nil
	}
	vm.control.Post(event.Drain{})
	if !s.waitDrained(vm.drained, deadline) {
		return nil
	}
	vm.logger.Info("drained")
	return nil
}

// waitDrained waits until a loop has drained. It returns false when the drain
// time is over or the group stops first.
func (s *vmShutdown) waitDrained(drained <-chan struct{}, deadline *time.Timer) bool {
	select {
	case <-drained:
		return true
	case <-deadline.C:
		s.vm.logger.Warn("drain time is over; requests in flight are cut off")
		return false
	case <-s.stopped:
		return false
	}
}

// sleep returns false when the group stops before the time is over.
func (s *vmShutdown) sleep(duration time.Duration) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-s.stopped:
		return false
	}
}

func (s *vmShutdown) stop(error) {
	close(s.stopped)
}
