package codec

import (
	"bytes"
	"fmt"

	"github.com/vmihailenco/msgpack/v5"
)

// Unmarshal checks b and calls decode with a decoder for it. It returns a *FormError
// when b is not a sequence of complete msgpack values, or when msgpack panics while
// decoding, as v5.4.1 does when a time or an address is nil.
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
