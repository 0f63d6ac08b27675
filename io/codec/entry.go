package codec

import (
	"fmt"
	"io"

	"github.com/vmihailenco/msgpack/v5"

	"comfreypulley/core/entry"
)

// maxPreallocated is the number of entries for which the decoder allocates memory in
// advance, so that a damaged length cannot exhaust the memory.
const maxPreallocated = 4096

// LengthError reports an array whose length differs from the expected one.
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

// NewDecoder returns a decoder for the output of NewEncoder.
func NewDecoder(r io.Reader) *msgpack.Decoder {
	return msgpack.NewDecoder(r)
}

// EncodeEntry encodes an entry as an array of its index, term, time and command.
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

// DecodeEntry decodes an entry encoded by EncodeEntry.
func DecodeEntry(d *msgpack.Decoder) (v entry.Entry, err error) {
	if err = expectArrayLen(d, 4); err != nil {
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
	toUTC(&v.At)
	v.Command, err = DecodeCommand(d)
	return v, err
}

// EncodeEntries encodes an array of entries.
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

// DecodeEntries decodes entries encoded by EncodeEntries.
func DecodeEntries(d *msgpack.Decoder) ([]entry.Entry, error) {
	n, err := d.DecodeArrayLen()
	if err != nil || n <= 0 {
		return nil, err
	}
	entries := make([]entry.Entry, 0, min(n, maxPreallocated))
	for range n {
		v, err := DecodeEntry(d)
		if err != nil {
			return nil, err
		}
		entries = append(entries, v)
	}
	return entries, nil
}

// EncodeImage encodes an image.
func EncodeImage(e *msgpack.Encoder, image entry.Image) error {
	return e.Encode(image)
}

// DecodeImage decodes an image encoded by EncodeImage.
func DecodeImage(d *msgpack.Decoder) (image entry.Image, err error) {
	if err := d.Decode(&image); err != nil {
		return entry.Image{}, err
	}
	toUTC(&image.At)
	for i := range image.Config.Ops {
		toUTC(&image.Config.Ops[i].At)
	}
	for i := range image.Ledger {
		toUTC(&image.Ledger[i].ExpiresAt)
		toUTC(&image.Ledger[i].Holder.ProcessStart)
	}
	return image, nil
}

// expectArrayLen decodes the length of an array. Any other length than want
// results in a *LengthError.
func expectArrayLen(d *msgpack.Decoder, want int) error {
	got, err := d.DecodeArrayLen()
	if err != nil {
		return err
	}
	if got != want {
		return &LengthError{Got: got, Want: want}
	}
	return nil
}
