// Package proxy is the front end of routed requests: an HTTP server for callers
// and an HTTP client for upstreams. Both speak a [Dialect], which names the
// headers that carry what the tier needs to know; everything else passes
// through unchanged.
//
// # Usage
//
//	s := &proxy.Server{Dialect: &d, Post: loop.Post}
//	c := &proxy.Client{Dialect: &d, Post: loop.Post, Exchange: s.Exchange}
//	c.Forward(effect.Forward{...}) // ends in event.ResponseReceived or event.AttemptFailed
//	s.Finish(id, effect.SendResponse{...})
//	g := &proxy.Gatherer{Server: s} // takes portions of other VMs' requests
//
// The client keeps connections of its own: the tier must know whether a request
// may have reached an upstream, and a connection that brought bytes nobody
// asked for must not be used again.
package proxy
