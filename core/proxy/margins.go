package proxy

import "time"

// Times that an answer needs besides the work of the upstreams.
const (
	defaultRoundTrip     = 2 * time.Millisecond    // between a caller and this VM while it is not known
	networkSlack         = 3 * time.Millisecond    // for the caller's link and its own delays
	connectSlack         = 6 * time.Millisecond    // the same for opening a connection
	processingTime       = 1100 * time.Microsecond // of this VM for a request and its answer, on a whole core
	deadlineSlack        = 13 * time.Millisecond   // before the caller's deadline, since a later answer is lost
	maxTargetFraction    = 0.5                     // of the target latency: the largest margin before it
	maxDeadlineFraction  = 0.125                   // of the caller's time: the largest margin before its deadline
	roundTripsToConnect  = 1                       // before the first request on a connection
	roundTripsOfResponse = 1                       // the request's way to this VM and the answer's way back
)

// callerMargins are how long before the times that the caller sees this VM has to
// send an answer. The caller's clock starts when it begins to connect or sends the
// request, and stops when it has the answer.
type callerMargins struct {
	roundTrip  time.Duration // 0 when unknown
	newConn    bool          // the caller opened the connection for the request
	processing time.Duration // time of this VM for the request and its answer
}

// beforeTarget is the margin before the target latency.
func (m callerMargins) beforeTarget(target time.Duration) time.Duration {
	margin := roundTripsOfResponse*m.knownRoundTrip() + networkSlack + m.processing
	if m.newConn {
		margin += roundTripsToConnect*m.knownRoundTrip() + connectSlack
	}
	return min(margin, time.Duration(maxTargetFraction*float64(target)))
}

// beforeDeadline is the margin before the end of the caller's time.
func (m callerMargins) beforeDeadline(wait time.Duration) time.Duration {
	margin := roundTripsOfResponse*m.knownRoundTrip() + deadlineSlack
	return min(margin, time.Duration(maxDeadlineFraction*float64(wait)))
}

func (m callerMargins) knownRoundTrip() time.Duration {
	if m.roundTrip <= 0 {
		return defaultRoundTrip
	}
	return m.roundTrip
}

// processingTime is the time of this VM for a request and its answer.
func (r *Router) processingTime() time.Duration {
	if r.settings.CPUCores <= 0 {
		return processingTime
	}
	return time.Duration(float64(processingTime) / r.settings.CPUCores)
}
