package admit

import (
	"slices"
)

// fairQueue is a start-time fair queue over the classes of one contract. Within
// a class the query with the earliest deadline is first.
type fairQueue struct {
	classes     []classQueue
	virtualTime float64 // start tag of the last query taken from the queue
	n           int     // queries
}

// classQueue holds the queued queries of one class.
type classQueue struct {
	class     string
	weight    float64
	finishTag float64 // of the last query taken from the queue
	queries   []Query // ascending by deadline
}

func (q *fairQueue) len() int {
	return q.n
}

func (q *fairQueue) push(query Query) {
	c := q.classQueue(query)
	if len(c.queries) == 0 {
		c.finishTag = max(c.finishTag, q.virtualTime)
	}
	at, _ := slices.BinarySearchFunc(c.queries, query, func(a, b Query) int {
		if order := a.Deadline.Compare(b.Deadline); order != 0 {
			return order
		}
		return -1 // after those of the same deadline
	})
	c.queries = slices.Insert(c.queries, at, query)
	q.n++
}

// peek returns the query that pop would return.
func (q *fairQueue) peek() (Query, bool) {
	next := q.nextClass()
	if next < 0 {
		return Query{}, false
	}
	return q.classes[next].queries[0], true
}

// nextClass returns the index of the class to serve next, -1 when the queue is
// empty.
func (q *fairQueue) nextClass() int {
	next := -1
	for i := range q.classes {
		if len(q.classes[i].queries) == 0 {
			continue
		}
		if next < 0 || q.classes[i].finishTag < q.classes[next].finishTag {
			next = i
		}
	}
	return next
}

func (q *fairQueue) pop() (Query, bool) {
	next := q.nextClass()
	if next < 0 {
		return Query{}, false
	}
	c := &q.classes[next]
	query := c.queries[0]
	c.queries = slices.Delete(c.queries, 0, 1)
	q.virtualTime = c.finishTag
	c.finishTag += 1 / c.weight
	q.n--
	return query, true
}

func (q *fairQueue) remove(query Query) bool {
	c := q.classQueue(query)
	i := slices.IndexFunc(c.queries, func(queued Query) bool { return queued.ID == query.ID })
	if i < 0 {
		return false
	}
	c.queries = slices.Delete(c.queries, i, i+1)
	q.n--
	return true
}

// classQueue returns the queue of the query's class, with its current weight.
func (q *fairQueue) classQueue(query Query) *classQueue {
	for i := range q.classes {
		if q.classes[i].class == query.Class.Name {
			q.classes[i].weight = query.Class.Weight
			return &q.classes[i]
		}
	}
	q.classes = append(q.classes, classQueue{class: query.Class.Name, weight: query.Class.Weight})
	return &q.classes[len(q.classes)-1]
}
