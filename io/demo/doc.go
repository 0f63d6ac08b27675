// Package demo runs zones of entry VMs and stand-in upstreams in one process on
// loopback, sends a load through them, and checks every answer.
//
// # Usage
//
//	d := &demo.Demo{Period: 10 * time.Second}
//	report, err := d.Run(ctx)
package demo
