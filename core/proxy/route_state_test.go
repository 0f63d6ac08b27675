package proxy

import (
	"fmt"
	"strconv"
	"testing"

	"comfreypulley/core/model"
)

// Guards against state of routes that are gone, which would grow with every change, and
// against the loss of that of routes that stay, under whatever name.
func TestStateOfRoutesGoesWithThem(t *testing.T) {
	document := func(from, to int) *model.Document {
		d := &model.Document{}
		for n := from; n < to; n++ {
			d.Routes = append(d.Routes, model.Route{Name: strconv.Itoa(from), Host: "H.example", PathPrefix: fmt.Sprintf("/%d/", n*n)})
		}
		return d
	}
	r := &Router{latencies: make(map[model.RouteKey]*latencyStats), routes: newRouteTable(document(0, 40))}
	before := make(map[model.RouteKey]*latencyStats)
	for _, route := range document(0, 40).Routes {
		before[route.Key()] = r.latencyStats(&route)
	}
	r.routes = newRouteTable(document(25, 60))
	r.forgetRoutes()
	if got, want := len(r.latencies), 15; got != want {
		t.Errorf("got the state of %d routes, want %d", got, want)
	}
	for _, route := range document(25, 40).Routes {
		if r.latencyStats(&route) != before[route.Key()] {
			t.Errorf("the state of %s is another one", route.PathPrefix)
		}
	}
}
