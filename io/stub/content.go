package stub

import (
	"fmt"
	"math"

	"github.com/zeebo/xxh3"
)

// itemsPerShard is the number of items in a shard's answer to any query.
const itemsPerShard = 3

// Item is one item of a shard's answer.
type Item struct {
	ID   string  `json:"id"`
	Rank float64 `json:"rank"`
	Data string  `json:"data"`
}

// ShardItems returns a shard's items for a query. They depend only on the
// arguments, so that tests can compute the correct answer to a query.
func ShardItems(index string, version uint64, shards, shard int, query []byte) []Item {
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
