// Package caller serves callers' queries over HTTP.
//
// # Usage
//
//	s := &caller.Server{Posts: []func(event.Body){loop.Post}}
//	http.Serve(listener, s)
//	s.SendAnswer(effect.SendAnswer{...}) // called by the loop's executor
//
// The protocol is described in docs/design.md, section 5.1. A caller states how
// long it waits as a duration such as 80ms; bodies are JSON of at most 1 MiB.
package caller
