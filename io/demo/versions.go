package demo

import (
	"slices"
	"strings"
	"time"

	"comfreypulley/core/model"
	"comfreypulley/io/bench"
	"comfreypulley/io/stub"
)

// overlap is how long an upstream goes on holding a version after it has
// loaded the next one.
const overlap = 600 * time.Millisecond

// versions rolls the index twice, one upstream after the other, and then
// repartitions it into more shards. The first replicas of all services roll
// before the second ones, so that some version is whole at any time.
type versions struct{}

func (versions) stages(l *like, period time.Duration, _ uint64) []stage {
	list := l.upstreams(l.lookup)
	slices.SortStableFunc(list, func(a, b model.Upstream) int { return strings.Compare(replicaOf(a.ID), replicaOf(b.ID)) })
	var script []step
	roll := period / 4
	for version := uint64(2); version <= 4; version++ {
		begin := time.Duration(version-2) * roll
		for i, u := range list {
			next := l.holdings(l.lookup)[u.ID]
			next.Version = version
			if version == 4 {
				// Two more shards, spread over the same upstreams.
				next.ShardCount += 2
				next.HeldShards = []int{i % next.ShardCount}
			}
			at := begin + time.Duration(i)*(roll-overlap)/time.Duration(len(list))
			script = append(script, step{at: at, do: hold(u.ID, next)}, step{at: at + overlap, do: drop(u.ID, version)})
		}
	}
	sortSteps(script)
	return []stage{{callers: []bench.Caller{l.lookups(time.Second)}, rate: lookupRate, script: script}}
}

func (versions) judge(_ *like, _, full []outcome) []Target {
	r := full[0].report
	return append(truthful(full), atLeast("whole", ratio(float64(r.Complete), float64(r.Queries)), 0.99))
}

// hold adds a version to an upstream.
func hold(id model.UpstreamID, next stub.HeldSnapshot) func(*world) error {
	return func(w *world) error {
		return w.stubs[id].Change(func(s *stub.Settings) {
			s.Snapshots = append([]stub.HeldSnapshot{next}, s.Snapshots...)
		})
	}
}

// drop takes the versions before one from an upstream.
func drop(id model.UpstreamID, before uint64) func(*world) error {
	return func(w *world) error {
		return w.stubs[id].Change(func(s *stub.Settings) {
			var kept []stub.HeldSnapshot
			for _, h := range s.Snapshots {
				if h.Version >= before {
					kept = append(kept, h)
				}
			}
			s.Snapshots = kept
		})
	}
}
