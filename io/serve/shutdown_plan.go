package serve

import "time"

// Steps of a graceful shutdown, as fractions of its grace period. They are fixed
// points in time, so that a step which takes long does not delay the ones after it.
const (
	closeListenerAt  = 0.5  // no new connections are accepted
	refuseRequestsAt = 0.75 // requests on open connections are refused, and idle connections are closed
	cutOffAt         = 0.86 // requests in flight are ended, and the leadership of the log is handed over
	stopServersAt    = 0.9  // servers stop, once their last responses are written
	exitAt           = 0.94 // connections that are still open are closed; the rest is left for the process to exit
)

// shutdownPlan is the schedule of a shutdown. The zero value is that of a shutdown
// without a grace period.
type shutdownPlan struct {
	start time.Time
	grace time.Duration
}

// at returns the time of a step.
func (p shutdownPlan) at(step float64) time.Time {
	return p.start.Add(time.Duration(step * float64(p.grace)))
}
