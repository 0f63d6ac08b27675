// Package loop runs a reducer state on a goroutine of its own: it passes posted
// events and expired timers to Reduce and carries out the effects.
//
// # Usage
//
//	l := loop.New(executor)
//	group.Add(func() error { return l.Run(start) }, l.Stop)
//	l.Post(event.CallerDisconnected{Request: 7})
//
// Post may be called from any goroutine. The executor is only called from the
// loop's goroutine and must not block.
package loop
