package serve

import (
	"context"
	"time"

	"comfreypulley/core/effect"
	"comfreypulley/core/event"
)

// drainer is the actor that shuts a VM down in order: unready, grace, drain.
type drainer struct {
	vm      *VM
	ctx     context.Context
	stopped chan struct{}
}

func (d *drainer) run() error {
	select {
	case <-d.ctx.Done():
	case <-d.stopped:
		return nil
	}
	vm := d.vm
	vm.logger.Info("draining")
	vm.caller.SetReady(effect.Ready{Ready: false})
	if !d.wait(vm.settings.DrainDelay) {
		return nil
	}
	for _, t := range vm.traffics {
		t.loop.Post(event.Drain{})
	}
	deadline := time.NewTimer(vm.settings.DrainTimeout)
	defer deadline.Stop()
	for _, t := range vm.traffics {
		if !d.await(t.drained, deadline) {
			return nil
		}
	}
	vm.control.Post(event.Drain{})
	if !d.await(vm.drained, deadline) {
		return nil
	}
	vm.logger.Info("drained")
	return nil
}

// await returns false when the drain time is over or the group stops meanwhile.
func (d *drainer) await(drained chan struct{}, deadline *time.Timer) bool {
	select {
	case <-drained:
		return true
	case <-deadline.C:
		d.vm.logger.Warn("drain time is over; requests in flight are cut off")
		return false
	case <-d.stopped:
		return false
	}
}

// wait returns false when the group stops meanwhile.
func (d *drainer) wait(period time.Duration) bool {
	timer := time.NewTimer(period)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-d.stopped:
		return false
	}
}

func (d *drainer) stop(error) {
	close(d.stopped)
}
