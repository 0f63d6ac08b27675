package model

import (
	"fmt"
	"strings"
	"time"
)

// Document is the routing document: which request goes to which service, and
// within which limits. A document is replaced as a whole by one of a higher
// version.
type Document struct {
	Version  uint64
	Routes   []Route
	Services []Service
	Limits   Limits
	Source   []byte // as the operator sent it; only VMs that replicate the log have it
}

// Route says where requests of one host and path prefix go. Exactly one of
// Targets and Shards is set.
type Route struct {
	Name          string
	Host          string
	PathPrefix    string        `msgpack:"Prefix"`
	AtMostOnce    bool          `msgpack:"Once"` // a request may run at most once
	Targets       []Target      // services that share the requests by weight
	Shards        []string      // services that each hold a part of the answer
	MaxAttempts   int           `msgpack:"Attempts"` // upstreams that one request may be sent to, for each shard; 0 means 1
	Timeout       time.Duration // longest time to keep a caller waiting
	TargetLatency time.Duration `msgpack:"Objective"` // an answer is worth most within this time
	Priority      int           `msgpack:"Rank"`      // 0 is the most urgent
	TopK          int           `msgpack:"Records"`   // records of a merged answer at most
	MinCoverage   float64       `msgpack:"Coverage"`  // least share of the shards in a merged answer, 0 to 1
}

// Target is one service of a route and its share of the requests.
type Target struct {
	Service string
	Weight  float64
}

// Service is a group of upstreams that answer alike.
type Service struct {
	Name       string
	HealthPath string `msgpack:"Health"` // path of its health check
	MaxConns   int    `msgpack:"Conns"`  // connections that an upstream accepts from all VMs together; 0 when not stated
}

// Limits bound what callers may send.
type Limits struct {
	MaxHeaderBytes int           `msgpack:"Header"`  // bytes
	MaxBodyBytes   int           `msgpack:"Body"`    // bytes
	HeaderTimeout  time.Duration `msgpack:"Reading"` // to read the headers
	IdleTimeout    time.Duration `msgpack:"Idle"`    // between two requests of a connection
}

// DocumentError reports a document that cannot be put in force.
type DocumentError struct {
	Route   string // empty when the problem is not in a route
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
	places := make(map[[2]string]bool, len(d.Routes))
	for i := range d.Routes {
		r := &d.Routes[i]
		if problem := r.problem(services); problem != "" {
			return &DocumentError{Route: r.Name, Problem: problem}
		}
		place := [2]string{strings.ToLower(r.Host), r.PathPrefix}
		if places[place] {
			return &DocumentError{Route: r.Name, Problem: "another route has the same host and prefix"}
		}
		places[place] = true
	}
	return nil
}

// problem says what is wrong with a route, or "".
func (r *Route) problem(services map[string]bool) string {
	weights := 0.0
	for _, t := range r.Targets {
		if !services[t.Service] {
			return fmt.Sprintf("service %q is not defined", t.Service)
		}
		if t.Weight < 0 {
			return fmt.Sprintf("the weight of service %q is negative", t.Service)
		}
		weights += t.Weight
	}
	shards := make(map[string]bool, len(r.Shards))
	for _, s := range r.Shards {
		switch {
		case !services[s]:
			return fmt.Sprintf("service %q is not defined", s)
		case shards[s]:
			return fmt.Sprintf("shard %q is named twice", s)
		}
		shards[s] = true
	}
	switch {
	case len(r.Targets) == 0 && len(r.Shards) == 0:
		return "names no service"
	case len(r.Targets) > 0 && len(r.Shards) > 0:
		return "names both targets and shards"
	case len(r.Targets) > 0 && weights <= 0:
		return "the weights add up to 0"
	case r.Timeout <= 0:
		return "the timeout is 0"
	default:
		return ""
	}
}
