// Package gate counts the requests that a server handles, so that a stopping process
// can refuse further ones and wait for those in flight.
//
// # Usage
//
//	var g gate.Gate
//	if !g.Enter() {
//		// refuse the request: the process stops
//	}
//	defer g.Leave()
//
//	<-g.Close() // elsewhere; waits for the requests in flight
package gate
