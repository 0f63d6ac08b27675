package peer

import (
	"bytes"
	"compress/flate"
	"fmt"
	"io"
	"sync"
)

// packFrom is the size in bytes from which a message is compressed. Documents and
// lists repeat names and shrink to a tenth; below it the frame fits one packet.
const packFrom = 1 << 10

// packers are compressors, each of which holds some 100 KB.
var packers = sync.Pool{New: func() any {
	w, err := flate.NewWriter(io.Discard, flate.BestSpeed)
	if err != nil {
		panic(err) // the level is a constant
	}
	return w
}}

// pack compresses the bytes of a message. It reports false when that is not worth
// it.
func pack(body []byte) (packed []byte, ok bool) {
	if len(body) < packFrom {
		return nil, false
	}
	var b bytes.Buffer
	w := packers.Get().(*flate.Writer)
	defer packers.Put(w)
	w.Reset(&b)
	if _, err := w.Write(body); err != nil {
		return nil, false // a buffer takes every write
	}
	if err := w.Close(); err != nil {
		return nil, false
	}
	return b.Bytes(), b.Len() < len(body)
}

// unpack restores the bytes of a message, up to a limit.
func unpack(packed []byte, limit int) (body []byte, err error) {
	r := flate.NewReader(bytes.NewReader(packed))
	defer func() {
		if closing := r.Close(); err == nil {
			err = closing
		}
	}()
	body, err = io.ReadAll(io.LimitReader(r, int64(limit)+1))
	switch {
	case err != nil:
		return nil, &FormatError{Kind: kindPacked, Problem: fmt.Errorf("decompress: %w", err)}
	case len(body) > limit:
		return nil, &SizeError{What: "decompressed message", Size: len(body), Limit: limit}
	}
	return body, nil
}
