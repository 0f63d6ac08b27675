// Package codec encodes the entries, commands and images of the replicated log in
// msgpack. Both io/disk and io/peer use it.
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
// Structs are maps keyed by field name. So a field may be added: a version without
// it skips it, and a version with it reads it as zero when it is missing. A renamed
// field needs a msgpack tag with its old name, and a name must not be reused for
// another purpose. With structs as arrays, a claim would take 74 bytes instead of
// 138, but msgpack rejects an array with a different number of fields. Times lose
// their location and monotonic clock reading; they are decoded in UTC.
package codec
