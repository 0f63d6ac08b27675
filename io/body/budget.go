package body

import (
	"errors"
	"fmt"
	"io"
	"slices"
	"sync/atomic"
)

// Limits of response bodies, in bytes.
const (
	freeBytes   = 16 << 10 // of each body, which do not count towards budgetBytes
	budgetBytes = 8 << 20

	// MaxBytes is the limit of a single body while no other one is read.
	MaxBytes = budgetBytes / 2
)

// Budget bounds the memory of the bodies that are read at the same time. A body may
// take as much as is left for others, so that many endless bodies fail early and
// none keeps the others from being read. The zero value is ready to use, also by
// several goroutines.
type Budget struct{ used atomic.Int64 }

// SizeError reports a body that does not fit into the budget.
type SizeError struct {
	Read int64 // bytes read of this body, or stated in its header
}

// Error implements error.
func (e *SizeError) Error() string {
	return fmt.Sprintf("body exceeds the memory for response bodies at byte %d", e.Read)
}

// Reader reads one body within a budget.
type Reader struct {
	body   io.Reader
	budget *Budget
	read   int64
	taken  int64 // bytes taken from the budget
}

// NewReader returns a reader of one body. Call Release when the body has been read.
func (b *Budget) NewReader(body io.Reader) *Reader { return &Reader{body: body, budget: b} }

// Read implements io.Reader. It returns a *SizeError when the body has taken
// more than is left in the budget.
func (r *Reader) Read(p []byte) (n int, err error) {
	n, err = r.body.Read(p)
	r.read += int64(n)
	if over := r.read - freeBytes - r.taken; over > 0 {
		r.taken += over
		if left := budgetBytes - r.budget.used.Add(over); r.taken > left {
			return n, &SizeError{Read: r.read}
		}
	}
	return n, err
}

// Release returns what the body took from the budget.
func (r *Reader) Release() {
	r.budget.used.Add(-r.taken)
	r.taken = 0
}

// ReadAll reads the body of a response to its end. length is its stated length, in
// bytes, -1 when it is unknown. A body that does not fit into the budget gives a
// *SizeError.
func (b *Budget) ReadAll(body io.Reader, length int64) (read []byte, err error) {
	if length > MaxBytes {
		return nil, &SizeError{Read: length}
	}
	if length >= 0 && length <= freeBytes {
		read = make([]byte, length)
		_, err = io.ReadFull(body, read)
		return read, err
	}
	r := b.NewReader(body)
	defer r.Release()
	return readChunks(r)
}

// readChunks reads to the end. Unlike io.ReadAll it copies the bytes only once, at
// the end, so that it needs no more memory than the budget counts before that.
func readChunks(r io.Reader) ([]byte, error) {
	var chunks [][]byte
	var last []byte // the chunk being filled
	for {
		if len(last) == cap(last) {
			last = make([]byte, 0, freeBytes)
			chunks = append(chunks, nil)
		}
		n, err := r.Read(last[len(last):cap(last)])
		last = last[:len(last)+n]
		chunks[len(chunks)-1] = last
		switch {
		case errors.Is(err, io.EOF):
			return slices.Concat(chunks...), nil
		case err != nil:
			return nil, err
		}
	}
}
