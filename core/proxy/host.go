package proxy

import (
	"math"
	"time"

	"comfreypulley/core/model"
)

// How an upstream is judged.
const (
	averageGain    = 0.3                    // weight of a new sample in a moving average
	maxRatio       = 5                      // a single pause must not count for more than this
	averageFade    = 3 * time.Second        // in which an old average loses most of its weight
	firstDown      = 400 * time.Millisecond // after a failed connection; doubles with each further one
	mostDoublings  = 8                      // of it, so that it does not overflow
	longestDown    = 5 * time.Second
	loadFade       = 400 * time.Millisecond // in which a load report loses most of its weight
	leavingFor     = 3 * time.Second        // an upstream that closes connections may be leaving
	coldFactor     = 1.6                    // work of an upstream that has just started, in parts of the usual
	busyCost       = 0.4                    // further time on a full upstream, in parts of the usual
	failCost       = 60 * time.Millisecond  // expected loss of time by a failure
	leavingCost    = 20 * time.Millisecond
	outsideShare   = 0.3 // of the objective, by which the own zone may be slower, since bytes between zones are charged
	awayShare      = 0.4 // the same for a portion, whose second attempts another VM makes
	outsideMost    = 40 * time.Millisecond
	unhealthyFails = 0.25 // share of failed attempts from which an upstream is not preferred for its zone
	stalledCost    = 20 * time.Millisecond
	stalledAfter   = 1.5 // times the expected latency, after which an attempt counts as stalled
)

// host is what is known of one upstream.
type host struct {
	upstream model.Upstream
	live     map[model.AttemptID]*attempt // attempts without an end, also of calls that have ended
	ratio    average                      // latency in parts of the route's typical one
	fails    average                      // share of attempts that failed
	load     model.Load
	loadAt   time.Time
	down     time.Time // no attempt before, while another upstream can be tried
	refusals int       // connections that failed in a row
	other    bool      // another upstream answers at the address
	leaving  time.Time // when it last closed a connection by its own wish
	coldTo   time.Time
	reports  reports
	rhythm   rhythm
}

// average is a moving average that fades toward a rest value.
type average struct {
	value float64
	at    time.Time
}

func (a *average) read(at time.Time, rest float64) float64 {
	if a.at.IsZero() {
		return rest
	}
	return rest + (a.value-rest)*math.Exp(-float64(at.Sub(a.at))/float64(averageFade))
}

func (a *average) add(at time.Time, sample, rest float64) {
	old := a.read(at, rest)
	a.value, a.at = old+averageGain*(sample-old), at
}

// answered notes a good answer.
func (h *host) answered(at time.Time, ratio float64) {
	h.ratio.add(at, min(ratio, maxRatio), 1)
	h.fails.add(at, 0, 0)
	h.refusals, h.down = 0, time.Time{}
	if ratio < slowFactor {
		h.reports.bad = time.Time{}
	}
}

// failed notes an attempt that the upstream is to blame for.
func (h *host) failed(at time.Time, reason model.FailureReason) {
	h.fails.add(at, 1, 0)
	if reason == model.FailedRefused || reason == model.FailedTimeout {
		h.down = at.Add(min(firstDown<<min(h.refusals, mostDoublings), longestDown))
		h.refusals++
	}
}

// cost estimates the time until an answer of the upstream to a request that
// typically takes as long as given, from a VM of a zone outside of which an
// upstream costs more.
func (h *host) cost(at time.Time, typical time.Duration, zone model.Zone, outside time.Duration) time.Duration {
	slots := float64(max(1, h.upstream.Slots))
	fresh := math.Exp(-float64(at.Sub(h.loadAt)) / float64(loadFade))
	busy := fresh*float64(h.load.Inflight+h.load.Queued) + float64(len(h.live))
	expected := float64(typical) * h.ratio.read(at, 1)
	if at.Before(h.coldTo) {
		expected *= coldFactor
	}
	total := expected * (1 + busyCost*min(busy, slots)/slots + max(0, busy+1-slots)/slots)
	total += h.fails.read(at, 0) * float64(failCost)
	if h.upstream.Zone != zone || h.unhealthy(at) {
		total += float64(outside)
	}
	if at.Sub(h.leaving) < leavingFor {
		total += float64(leavingCost)
	}
	return time.Duration(total) + max(h.stalled(at), h.rhythm.wait(at, typical)) + h.reports.cost(at)
}

// unhealthy reports whether the upstream fails often or was reported by other VMs.
// One like that is not preferred for its zone.
func (h *host) unhealthy(at time.Time) bool {
	return h.fails.read(at, 0) >= unhealthyFails || h.reports.cost(at) >= hintCost/2
}

// stalled returns what an overdue attempt says about the next one: an upstream
// that pauses or is silent answers nobody.
func (h *host) stalled(at time.Time) time.Duration {
	var worst time.Duration
	for _, a := range h.live {
		age := at.Sub(a.sent)
		if float64(age) > stalledAfter*float64(a.expected) {
			worst = max(worst, age+stalledCost)
		}
	}
	return worst
}
