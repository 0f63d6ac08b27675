// Package bench generates load as callers do and checks the answers against the
// stand-ins' own run logs and contents.
//
// # Usage
//
//	l := &bench.Load{Targets: targets, Callers: []bench.Caller{{Customer: "tabadul", Secret: "secret", Index: "pairing"}}, Rate: 200, Period: 10 * time.Second}
//	results, err := l.Run(ctx)
//	report := bench.Measure(results)
//	bench.NewEvidence(logs).Check(report, results)
//
// The load is open: requests are planned ahead and sent whether or not earlier
// ones were answered, and latencies count from the planned time. They are
// reported in milliseconds.
package bench
