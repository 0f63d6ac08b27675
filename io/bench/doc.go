// Package bench generates load as callers do and checks the answers against the
// stand-ins' own run logs and contents.
//
// # Usage
//
//	l := &bench.Load{Targets: targets, Customer: "tabadul", Secret: "secret", Index: "pairing", Rate: 200, Period: 10 * time.Second}
//	report, err := l.Run(ctx)
//
// Latencies are reported in milliseconds.
package bench
