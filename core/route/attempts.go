package route

import (
	"time"

	"comfreypulley/core/event"
	"comfreypulley/core/model"
)

// RecordStart records the start of an attempt.
func (b *Balancer) RecordStart(id model.UpstreamID) {
	if u, ok := b.upstreams[id]; ok {
		u.inFlight++
	}
}

// RecordAnswer records the answer to an attempt. load is nil when the
// upstream did not report any; newConn says that the attempt opened a
// connection.
func (b *Balancer) RecordAnswer(at time.Time, id model.UpstreamID, latency time.Duration, load *model.Load, newConn bool) {
	u, ok := b.upstreams[id]
	if !ok {
		return
	}
	u.attemptEnded(newConn)
	u.recordAnswer(at, latency)
	if load != nil {
		u.recordLoad(at, *load)
	}
}

// SilentSince reports whether an upstream has neither answered an attempt nor
// reported its load since the given time.
func (b *Balancer) SilentSince(id model.UpstreamID, since time.Time) bool {
	u, ok := b.upstreams[id]
	return ok && u.lastAnswer.Before(since) && u.loadReportedAt.Before(since)
}

// RecordFailure records an attempt that ended without an answer after the
// duration took.
func (b *Balancer) RecordFailure(
	at time.Time, id model.UpstreamID, version model.SnapshotVersion, shard int, took time.Duration, f event.AttemptFailed,
) {
	u, ok := b.upstreams[id]
	if !ok {
		return
	}
	u.attemptEnded(f.NewConn)
	if f.Load != nil {
		u.recordLoad(at, *f.Load)
	}
	switch f.Reason {
	case model.FailedRefused, model.FailedReset:
		u.openConns = 0
		u.wasDown = true
		u.backoffUntil = at.Add(initialBackoff << min(u.connFailures, maxBackoffDoublings))
		u.connFailures++
		u.nextProbe = at
	case model.FailedShed:
		u.recordShed(at)
		u.pause.Ask(at, f.RetryAfter, 0)
	case model.FailedDrained:
		u.draining = true
		u.drainRefusedAt = at
		b.epoch++
	case model.FailedCold:
		u.beginSlowStart(at)
		u.backoffUntil = at.Add(initialBackoff)
		u.pause.Ask(at, f.RetryAfter, 0)
	case model.FailedVersion:
		if h, ok := b.snapshots[snapshot{u.Index, version}]; ok && shard < len(h.replicas) {
			h.remove(shard, u)
			u.heldSnapshotsStale = true
			u.recordRefusedShard(at, version, shard)
			b.epoch++
		}
	case model.FailedUnreachable, model.FailedConns: // only along routes of a document
	case model.FailedCancelled, model.FailedTimeout:
		// An answer would have taken at least this long. Without this sample, a
		// replica whose attempts are all cancelled in favor of a hedge would
		// never look slow.
		if took > u.avgLatency {
			u.observeLatency(at, took)
		}
	case model.FailedInvalid:
		u.observeLatency(at, max(took, 2*u.avgLatency))
	}
}

// RecordPause records that an upstream has asked another loop of this process for a
// pause.
func (b *Balancer) RecordPause(at time.Time, id model.UpstreamID, length time.Duration) {
	if u, ok := b.upstreams[id]; ok {
		u.pause.Ask(at, length, 0)
	}
}

// attemptEnded records the end of an attempt; newConn says that it opened a new
// connection.
func (u *upstream) attemptEnded(newConn bool) {
	u.inFlight = max(0, u.inFlight-1)
	if newConn {
		u.openConns++
	}
}
