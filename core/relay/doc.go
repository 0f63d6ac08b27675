// Package relay distributes the configuration from the replicas of the log to
// every VM along a tree, and reports the VMs below upward.
//
// # Usage
//
//	tree := relay.Tree{Store: store, Peers: peers}
//	out = tree.Start(at, self, began, out) // asks before the VM serves
//	out = tree.Peer(at, from, digest, out) // answers with an effect.SendMessage
//	out = tree.Timer(at, out)              // event.TimerTree, each second
//	out = tree.Log(at, true, leader, heard, out) // on a VM that replicates the log
//	out = tree.Changed(at, out)            // the log moved the store
//
// The owner calls [Tree.Moved] after Peer to learn that the configuration in
// force changed, and [Tree.Ready] before it serves.
//
// # Cycles
//
// An answer carries the path of VMs that feed its sender. A VM leaves a parent
// whose path names the VM itself, so a cycle ends within one digest period of
// closing. An answer also carries the time since a majority was last heard of.
// It grows in a part of the tree that no replica of the log feeds, and a VM
// whose parent is too old in that sense tries its next candidate. Candidates
// include disk VMs outside the zone, so no group of VMs can go on waiting for
// each other while one of them can reach a replica.
package relay
