package demo

import (
	"time"

	"comfreypulley/core/model"
	"comfreypulley/io/bench"
)

// replicaLoss stops one replica after a third of the load.
type replicaLoss struct{}

func (replicaLoss) stages(e *example, period time.Duration, _ uint64) []stage {
	return []stage{{callers: []bench.Caller{e.queryCaller(time.Second)}, rate: queryRate, script: []scriptStep{
		{at: period / 3, apply: func(sys *system) error { return sys.kill(e.upstreams(e.queryIndex)[0].ID) }},
	}}}
}

func (replicaLoss) targets(_ *example, _, full []outcome) []Target {
	period := full[0].period
	return append(correctnessTargets(full), atLeast("whole in time 2 s after the loss", completeAfterFault(full[0], period/3, period), 0.999))
}

// zoneLoss stops one replica after a third of the load, and all upstreams of a
// zone after two thirds.
type zoneLoss struct{}

func (zoneLoss) stages(e *example, period time.Duration, _ uint64) []stage {
	return []stage{{callers: []bench.Caller{e.queryCaller(time.Second)}, rate: queryRate, script: []scriptStep{
		{at: period / 3, apply: func(sys *system) error { return sys.kill(e.upstreams(e.queryIndex)[0].ID) }},
		{at: 2 * period / 3, apply: func(sys *system) error {
			for _, u := range e.upstreams(e.queryIndex) {
				// In the zone of the stopped replica, so that every shard keeps a replica.
				if u.Zone == e.upstreams(e.queryIndex)[0].Zone && u.ID != e.upstreams(e.queryIndex)[0].ID {
					if err := sys.kill(u.ID); err != nil {
						return err
					}
				}
			}
			return nil
		}},
	}}}
}

func (zoneLoss) targets(_ *example, _, full []outcome) []Target {
	period := full[0].period
	return append(correctnessTargets(full),
		atLeast("whole in time 2 s after the replica", completeAfterFault(full[0], period/3, 2*period/3), 0.999),
		atLeast("whole in time 2 s after the zone", completeAfterFault(full[0], 2*period/3, period), 0.999),
	)
}

// completeAfterFault returns the fraction of the queries with a complete answer in
// time, among those from adaptationTime after a fault until end.
func completeAfterFault(o outcome, fault, end time.Duration) float64 {
	return completeInTimeFraction(plannedBetween(o.results, fault+adaptationTime, end))
}

// kill stops a stub without a restart: its connections are reset and later ones
// refused.
func (sys *system) kill(id model.UpstreamID) error {
	sys.stubs[id].Crash()
	return nil
}
