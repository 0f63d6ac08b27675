// Package proxy forwards HTTP requests along the routes of the routing document:
// it has an HTTP server for callers and an HTTP client for upstreams.
// [HeaderNames] names the headers that both read and write; everything else
// passes through unchanged.
//
// # Usage
//
//	s := &proxy.Server{HeaderNames: &names, Post: loop.Post}
//	c := &proxy.Client{HeaderNames: &names, Post: loop.Post, CallerRequest: s.CallerRequest}
//	c.Forward(effect.Forward{...}) // ends in event.ResponseReceived or event.AttemptFailed
//	s.Respond(id, effect.SendResponse{...})
//	h := &proxy.PortionHandler{Server: s} // http.Handler for other VMs' requests
//
// A VM that reaches no upstream hands whole requests over to others on the same
// listener; handover.go has the headers for that.
//
// The client manages its connections itself and does not use http.Transport: the
// tier must know whether a request may have reached an upstream, and a connection
// that delivered unsolicited bytes must not be used again.
package proxy
