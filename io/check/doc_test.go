// Package check starts the program's processes on loopback, injects the faults
// that threaten its promises, and compares every answer with the run logs of the
// stand-ins. It has test files only.
//
// # Usage
//
//	w := newWorld(t, layout{shards: 3, replicas: 3, vms: 3})
//	results := w.load(bench.Load{Rate: 100, Period: time.Second, Callers: callers})
//	report := w.check(results)
//
// Each test process has loopback addresses of its own, so that fixed ports never
// meet those of another process. Waiting is for events, within patience.
package check
