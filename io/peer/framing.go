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
	lengthSize   = 4 // length in front of each frame
	maxFrame     = 4 << 20
	maxHello     = 1 << 10  // frame with a hello
	maxMessage   = 64 << 20 // before compression; sixteen times a configuration of 34,000 upstreams and 6,900 VMs
	partOverhead = 16       // array header, kind and length in front of a part's bytes
)

// SizeError reports a frame, message or array above its limit.
type SizeError struct {
	What  string
	Size  int
	Limit int
}

// Error implements error.
func (e *SizeError) Error() string {
	return fmt.Sprintf("%s of size %d exceeds the limit of %d", e.What, e.Size, e.Limit)
}

// writeMessage writes a message as one frame, or as parts when it is compressed or
// longer than a frame. It returns the number of bytes written.
func writeMessage(w io.Writer, m frame.Message) (n int, err error) {
	body, err := Encode(m)
	if err != nil {
		return 0, err
	}
	if len(body) > maxMessage {
		return 0, &SizeError{What: fmt.Sprintf("message of kind %d", m.Kind()), Size: len(body), Limit: maxMessage}
	}
	last := kindLastPart
	if compressed, ok := compress(body); ok {
		body, last = compressed, kindLastCompressed
	} else if len(body) <= maxFrame {
		return writeFrame(w, body)
	}
	const maxPart = maxFrame - partOverhead
	for len(body) > 0 {
		kind, part := kindPart, body
		if len(body) > maxPart {
			part = body[:maxPart]
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

// writePart writes a part of a message as one frame.
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

// writeFrame writes one frame.
func writeFrame(w io.Writer, body []byte) (n int, err error) {
	framed := binary.BigEndian.AppendUint32(make([]byte, 0, lengthSize+len(body)), uint32(len(body)))
	return w.Write(append(framed, body...))
}

// reader reads messages from the frames of r.
type reader struct {
	r         io.Reader
	limit     int          // largest accepted frame in bytes; 0 means maxFrame
	frame     bytes.Buffer // content of the current frame
	joined    []byte       // parts of the current message; nil when it has none
	bytesRead int          // in the frames read so far
}

// next returns the next message. It returns io.EOF when the input ends between
// two messages.
func (r *reader) next() (m frame.Message, err error) {
	for {
		body, err := r.readFrame()
		if err != nil {
			return nil, err
		}
		kind, part, ok, err := parsePart(body)
		switch {
		case err != nil:
			return nil, err
		case !ok && r.joined != nil:
			return nil, &FormatError{Problem: errors.New("message received before the last part of the previous one")}
		case !ok:
			return Decode(body)
		case len(r.joined)+len(part) > maxMessage:
			return nil, &SizeError{What: "joined message", Size: len(r.joined) + len(part), Limit: maxMessage}
		}
		r.joined = append(r.joined, part...)
		message := r.joined
		switch kind {
		case kindLastPart:
			r.joined = nil
			return Decode(message)
		case kindLastCompressed:
			r.joined = nil
			if message, err = decompress(message, maxMessage); err != nil {
				return nil, err
			}
			return Decode(message)
		default:
		}
		if r.joined == nil {
			r.joined = []byte{}
		}
	}
}

// readFrame reads one frame and returns it without its length. The buffer grows
// with the bytes that arrive, so that a false length cannot exhaust the memory.
func (r *reader) readFrame() (body []byte, err error) {
	var length [lengthSize]byte
	if _, err = io.ReadFull(r.r, length[:]); err != nil {
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
	if _, err = io.CopyN(&r.frame, r.r, int64(n)); err != nil {
		if errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF
		}
		return nil, err
	}
	r.bytesRead += lengthSize + n
	return r.frame.Bytes(), nil
}

// parsePart returns the kind and the bytes of a part of a message. It reports
// false for other frames, also malformed ones, which Decode rejects.
func parsePart(body []byte) (kind frame.Kind, part []byte, ok bool, err error) {
	dec := msgpack.GetDecoder()
	defer msgpack.PutDecoder(dec)
	dec.Reset(bytes.NewReader(body))
	n, err := dec.DecodeArrayLen()
	if err != nil || n != 2 {
		return 0, nil, false, nil
	}
	number, err := dec.DecodeUint8()
	kind = frame.Kind(number)
	if err != nil || kind != kindPart && kind != kindLastPart && kind != kindLastCompressed {
		return 0, nil, false, nil
	}
	if _, err = validate(body, 0); err != nil {
		return kind, nil, true, &FormatError{Kind: kind, Problem: err}
	}
	if part, err = dec.DecodeBytes(); err != nil {
		return kind, nil, true, &FormatError{Kind: kind, Problem: err}
	}
	return kind, part, true, nil
}
