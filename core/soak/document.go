package soak

import (
	"fmt"
	"time"

	"comfreypulley/core/model"
)

// Contents of the routing documents.
const (
	Domain          = "soak.example" // host name in callers' requests
	plainService    = "plain"        // service of Fetch, Write and Added requests
	moveServices    = 32             // services that the Move route targets in turn, so that a run shows which change was in force
	addedRoutes     = 3              // changes for which a route of Added requests exists
	shardSetChanges = 3              // changes after which the set of shards changes
	topK            = 10             // most records in a merged answer
	minCoverage     = 0.5            // least fraction of the shards in a merged answer
	routeTimeout    = 900 * time.Millisecond
	maxConns        = 64
	plainUpstreams  = 5
	targetLatency   = 100 * time.Millisecond
	maxHeaderBytes  = 16 << 10 // bytes, as is maxBodyBytes
	maxBodyBytes    = 256 << 10
	headerTimeout   = 3 * time.Second
	idleTimeout     = 15 * time.Second
)

// Upstreams returns the upstreams of all services.
func Upstreams() []UpstreamConfig {
	var upstreams []UpstreamConfig
	add := func(service string, n int) {
		for range n {
			upstreams = append(upstreams, UpstreamConfig{Service: service})
		}
	}
	for _, set := range shardSets() {
		for _, shard := range set {
			add(shard, 2)
		}
	}
	add(plainService, plainUpstreams)
	for n := range moveServices {
		add(moveService(n), 1)
	}
	return upstreams
}

// shardSets returns the sets of shards between which the documents alternate.
func shardSets() [2][]string {
	return [2][]string{{"a0", "a1", "a2"}, {"b0", "b1", "b2", "b3"}}
}

// moveService returns the service that the Move route targets after a change.
func moveService(change int) string { return fmt.Sprintf("m%d", change%moveServices) }

// pathPrefix returns the path prefix of a class; change matters for Added only.
func pathPrefix(c RequestClass, change int) string {
	switch c {
	case Sweep:
		return "/sweep/"
	case Fetch:
		return "/fetch/"
	case Write:
		return "/write/"
	case Move:
		return "/move/"
	default:
		return fmt.Sprintf("/added/%d/", change)
	}
}

// Path returns the URL path of a request.
func Path(c RequestClass, change int, id string) string { return pathPrefix(c, change) + id }

// newDocument returns the routing document of a change, and the keys of its teams by hash.
func newDocument(change int, version uint64) (d *model.Document, keys map[model.KeyHash]string) {
	d = &model.Document{
		Version: version,
		Limits:  model.CallerLimits{MaxHeaderBytes: maxHeaderBytes, MaxBodyBytes: maxBodyBytes, HeaderTimeout: headerTimeout, IdleTimeout: idleTimeout},
	}
	seen := make(map[string]bool)
	for _, u := range Upstreams() {
		if !seen[u.Service] {
			seen[u.Service] = true
			d.Services = append(d.Services, model.Service{Name: u.Service, HealthPath: "/health", MaxConns: maxConns})
		}
	}
	// Names of routes repeat, since only hosts and path prefixes tell routes apart.
	add := func(c RequestClass, n int, edit func(r *model.Route)) {
		r := model.Route{
			Name: fmt.Sprintf("r%d", n%2), Host: Domain, PathPrefix: pathPrefix(c, n), MaxAttempts: MaxAttempts,
			Timeout: routeTimeout, TargetLatency: targetLatency, Priority: int(c),
		}
		edit(&r)
		d.Routes = append(d.Routes, r)
	}
	to := func(service string) func(r *model.Route) {
		return func(r *model.Route) { r.Targets = []model.Target{{Service: service, Weight: 1}} }
	}
	add(Sweep, 0, func(r *model.Route) {
		r.Shards, r.TopK, r.MinCoverage = shardSets()[change/shardSetChanges%2], topK, minCoverage
	})
	add(Fetch, 0, to(plainService))
	add(Write, 0, func(r *model.Route) { to(plainService)(r); r.AtMostOnce = true })
	add(Move, 0, func(r *model.Route) { to(moveService(change))(r); r.Public = true })
	for n := max(0, change-addedRoutes+1); n <= change; n++ {
		add(Added, n, to(plainService))
	}
	return d, addTeams(d, change)
}
