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
	kindBase    = iota + 1 // term, vote, index of the image, entries
	kindVote               // term, vote
	kindEntries            // entries, which replace those from the first one's index on
)

// content is what the files hold.
type content struct {
	term    uint64
	vote    entry.Replica
	image   entry.Image
	entries []entry.Entry // after start
	start   uint64        // index of the entry before the first one
}

// add takes over entries, which replace those from the first one's index on.
func (c *content) add(entries []entry.Entry) error {
	if len(entries) == 0 {
		return nil
	}
	first := entries[0].Index
	if first <= c.start || first > c.start+uint64(len(c.entries))+1 {
		return fmt.Errorf("entry %d does not follow entry %d", first, c.start+uint64(len(c.entries)))
	}
	for i, e := range entries {
		if e.Index != first+uint64(i) {
			return fmt.Errorf("entry %d follows entry %d", e.Index, first+uint64(i)-1)
		}
	}
	keep := first - c.start - 1
	c.entries = append(c.entries[:keep:keep], entries...)
	return nil
}

// cover drops the entries that an image covers, and all of them when the one at
// its index is missing or of another term.
func (c *content) cover(image entry.Image) {
	at := image.Index - c.start // number of entries up to the image's index
	switch {
	case image.Index < c.start || at > uint64(len(c.entries)),
		at > 0 && c.entries[at-1].Term != image.Term:
		c.entries = nil
	default:
		c.entries = append([]entry.Entry(nil), c.entries[at:]...)
	}
	c.start, c.image = image.Index, image
}

// loaded returns the event of a start.
func (c *content) loaded(disk model.DiskID, fresh bool) event.DiskLoaded {
	return event.DiskLoaded{
		Disk: disk, Created: fresh, Term: c.term, Vote: c.vote, Image: c.image,
		Entries: append([]entry.Entry(nil), c.entries...),
	}
}

// encodeBase writes the state that a new log file begins with.
func (c *content) encodeBase(e *msgpack.Encoder) error {
	if err := e.EncodeMulti(uint64(kindBase), c.term, c.vote, c.start); err != nil {
		return err
	}
	return codec.EncodeEntries(e, c.entries)
}

// encode writes the record of a vote or of entries.
func encode(e *msgpack.Encoder, write effect.Effect) error {
	switch w := write.(type) {
	case effect.SaveVote:
		return e.EncodeMulti(uint64(kindVote), w.Term, w.Vote)
	case effect.AppendEntries:
		if err := e.EncodeUint(kindEntries); err != nil {
			return err
		}
		return codec.EncodeEntries(e, w.Entries)
	default:
		return fmt.Errorf("effect %T has no record", write)
	}
}

// apply takes over the payload of a record.
func (c *content) apply(d *msgpack.Decoder) error {
	kind, err := d.DecodeInt()
	if err != nil {
		return err
	}
	switch kind {
	case kindBase:
		if err := d.DecodeMulti(&c.term, &c.vote, &c.start); err != nil {
			return err
		}
		c.entries = nil
	case kindVote:
		return d.DecodeMulti(&c.term, &c.vote)
	case kindEntries:
	default:
		return fmt.Errorf("record kind %d is not known", kind)
	}
	entries, err := codec.DecodeEntries(d)
	if err != nil {
		return err
	}
	return c.add(entries)
}

// replay takes over the records of a log file and returns the size of its whole
// records.
func (c *content) replay(file string, b []byte) (size int64, err error) {
	at := 0
	for at < len(b) {
		payload, n, ok := nextRecord(b[at:])
		if !ok {
			if at > 0 && torn(b, at) {
				return int64(at), nil
			}
			return 0, &CorruptError{File: file, Offset: int64(at), Problem: "checksum or length does not match"}
		}
		if err := codec.Unmarshal(payload, c.apply); err != nil {
			return 0, &CorruptError{File: file, Offset: int64(at), Problem: err.Error()}
		}
		at += n
	}
	if at == 0 {
		return 0, &CorruptError{File: file, Problem: "base record is missing"}
	}
	return int64(at), nil
}
