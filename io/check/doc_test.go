// Package check starts the program's processes on loopback, injects the faults
// that threaten its promises, and compares every answer with the run logs of the
// stand-ins. It has test files only.
//
// # Usage
//
//	w := newWorld(t, layout{shards: 3, replicas: 3, vms: 3})
//	results := w.load(bench.OpenLoop{Rate: 100, Period: time.Second, Callers: callers})
//	report := w.check(results)
//
// In a zoned world, fault proxies stand before VMs and upstreams, and separate cuts
// a zone off by the source addresses of its VMs:
//
//	w := newWorld(t, layout{shards: 2, replicas: 3, vms: 6, zoned: true})
//	w.separate(0)  // cuts the first zone off
//	w.separate(-1) // heals
//
// Tests named TestMeasure are measurements. They run with -measure, print JSON and
// write charts into the folder named by -charts:
//
//	go test ./io/check -v -run TestMeasure -measure -charts docs/plots
//
// Each test process has loopback addresses of its own, so that fixed ports never
// meet those of another process. Waiting is for events, within a limit.
package check
