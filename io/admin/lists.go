package admin

import (
	"cmp"
	"maps"
	"net/http"
	"slices"

	"comfreypulley/core/entry"
	"comfreypulley/core/model"
)

// listZonesOut responds with the zones whose upstreams are out of use.
func (s *Server) listZonesOut(w http.ResponseWriter, r *http.Request) {
	status, ok := s.queryStatus(w, r)
	if !ok {
		return
	}
	zones := []model.Zone{}
	if status.Topology != nil {
		zones = append(zones, status.Topology.ZonesOut...)
	}
	writeJSON(w, http.StatusOK, zones)
}

// list responds with all objects of a kind, ascending by id.
func list[K cmp.Ordered, V, B any](s *Server, w http.ResponseWriter, r *http.Request, objects func(*model.Topology) map[K]V, body func(V) B) {
	status, ok := s.queryStatus(w, r)
	if !ok {
		return
	}
	bodies := []B{}
	byID := objects(status.Topology)
	for _, k := range slices.Sorted(maps.Keys(byID)) {
		bodies = append(bodies, body(byID[k]))
	}
	writeJSON(w, http.StatusOK, bodies)
}

// show responds with the object whose id is in the path.
func show[K ~string, V, B any](s *Server, w http.ResponseWriter, r *http.Request, objects func(*model.Topology) map[K]V, body func(V) B) {
	status, ok := s.queryStatus(w, r)
	if !ok {
		return
	}
	v, ok := objects(status.Topology)[K(r.PathValue("id"))]
	if !ok {
		writeJSON(w, http.StatusNotFound, Result{Status: entry.StatusInvalid.String(), Detail: "does not exist"})
		return
	}
	writeJSON(w, http.StatusOK, body(v))
}

func contracts(t *model.Topology) map[string]model.Contract           { return t.Contracts }
func upstreams(t *model.Topology) map[model.UpstreamID]model.Upstream { return t.Upstreams }
func vms(t *model.Topology) map[model.VMID]model.VM                   { return t.VMs }

func (s *Server) listContracts(w http.ResponseWriter, r *http.Request) {
	list(s, w, r, contracts, contractFrom)
}

func (s *Server) showContract(w http.ResponseWriter, r *http.Request) {
	show(s, w, r, contracts, contractFrom)
}

func (s *Server) listUpstreams(w http.ResponseWriter, r *http.Request) {
	list(s, w, r, upstreams, upstreamFrom)
}

func (s *Server) showUpstream(w http.ResponseWriter, r *http.Request) {
	show(s, w, r, upstreams, upstreamFrom)
}

func (s *Server) listVMs(w http.ResponseWriter, r *http.Request) { list(s, w, r, vms, vmFrom) }

func (s *Server) showVM(w http.ResponseWriter, r *http.Request) { show(s, w, r, vms, vmFrom) }
