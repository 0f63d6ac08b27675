package model

import (
	"fmt"
	"strings"
	"time"
	"unicode"
)

// Document is the routing document: which requests go to which services, and
// within which limits. Only a whole document of a higher version replaces it.
type Document struct {
	Version  uint64
	Routes   []Route
	Services []Service
	Limits   CallerLimits
	Keyed    bool   // a request needs the key of a team, unless its route is public
	Teams    []Team // whose callers may send requests
	Source   []byte // text that the operator sent; only replicas of the log have it
}

// Route says where requests for one host and path prefix go. Exactly one of
// Targets and Shards is set.
type Route struct {
	Name          string // for people; several routes may have the same
	Host          string
	PathPrefix    string        `msgpack:"Prefix"`
	AtMostOnce    bool          `msgpack:"Once"` // a request may run on at most one upstream, and only once
	Targets       []Target      // each request goes to one of these services, chosen by weight
	Shards        []string      // each request goes to all of these services, whose answers are merged
	MaxAttempts   int           `msgpack:"Attempts"` // for each shard or target; 0 means 1
	Timeout       time.Duration // longest time that a caller waits
	TargetLatency time.Duration `msgpack:"Objective"` // a merged answer is sent within this time if it covers enough shards
	Priority      int           `msgpack:"Rank"`      // 0 is the most urgent
	TopK          int           `msgpack:"Records"`   // most records in a merged answer
	MinCoverage   float64       `msgpack:"Coverage"`  // least fraction of the shards in a merged answer, 0 to 1
	Public        bool          // a request needs no key
}

// RouteKey identifies a route within a document. Names of routes may repeat; hosts with
// path prefixes may not.
type RouteKey struct {
	Host       string // in lower case
	PathPrefix string
}

// Key returns what tells the route apart from the others of its document.
func (r *Route) Key() RouteKey {
	return RouteKey{Host: strings.ToLower(r.Host), PathPrefix: r.PathPrefix}
}

// Target is one service of a route and its weight.
type Target struct {
	Service string
	Weight  float64 // fraction of the requests relative to the other targets
}

// Service is a group of interchangeable upstreams.
type Service struct {
	Name       string
	HealthPath string `msgpack:"Health"` // HTTP path of the upstreams' health check
	MaxConns   int    `msgpack:"Conns"`  // connections that each upstream accepts from the whole fleet; 0 when not stated

	WarmUp     time.Duration // for which an upstream is cold after a start; 0 when not stated
	WarmUpRate float64       // requests per second that a cold upstream accepts from the whole fleet; 0 for no limit
}

// CallerLimits restrict callers' requests and connections.
type CallerLimits struct {
	MaxHeaderBytes int           `msgpack:"Header"`
	MaxBodyBytes   int           `msgpack:"Body"`
	HeaderTimeout  time.Duration `msgpack:"Reading"` // for reading the headers of a request
	IdleTimeout    time.Duration `msgpack:"Idle"`    // between two requests on a connection
}

// DocumentError reports an invalid document.
type DocumentError struct {
	Route   string // empty when the problem is outside the routes
	Problem string
}

// Error implements error.
func (e *DocumentError) Error() string {
	if e.Route == "" {
		return "document: " + e.Problem
	}
	return fmt.Sprintf("document: route %q: %s", e.Route, e.Problem)
}

// Validate returns a *DocumentError for the first problem.
func (d *Document) Validate() error {
	services := make(map[string]bool, len(d.Services))
	for _, s := range d.Services {
		if s.Name == "" {
			return &DocumentError{Problem: "a service has no name"}
		}
		services[s.Name] = true
	}
	seen := make(map[RouteKey]bool, len(d.Routes))
	for i := range d.Routes {
		r := &d.Routes[i]
		if problem := r.problem(services); problem != "" {
			return &DocumentError{Route: r.Name, Problem: problem}
		}
		key := r.Key()
		if seen[key] {
			return &DocumentError{Route: r.Name, Problem: "another route has the same host and prefix"}
		}
		seen[key] = true
	}
	return d.validateTeams()
}

// validateTeams returns a *DocumentError when two teams have the same key, or a limit is
// not a number of requests.
func (d *Document) validateTeams() error {
	holders := make(map[KeyHash]int, len(d.Teams))
	for i, t := range d.Teams {
		if !(t.Limit.Rate >= 0) || !(t.Limit.Burst >= 0) {
			return &DocumentError{Problem: fmt.Sprintf("team %q: the limit is not a number of requests", t.Name)}
		}
		if t.Name == "" || strings.ContainsFunc(t.Name, unicode.IsControl) {
			return &DocumentError{Problem: fmt.Sprintf("team %q: the name cannot be sent in a header", t.Name)}
		}
		for _, key := range t.Keys {
			if holder, ok := holders[key]; ok && holder != i {
				return &DocumentError{Problem: fmt.Sprintf("teams %q and %q have the same key", d.Teams[holder].Name, t.Name)}
			}
			holders[key] = i
		}
	}
	return nil
}

// problem describes the first problem of a route. It returns "" for a valid one.
func (r *Route) problem(services map[string]bool) string {
	totalWeight := 0.0
	for _, t := range r.Targets {
		if !services[t.Service] {
			return fmt.Sprintf("service %q is not defined", t.Service)
		}
		if t.Weight < 0 {
			return fmt.Sprintf("the weight of service %q is negative", t.Service)
		}
		totalWeight += t.Weight
	}
	seen := make(map[string]bool, len(r.Shards))
	for _, s := range r.Shards {
		switch {
		case !services[s]:
			return fmt.Sprintf("service %q is not defined", s)
		case seen[s]:
			return fmt.Sprintf("shard %q is named twice", s)
		}
		seen[s] = true
	}
	switch {
	case len(r.Targets) == 0 && len(r.Shards) == 0:
		return "names no service"
	case len(r.Targets) > 0 && len(r.Shards) > 0:
		return "names both targets and shards"
	case len(r.Targets) > 0 && totalWeight <= 0:
		return "the weights add up to 0"
	case r.Timeout <= 0:
		return "the timeout is 0"
	case r.TopK < 0:
		return "the number of records is negative"
	default:
		return ""
	}
}
