package codec

import (
	"fmt"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"comfreypulley/core/entry"
)

// Kind numbers the command types in files and frames.
type Kind uint8

// Command kinds. The numbers are part of the file and wire formats.
const (
	KindNoop Kind = iota + 1
	KindChange
	KindMembers
	KindClaim
	KindSettle
	KindRelease
)

// KindError reports a command that cannot be encoded or decoded.
type KindError struct {
	Kind    Kind          // unknown kind, when decoding
	Command entry.Command // command without a kind, when encoding
}

// Error implements error.
func (e *KindError) Error() string {
	if e.Kind == 0 {
		return fmt.Sprintf("command type %T has no kind", e.Command)
	}
	return fmt.Sprintf("unknown command kind %d", e.Kind)
}

// kindOf returns the kind of a command, or 0 when it has none.
func kindOf(c entry.Command) Kind {
	switch c.(type) {
	case entry.Noop:
		return KindNoop
	case entry.Change:
		return KindChange
	case entry.Members:
		return KindMembers
	case entry.Claim:
		return KindClaim
	case entry.Settle:
		return KindSettle
	case entry.Release:
		return KindRelease
	default:
		return 0
	}
}

// EncodeCommand encodes a command as an array of its kind and the command. A command
// without a kind gives a *KindError.
func EncodeCommand(e *msgpack.Encoder, c entry.Command) error {
	kind := kindOf(c)
	if kind == 0 {
		return &KindError{Command: c}
	}
	if err := e.EncodeArrayLen(2); err != nil {
		return err
	}
	if err := e.EncodeUint(uint64(kind)); err != nil {
		return err
	}
	return e.Encode(c)
}

// DecodeCommand decodes a command encoded by EncodeCommand. An unknown kind gives a
// *KindError.
func DecodeCommand(d *msgpack.Decoder) (entry.Command, error) {
	if err := expectArrayLen(d, 2); err != nil {
		return nil, err
	}
	kind, err := d.DecodeUint8()
	if err != nil {
		return nil, err
	}
	switch Kind(kind) {
	case KindNoop:
		return decode[entry.Noop](d, nil)
	case KindChange:
		return decode[entry.Change](d, nil)
	case KindMembers:
		return decode[entry.Members](d, nil)
	case KindClaim:
		return decode(d, func(c *entry.Claim) { toUTC(&c.Holder.ProcessStart) })
	case KindSettle:
		return decode(d, func(c *entry.Settle) { toUTC(&c.Holder.ProcessStart) })
	case KindRelease:
		return decode(d, func(c *entry.Release) { toUTC(&c.Holder.ProcessStart) })
	default:
		return nil, &KindError{Kind: Kind(kind)}
	}
}

// decode decodes a command of type C and calls adjust on it, unless that is nil.
func decode[C entry.Command](d *msgpack.Decoder, adjust func(*C)) (entry.Command, error) {
	var c C
	if err := d.Decode(&c); err != nil {
		return nil, err
	}
	if adjust != nil {
		adjust(&c)
	}
	return c, nil
}

// toUTC sets a time's location to UTC, so that all replicas hold equal values
// whatever their time zone.
func toUTC(t *time.Time) {
	*t = t.UTC()
}
