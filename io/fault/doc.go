// Package fault is a TCP proxy that injects network faults between two processes:
// delays, stalls, partitions, resets, loss in one direction and split writes.
//
// # Usage
//
//	p, err := fault.Listen(addr, target, seed)
//	go p.Run() // until p.Close()
//	p.SetRules(fault.Rules{Cut: true}) // a partition
//	p.SetRules(fault.Rules{Down: fault.StreamRules{Delay: time.Second, Pieces: 5}})
//	p.SetRules(fault.Rules{Sources: []fault.SourceRules{{From: prefix, Cut: true}}}) // from one zone
//	p.ResetConns() // resets the open connections
//
// Up is the direction from the client to the target, and Down the opposite one.
// Random delays come from a seeded source.
package fault
