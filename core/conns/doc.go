// Package conns decides when a VM opens connections to upstreams that accept fewer than
// all VMs together would open.
//
// Such an upstream resets what is beyond its limit. Right after a failure of many VMs it
// still counts the connections of processes that no longer exist, until they have been idle
// for too long. VMs that then open connections again and again take the places of those that
// would use them best, and each reset looks like a failure of the upstream.
//
// # Usage
//
//	var s conns.Shortage             // of a VM
//	var g conns.Gate                 // of one upstream
//	if g.Allows(at, inFlight) { … }  // send an attempt
//	g.Opened(at, idle)               // it was answered on a new connection
//	g.Used(at, idle)                 // or on one that was open
//	g.Closed()                       // a connection is gone
//	g.Rejected(at, draw)             // a new connection was reset at once
//	s.Rejected(at)
//
// The zero values allow every connection.
package conns
