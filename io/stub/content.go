package stub

import (
	"fmt"
	"math"

	"github.com/zeebo/xxh3"
)

// itemsPerShard is how many items a shard gives for each query.
const itemsPerShard = 3

// Item is one result of a shard.
type Item struct {
	ID   string  `json:"id"`
	Rank float64 `json:"rank"`
	Data string  `json:"data"`
}

// Content returns the items that a shard of a version holds for a query. A
// checker computes the same to tell whether an answer is true.
func Content(index string, version uint64, shards, shard int, query []byte) []Item {
	items := make([]Item, itemsPerShard)
	for i := range items {
		id := fmt.Sprintf("%s/%d/%d/%d/%d", index, version, shards, shard, i)
		hash := xxh3.Hash(append([]byte(id+"\n"), query...))
		items[i] = Item{
			ID:   id,
			Rank: float64(hash>>11) / math.Pow(2, 53),
			Data: fmt.Sprintf("%016x", xxh3.Hash(query)),
		}
	}
	return items
}
