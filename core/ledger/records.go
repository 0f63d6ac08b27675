package ledger

import (
	"bytes"
	"cmp"
)

// records is a queue by end of retention. It implements heap.Interface.
type records []*record

// compare orders by end of retention. Ties are broken by name, so that every
// replica drops records in the same order.
func compare(a, b *record) int {
	return cmp.Or(a.ExpiresAt.Compare(b.ExpiresAt), cmp.Compare(a.Customer, b.Customer), bytes.Compare(a.Key[:], b.Key[:]))
}

func (q records) Len() int           { return len(q) }
func (q records) Less(i, j int) bool { return compare(q[i], q[j]) < 0 }
func (q records) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index, q[j].index = i, j
}

// Push implements heap.Interface.
func (q *records) Push(x any) {
	r := x.(*record)
	r.index = len(*q)
	*q = append(*q, r)
}

// Pop implements heap.Interface.
func (q *records) Pop() any {
	old := *q
	n := len(old) - 1
	r := old[n]
	old[n] = nil
	*q = old[:n]
	return r
}
