package peer

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"

	"github.com/vmihailenco/msgpack/v5"

	"comfreypulley/core/frame"
)

// Sizes in bytes.
const (
	prefix     = 4
	maxFrame   = 4 << 20
	maxHello   = 1 << 10
	maxMessage = 64 << 20 // joined; sixteen times a configuration of the design size
	partRoom   = 16       // array header, kind and length of the bytes of a part
)

// SizeError reports a frame or message above its limit.
type SizeError struct {
	What  string
	Size  int
	Limit int
}

// Error implements error.
func (e *SizeError) Error() string {
	return fmt.Sprintf("%s of %d bytes is above the limit of %d", e.What, e.Size, e.Limit)
}

// writeMessage writes a message as one frame, compressed when that is shorter, or
// as parts when it is longer. It returns the bytes written.
func writeMessage(w io.Writer, m frame.Message) (n int, err error) {
	body, err := Encode(m)
	if err != nil {
		return 0, err
	}
	if len(body) > maxMessage {
		return 0, &SizeError{What: fmt.Sprintf("message of kind %d", m.Kind()), Size: len(body), Limit: maxMessage}
	}
	last := kindLast
	if packed, ok := pack(body); ok {
		body, last = packed, kindPacked
	} else if len(body) <= maxFrame {
		return writeFrame(w, body)
	}
	const room = maxFrame - partRoom
	for len(body) > 0 {
		kind, part := kindPart, body
		if len(body) > room {
			part = body[:room]
		} else {
			kind = last
		}
		body = body[len(part):]
		written, err := writePart(w, kind, part)
		n += written
		if err != nil {
			return n, err
		}
	}
	return n, nil
}

func writePart(w io.Writer, kind frame.Kind, part []byte) (n int, err error) {
	var buffer bytes.Buffer
	enc := msgpack.NewEncoder(&buffer)
	if err = enc.EncodeArrayLen(2); err != nil {
		return 0, err
	}
	if err = enc.EncodeUint(uint64(kind)); err != nil {
		return 0, err
	}
	if err = enc.EncodeBytes(part); err != nil {
		return 0, err
	}
	return writeFrame(w, buffer.Bytes())
}

func writeFrame(w io.Writer, body []byte) (n int, err error) {
	framed := binary.BigEndian.AppendUint32(make([]byte, 0, prefix+len(body)), uint32(len(body)))
	return w.Write(append(framed, body...))
}

// reader reads messages from frames. The zero value with a source is ready.
type reader struct {
	source io.Reader
	limit  int // of the next frame; 0 is maxFrame
	frame  bytes.Buffer
	joined []byte // parts so far
	bytes  int    // read so far
}

// next returns the next message. A clean end between messages is io.EOF.
func (r *reader) next() (m frame.Message, err error) {
	for {
		body, err := r.body()
		if err != nil {
			return nil, err
		}
		kind, part, ok, err := asPart(body)
		switch {
		case err != nil:
			return nil, err
		case !ok && r.joined != nil:
			return nil, &FormatError{Problem: errors.New("a message interrupts the parts of another")}
		case !ok:
			return Decode(body)
		case len(r.joined)+len(part) > maxMessage:
			return nil, &SizeError{What: "joined message", Size: len(r.joined) + len(part), Limit: maxMessage}
		}
		r.joined = append(r.joined, part...)
		whole := r.joined
		switch kind {
		case kindLast:
			r.joined = nil
			return Decode(whole)
		case kindPacked:
			r.joined = nil
			if whole, err = unpack(whole, maxMessage); err != nil {
				return nil, err
			}
			return Decode(whole)
		default:
		}
		if r.joined == nil {
			r.joined = []byte{}
		}
	}
}

// body reads one frame. The buffer grows with the bytes that arrive, not with
// the length that the sender claims.
func (r *reader) body() (body []byte, err error) {
	var length [prefix]byte
	if _, err = io.ReadFull(r.source, length[:]); err != nil {
		return nil, err
	}
	limit := r.limit
	if limit == 0 {
		limit = maxFrame
	}
	n := int(binary.BigEndian.Uint32(length[:]))
	if n > limit {
		return nil, &SizeError{What: "frame", Size: n, Limit: limit}
	}
	r.frame.Reset()
	if _, err = io.CopyN(&r.frame, r.source, int64(n)); err != nil {
		if errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF
		}
		return nil, err
	}
	r.bytes += prefix + n
	return r.frame.Bytes(), nil
}

// asPart returns the bytes of a part. It reports false for other frames, also
// malformed ones, which Decode refuses.
func asPart(body []byte) (kind frame.Kind, part []byte, ok bool, err error) {
	dec := msgpack.GetDecoder()
	defer msgpack.PutDecoder(dec)
	dec.Reset(bytes.NewReader(body))
	n, err := dec.DecodeArrayLen()
	if err != nil || n != 2 {
		return 0, nil, false, nil
	}
	number, err := dec.DecodeUint8()
	kind = frame.Kind(number)
	if err != nil || kind != kindPart && kind != kindLast && kind != kindPacked {
		return 0, nil, false, nil
	}
	if _, err = check(body, 0); err != nil {
		return kind, nil, true, &FormatError{Kind: kind, Problem: err}
	}
	if part, err = dec.DecodeBytes(); err != nil {
		return kind, nil, true, &FormatError{Kind: kind, Problem: err}
	}
	return kind, part, true, nil
}
