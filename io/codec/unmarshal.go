package codec

import (
	"bytes"
	"fmt"

	"github.com/vmihailenco/msgpack/v5"
)

// Unmarshal validates b and calls decode with a decoder for it. It returns a *SyntaxError
// when b is not a sequence of complete msgpack values, or when msgpack panics while
// decoding, as v5.4.1 does when a time or an address is nil.
func Unmarshal(b []byte, decode func(*msgpack.Decoder) error) (err error) {
	if err := Validate(b); err != nil {
		return err
	}
	r := bytes.NewReader(b)
	defer func() {
		if p := recover(); p != nil {
			err = &SyntaxError{Offset: len(b) - r.Len(), Problem: fmt.Sprint(p)}
		}
	}()
	return decode(NewDecoder(r))
}
