package proxy

import "comfreypulley/core/model"

// turn distributes the requests of a route over its targets in proportion to
// their weights, as evenly as possible (smooth weighted round robin).
type turn struct {
	credit map[string]float64
}

// next returns the service of the next request.
func (t *turn) next(r *model.Route, random func() float64) string {
	if t.credit == nil {
		// A random start keeps the VMs of a fleet from going in step.
		t.credit = make(map[string]float64)
		for _, target := range r.Targets {
			t.credit[target.Service] = random() * target.Weight
		}
	}
	total, best := 0.0, ""
	for _, target := range r.Targets {
		total += target.Weight
		t.credit[target.Service] += target.Weight
		if target.Weight > 0 && (best == "" || t.credit[target.Service] > t.credit[best]) {
			best = target.Service
		}
	}
	t.credit[best] -= total
	return best
}
