package query

import (
	"strconv"
	"time"

	"comfreypulley/core/effect"
	"comfreypulley/core/event"
	"comfreypulley/core/model"
)

// HandlePlanRequest answers where a query would go now. It neither sends anything nor
// changes what later queries get.
func (t *Table) HandlePlanRequest(at time.Time, e event.PlanRequest, out []effect.Effect) []effect.Effect {
	return append(out, effect.AnswerOperator{Seq: e.Seq, Plan: t.plan(at, e)})
}

// plan takes the decisions of a query that arrives now, apart from those that depend on
// its secret and its body.
func (t *Table) plan(at time.Time, e event.PlanRequest) *model.Plan {
	p := &model.Plan{VM: t.start.VM.ID, Customer: e.Customer}
	if t.draining {
		p.Refused = model.RefusedDraining
		return p
	}
	contract, reason := t.gate.Contract(e.Customer, e.Index)
	if reason != "" {
		p.Refused = reason
		return p
	}
	p.Metered = contract.Limit.Limited()
	version, shards, ok := t.balancer.SelectVersion(at, e.Index, 0)
	if !ok || shards > maxShards {
		p.Refused = model.RefusedSnapshot
		return p
	}
	for i := range shards {
		p.Services = append(p.Services, model.ServicePlan{
			Service: e.Index + " shard " + strconv.Itoa(i), Fraction: 1, Candidates: t.balancer.Candidates(at, e.Index, version, i),
		})
	}
	return p
}
