package soak

import (
	"math/rand/v2"
	"time"
)

// Times of orders that take the upstreams of a zone out of use.
const (
	zoneOrderStart = 10 * time.Second // of an order from the start of its cycle, when the faults of the unrestricted time are over
	zoneOrderTime  = 9 * time.Second  // until it is taken back; VMs are judged from ApplyWithin after it was acknowledged
	zoneRandomSeq  = 4                // of the random source, which leaves the other faults of a seed as they are
)

// zoneOrder is the last order for the upstreams of a zone.
type zoneOrder struct {
	out     bool
	ackedAt time.Time // zero before the acknowledgement
	over    bool      // it is to be taken back once it has been acknowledged
}

// addZoneOrders adds an order that takes a zone's upstreams out of use to each cycle.
func (p *planner) addZoneOrders(end time.Duration) {
	random := rand.New(rand.NewPCG(p.cfg.Seed, zoneRandomSeq))
	for from := settleTime; from < end; from += cycleLength {
		zone := random.IntN(p.cfg.Zones)
		if at := from + zoneOrderStart; at < end {
			p.add(plannedFault{
				offset: at, duration: zoneOrderTime, name: "zone out of use",
				begin: []Effect{OrderZone{Zone: zone, Out: true}}, end: []Effect{OrderZone{Zone: zone}},
			})
		}
	}
}

// applyZoneOrder emits an order. One that takes another back waits until that has been
// acknowledged: two operators at work on one zone have no defined result.
func (s *State) applyZoneOrder(e OrderZone) {
	if s.zoneOrders == nil {
		s.zoneOrders = make(map[int]*zoneOrder)
	}
	if o := s.zoneOrders[e.Zone]; !e.Out && o != nil && o.ackedAt.IsZero() {
		o.over = true
		return
	}
	s.zoneOrders[e.Zone] = &zoneOrder{out: e.Out}
	s.emit(e)
}

// handleZoneResult records that an order was acknowledged.
func (s *State) handleZoneResult(e ZoneResult) {
	o := s.zoneOrders[e.Zone]
	if o == nil || o.out != e.Out {
		return
	}
	s.note("order for zone %d acknowledged, out of use: %v", e.Zone, e.Out)
	if o.ackedAt = s.now; o.over {
		s.applyZoneOrder(OrderZone{Zone: e.Zone})
	}
}

// judgeZone checks that nothing is sent to the upstreams of a zone that is out of use.
func (s *State) judgeZone(req *request, r *Run) {
	zone := r.Upstream % s.cfg.Zones
	o := s.zoneOrders[zone]
	if r.Sender < 0 || o == nil || !o.out || o.ackedAt.IsZero() || s.now.Sub(o.ackedAt) <= ApplyWithin ||
		!s.vmAndLogStable(r.Sender, o.ackedAt) {
		return
	}
	s.addFinding("EVACUATE", "request %s reached upstream %d, %v after its zone was taken out of use", req.ID, r.Upstream, s.now.Sub(o.ackedAt))
}

// countZoneCalls counts the requests that could be judged by judgeZone.
func (s *State) countZoneCalls(r *Run) {
	for _, o := range s.zoneOrders {
		if o.out && !o.ackedAt.IsZero() && s.now.Sub(o.ackedAt) > ApplyWithin && r.Sender >= 0 && s.vmAndLogStable(r.Sender, o.ackedAt) {
			s.report.Judged["EVACUATE"]++
			return
		}
	}
}
