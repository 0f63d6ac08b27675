package disk

import (
	"bytes"
	"testing"

	"github.com/vmihailenco/msgpack/v5"

	"comfreypulley/core/effect"
	"comfreypulley/core/entry"
	"comfreypulley/io/codec"
)

// Guards against a log file that panics the process, instead of being reported as
// corrupt, and against a size of the valid part that is larger than the file.
func FuzzReplay(f *testing.F) {
	var valid bytes.Buffer
	var base storedState
	if err := appendRecord(&valid, base.encodeBase); err != nil {
		f.Fatal(err)
	}
	write := effect.AppendEntries{Entries: []entry.Entry{{Index: 1, Term: 1, Command: entry.Noop{}}}}
	if err := appendRecord(&valid, func(e *msgpack.Encoder) error { return encodeRecord(e, write) }); err != nil {
		f.Fatal(err)
	}
	f.Add(valid.Bytes())
	f.Add(valid.Bytes()[:valid.Len()-3])
	f.Fuzz(func(t *testing.T, b []byte) {
		var c storedState
		if size, err := c.replay("log", b); err == nil && size > int64(len(b)) {
			t.Errorf("got a valid part of %d bytes in a file of %d", size, len(b))
		}
		// The checksum keeps most inputs from the decoder, so that it is called directly, too.
		var direct storedState
		_ = codec.Unmarshal(b, direct.applyRecord)
	})
}
