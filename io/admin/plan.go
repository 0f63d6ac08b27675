package admin

import (
	"net/http"

	"comfreypulley/core/entry"
	"comfreypulley/core/event"
	"comfreypulley/core/model"
)

// PlanQuery names a request along a route, by host and path, or a query of an index.
type PlanQuery struct {
	Customer string // or team; empty without one
	Host     string
	Path     string
	Index    string
}

// Plan says where a request would go now, and why. No request is sent for it.
type Plan struct {
	VM       string        `json:"vm"`
	Version  uint64        `json:"version,omitempty"` // of the routing document
	Route    string        `json:"route,omitempty"`
	Customer string        `json:"customer,omitempty"`
	Metered  bool          `json:"metered,omitempty"`  // it would first ask for a token of the customer's limit
	Handover bool          `json:"handover,omitempty"` // another VM would serve it
	Refused  string        `json:"refused,omitempty"`  // reason; empty when it would not be refused on arrival
	Services []ServicePlan `json:"services,omitempty"`
}

// ServicePlan says which upstream would serve a request, or one shard of it.
type ServicePlan struct {
	Service    string      `json:"service"`
	Fraction   float64     `json:"fraction"`      // of the requests that go to the service
	VMs        []string    `json:"vms,omitempty"` // one of them would choose the upstream
	Candidates []Candidate `json:"candidates,omitempty"`
}

// Candidate is an upstream as the VM sees it, the preferred ones first.
type Candidate struct {
	Upstream string   `json:"upstream"`
	Zone     string   `json:"zone"`
	Cost     duration `json:"cost"`               // estimated time until an answer, and what counts against the upstream
	Chance   float64  `json:"chance"`             // that its limits leave room, 0 to 1
	Obstacle string   `json:"obstacle,omitempty"` // why it gets no request, or only when there is no other
}

func planFrom(p *model.Plan) Plan {
	body := Plan{
		VM: string(p.VM), Version: p.Version, Route: p.Route, Customer: p.Customer, Metered: p.Metered, Handover: p.Handover, Refused: string(p.Refused),
	}
	for _, s := range p.Services {
		service := ServicePlan{Service: s.Service, Fraction: s.Fraction}
		for _, vm := range s.VMs {
			service.VMs = append(service.VMs, string(vm))
		}
		for _, c := range s.Candidates {
			service.Candidates = append(service.Candidates, Candidate{
				Upstream: string(c.Upstream), Zone: string(c.Zone), Cost: duration(c.Cost), Chance: c.Chance, Obstacle: string(c.Obstacle),
			})
		}
		body.Services = append(body.Services, service)
	}
	return body
}

// plan responds with where a request would go now. The query parameters are host and path
// of a request along a route or index of a query, and customer.
func (s *Server) plan(w http.ResponseWriter, r *http.Request) {
	if s.PostTraffic == nil {
		writeJSON(w, http.StatusNotFound, Result{Status: entry.StatusInvalid.String(), Detail: "this VM serves no callers"})
		return
	}
	query := r.URL.Query()
	answer, ok := s.request(r.Context(), s.PostTraffic, func(seq uint64) event.Body {
		return event.PlanRequest{
			Seq: seq, Customer: query.Get("customer"), Host: query.Get("host"), Path: query.Get("path"), Index: query.Get("index"),
		}
	})
	if !ok || answer.Plan == nil {
		writeJSON(w, http.StatusServiceUnavailable, Result{Status: entry.StatusUnavailable.String()})
		return
	}
	writeJSON(w, http.StatusOK, planFrom(answer.Plan))
}
