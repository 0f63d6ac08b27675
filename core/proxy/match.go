package proxy

import (
	"cmp"
	"slices"
	"strings"

	"comfreypulley/core/model"
)

// routes finds the route of a request. The zero value has none.
type routes struct {
	byHost map[string][]*model.Route // longest prefix first
}

func newRoutes(d *model.Document) routes {
	r := routes{byHost: make(map[string][]*model.Route)}
	for i := range d.Routes {
		host := strings.ToLower(d.Routes[i].Host)
		r.byHost[host] = append(r.byHost[host], &d.Routes[i])
	}
	for _, list := range r.byHost {
		slices.SortStableFunc(list, func(a, b *model.Route) int { return cmp.Compare(len(b.PathPrefix), len(a.PathPrefix)) })
	}
	return r
}

// find returns the route of the host with the longest prefix of the path, or
// nil. A port in the host does not count.
func (r *routes) find(host, path string) *model.Route {
	if i := strings.LastIndexByte(host, ':'); i >= 0 {
		host = host[:i]
	}
	for _, route := range r.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, route.PathPrefix) {
			return route
		}
	}
	return nil
}
