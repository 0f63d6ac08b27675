package bench

import (
	"fmt"
	"net/http"
	"slices"

	"comfreypulley/io/stub"
)

// Check compares the results with the contents and run logs of the stand-ins,
// and fills in the faults and the extra load of the report.
func Check(report *Report, results []Result, index string, runs []stub.Run) {
	ranBy := make(map[string]bool, len(runs))
	byKey := make(map[string]int)
	attempts := 0
	for _, r := range runs {
		attempts++
		ranBy[r.Request] = true
		if r.Key != "" {
			byKey[r.Key]++
		}
	}
	for _, n := range byKey {
		if n > 1 {
			report.Doubled += n - 1
		}
	}
	for _, r := range results {
		if r.Status == http.StatusOK {
			checkAnswer(report, r, index)
		}
	}
	if report.needed > 0 {
		report.Extra = float64(attempts) / float64(report.needed)
	}
}

// checkAnswer computes the answer again from the contents of the shards.
func checkAnswer(report *Report, r Result, index string) {
	shards := make(map[int]bool)
	a := r.Answer
	for _, item := range a.Items {
		var name string
		var version uint64
		var total, shard, i int
		if !parseItem(item.ID, &name, &version, &total, &shard, &i) || name != index {
			report.Crossed++
			return
		}
		if version != a.Snapshot || total != a.Coverage.Total {
			report.Mixed++
			return
		}
		content := stub.Content(index, version, total, shard, r.Query)
		if i >= len(content) || content[i].Data != item.Data || content[i].Rank != item.Rank {
			report.Crossed++
			return
		}
		shards[shard] = true
	}
	covered := 0
	for shard := range a.Coverage.Total {
		if !slices.Contains(a.Coverage.Missing, shard) {
			covered++
		}
	}
	if covered != a.Coverage.Answered || len(shards) != a.Coverage.Answered {
		report.Untrue++
	}
}

func parseItem(id string, name *string, version *uint64, total, shard, i *int) bool {
	parts := slices.Collect(stub.SplitPath(id))
	if len(parts) != 5 {
		return false
	}
	*name = parts[0]
	n, err := fmt.Sscan(parts[1]+" "+parts[2]+" "+parts[3]+" "+parts[4], version, total, shard, i)
	return err == nil && n == 4
}
