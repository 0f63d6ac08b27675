// Package check has acceptance tests. They start the program's processes on loopback
// addresses, inject faults, and compare every answer with the run logs of the
// stand-ins for upstreams. It has test files only.
//
// # Usage
//
//	f := newFleet(t, layout{shards: 3, replicas: 3, vms: 3})
//	results := f.runLoad(&bench.OpenLoop{Rate: 100, Period: time.Second, Callers: callers})
//	report := f.checkResults(results)
//
// With zoned set, fault proxies are in front of VMs and upstreams, and isolateZone
// cuts a zone off by the source addresses of its VMs:
//
//	f := newFleet(t, layout{shards: 2, replicas: 3, vms: 6, zoned: true})
//	f.isolateZone(0)  // cuts the first zone off
//	f.isolateZone(-1) // reconnects it
//
// Tests whose names start with TestMeasure are measurements. They run only with
// -measure, print JSON and write charts into the folder given by -charts:
//
//	go test ./io/check -v -run TestMeasure -measure -charts docs/plots
//
// Each test process uses its own loopback addresses, so that its fixed ports never
// conflict with those of another process. Tests wait for events, up to a limit.
package check
