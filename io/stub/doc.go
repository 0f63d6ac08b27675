// Package stub is a stand-in upstream. It serves made-up contents that can be
// computed again by a checker, and it fails in the ways that real upstreams do:
// it sheds, drains, starts cold, straggles, crashes and misreports its load.
//
// # Usage
//
//	s, err := stub.New(stub.Config{ID: "u1", Settings: stub.Settings{Slots: 3, Holds: holds}})
//	h, err := stub.Listen(s, stub.Door{Addr: addr})
//	go h.Run() // until h.Close()
//	s.Change(func(next *stub.Settings) { next.Slow = 20 })
//	for _, run := range s.Runs() { ... }
//
// Over HTTP, GET and POST /v1/control read and change the settings, with
// durations written like 80ms; POST /v1/crash crashes it; GET /v1/runs returns a
// Log. Service times are drawn from a seeded source.
package stub
