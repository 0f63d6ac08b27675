// Package peer carries messages between VMs over TCP connections. A frame is a
// 4-byte big-endian length and a msgpack array of kind and body.
//
// # Usage
//
//	t := &peer.Transport{Self: vm, Post: control.Post, Logger: logger}
//	if err := t.LoadTLS(); err != nil { … } // reads the TLS files, if any are set
//	group.Add(func() error { return t.Serve(listener) }, func(error) { t.Close() })
//	t.Send(message)                         // an effect.SendMessage
//	vars.Set("peer", t.Counters())
//
// A received message is posted as event.PeerMessage, and a connection that broke or
// could not be opened as event.PeerDown. Messages may be lost. The caller must not
// modify a message after passing it to Send.
//
// # Format
//
// Structs are msgpack maps keyed by field name, so that a field can be added while
// VMs of both versions run: an unknown field is skipped, and a missing one is zero.
// The first frame of a connection is a hello, which names the sender. A message of
// 1 KB or more is compressed (flate) if that makes it shorter. A compressed message,
// or one longer than a frame, is sent as parts, which the receiver joins before
// decoding. Each VM sends on the connections that it dials and receives on those
// that it accepts.
//
// With TLS files, each side must present a certificate signed by the configured
// authority. The name in it is not checked, because VMs are reached by address.
package peer
