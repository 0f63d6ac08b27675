package peer

import (
	"github.com/vmihailenco/msgpack/v5"
	"github.com/vmihailenco/msgpack/v5/msgpcode"

	"comfreypulley/core/entry"
	"comfreypulley/io/codec"
)

// command encodes a command of the log as io/codec does. A nil command is nil.
type command struct{ entry.Command }

// EncodeMsgpack implements msgpack.CustomEncoder.
func (c command) EncodeMsgpack(enc *msgpack.Encoder) error {
	if c.Command == nil {
		return enc.EncodeNil()
	}
	return codec.EncodeCommand(enc, c.Command)
}

// DecodeMsgpack implements msgpack.CustomDecoder.
func (c *command) DecodeMsgpack(dec *msgpack.Decoder) error {
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
