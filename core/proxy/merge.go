package proxy

import (
	"bytes"
	"slices"

	"comfreypulley/core/model"
)

// recordSize is the length of one record of a response body, in bytes.
const recordSize = 16

// merge combines the responses of the subrequests and keeps the highest records,
// at most limit. Duplicate records are kept, and an incomplete record at the end
// of a body is ignored.
func merge(subrequests []*subrequest, limit int) model.MergedResponse {
	var m model.MergedResponse
	var records [][]byte
	for _, sub := range subrequests {
		if sub.answer == nil {
			m.MissingShards++
			continue
		}
		m.Receipts = append(m.Receipts, sub.answer.receipt)
		body := sub.answer.response.Body
		for ; len(body) >= recordSize; body = body[recordSize:] {
			records = append(records, body[:recordSize])
		}
	}
	slices.SortFunc(records, func(a, b []byte) int { return bytes.Compare(b, a) })
	if len(records) > limit {
		records = records[:limit]
	}
	m.Records = make([]byte, 0, recordSize*len(records))
	for _, record := range records {
		m.Records = append(m.Records, record...)
	}
	return m
}
