package bench

import (
	"fmt"
	"slices"

	"comfreypulley/io/stub"
)

// itemID is the parsed id of an item of a stub.
type itemID struct {
	index      string
	version    uint64
	shardCount int // number of shards of the snapshot
	shard      int
	position   int // of the item in the shard's answer
}

func parseItemID(text string) (id itemID, ok bool) {
	parts := slices.Collect(stub.SplitPath(text))
	if len(parts) != 5 {
		return id, false
	}
	id.index = parts[0]
	n, err := fmt.Sscan(parts[1]+" "+parts[2]+" "+parts[3]+" "+parts[4], &id.version, &id.shardCount, &id.shard, &id.position)
	return id, err == nil && n == 4
}

// matches reports whether an item is equal to the one that the shard of its id has
// for a query.
func (id itemID) matches(item Item, query []byte) bool {
	content := stub.ShardItems(id.index, id.version, id.shardCount, id.shard, query)
	return id.position >= 0 && id.position < len(content) && Item(content[id.position]) == item
}
