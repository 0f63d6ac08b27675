// Package peer carries messages between VMs: TCP connections with frames of a
// 4-byte big-endian length and a msgpack array of kind and body.
//
// # Usage
//
//	t := &peer.Transport{Self: vm, Post: control.Post, Logger: logger}
//	if err := t.Reload(); err != nil { … } // reads the keys, if any are set
//	group.Add(func() error { return t.Serve(listener) }, func(error) { t.Close() })
//	t.Tell(tell)                            // carries out effect.SendMessage
//	vars.Set("peer", t.Counters())
//
// Messages arrive as event.PeerMessage, and a connection that broke or could not be
// made as event.PeerDown. A message may be lost; one given to Tell must not be
// changed any more.
//
// # Format
//
// Structs are msgpack maps with the names of their fields, so that a field can
// be added while VMs of both versions run: a field that is not known is skipped,
// and one that is missing is zero. The first frame of a connection is a hello. A
// message longer than one frame is sent as parts that are joined before they
// are decoded, and one of 1 KB or more is compressed before (flate). Each VM sends on the connections that it dials and receives on
// those that it accepts.
//
// With keys, both sides must have a certificate of the configured authority;
// its name is not checked, because VMs are reached by address.
package peer
