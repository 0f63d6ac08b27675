package peer

import (
	"encoding/binary"
	"errors"
	"fmt"

	"github.com/vmihailenco/msgpack/v5/msgpcode"
)

// Limits of one msgpack value.
const (
	maxDepth    = 32
	maxElements = 1 << 20 // of one array or map; limits the memory that a short message can make the decoder allocate
)

var errTruncated = errors.New("length exceeds the bytes that follow")

// validate checks the lengths in one msgpack value and returns the bytes after
// it. The msgpack library allocates the length that an array claims before it
// reads the elements, so lengths are checked before decoding.
func validate(b []byte, depth int) (rest []byte, err error) {
	if depth > maxDepth {
		return nil, fmt.Errorf("nested more than %d levels deep", maxDepth)
	}
	if len(b) == 0 {
		return nil, errTruncated
	}
	code, b := b[0], b[1:]
	switch {
	case code <= msgpcode.PosFixedNumHigh, code >= msgpcode.NegFixedNumLow, code == msgpcode.Nil,
		code == msgpcode.False, code == msgpcode.True:
		return b, nil
	case msgpcode.IsFixedMap(code):
		return validateElements(b, 2*int(code&msgpcode.FixedMapMask), depth)
	case msgpcode.IsFixedArray(code):
		return validateElements(b, int(code&msgpcode.FixedArrayMask), depth)
	case msgpcode.IsFixedString(code):
		return skip(b, int(code&msgpcode.FixedStrMask))
	case code >= msgpcode.FixExt1 && code <= msgpcode.FixExt16:
		return skip(b, 1+1<<(code-msgpcode.FixExt1))
	}
	switch code {
	case msgpcode.Uint8, msgpcode.Int8:
		return skip(b, 1)
	case msgpcode.Uint16, msgpcode.Int16:
		return skip(b, 2)
	case msgpcode.Uint32, msgpcode.Int32, msgpcode.Float:
		return skip(b, 4)
	case msgpcode.Uint64, msgpcode.Int64, msgpcode.Double:
		return skip(b, 8)
	default:
		return validateLong(code, b, depth)
	}
}

// validateLong validates a value whose length follows its code.
func validateLong(code byte, b []byte, depth int) (rest []byte, err error) {
	var width int
	switch code {
	case msgpcode.Str8, msgpcode.Bin8, msgpcode.Ext8:
		width = 1
	case msgpcode.Str16, msgpcode.Bin16, msgpcode.Ext16, msgpcode.Array16, msgpcode.Map16:
		width = 2
	case msgpcode.Str32, msgpcode.Bin32, msgpcode.Ext32, msgpcode.Array32, msgpcode.Map32:
		width = 4
	default:
		return nil, fmt.Errorf("invalid msgpack code %#x", code)
	}
	if len(b) < width {
		return nil, errTruncated
	}
	var length [4]byte
	copy(length[4-width:], b[:width])
	n, b := int(binary.BigEndian.Uint32(length[:])), b[width:]
	switch code {
	case msgpcode.Array16, msgpcode.Array32:
		return validateElements(b, n, depth)
	case msgpcode.Map16, msgpcode.Map32:
		return validateElements(b, 2*n, depth)
	case msgpcode.Ext8, msgpcode.Ext16, msgpcode.Ext32:
		return skip(b, 1+n)
	default:
		return skip(b, n)
	}
}

// validateElements validates n consecutive values.
func validateElements(b []byte, n, depth int) (rest []byte, err error) {
	if n > len(b) {
		return nil, errTruncated
	}
	if n > maxElements {
		return nil, &SizeError{What: "array", Size: n, Limit: maxElements}
	}
	for range n {
		if b, err = validate(b, depth+1); err != nil {
			return nil, err
		}
	}
	return b, nil
}

func skip(b []byte, n int) (rest []byte, err error) {
	if n > len(b) {
		return nil, errTruncated
	}
	return b[n:], nil
}
