package demo

import (
	"slices"
	"strings"
	"time"

	"comfreypulley/core/model"
	"comfreypulley/io/bench"
	"comfreypulley/io/stub"
)

// versionOverlap is how long an upstream keeps a version after it has loaded the
// next one.
const versionOverlap = 600 * time.Millisecond

// versions rolls out two new versions of the index, one upstream after the other,
// and then one with more shards. The first replicas of all services load a version
// before the second ones, so that at any time all shards of some version are held.
type versions struct{}

func (versions) stages(e *example, period time.Duration, _ uint64) []stage {
	list := e.upstreams(e.queryIndex)
	slices.SortStableFunc(list, func(a, b model.Upstream) int { return strings.Compare(replicaSuffix(a.ID), replicaSuffix(b.ID)) })
	var script []scriptStep
	rolloutTime := period / 4
	for version := uint64(2); version <= 4; version++ {
		begin := time.Duration(version-2) * rolloutTime
		for i, u := range list {
			next := e.snapshots(e.queryIndex)[u.ID]
			next.Version = version
			if version == 4 {
				// Two more shards on the same upstreams.
				next.ShardCount += 2
				next.HeldShards = []int{i % next.ShardCount}
			}
			at := begin + time.Duration(i)*(rolloutTime-versionOverlap)/time.Duration(len(list))
			script = append(script,
				scriptStep{at: at, apply: addSnapshot(u.ID, next)},
				scriptStep{at: at + versionOverlap, apply: removeOldSnapshots(u.ID, version)})
		}
	}
	sortSteps(script)
	return []stage{{callers: []bench.Caller{e.queryCaller(time.Second)}, rate: queryRate, script: script}}
}

func (versions) targets(_ *example, _, full []outcome) []Target {
	r := full[0].report
	return append(correctnessTargets(full), atLeast("whole", ratio(float64(r.Complete), float64(r.Queries)), 0.99))
}

// addSnapshot returns a step that adds a snapshot to an upstream.
func addSnapshot(id model.UpstreamID, next stub.HeldSnapshot) func(*system) error {
	return func(sys *system) error {
		return sys.stubs[id].Change(func(s *stub.Settings) {
			s.Snapshots = append([]stub.HeldSnapshot{next}, s.Snapshots...)
		})
	}
}

// removeOldSnapshots returns a step that removes the versions below oldest from an
// upstream.
func removeOldSnapshots(id model.UpstreamID, oldest uint64) func(*system) error {
	return func(sys *system) error {
		return sys.stubs[id].Change(func(s *stub.Settings) {
			var kept []stub.HeldSnapshot
			for _, h := range s.Snapshots {
				if h.Version >= oldest {
					kept = append(kept, h)
				}
			}
			s.Snapshots = kept
		})
	}
}
