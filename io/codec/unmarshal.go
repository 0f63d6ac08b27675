package codec

import (
	"bytes"
	"fmt"

	"github.com/vmihailenco/msgpack/v5"
)

// Unmarshal checks b and hands decode a decoder of it. Bytes that are not what
// decode expects give an error: *FormError when they are not whole msgpack
// values or when msgpack panics, as v5.4.1 does at a nil for a time or an address.
func Unmarshal(b []byte, decode func(*msgpack.Decoder) error) (err error) {
	if err := Check(b); err != nil {
		return err
	}
	r := bytes.NewReader(b)
	defer func() {
		if p := recover(); p != nil {
			err = &FormError{Offset: len(b) - r.Len(), Problem: fmt.Sprint(p)}
		}
	}()
	return decode(NewDecoder(r))
}
