package ledger

import (
	"bytes"
	"cmp"
)

// expiryHeap is a min-heap by end of retention. It implements heap.Interface.
type expiryHeap []*record

// compareExpiry orders records by end of retention and then by customer and
// key, so that all replicas remove them in the same order.
func compareExpiry(a, b *record) int {
	return cmp.Or(a.ExpiresAt.Compare(b.ExpiresAt), cmp.Compare(a.Customer, b.Customer), bytes.Compare(a.Key[:], b.Key[:]))
}

func (q expiryHeap) Len() int           { return len(q) }
func (q expiryHeap) Less(i, j int) bool { return compareExpiry(q[i], q[j]) < 0 }
func (q expiryHeap) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].heapIndex, q[j].heapIndex = i, j
}

// Push implements heap.Interface.
func (q *expiryHeap) Push(x any) {
	r := x.(*record)
	r.heapIndex = len(*q)
	*q = append(*q, r)
}

// Pop implements heap.Interface.
func (q *expiryHeap) Pop() any {
	old := *q
	n := len(old) - 1
	r := old[n]
	old[n] = nil
	*q = old[:n]
	return r
}
