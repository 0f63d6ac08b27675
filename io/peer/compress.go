package peer

import (
	"bytes"
	"compress/flate"
	"fmt"
	"io"
	"sync"
)

// minCompressedSize is the size in bytes from which a message is compressed.
// Documents and lists repeat names and shrink to a tenth; a shorter message fits
// into one packet anyway.
const minCompressedSize = 1 << 10

// compressors pools flate writers, each of which uses some 100 KB.
var compressors = sync.Pool{New: func() any {
	w, err := flate.NewWriter(io.Discard, flate.BestSpeed)
	if err != nil {
		panic(err) // the level is a constant
	}
	return w
}}

// compress compresses an encoded message. It reports false when the message is
// short or compression does not make it shorter.
func compress(body []byte) (compressed []byte, ok bool) {
	if len(body) < minCompressedSize {
		return nil, false
	}
	var b bytes.Buffer
	w := compressors.Get().(*flate.Writer)
	defer compressors.Put(w)
	w.Reset(&b)
	if _, err := w.Write(body); err != nil {
		return nil, false // not reached: a buffer accepts every write
	}
	if err := w.Close(); err != nil {
		return nil, false
	}
	return b.Bytes(), b.Len() < len(body)
}

// decompress restores an encoded message of at most limit bytes.
func decompress(compressed []byte, limit int) (body []byte, err error) {
	r := flate.NewReader(bytes.NewReader(compressed))
	defer func() {
		if closeErr := r.Close(); err == nil {
			err = closeErr
		}
	}()
	body, err = io.ReadAll(io.LimitReader(r, int64(limit)+1))
	switch {
	case err != nil:
		return nil, &FormatError{Kind: kindLastCompressed, Problem: fmt.Errorf("decompress: %w", err)}
	case len(body) > limit:
		return nil, &SizeError{What: "decompressed message", Size: len(body), Limit: limit}
	}
	return body, nil
}
