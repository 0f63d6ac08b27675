package proxy

import (
	"bytes"
	"slices"

	"comfreypulley/core/model"
)

// recordSize is the length of one record of a part, in bytes.
const recordSize = 16

// merge puts the highest records of the parts of some legs together. Equal
// records all count; a shorter rest at the end of a part is no record.
func merge(legs []*leg, most int) model.MergedResponse {
	var m model.MergedResponse
	var records [][]byte
	for _, l := range legs {
		if l.part == nil {
			m.MissingShards++
			continue
		}
		m.Receipts = append(m.Receipts, l.part.receipt)
		body := l.part.reply.Body
		for ; len(body) >= recordSize; body = body[recordSize:] {
			records = append(records, body[:recordSize])
		}
	}
	slices.SortFunc(records, func(a, b []byte) int { return bytes.Compare(b, a) })
	if len(records) > most {
		records = records[:most]
	}
	m.Records = make([]byte, 0, recordSize*len(records))
	for _, r := range records {
		m.Records = append(m.Records, r...)
	}
	return m
}
