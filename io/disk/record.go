package disk

import (
	"bytes"
	"encoding/binary"
	"hash/crc32"
	"math"

	"github.com/vmihailenco/msgpack/v5"

	"comfreypulley/io/codec"
)

// Sizes in bytes.
const (
	headerSize   = 12
	sectorSize   = 512 // bytes that a disk writes atomically
	minZeroBytes = 16  // shorter runs of zero bytes at a sector's end occur in records by chance
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// appendRecord appends a record to b. The function encode encodes its payload.
func appendRecord(b *bytes.Buffer, encode func(*msgpack.Encoder) error) error {
	start := b.Len()
	b.Write(make([]byte, headerSize))
	if err := encode(codec.NewEncoder(b)); err != nil {
		b.Truncate(start)
		return err
	}
	record := b.Bytes()[start:]
	payload := record[headerSize:]
	if len(payload) > math.MaxUint32 {
		b.Truncate(start)
		return errorClass.New("a record of %d bytes exceeds the limit of 4 GiB", len(payload))
	}
	binary.BigEndian.PutUint32(record, uint32(len(payload)))
	binary.BigEndian.PutUint32(record[4:], crc32.Checksum(record[:4], castagnoli))
	binary.BigEndian.PutUint32(record[8:], crc32.Checksum(payload, castagnoli))
	return nil
}

// nextRecord returns the payload and the size of the record at the start of b. It
// reports false when the record is incomplete or damaged.
func nextRecord(b []byte) (payload []byte, size int, ok bool) {
	length, ok := payloadLength(b)
	if !ok || length > len(b)-headerSize {
		return nil, 0, false
	}
	payload = b[headerSize : headerSize+length]
	ok = binary.BigEndian.Uint32(b[8:]) == crc32.Checksum(payload, castagnoli)
	return payload, headerSize + length, ok
}

// payloadLength returns the length stored in the header at the start of b. It
// reports false when the header is incomplete or damaged.
func payloadLength(b []byte) (int, bool) {
	if len(b) < headerSize || binary.BigEndian.Uint32(b[4:]) != crc32.Checksum(b[:4], castagnoli) {
		return 0, false
	}
	return int(binary.BigEndian.Uint32(b)), true
}

// isTorn reports whether a crash during the last write may have left the bytes from
// the offset on: the record is cut off, or some of its sectors were never written.
// Damage followed by a complete record has another cause.
func isTorn(b []byte, offset int) bool {
	rest := b[offset:]
	for i := 1; i+headerSize <= len(rest); i++ {
		if _, _, ok := nextRecord(rest[i:]); ok {
			return false
		}
	}
	if len(rest) < headerSize {
		return true
	}
	if length, ok := payloadLength(rest); ok && length > len(rest)-headerSize {
		return true
	}
	for start := offset; start < len(b); {
		end := min((start/sectorSize+1)*sectorSize, len(b))
		if end-start >= minZeroBytes && len(bytes.Trim(b[start:end], "\x00")) == 0 {
			return true
		}
		start = end
	}
	return false
}
