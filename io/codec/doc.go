// Package codec encodes the entries, commands and images of the replicated log
// in msgpack. The data folder and the peer protocol share it.
//
// # Usage
//
//	e := codec.NewEncoder(w)
//	err := codec.EncodeEntry(e, logEntry)
//	err = codec.Unmarshal(b, func(d *msgpack.Decoder) (err error) {
//		logEntry, err = codec.DecodeEntry(d)
//		return err
//	})
//
// Structs are maps by field name: a field may be added, and an older or newer
// process skips it or reads it as zero. A field must not be renamed, or used
// again for something else. A claim takes 138 bytes, and 74 with structs as
// arrays, but msgpack refuses an array with another number of fields. Times lose
// their location and monotonic part; they are decoded in UTC.
package codec
