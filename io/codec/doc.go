// Package codec encodes the entries, commands and images of the replicated log
// in msgpack. The data folder and the peer protocol share it.
//
// # Usage
//
//	e := codec.NewEncoder(w)
//	err := codec.EncodeEntry(e, logEntry)
//	logEntry, err := codec.DecodeEntry(codec.NewDecoder(r))
//
// Structs are arrays of their fields, so a field may only be added at the end of
// a struct and none may be removed. Times lose their location and monotonic
// part; they are decoded in UTC.
package codec
