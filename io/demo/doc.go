// Package demo runs entry VMs and stub upstreams in one process on loopback
// addresses, sends them a load, injects faults and checks every answer. It
// compares the full policy with a simple baseline policy.
//
// # Usage
//
//	d := &demo.Demo{Examples: files, Example: "tabadul", Profile: "straggler", Period: 10 * time.Second, Seed: 1}
//	result, err := d.Run(ctx)
//
// Examples holds the folders of docs/examples. Latencies are in milliseconds. The
// policies run one after the other with the same seed.
package demo
