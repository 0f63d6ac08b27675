package codec

import (
	"bufio"
	"errors"
	"fmt"
	"io"
)

// readStep is the number of bytes for which ReadValue allocates memory before they
// have arrived.
const readStep = 16 << 10

// ReadValue reads one msgpack value of at most limit bytes from a stream. The result
// may be passed to Unmarshal. A value that is invalid or longer gives a *SyntaxError.
// At the end of the stream the error is io.EOF before the value and
// io.ErrUnexpectedEOF within it.
func ReadValue(r *bufio.Reader, limit int) (b []byte, err error) {
	for remaining := 1; remaining > 0; remaining-- { // values still to follow
		start := len(b)
		if b, err = readHeader(r, b); err != nil {
			return nil, err
		}
		headerSize, dataSize, elements := measure(b[start:])
		left := limit - len(b)
		switch {
		case headerSize == 0:
			return nil, &SyntaxError{Offset: start, Problem: fmt.Sprintf("value with code %#x is invalid", b[start])}
		case dataSize > left || elements > left || remaining > left+1:
			return nil, &SyntaxError{Offset: start, Problem: fmt.Sprintf("value of more than %d bytes", limit)}
		}
		remaining += elements
		if b, err = readData(r, b, dataSize); err != nil {
			return nil, err
		}
	}
	return b, nil
}

// readHeader appends the code and the length of the next value to b.
func readHeader(r *bufio.Reader, b []byte) ([]byte, error) {
	code, err := r.ReadByte()
	if err != nil {
		if len(b) > 0 && errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF
		}
		return nil, err
	}
	b = append(b, code)
	size := layoutOf(code).lengthSize
	if size == invalidSize {
		return b, nil
	}
	return readData(r, b, size)
}

// readData appends n bytes of the stream to b.
func readData(r *bufio.Reader, b []byte, n int) ([]byte, error) {
	for n > 0 {
		step := min(n, readStep)
		start := len(b)
		b = append(b, make([]byte, step)...)
		if _, err := io.ReadFull(r, b[start:]); err != nil {
			if errors.Is(err, io.EOF) {
				err = io.ErrUnexpectedEOF
			}
			return nil, err
		}
		n -= step
	}
	return b, nil
}
