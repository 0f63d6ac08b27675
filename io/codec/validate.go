package codec

import (
	"cmp"
	"fmt"
	"slices"
)

// maxDepth is the deepest allowed nesting of arrays and maps. An image has 8 levels.
const maxDepth = 32

// SyntaxError reports bytes that are not a sequence of complete msgpack values.
type SyntaxError struct {
	Offset  int // in bytes
	Problem string
}

// Error implements error.
func (e *SyntaxError) Error() string {
	return fmt.Sprintf("msgpack at byte %d: %s", e.Offset, e.Problem)
}

// Validate returns a *SyntaxError unless b is a sequence of complete msgpack values.
// Bytes from outside the process must be validated before decoding, because msgpack
// v5.4.1 allocates memory for as many elements as an array's header states, even
// when they do not follow.
func Validate(b []byte) error {
	var remaining []int // elements that still have to follow, by nesting level
	for offset := 0; offset < len(b); {
		headerSize, dataSize, elements := measure(b[offset:])
		switch {
		case headerSize == 0:
			return &SyntaxError{Offset: offset, Problem: fmt.Sprintf("value with code %#x is invalid or cut off", b[offset])}
		case dataSize > len(b)-offset-headerSize || elements > len(b)-offset-headerSize:
			return &SyntaxError{Offset: offset, Problem: "length exceeds the bytes that follow"}
		}
		offset += headerSize + dataSize
		if n := len(remaining); n > 0 {
			remaining[n-1]--
		}
		if elements > 0 {
			if len(remaining) == maxDepth {
				return &SyntaxError{Offset: offset, Problem: fmt.Sprintf("nested more than %d levels deep", maxDepth)}
			}
			remaining = append(remaining, elements)
		}
		for n := len(remaining); n > 0 && remaining[n-1] == 0; n-- {
			remaining = remaining[:n-1]
		}
	}
	if len(remaining) > 0 {
		return &SyntaxError{Offset: len(b), Problem: "array or map is cut off"}
	}
	return nil
}

// layout describes the values whose code, the first byte, is at most lastCode and
// above the lastCode of the previous layout.
type layout struct {
	lastCode        byte
	lengthMask      byte // bits of the code that hold the length
	lengthSize      int  // size of the length after the code, in bytes
	dataSize        int  // bytes of data, besides those that the length counts
	elementsPerUnit int  // nested values per unit of the length; 0 when the length counts bytes
}

// layouts describes the msgpack format, ascending by lastCode.
var layouts = []layout{
	{lastCode: 0x7f}, // small integer
	{lastCode: 0x8f, lengthMask: 0x0f, elementsPerUnit: 2}, // short map
	{lastCode: 0x9f, lengthMask: 0x0f, elementsPerUnit: 1}, // short array
	{lastCode: 0xbf, lengthMask: 0x1f},                     // short string
	{lastCode: 0xc0},                                       // nil
	{lastCode: 0xc1, lengthSize: invalidSize},              // not used by msgpack
	{lastCode: 0xc3},                                       // bool
	{lastCode: 0xc4, lengthSize: 1},
	{lastCode: 0xc5, lengthSize: 2},
	{lastCode: 0xc6, lengthSize: 4}, // binary
	{lastCode: 0xc7, lengthSize: 1, dataSize: 1},
	{lastCode: 0xc8, lengthSize: 2, dataSize: 1},
	{lastCode: 0xc9, lengthSize: 4, dataSize: 1}, // extension
	{lastCode: 0xca, dataSize: 4},
	{lastCode: 0xcb, dataSize: 8}, // float
	{lastCode: 0xcc, dataSize: 1},
	{lastCode: 0xcd, dataSize: 2},
	{lastCode: 0xce, dataSize: 4},
	{lastCode: 0xcf, dataSize: 8}, // unsigned
	{lastCode: 0xd0, dataSize: 1},
	{lastCode: 0xd1, dataSize: 2},
	{lastCode: 0xd2, dataSize: 4},
	{lastCode: 0xd3, dataSize: 8}, // signed
	{lastCode: 0xd4, dataSize: 2},
	{lastCode: 0xd5, dataSize: 3},
	{lastCode: 0xd6, dataSize: 5},
	{lastCode: 0xd7, dataSize: 9},
	{lastCode: 0xd8, dataSize: 17},
	{lastCode: 0xd9, lengthSize: 1},
	{lastCode: 0xda, lengthSize: 2},
	{lastCode: 0xdb, lengthSize: 4}, // string
	{lastCode: 0xdc, lengthSize: 2, elementsPerUnit: 1},
	{lastCode: 0xdd, lengthSize: 4, elementsPerUnit: 1}, // array
	{lastCode: 0xde, lengthSize: 2, elementsPerUnit: 2},
	{lastCode: 0xdf, lengthSize: 4, elementsPerUnit: 2}, // map
	{lastCode: 0xff},                                    // small negative integer
}

// invalidSize exceeds the size of any input, so that a header with the unused code
// is always cut off.
const invalidSize = 1 << 40

// layoutOf returns the layout of a value from its code.
func layoutOf(code byte) layout {
	i, _ := slices.BinarySearchFunc(layouts, code, func(f layout, c byte) int { return cmp.Compare(f.lastCode, c) })
	return layouts[i]
}

// measure returns the size of a value's header and of its data, and the number of
// values nested in it. The headerSize is 0 when the header is invalid or cut off.
func measure(b []byte) (headerSize, dataSize, elements int) {
	f := layoutOf(b[0])
	if len(b)-1 < f.lengthSize {
		return 0, 0, 0
	}
	length := int(b[0] & f.lengthMask)
	for _, c := range b[1 : 1+f.lengthSize] {
		length = length<<8 | int(c)
	}
	if f.elementsPerUnit > 0 {
		return 1 + f.lengthSize, f.dataSize, length * f.elementsPerUnit
	}
	return 1 + f.lengthSize, f.dataSize + length, 0
}
