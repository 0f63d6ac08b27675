// Package node has the one reducer of the tier: a [State] takes an event and
// gives back effects as data.
//
// # Usage
//
// Every goroutine that owns a State feeds it events in the order in which they
// happen and carries out the effects in their order:
//
//	var s node.State
//	out = s.Reduce(event.Event{At: now, Body: event.Start{Role: event.RoleQuery}}, out[:0])
//	for _, e := range out {
//		// carry out e; results come back as events
//	}
//
// A State reads no clock and no random source of its own: the same events give
// the same effects. The files of this package follow the event families.
package node
