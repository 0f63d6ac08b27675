package bench

import (
	"fmt"
	"slices"

	"comfreypulley/io/stub"
)

// itemID is a parsed id of an item.
type itemID struct {
	index   string
	version uint64
	total   int
	shard   int
	n       int
}

func parseItem(text string) (id itemID, ok bool) {
	parts := slices.Collect(stub.SplitPath(text))
	if len(parts) != 5 {
		return id, false
	}
	id.index = parts[0]
	n, err := fmt.Sscan(parts[1]+" "+parts[2]+" "+parts[3]+" "+parts[4], &id.version, &id.total, &id.shard, &id.n)
	return id, err == nil && n == 4
}

// holds reports whether an item is what its shard has for a query.
func (id itemID) holds(item Item, query []byte) bool {
	content := stub.ShardItems(id.index, id.version, id.total, id.shard, query)
	return id.n >= 0 && id.n < len(content) && Item(content[id.n]) == item
}
