package disk

import (
	"fmt"

	"github.com/vmihailenco/msgpack/v5"

	"comfreypulley/core/effect"
	"comfreypulley/core/entry"
	"comfreypulley/core/event"
	"comfreypulley/core/model"
	"comfreypulley/io/codec"
)

// Record kinds of the log file. The numbers are part of the file format.
const (
	kindBase    = iota + 1 // term, vote, index of the image, entries after it
	kindVote               // term, vote
	kindEntries            // entries, which replace all from the index of the first one on
)

// storedState is the state that the files hold.
type storedState struct {
	term       uint64
	vote       entry.Replica
	image      entry.Image
	entries    []entry.Entry // after startIndex
	startIndex uint64        // index of the entry before the first one
	founders   []model.VM    // that may found the log
}

// appendEntries appends entries. They replace all existing ones from the index of
// the first one on.
func (c *storedState) appendEntries(entries []entry.Entry) error {
	if len(entries) == 0 {
		return nil
	}
	first := entries[0].Index
	if first <= c.startIndex || first > c.startIndex+uint64(len(c.entries))+1 {
		return fmt.Errorf("first entry has index %d, but the last stored one has index %d", first, c.startIndex+uint64(len(c.entries)))
	}
	for i, e := range entries {
		if e.Index != first+uint64(i) {
			return fmt.Errorf("entry with index %d follows entry with index %d", e.Index, first+uint64(i)-1)
		}
	}
	keep := first - c.startIndex - 1
	c.entries = append(c.entries[:keep:keep], entries...)
	return nil
}

// applyImage sets the image and drops the entries that it covers. It drops all
// entries when the entry at the image's index is missing or has another term.
func (c *storedState) applyImage(image entry.Image) {
	covered := image.Index - c.startIndex // number of entries up to the image's index
	switch {
	case image.Index < c.startIndex || covered > uint64(len(c.entries)),
		covered > 0 && c.entries[covered-1].Term != image.Term:
		c.entries = nil
	default:
		c.entries = append([]entry.Entry(nil), c.entries[covered:]...)
	}
	c.startIndex, c.image = image.Index, image
}

// loaded returns the event that reports the state after a start.
func (c *storedState) loaded(disk model.DiskID, created bool) event.DiskLoaded {
	return event.DiskLoaded{
		Disk: disk, Created: created, Term: c.term, Vote: c.vote, Image: c.image,
		Entries: append([]entry.Entry(nil), c.entries...), Founders: c.founders,
	}
}

// encodeBase encodes the base record, with which a new log file begins.
func (c *storedState) encodeBase(e *msgpack.Encoder) error {
	if err := e.EncodeMulti(uint64(kindBase), c.term, c.vote, c.startIndex); err != nil {
		return err
	}
	return codec.EncodeEntries(e, c.entries)
}

// encodeRecord encodes the record of a vote or of entries.
func encodeRecord(e *msgpack.Encoder, write effect.Effect) error {
	switch w := write.(type) {
	case effect.SaveVote:
		return e.EncodeMulti(uint64(kindVote), w.Term, w.Vote)
	case effect.AppendEntries:
		if err := e.EncodeUint(kindEntries); err != nil {
			return err
		}
		return codec.EncodeEntries(e, w.Entries)
	default:
		return fmt.Errorf("effect %T has no record kind", write)
	}
}

// applyRecord applies the payload of a record to the state.
func (c *storedState) applyRecord(d *msgpack.Decoder) error {
	kind, err := d.DecodeInt()
	if err != nil {
		return err
	}
	switch kind {
	case kindBase:
		if err := d.DecodeMulti(&c.term, &c.vote, &c.startIndex); err != nil {
			return err
		}
		c.entries = nil
	case kindVote:
		return d.DecodeMulti(&c.term, &c.vote)
	case kindEntries:
	default:
		return fmt.Errorf("unknown record kind %d", kind)
	}
	entries, err := codec.DecodeEntries(d)
	if err != nil {
		return err
	}
	return c.appendEntries(entries)
}

// replay applies the records of a log file and returns their total size, without an
// incomplete last record.
func (c *storedState) replay(file string, b []byte) (size int64, err error) {
	offset := 0
	for offset < len(b) {
		payload, n, ok := nextRecord(b[offset:])
		if !ok {
			if offset > 0 && isTorn(b, offset) {
				return int64(offset), nil
			}
			return 0, &CorruptError{File: file, Offset: int64(offset), Problem: "checksum or length does not match"}
		}
		if err := codec.Unmarshal(payload, c.applyRecord); err != nil {
			return 0, &CorruptError{File: file, Offset: int64(offset), Problem: err.Error()}
		}
		offset += n
	}
	if offset == 0 {
		return 0, &CorruptError{File: file, Problem: "base record is missing"}
	}
	return int64(offset), nil
}
