// Package bench sends load to entry VMs as callers do, measures the answers and
// checks them against the run logs and the items of stub upstreams.
//
// # Usage
//
//	l := &bench.OpenLoop{Targets: targets, Rate: 200, Period: 10 * time.Second, Callers: callers}
//	results, err := l.Run(ctx)
//	report := bench.Measure(results)
//	bench.NewChecker(logs).Check(report, results)
//
// The requests of an OpenLoop are planned before the load starts and sent at
// their planned times whether or not earlier ones were answered. Latencies
// count from the planned times, which avoids coordinated omission. They are
// reported in milliseconds.
package bench
