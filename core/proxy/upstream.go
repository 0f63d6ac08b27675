package proxy

import (
	"math"
	"time"

	"comfreypulley/core/conns"
	"comfreypulley/core/model"
	"comfreypulley/core/pace"
	"comfreypulley/core/retry"
)

// Parameters of the estimated time until an upstream answers.
const (
	averageGain               = 0.3                    // weight of a new sample in a moving average
	maxLatencyRatio           = 5                      // caps a sample, so that a single pause does not dominate the average
	averageDecay              = 3 * time.Second        // time constant with which an average returns to its baseline
	initialBackoff            = 400 * time.Millisecond // after a failed connection; doubles with each further one
	maxBackoffDoublings       = 8                      // keeps the shift from overflowing
	maxBackoff                = 5 * time.Second
	slowdownDecay             = 300 * time.Millisecond // time constant with which a reported slowdown loses weight, since neighbours on a host come and go
	loadDecay                 = 400 * time.Millisecond // time constant with which a load report loses weight
	closingPeriod             = 3 * time.Second        // an upstream that closed a connection may shut down within this time
	warmUpFactor              = 1.6                    // latency of an upstream that has just started, relative to its usual one
	saturationPenalty         = 0.4                    // extra latency when all slots are busy, relative to the expected latency
	failurePenalty            = 60 * time.Millisecond  // expected time lost by a failed attempt
	closingPenalty            = 20 * time.Millisecond
	remoteZoneFraction        = 0.3 // of the target latency: how much slower the own zone may be, since traffic between zones is charged
	portionRemoteZoneFraction = 0.4 // the same for a portion, whose second attempts are made by the VM that sent it
	maxRemoteZonePenalty      = 40 * time.Millisecond
	unhealthyFailureRate      = 0.25 // from this fraction of failed attempts on, an upstream is not preferred for its zone
	stalledPenalty            = 20 * time.Millisecond
	stalledFactor             = 1.5 // an attempt counts as stalled after this many times its expected latency
)

// upstream is the state of one upstream as this VM observes it.
type upstream struct {
	spec          model.Upstream
	inFlight      map[model.AttemptID]*attempt // includes attempts of requests that have ended
	latencyRatio  average                      // latency relative to the typical one of the route
	failureRate   average                      // fraction of attempts that failed
	load          model.Load
	loadAt        time.Time
	backoffUntil  time.Time // receives an attempt before this only when no other upstream can be tried
	connFailures  int       // consecutive failed connections
	wrongUpstream bool      // another upstream answers at the address
	answeredAt    time.Time // when it last answered
	closedAt      time.Time // when the upstream last closed a connection on its own
	warmUpUntil   time.Time
	warnings      warnings
	pauses        pausePredictor
	zoneOut       bool        // its zone is out of use
	leaving       bool        // it has said that it is about to stop
	pause         retry.Pause // that the upstream has asked this VM for
	limit         limitState
	window        pace.Window // while its pace is found
	gate          conns.Gate
}

// average is a moving average that decays toward a baseline while there are no
// samples.
type average struct {
	value float64
	at    time.Time
}

func (a *average) read(at time.Time, baseline float64) float64 {
	if a.at.IsZero() {
		return baseline
	}
	return baseline + (a.value-baseline)*math.Exp(-float64(at.Sub(a.at))/float64(averageDecay))
}

func (a *average) add(at time.Time, sample, baseline float64) {
	old := a.read(at, baseline)
	a.value, a.at = old+averageGain*(sample-old), at
}

// acceptsNew reports whether new requests may go to the upstream, in a pause or not.
func (u *upstream) acceptsNew() bool { return u.unavailable() == "" }

// unavailable returns why the upstream gets no new requests at all, or "".
func (u *upstream) unavailable() model.Obstacle {
	switch {
	case u.wrongUpstream:
		return model.ObstacleIdentity
	case u.leaving:
		return model.ObstacleLeaving
	case u.zoneOut:
		return model.ObstacleZone
	case u.spec.State != model.StateActive:
		return model.ObstacleState
	default:
		return ""
	}
}

// recordSuccess records the latency of a successful attempt, relative to the
// typical one.
func (u *upstream) recordSuccess(at time.Time, ratio float64) {
	u.latencyRatio.add(at, min(ratio, maxLatencyRatio), 1)
	u.failureRate.add(at, 0, 0)
	u.connFailures, u.backoffUntil = 0, time.Time{}
	if ratio < slowFactor {
		u.warnings.confirmedAt = time.Time{}
	}
}

// recordFailure records a failure that the upstream caused. After a failed
// connection or a timeout the upstream is not tried for a while.
func (u *upstream) recordFailure(at time.Time, reason model.FailureReason) {
	u.failureRate.add(at, 1, 0)
	if reason == model.FailedRefused || reason == model.FailedTimeout {
		u.backoffUntil = at.Add(min(initialBackoff<<min(u.connFailures, maxBackoffDoublings), maxBackoff))
		u.connFailures++
	}
}

// cost estimates the time until the upstream answers a request that typically
// takes as long as given. remotePenalty is added for an upstream outside the
// zone.
func (u *upstream) cost(at time.Time, typical time.Duration, zone model.Zone, remotePenalty time.Duration) time.Duration {
	slots := float64(max(1, u.spec.Slots))
	loadWeight := math.Exp(-float64(at.Sub(u.loadAt)) / float64(loadDecay))
	busy := loadWeight*float64(u.load.InFlight+u.load.Queued) + float64(len(u.inFlight))
	expected := float64(typical) * u.latencyRatio.read(at, 1) * u.slowdown(at)
	if at.Before(u.warmUpUntil) {
		expected *= warmUpFactor
	}
	total := expected * (1 + saturationPenalty*min(busy, slots)/slots + max(0, busy+1-slots)/slots)
	total += u.failureRate.read(at, 0) * float64(failurePenalty)
	if u.spec.Zone != zone || u.unhealthy(at) {
		total += float64(remotePenalty)
	}
	if at.Sub(u.closedAt) < closingPeriod {
		total += float64(closingPenalty)
	}
	return time.Duration(total) + max(u.stalled(at), u.pauses.delay(at, typical)) + u.warnings.cost(at)
}

// slowdown returns how much longer than usual work is expected to take now. What the
// upstream has reported fades to the usual, which its latency shows.
func (u *upstream) slowdown(at time.Time) float64 {
	if u.load.Slowdown <= 0 {
		return 1
	}
	return 1 + (u.load.Slowdown-1)*math.Exp(-float64(at.Sub(u.loadAt))/float64(slowdownDecay))
}

// unhealthy reports whether the upstream fails often or other VMs warned of it.
// Such an upstream loses the preference for its zone.
func (u *upstream) unhealthy(at time.Time) bool {
	return u.failureRate.read(at, 0) >= unhealthyFailureRate || u.warnings.cost(at) >= warningPenalty/2
}

// stalled returns the expected delay of a new attempt due to overdue ones: an
// upstream that pauses or hangs answers no request.
func (u *upstream) stalled(at time.Time) time.Duration {
	var worst time.Duration
	for _, a := range u.inFlight {
		age := at.Sub(a.sent)
		if float64(age) > stalledFactor*float64(a.expected) {
			worst = max(worst, age+stalledPenalty)
		}
	}
	return worst
}
