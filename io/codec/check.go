package codec

import (
	"cmp"
	"fmt"
	"slices"
)

// maxDepth bounds nested arrays and maps; an image nests 8 deep.
const maxDepth = 32

// FormError reports bytes that are not whole msgpack values.
type FormError struct {
	Offset  int // in bytes
	Problem string
}

// Error implements error.
func (e *FormError) Error() string {
	return fmt.Sprintf("msgpack at byte %d: %s", e.Offset, e.Problem)
}

// Check returns a *FormError unless b holds whole msgpack values. Bytes of a
// peer are checked before they are decoded: msgpack v5.4.1 reserves memory for
// as many elements as an array's header states, even when they do not follow.
func Check(b []byte) error {
	var open []int // elements still to come, by nesting level
	for at := 0; at < len(b); {
		head, data, elements := measure(b[at:])
		switch {
		case head == 0:
			return &FormError{Offset: at, Problem: fmt.Sprintf("code %#x is not known or cut off", b[at])}
		case data > len(b)-at-head || elements > len(b)-at-head:
			return &FormError{Offset: at, Problem: "length exceeds the bytes that follow"}
		}
		at += head + data
		if n := len(open); n > 0 {
			open[n-1]--
		}
		if elements > 0 {
			if len(open) == maxDepth {
				return &FormError{Offset: at, Problem: fmt.Sprintf("nested deeper than %d", maxDepth)}
			}
			open = append(open, elements)
		}
		for n := len(open); n > 0 && open[n-1] == 0; n-- {
			open = open[:n-1]
		}
	}
	if len(open) > 0 {
		return &FormError{Offset: len(b), Problem: "array or map is cut off"}
	}
	return nil
}

// form is the layout of the values whose codes end at last.
type form struct {
	last  byte
	mask  byte // bits of the code that hold the length
	width int  // bytes of the length behind the code
	data  int  // further bytes
	items int  // values for each unit of the length; 0 when it counts bytes
}

// forms is the msgpack format, ascending by code.
var forms = []form{
	{last: 0x7f}, // small integer
	{last: 0x8f, mask: 0x0f, items: 2},
	{last: 0x9f, mask: 0x0f, items: 1},
	{last: 0xbf, mask: 0x1f},     // short string
	{last: 0xc0},                 // nil
	{last: 0xc1, width: unknown}, // never used
	{last: 0xc3},                 // bool
	{last: 0xc4, width: 1},
	{last: 0xc5, width: 2},
	{last: 0xc6, width: 4}, // binary
	{last: 0xc7, width: 1, data: 1},
	{last: 0xc8, width: 2, data: 1},
	{last: 0xc9, width: 4, data: 1}, // extension
	{last: 0xca, data: 4},
	{last: 0xcb, data: 8}, // float
	{last: 0xcc, data: 1},
	{last: 0xcd, data: 2},
	{last: 0xce, data: 4},
	{last: 0xcf, data: 8}, // unsigned
	{last: 0xd0, data: 1},
	{last: 0xd1, data: 2},
	{last: 0xd2, data: 4},
	{last: 0xd3, data: 8}, // signed
	{last: 0xd4, data: 2},
	{last: 0xd5, data: 3},
	{last: 0xd6, data: 5},
	{last: 0xd7, data: 9},
	{last: 0xd8, data: 17},
	{last: 0xd9, width: 1},
	{last: 0xda, width: 2},
	{last: 0xdb, width: 4}, // string
	{last: 0xdc, width: 2, items: 1},
	{last: 0xdd, width: 4, items: 1}, // array
	{last: 0xde, width: 2, items: 2},
	{last: 0xdf, width: 4, items: 2}, // map
	{last: 0xff},                     // small negative integer
}

// unknown is wider than any value, so that the code never has a whole header.
const unknown = 1 << 40

// measure returns the size of a value's header and data, and the number of
// values nested in it. Head is 0 for an unknown or cut header.
func measure(b []byte) (head, data, elements int) {
	i, _ := slices.BinarySearchFunc(forms, b[0], func(f form, c byte) int { return cmp.Compare(f.last, c) })
	f := forms[i]
	if len(b)-1 < f.width {
		return 0, 0, 0
	}
	length := int(b[0] & f.mask)
	for _, c := range b[1 : 1+f.width] {
		length = length<<8 | int(c)
	}
	if f.items > 0 {
		return 1 + f.width, f.data, length * f.items
	}
	return 1 + f.width, f.data + length, 0
}
