package demo

import (
	"time"

	"comfreypulley/core/model"
	"comfreypulley/io/bench"
)

// replica loses one replica after a third of the load.
type replica struct{}

func (replica) stages(l *like, period time.Duration, _ uint64) []stage {
	return []stage{{callers: []bench.Caller{l.lookups(time.Second)}, rate: lookupRate, script: []step{
		{at: period / 3, do: func(w *world) error { return w.kill(l.upstreams(l.lookup)[0].ID) }},
	}}}
}

func (replica) judge(_ *like, _, full []outcome) []Target {
	period := full[0].period
	return append(truthful(full), atLeast("whole in time 2 s after the loss", adapted(full[0], period/3, period), 0.999))
}

// zone loses one replica after a third of the load, and all upstreams of a zone
// after two thirds.
type zone struct{}

func (zone) stages(l *like, period time.Duration, _ uint64) []stage {
	return []stage{{callers: []bench.Caller{l.lookups(time.Second)}, rate: lookupRate, script: []step{
		{at: period / 3, do: func(w *world) error { return w.kill(l.upstreams(l.lookup)[0].ID) }},
		{at: 2 * period / 3, do: func(w *world) error {
			for _, u := range l.upstreams(l.lookup) {
				// The zone of the lost replica, so that every shard keeps one.
				if u.Zone == l.upstreams(l.lookup)[0].Zone && u.ID != l.upstreams(l.lookup)[0].ID {
					if err := w.kill(u.ID); err != nil {
						return err
					}
				}
			}
			return nil
		}},
	}}}
}

func (zone) judge(_ *like, _, full []outcome) []Target {
	period := full[0].period
	return append(truthful(full),
		atLeast("whole in time 2 s after the replica", adapted(full[0], period/3, 2*period/3), 0.999),
		atLeast("whole in time 2 s after the zone", adapted(full[0], 2*period/3, period), 0.999),
	)
}

// adapted is the share of whole answers in time from 2 s after a fault on.
func adapted(o outcome, fault, end time.Duration) float64 {
	return wholeShare(between(o.results, fault+afterFault, end))
}

// kill ends a stand-in for good: connections are reset and later ones refused.
func (w *world) kill(id model.UpstreamID) error {
	w.stubs[id].Crash()
	return nil
}
