// Package caller is the HTTP front end for callers.
//
// # Usage
//
//	s := &caller.Server{Posts: []func(event.Body){loop.Post}}
//	http.Serve(listener, s)
//	s.Reply(effect.SendAnswer{...})  // from the executor of the loop
//
// The protocol is described in docs/design.md, section 5.1. Waits are durations
// such as 80ms; bodies are JSON of at most 1 MiB.
package caller
