package soak

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"comfreypulley/core/soak"
)

// zoneOperator sends an order for the upstreams of a zone until it is acknowledged.
type zoneOperator struct {
	soak   *Soak
	order  soak.OrderZone
	random *rand.Rand
}

// orderZone starts the operator of an order.
func (s *Soak) orderZone(e soak.OrderZone) {
	s.traffic.Add(1)
	go (&zoneOperator{soak: s, order: e, random: rand.New(rand.NewPCG(s.Seed, uint64(e.Zone)))}).run()
}

func (o *zoneOperator) run() {
	defer o.soak.traffic.Done()
	for o.soak.ctx.Err() == nil {
		if o.send(o.soak.vms[o.random.IntN(logVMs)]) {
			o.soak.post(soak.ZoneResult{Zone: o.order.Zone, Out: o.order.Out})
			return
		}
		select {
		case <-o.soak.ctx.Done():
		case <-time.After(submitRetry):
		}
	}
}

// send sends the order to a VM and reports whether it was acknowledged.
func (o *zoneOperator) send(v *vm) bool {
	ctx, cancel := context.WithTimeout(o.soak.ctx, callTimeout)
	defer cancel()
	zone := o.soak.vms[o.order.Zone].site.VM.Zone // VM n is in zone n, for the first VMs
	r, err := o.soak.Platform.OrderZone(ctx, v.site.OperatorAddr, zone, o.order.Out)
	if err != nil {
		o.soak.post(soak.HarnessFailed{Cause: err.Error()})
		return false
	}
	response, err := client.Do(r)
	if err != nil {
		return false // the VM may be down or cut off; run tries another one
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK
}
