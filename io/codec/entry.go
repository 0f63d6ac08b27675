package codec

import (
	"fmt"
	"io"

	"github.com/vmihailenco/msgpack/v5"

	"comfreypulley/core/entry"
)

// maxEntries bounds what a damaged length makes the decoder reserve.
const maxEntries = 4096

// LengthError reports an array of another length than expected.
type LengthError struct {
	Got, Want int
}

// Error implements error.
func (e *LengthError) Error() string {
	return fmt.Sprintf("array of %d elements, want %d", e.Got, e.Want)
}

// NewEncoder returns an encoder that writes integers in their shortest form.
func NewEncoder(w io.Writer) *msgpack.Encoder {
	e := msgpack.NewEncoder(w)
	e.UseCompactInts(true)
	return e
}

// NewDecoder returns a decoder for what NewEncoder writes.
func NewDecoder(r io.Reader) *msgpack.Decoder {
	return msgpack.NewDecoder(r)
}

// EncodeEntry writes an array of index, term, time and command.
func EncodeEntry(e *msgpack.Encoder, v entry.Entry) error {
	if err := e.EncodeArrayLen(4); err != nil {
		return err
	}
	if err := e.EncodeUint(v.Index); err != nil {
		return err
	}
	if err := e.EncodeUint(v.Term); err != nil {
		return err
	}
	if err := e.EncodeTime(v.At); err != nil {
		return err
	}
	return EncodeCommand(e, v.Command)
}

// DecodeEntry reads what EncodeEntry wrote.
func DecodeEntry(d *msgpack.Decoder) (v entry.Entry, err error) {
	if err = arrayLen(d, 4); err != nil {
		return v, err
	}
	if v.Index, err = d.DecodeUint64(); err != nil {
		return v, err
	}
	if v.Term, err = d.DecodeUint64(); err != nil {
		return v, err
	}
	if v.At, err = d.DecodeTime(); err != nil {
		return v, err
	}
	utc(&v.At)
	v.Command, err = DecodeCommand(d)
	return v, err
}

// EncodeEntries writes an array of entries.
func EncodeEntries(e *msgpack.Encoder, entries []entry.Entry) error {
	if err := e.EncodeArrayLen(len(entries)); err != nil {
		return err
	}
	for _, v := range entries {
		if err := EncodeEntry(e, v); err != nil {
			return err
		}
	}
	return nil
}

// DecodeEntries reads what EncodeEntries wrote.
func DecodeEntries(d *msgpack.Decoder) ([]entry.Entry, error) {
	n, err := d.DecodeArrayLen()
	if err != nil || n <= 0 {
		return nil, err
	}
	entries := make([]entry.Entry, 0, min(n, maxEntries))
	for range n {
		v, err := DecodeEntry(d)
		if err != nil {
			return nil, err
		}
		entries = append(entries, v)
	}
	return entries, nil
}

// EncodeImage writes an image.
func EncodeImage(e *msgpack.Encoder, image entry.Image) error {
	return e.Encode(image)
}

// DecodeImage reads what EncodeImage wrote.
func DecodeImage(d *msgpack.Decoder) (image entry.Image, err error) {
	if err := d.Decode(&image); err != nil {
		return entry.Image{}, err
	}
	utc(&image.At)
	for i := range image.Config.Ops {
		utc(&image.Config.Ops[i].At)
	}
	for i := range image.Ledger {
		utc(&image.Ledger[i].ExpiresAt)
		utc(&image.Ledger[i].Holder.ProcessStart)
	}
	return image, nil
}

func arrayLen(d *msgpack.Decoder, want int) error {
	got, err := d.DecodeArrayLen()
	if err != nil {
		return err
	}
	if got != want {
		return &LengthError{Got: got, Want: want}
	}
	return nil
}
