// Package node contains the reducer of all events: a [State] receives an event and
// returns effects as data. Depending on its role, it is the control state or a
// traffic state of a process, and passes events on to core/plane, core/query or
// core/proxy.
//
// # Usage
//
// A goroutine that owns a State passes it events in the order in which they occur,
// and carries out the effects in order:
//
//	var s node.State
//	out = s.Reduce(event.Event{At: now, Body: event.Start{Role: event.RoleQuery}}, out[:0])
//	for _, e := range out {
//		// carry out e; results come back as events
//	}
//
// A State reads no clock, and its random source is seeded by event.Start: the same
// events result in the same effects. Each file handles one group of events.
package node
