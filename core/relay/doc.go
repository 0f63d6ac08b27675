// Package relay distributes the configuration from the replicas of the log to
// all VMs along a tree, and reports the state of the VMs in each subtree to
// their parent. The replicas run on disk VMs, which are VMs with a data folder.
//
// # Usage
//
//	tree := relay.Tree{Store: store, Peers: peers}
//	out = tree.Start(at, self, processStart, out)       // requests the configuration
//	out = tree.HandlePeerMessage(at, from, digest, out) // answers with an effect.SendMessage
//	out = tree.HandleTimer(at, out)                     // event.TimerTree, each second
//	out = tree.Log(at, true, leader, lastMajority, out) // on a VM that replicates the log
//	out = tree.PushChanges(at, out)                     // after the log has changed the store
//
// The caller uses [Tree.StoreChanged] after [Tree.HandlePeerMessage] to learn
// whether the tree changed the store, and [Tree.Ready] before it serves requests.
//
// # Cycles
//
// An answer carries the path of VMs from which its sender receives the
// configuration. A VM leaves a parent whose path contains the VM itself, so a
// cycle ends within one digest period after it has formed.
//
// # Outdated VMs
//
// An answer also carries the time since the last contact with a majority of the
// log. This age grows in any part of the tree that is cut off from the log. When
// a VM's age reaches half of the time within which a change must be in force, or
// its parent has been silent for that long, it asks further VMs: those above it
// in its zone first, then disk VMs of other zones. The first one that answers and
// is current becomes its parent.
package relay
