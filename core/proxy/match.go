package proxy

import (
	"cmp"
	"slices"
	"strings"

	"comfreypulley/core/model"
)

// routeTable finds the route and the team of a request. The zero value has no routes.
type routeTable struct {
	byHost map[string][]*model.Route // longest prefix first, those of one length in order
	keyed  bool                      // a request needs the key of a team, unless its route is public
	teams  map[model.KeyHash]*keyHolder
}

// keyHolder is the team that holds a key.
type keyHolder struct {
	*model.Team
	limitName string // under which its tokens are issued
}

func newRouteTable(d *model.Document) routeTable {
	t := routeTable{byHost: make(map[string][]*model.Route), keyed: d.Keyed}
	if len(d.Teams) > 0 {
		t.teams = make(map[model.KeyHash]*keyHolder)
	}
	names := d.LimitNames()
	for i := range d.Teams {
		holder := &keyHolder{Team: &d.Teams[i], limitName: names[i]}
		for _, key := range holder.Keys {
			t.teams[key] = holder
		}
	}
	for i := range d.Routes {
		host := strings.ToLower(d.Routes[i].Host)
		t.byHost[host] = append(t.byHost[host], &d.Routes[i])
	}
	for _, routes := range t.byHost {
		slices.SortStableFunc(routes, func(a, b *model.Route) int { return comparePrefixes(a.PathPrefix, b.PathPrefix) })
	}
	return t
}

// comparePrefixes compares path prefixes in the order of routeTable.byHost.
func comparePrefixes(a, b string) int {
	return cmp.Or(cmp.Compare(len(b), len(a)), strings.Compare(a, b))
}

// has reports whether there is a route.
func (t *routeTable) has(key model.RouteKey) bool {
	_, ok := slices.BinarySearchFunc(t.byHost[key.Host], key.PathPrefix, func(r *model.Route, prefix string) int {
		return comparePrefixes(r.PathPrefix, prefix)
	})
	return ok
}

// find returns the route of the host with the longest matching path prefix, or
// nil. A port in the host is ignored.
func (t *routeTable) find(host, path string) *model.Route {
	if i := strings.LastIndexByte(host, ':'); i >= 0 {
		host = host[:i]
	}
	for _, route := range t.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, route.PathPrefix) {
			return route
		}
	}
	return nil
}

// keyOf returns a key of a team, or the zero value when the team is unknown or has none.
func (t *routeTable) keyOf(team string) model.KeyHash {
	for key, holder := range t.teams {
		if holder.Name == team {
			return key
		}
	}
	return model.KeyHash{}
}
