package codec

import (
	"encoding/binary"
	"fmt"
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

// measure returns the size of a value's header and data, and the number of
// values nested in it. Head is 0 for an unknown or cut header.
func measure(b []byte) (head, data, elements int) {
	c := b[0]
	// number reads the length of 1 << width bytes behind the code.
	number := func(width byte) (int, int) {
		n := 1 << width
		if width > 2 || len(b) < 1+n {
			return 0, 0
		}
		var wide [8]byte
		copy(wide[8-n:], b[1:1+n])
		return 1 + n, int(binary.BigEndian.Uint64(wide[:]))
	}
	switch {
	case c <= 0x7f || c >= 0xe0 || c == 0xc0 || c == 0xc2 || c == 0xc3: // small integer, nil, bool
		return 1, 0, 0
	case c <= 0x8f: // map
		return 1, 0, 2 * int(c&0x0f)
	case c <= 0x9f: // array
		return 1, 0, int(c & 0x0f)
	case c <= 0xbf: // string
		return 1, int(c & 0x1f), 0
	case c >= 0xc4 && c <= 0xc6: // binary
		head, data = number(c - 0xc4)
	case c >= 0xc7 && c <= 0xc9: // extension, with a type byte
		head, data = number(c - 0xc7)
		data++
	case c == 0xca || c == 0xcb: // float
		return 1, 4 << (c - 0xca), 0
	case c >= 0xcc && c <= 0xcf: // unsigned
		return 1, 1 << (c - 0xcc), 0
	case c >= 0xd0 && c <= 0xd3: // signed
		return 1, 1 << (c - 0xd0), 0
	case c >= 0xd4 && c <= 0xd8: // fixed extension, with a type byte
		return 1, 1 + 1<<(c-0xd4), 0
	case c >= 0xd9 && c <= 0xdb: // string
		head, data = number(c - 0xd9)
	case c == 0xdc || c == 0xdd: // array
		head, elements = number(c - 0xdc + 1)
	case c == 0xde || c == 0xdf: // map
		head, elements = number(c - 0xde + 1)
		elements *= 2
	}
	return head, data, elements
}
