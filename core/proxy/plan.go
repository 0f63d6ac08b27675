package proxy

import (
	"slices"
	"time"

	"comfreypulley/core/effect"
	"comfreypulley/core/event"
	"comfreypulley/core/model"
)

// HandlePlanRequest answers where a request would go now. It neither sends anything nor
// changes what later requests get.
func (r *Router) HandlePlanRequest(at time.Time, e event.PlanRequest, out []effect.Effect) []effect.Effect {
	return append(out, effect.AnswerOperator{Seq: e.Seq, Plan: r.plan(at, e)})
}

// plan takes the decisions of a request that arrives now.
func (r *Router) plan(at time.Time, e event.PlanRequest) *model.Plan {
	p := &model.Plan{VM: r.settings.VM.ID}
	if r.cutOff {
		p.Refused = model.RefusedDraining
		return p
	}
	if r.document == nil || !r.hasUpstreamList {
		p.Refused = model.RefusedStale
		return p
	}
	p.Version = r.document.Version
	route := r.routes.find(e.Host, e.Path)
	arriving := event.ProxyRequest{Host: e.Host, Path: e.Path, Key: r.routes.keyOf(e.Customer)}
	if p.Refused = r.refusalOnArrival(at, arriving, route, p.Version); p.Refused != "" {
		return p
	}
	p.Route = route.Name
	team, reason := r.authorize(arriving, route, &r.routes)
	if p.Refused = reason; reason != "" {
		return p
	}
	if team != nil {
		p.Customer, p.Metered = team.Name, needsToken(arriving, team)
	}
	if p.Handover = r.mustHandOver(); p.Handover {
		return p
	}
	req := r.newRequest(at, arriving, route, p.Version)
	for _, service := range planServices(route) {
		req.subrequests = append(req.subrequests, &subrequest{service: service.Service})
		p.Services = append(p.Services, service)
	}
	if len(route.Shards) > 0 && !at.Add(r.waitForPauses(at, req)).Before(req.partialAfter) {
		p.Refused, p.Services = model.RefusedPaused, nil
		return p
	}
	for i := range p.Services {
		p.Services[i].Candidates = r.candidates(at, req, p.Services[i].Service)
	}
	r.planPortions(at, req, p)
	return p
}

// planServices returns the services of a route: all shards, or the targets of which each
// request goes to one.
func planServices(route *model.Route) []model.ServicePlan {
	var services []model.ServicePlan
	for _, shard := range route.Shards {
		services = append(services, model.ServicePlan{Service: shard, Fraction: 1})
	}
	total := 0.0
	for _, t := range route.Targets {
		total += t.Weight
	}
	for _, t := range route.Targets {
		fraction := 1.0
		if total > 0 {
			fraction = t.Weight / total
		}
		services = append(services, model.ServicePlan{Service: t.Service, Fraction: fraction})
	}
	return services
}

// planPortions adds the VMs of which one would query a shard.
func (r *Router) planPortions(at time.Time, req *request, p *model.Plan) {
	if !r.mayDelegate(at, req) {
		return
	}
	for _, portion := range r.portionsOf(at, req.route) {
		var ids []model.VMID
		for _, peer := range usablePeers(at, portion) {
			ids = append(ids, peer.ID)
		}
		for _, n := range portion.shards {
			p.Services[n].VMs = ids
		}
	}
}

// candidates returns the upstreams of a service in the order in which a request would be
// sent to them.
func (r *Router) candidates(at time.Time, req *request, service string) []model.Candidate {
	var list []model.Candidate
	for _, u := range r.byService[service] {
		limiter, window := u.limit.limiter, u.window // copies, since both keep track of the time
		c := model.Candidate{
			Upstream: u.spec.ID, Zone: u.spec.Zone, Chance: 1, Obstacle: r.obstacle(at, u),
			Cost: u.cost(at, req.latency.expected(req.route), r.settings.VM.Zone, remotePenalty(req)),
		}
		limited := u.limit.inForce(at) != nil
		if limited {
			c.Chance = limiter.Chance(at)
		}
		pace := window.Chance(at, len(u.inFlight))
		switch {
		case c.Obstacle != "":
		case c.Chance == 0:
			c.Obstacle = model.ObstacleLimit
		case pace == 0:
			c.Obstacle = model.ObstaclePace
		}
		c.Chance *= pace
		list = append(list, c)
	}
	slices.SortStableFunc(list, model.Candidate.Compare)
	return list
}
