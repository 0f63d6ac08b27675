package quorum

import (
	"time"

	"comfreypulley/core/frame"
	"comfreypulley/core/model"
)

// lastMajority returns the latest time at which this replica is known to have
// held all committed entries. For a leader that is when it sent the requests that
// a majority has answered, but not before an entry of its own term is committed:
// until then it does not know which entries of its predecessors are.
func (l *Log) lastMajority() time.Time {
	if l.role != leader || l.commitIndex < l.termStart {
		return l.currentAt
	}
	return model.Later(l.currentAt, l.majorityTime(func(p *progress) time.Time { return p.acceptedAt }))
}

// recordAcceptance records which of the leader's requests a replica has answered.
// An answer that was long under way confirms only the time of its request.
func (l *Log) recordAcceptance(at time.Time, p *progress, m frame.AppendResponse) {
	p.stamp = model.Later(p.stamp, m.Sent)
	if m.Echo.IsZero() {
		p.acceptedAt = at // a VM of an earlier version
		return
	}
	if sentAt, ok := l.clock.SentAt(m.Echo, at); ok {
		p.acceptedAt = model.Later(p.acceptedAt, sentAt)
	}
}

// recordCurrency records how current this replica is after a request of the
// leader. A heartbeat alone proves nothing: entries may be missing, and the
// request may have been long under way or come from a leader that has lost its
// majority. The leader repeats the stamp of this replica's last answer, so it led
// after that answer was sent, less the age of its own majority.
func (l *Log) recordCurrency(at time.Time, m frame.AppendRequest) {
	switch {
	case l.commitIndex < m.CommitIndex:
	case m.Sent.IsZero():
		l.currentAt = at // a leader of an earlier version
	default:
		if sentAt, ok := l.clock.SentAt(m.Echo, at); ok {
			l.currentAt = model.Later(l.currentAt, sentAt.Add(-m.MajorityAge))
		}
	}
}
