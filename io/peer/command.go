package peer

import (
	"github.com/vmihailenco/msgpack/v5"
	"github.com/vmihailenco/msgpack/v5/msgpcode"

	"comfreypulley/core/entry"
	"comfreypulley/io/codec"
)

// wireCommand is a log command that is encoded as in io/codec, or as nil when it
// is nil.
type wireCommand struct{ entry.Command }

// EncodeMsgpack implements msgpack.CustomEncoder.
func (c wireCommand) EncodeMsgpack(enc *msgpack.Encoder) error {
	if c.Command == nil {
		return enc.EncodeNil()
	}
	return codec.EncodeCommand(enc, c.Command)
}

// DecodeMsgpack implements msgpack.CustomDecoder.
func (c *wireCommand) DecodeMsgpack(dec *msgpack.Decoder) error {
	code, err := dec.PeekCode()
	if err != nil {
		return err
	}
	if code == msgpcode.Nil {
		return dec.DecodeNil()
	}
	c.Command, err = codec.DecodeCommand(dec)
	return err
}
