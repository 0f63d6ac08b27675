// Package demo runs entry VMs and stand-in upstreams in one process on loopback,
// sends a load through them under faults, and checks every answer. It compares
// the plain baseline with the full policy.
//
// # Usage
//
//	d := &demo.Demo{Examples: files, Like: "tabadul", Profile: "straggler", Period: 10 * time.Second, Seed: 1}
//	result, err := d.Run(ctx)
//
// Examples holds the folders of docs/examples. Latencies are in milliseconds.
// The policies run one after the other, with the same seeds.
package demo
