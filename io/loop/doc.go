// Package loop runs the goroutine that owns a reducer state: it takes events
// from a channel and from timers, calls Reduce, and carries out the effects.
//
// # Usage
//
//	l := &loop.Loop{Executor: executor}
//	group.Add(l.Run, l.Stop)
//	l.Post(event.CallerDisconnected{Request: 7})
//
// Post may be called from any goroutine. The executor is called from the loop's
// goroutine only, and must not block.
package loop
