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
	Kind    Kind          // unknown number read
	Command entry.Command // command that has no number, when encoding
}

// Error implements error.
func (e *KindError) Error() string {
	if e.Kind == 0 {
		return fmt.Sprintf("command type %T has no kind number", e.Command)
	}
	return fmt.Sprintf("command kind %d is not known", e.Kind)
}

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

// EncodeCommand writes an array of the kind and the command. A command without
// a kind number gives a *KindError.
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

// DecodeCommand reads what EncodeCommand wrote. An unknown kind gives a
// *KindError.
func DecodeCommand(d *msgpack.Decoder) (entry.Command, error) {
	if err := arrayLen(d, 2); err != nil {
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
		return decode(d, func(c *entry.Claim) { utc(&c.Holder.ProcessStart) })
	case KindSettle:
		return decode(d, func(c *entry.Settle) { utc(&c.Holder.ProcessStart) })
	case KindRelease:
		return decode(d, func(c *entry.Release) { utc(&c.Holder.ProcessStart) })
	default:
		return nil, &KindError{Kind: Kind(kind)}
	}
}

// decode reads one command and adjusts it.
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

// utc makes replicas hold equal values whatever their time zone.
func utc(t *time.Time) {
	*t = t.UTC()
}
