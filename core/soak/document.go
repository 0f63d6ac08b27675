package soak

import (
	"fmt"
	"time"

	"comfreypulley/core/model"
)

// What the documents say.
const (
	Domain     = "soak.example" // of callers' requests
	plain      = "plain"        // service of Fetch, Write and Added
	movers     = 32             // services of Move in turn, so that a run tells which change it followed
	keptRoutes = 3              // changes during which an Added route stands
	setEvery   = 3              // changes between two sets of shards
	records    = 10             // of a merged answer
	coverage   = 0.5            // least share of the shards
	timeout    = 900 * time.Millisecond
	hostConns  = 64
	plainHosts = 5
	objective  = 100 * time.Millisecond
	maxHeader  = 16 << 10 // bytes, as maxBody
	maxBody    = 256 << 10
	maxReading = 3 * time.Second
	maxIdle    = 15 * time.Second
)

// Services returns the services of the documents and the upstreams of each.
func Services() []Host {
	var hosts []Host
	add := func(service string, n int) {
		for range n {
			hosts = append(hosts, Host{Service: service})
		}
	}
	for _, set := range shardSets() {
		for _, shard := range set {
			add(shard, 2)
		}
	}
	add(plain, plainHosts)
	for n := range movers {
		add(mover(n), 1)
	}
	return hosts
}

// shardSets are the sets of shards that documents change between.
func shardSets() [2][]string {
	return [2][]string{{"a0", "a1", "a2"}, {"b0", "b1", "b2", "b3"}}
}

func mover(change int) string { return fmt.Sprintf("m%d", change%movers) }

// prefix returns the path prefix of a class.
func prefix(c Class, change int) string {
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

// Path returns the path of a request.
func Path(c Class, change int, tag string) string { return prefix(c, change) + tag }

// document returns the document of a change.
func document(change int, version uint64) *model.Document {
	d := &model.Document{
		Version: version,
		Limits:  model.CallerLimits{MaxHeaderBytes: maxHeader, MaxBodyBytes: maxBody, HeaderTimeout: maxReading, IdleTimeout: maxIdle},
	}
	known := make(map[string]bool)
	for _, h := range Services() {
		if !known[h.Service] {
			known[h.Service] = true
			d.Services = append(d.Services, model.Service{Name: h.Service, HealthPath: "/health", MaxConns: hostConns})
		}
	}
	add := func(c Class, n int, edit func(r *model.Route)) {
		r := model.Route{
			Name: fmt.Sprintf("r%d-%d", c, n), Host: Domain, PathPrefix: prefix(c, n), MaxAttempts: Attempts,
			Timeout: timeout, TargetLatency: objective, Priority: int(c),
		}
		edit(&r)
		d.Routes = append(d.Routes, r)
	}
	to := func(service string) func(r *model.Route) {
		return func(r *model.Route) { r.Targets = []model.Target{{Service: service, Weight: 1}} }
	}
	add(Sweep, 0, func(r *model.Route) {
		r.Shards, r.TopK, r.MinCoverage = shardSets()[change/setEvery%2], records, coverage
	})
	add(Fetch, 0, to(plain))
	add(Write, 0, func(r *model.Route) { to(plain)(r); r.AtMostOnce = true })
	add(Move, 0, to(mover(change)))
	for n := max(0, change-keptRoutes+1); n <= change; n++ {
		add(Added, n, to(plain))
	}
	return d
}
