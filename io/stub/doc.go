// Package stub is an upstream for tests and demos. Its answers are computed from
// the query, so that a test can compute them again. It can be made to fail as real
// upstreams do: to reject requests under overload, drain, refuse requests after a
// start, answer slowly or wrongly, crash and report a wrong load.
//
// # Usage
//
//	s, err := stub.New(stub.Config{ID: "u1", Settings: stub.Settings{Slots: 3, Snapshots: snapshots}})
//	server, err := stub.Listen(s, stub.Endpoint{Addr: addr})
//	go server.Run() // until server.Close()
//	s.Change(func(next *stub.Settings) { next.SlowFactor = 20 })
//	for _, run := range s.Runs() { ... }
//
// Over HTTP, GET and POST /v1/control read and change the settings, with
// durations such as 80ms; POST /v1/crash crashes the stub; GET /v1/runs returns a
// RunLog; GET /v1/report returns its load, state and snapshots. Service times are
// drawn from a seeded random source.
package stub
