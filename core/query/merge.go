package query

import (
	"cmp"
	"slices"

	"comfreypulley/core/model"
)

// merge returns the items of all shards, sorted by descending rank and then by
// id, and truncated to limit. A limit of 0 keeps all items.
func merge(shards []shard, limit int) []model.Item {
	n := 0
	for i := range shards {
		n += len(shards[i].items)
	}
	items := make([]model.Item, 0, n)
	for i := range shards {
		items = append(items, shards[i].items...)
	}
	slices.SortFunc(items, func(a, b model.Item) int {
		if c := cmp.Compare(b.Rank, a.Rank); c != 0 {
			return c
		}
		return cmp.Compare(a.ID, b.ID)
	})
	if limit > 0 && len(items) > limit {
		items = items[:limit]
	}
	return items
}
