package peer

import (
	"fmt"

	"github.com/vmihailenco/msgpack/v5"

	"comfreypulley/core/entry"
)

// Numbers of the command types on the wire.
const (
	commandNoop uint8 = iota + 1
	commandChange
	commandMembers
	commandClaim
	commandSettle
	commandRelease
)

// command encodes a command of the log as an array of its number and its body.
// A nil command is nil.
type command struct{ entry.Command }

// EncodeMsgpack implements msgpack.CustomEncoder.
func (c command) EncodeMsgpack(enc *msgpack.Encoder) error {
	var number uint8
	switch c.Command.(type) {
	case nil:
		return enc.EncodeNil()
	case entry.Noop:
		number = commandNoop
	case entry.Change:
		number = commandChange
	case entry.Members:
		number = commandMembers
	case entry.Claim:
		number = commandClaim
	case entry.Settle:
		number = commandSettle
	case entry.Release:
		number = commandRelease
	default:
		return fmt.Errorf("command type %T has no encoding", c.Command)
	}
	if err := enc.EncodeArrayLen(2); err != nil {
		return err
	}
	if err := enc.EncodeUint8(number); err != nil {
		return err
	}
	return enc.Encode(c.Command)
}

// DecodeMsgpack implements msgpack.CustomDecoder.
func (c *command) DecodeMsgpack(dec *msgpack.Decoder) error {
	n, err := dec.DecodeArrayLen()
	if err != nil || n == -1 {
		return err
	}
	if n != 2 {
		return fmt.Errorf("command has %d parts, want 2", n)
	}
	number, err := dec.DecodeUint8()
	if err != nil {
		return err
	}
	switch number {
	case commandNoop:
		c.Command, err = decodeCommand[entry.Noop](dec)
	case commandChange:
		c.Command, err = decodeCommand[entry.Change](dec)
	case commandMembers:
		c.Command, err = decodeCommand[entry.Members](dec)
	case commandClaim:
		c.Command, err = decodeCommand[entry.Claim](dec)
	case commandSettle:
		c.Command, err = decodeCommand[entry.Settle](dec)
	case commandRelease:
		c.Command, err = decodeCommand[entry.Release](dec)
	default:
		return fmt.Errorf("command number %d is not known", number)
	}
	return err
}

func decodeCommand[C entry.Command](dec *msgpack.Decoder) (entry.Command, error) {
	var c C
	err := dec.Decode(&c)
	return c, err
}
