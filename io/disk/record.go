package disk

import (
	"bytes"
	"encoding/binary"
	"hash/crc32"
	"math"

	"github.com/vmihailenco/msgpack/v5"

	"comfreypulley/io/codec"
)

const (
	headSize = 12
	sector   = 512 // unit that a disk writes whole
	minZeros = 16  // fewer zero bytes at a sector's end occur in records by chance
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// appendRecord appends a record whose payload is written by encode.
func appendRecord(b *bytes.Buffer, encode func(*msgpack.Encoder) error) error {
	start := b.Len()
	b.Write(make([]byte, headSize))
	if err := encode(codec.NewEncoder(b)); err != nil {
		b.Truncate(start)
		return err
	}
	record := b.Bytes()[start:]
	payload := record[headSize:]
	if len(payload) > math.MaxUint32 {
		b.Truncate(start)
		return class.New("a record of %d bytes exceeds 4 GiB", len(payload))
	}
	binary.BigEndian.PutUint32(record, uint32(len(payload)))
	binary.BigEndian.PutUint32(record[4:], crc32.Checksum(record[:4], castagnoli))
	binary.BigEndian.PutUint32(record[8:], crc32.Checksum(payload, castagnoli))
	return nil
}

// nextRecord returns the payload of the record at the start of b and the size
// of the record. It reports false when there is no whole record.
func nextRecord(b []byte) (payload []byte, size int, ok bool) {
	length, ok := payloadLength(b)
	if !ok || length > len(b)-headSize {
		return nil, 0, false
	}
	payload = b[headSize : headSize+length]
	ok = binary.BigEndian.Uint32(b[8:]) == crc32.Checksum(payload, castagnoli)
	return payload, headSize + length, ok
}

// payloadLength returns the length in a header, if the header is whole.
func payloadLength(b []byte) (int, bool) {
	if len(b) < headSize || binary.BigEndian.Uint32(b[4:]) != crc32.Checksum(b[:4], castagnoli) {
		return 0, false
	}
	return int(binary.BigEndian.Uint32(b)), true
}

// torn reports whether the bytes at an offset can be what a crash left of the
// last write: they end early, or sectors of them were never written. Damage
// that a whole record follows is not torn.
func torn(b []byte, offset int) bool {
	rest := b[offset:]
	for i := 1; i+headSize <= len(rest); i++ {
		if _, _, ok := nextRecord(rest[i:]); ok {
			return false
		}
	}
	if len(rest) < headSize {
		return true
	}
	if length, ok := payloadLength(rest); ok && length > len(rest)-headSize {
		return true
	}
	for at := offset; at < len(b); {
		end := min((at/sector+1)*sector, len(b))
		if end-at >= minZeros && len(bytes.Trim(b[at:end], "\x00")) == 0 {
			return true
		}
		at = end
	}
	return false
}
