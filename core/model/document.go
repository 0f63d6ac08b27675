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
	Name      string
	Host      string
	Prefix    string
	Once      bool          // a request may run at most once
	Targets   []Target      // services that share the requests by weight
	Shards    []string      // services that each hold a part of the answer
	Attempts  int           // upstreams that one request may be sent to, for each shard; 0 means 1
	Timeout   time.Duration // longest time to keep a caller waiting
	Objective time.Duration // an answer is worth most within this time
	Rank      int           // 0 is the most urgent
	Records   int           // records of a merged answer at most
	Coverage  float64       // least share of the shards in a merged answer, 0 to 1
}

// Target is one service of a route and its share of the requests.
type Target struct {
	Service string
	Weight  float64
}

// Service is a group of upstreams that answer alike.
type Service struct {
	Name   string
	Health string // path of its health check
	Conns  int    // connections that an upstream accepts from all VMs together; 0 when not stated
}

// Limits bound what callers may send.
type Limits struct {
	Header  int           // bytes
	Body    int           // bytes
	Reading time.Duration // to read the headers
	Idle    time.Duration // between two requests of a connection
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

// Check returns a *DocumentError for the first problem.
func (d *Document) Check() error {
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
		place := [2]string{strings.ToLower(r.Host), r.Prefix}
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
