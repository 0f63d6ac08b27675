package proxy

import (
	"slices"

	"comfreypulley/core/model"
)

// roundRobin distributes the requests of a route over its targets in proportion
// to their weights, as evenly as possible (smooth weighted round robin).
type roundRobin struct {
	targets []model.Target     // that the credit is for
	credit  map[string]float64 // by service
}

// next returns the service of the next request.
func (rr *roundRobin) next(route *model.Route, random func() float64) string {
	if !slices.Equal(rr.targets, route.Targets) {
		// Credit is measured in weights, so that of other weights could last for
		// many requests. A random start keeps the VMs from choosing the same
		// target at the same time.
		rr.targets = route.Targets
		rr.credit = make(map[string]float64)
		for _, target := range route.Targets {
			rr.credit[target.Service] = random() * target.Weight
		}
	}
	total, best := 0.0, ""
	for _, target := range route.Targets {
		total += target.Weight
		rr.credit[target.Service] += target.Weight
		if target.Weight > 0 && (best == "" || rr.credit[target.Service] > rr.credit[best]) {
			best = target.Service
		}
	}
	rr.credit[best] -= total
	return best
}
