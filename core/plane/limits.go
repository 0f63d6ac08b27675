package plane

import (
	"maps"
	"slices"
	"time"

	"comfreypulley/core/effect"
	"comfreypulley/core/event"
	"comfreypulley/core/model"
)

// Times of the exchange of the limits that upstreams state.
const (
	limitStartDelay     = time.Second            // time after the start of the process within which the demand at the other disk VMs becomes known
	limitExchangePeriod = 200 * time.Millisecond // between two messages to the other disk VMs
	limitReportTimeout  = 3 * time.Second        // time without a report after which a VM's demand is dropped
	limitTotalTimeout   = 5 * time.Second        // time without a message after which another disk VM's demand is dropped
	limitMemory         = 10 * time.Second       // time for which the end of a limit is passed on
)

// limits is what this VM knows about the limits that upstreams state. An entry VM
// reports to its parent what it has seen and what it would send. The disk VMs
// exchange the sums of their followers, and divide each limit by demand. In the
// zero value no upstream states a limit.
type limits struct {
	loops     map[int][]model.LimitReport // of this VM's traffic loops
	loopsAt   time.Time                   // of the latest of them
	current   []model.LimitReport         // sum of loops, for the digests to the parent
	sightings map[model.UpstreamID]limitSighting
	followers map[model.VMID]limitDemand // of the entry VMs that report to this disk VM
	others    map[model.VMID]limitDemand // sums of the other disk VMs
	sentAt    time.Time                  // when this VM's sum was last sent
}

// limitSighting is the newest answer of an upstream, as far as it concerns limits.
type limitSighting struct {
	limit *model.Limit // nil when the upstream states none any more
	at    time.Time    // of the answer
}

// limitDemand is what one VM, or the followers of one, would send to upstreams
// that state a limit.
type limitDemand struct {
	wanted  map[model.UpstreamID]float64 // requests per second
	granted map[model.UpstreamID]float64 // shares in force at a follower, which keeps them until its next report is answered
	at      time.Time                    // when it was received
}

// HandleLimitReport takes a traffic loop's report about limits. The next digest
// carries it to the parent; a limit that is new is sent at once.
func (c *Control) HandleLimitReport(at time.Time, e event.LimitReport, out []effect.Effect) []effect.Effect {
	first := len(out)
	l := &c.limits
	if l.loops == nil {
		l.loops = make(map[int][]model.LimitReport)
	}
	known := len(l.current)
	l.loops[e.Loop], l.loopsAt = e.Reports, at
	l.current = l.report(at)
	if len(l.current) > known && c.tree != nil {
		out = c.tree.HandleTimer(at, out) // sends a digest
	}
	return c.complete(first, out)
}

// report sums the reports of the traffic loops, ascending by upstream.
func (l *limits) report(at time.Time) []model.LimitReport {
	if at.Sub(l.loopsAt) >= limitReportTimeout {
		return nil
	}
	sums := make(map[model.UpstreamID]model.LimitReport)
	for _, reports := range l.loops {
		for _, r := range reports {
			r.Age += at.Sub(l.loopsAt)
			if sum, ok := sums[r.Upstream]; ok {
				r.Wanted += sum.Wanted
				if sum.Age < r.Age {
					r.Limit, r.Age = sum.Limit, sum.Age
				}
			}
			sums[r.Upstream] = r
		}
	}
	return sortedReports(sums)
}

func sortedReports(byID map[model.UpstreamID]model.LimitReport) []model.LimitReport {
	var reports []model.LimitReport
	for _, id := range slices.Sorted(maps.Keys(byID)) {
		reports = append(reports, byID[id])
	}
	return reports
}

// observe records which limits a report has seen, and returns the demand in it.
func (l *limits) observe(at time.Time, reports []model.LimitReport) limitDemand {
	if l.sightings == nil {
		l.sightings = make(map[model.UpstreamID]limitSighting)
		l.followers = make(map[model.VMID]limitDemand)
		l.others = make(map[model.VMID]limitDemand)
	}
	demand := limitDemand{wanted: make(map[model.UpstreamID]float64), at: at}
	for _, r := range reports {
		demand.wanted[r.Upstream] = r.Wanted
		if seenAt := at.Add(-r.Age); seenAt.After(l.sightings[r.Upstream].at) {
			l.sightings[r.Upstream] = limitSighting{limit: r.Limit, at: seenAt}
		}
	}
	return demand
}

// recordFollower records the report of an entry VM that follows this disk VM.
func (l *limits) recordFollower(at time.Time, from model.VMID, reports []model.LimitReport) {
	if len(reports) > 0 {
		demand := l.observe(at, reports)
		demand.granted = l.followers[from].granted
		if demand.granted == nil {
			demand.granted = make(map[model.UpstreamID]float64)
		}
		l.followers[from] = demand
	}
}

// recordTotal records the sum of another disk VM.
func (l *limits) recordTotal(at time.Time, from model.VMID, reports []model.LimitReport) {
	if len(reports) > 0 || len(l.others) > 0 {
		demand := l.observe(at, reports)
		l.others[from] = demand
	}
}

// expire drops what is too old.
func (l *limits) expire(at time.Time) {
	maps.DeleteFunc(l.followers, func(_ model.VMID, d limitDemand) bool { return at.Sub(d.at) >= limitReportTimeout })
	maps.DeleteFunc(l.others, func(_ model.VMID, d limitDemand) bool { return at.Sub(d.at) >= limitTotalTimeout })
	maps.DeleteFunc(l.sightings, func(id model.UpstreamID, s limitSighting) bool {
		return at.Sub(s.at) >= limitMemory && (s.limit == nil || l.wanted(id, l.followers)+l.wanted(id, l.others) == 0)
	})
}

// wanted sums the demand for an upstream.
func (l *limits) wanted(id model.UpstreamID, demands map[model.VMID]limitDemand) float64 {
	sum := 0.0
	for _, vm := range slices.Sorted(maps.Keys(demands)) {
		sum += demands[vm].wanted[id]
	}
	return sum
}

// totals returns the demand of this VM's followers, ascending by upstream.
func (l *limits) totals(at time.Time) []model.LimitReport {
	sums := make(map[model.UpstreamID]model.LimitReport)
	for id, s := range l.sightings {
		sums[id] = model.LimitReport{Upstream: id, Limit: s.limit, Age: at.Sub(s.at), Wanted: l.wanted(id, l.followers)}
	}
	return sortedReports(sums)
}

// grant returns a follower's shares, ascending by upstream. part is the part of
// each limit that this VM's followers may use together. Reports of a changed
// demand come one after the other, so a share also leaves room for what is still
// granted to the other followers.
func (l *limits) grant(at time.Time, follower model.VMID, part func(own, others float64) float64) []model.LimitShare {
	var shares []model.LimitShare
	f := l.followers[follower]
	for _, id := range slices.Sorted(maps.Keys(l.sightings)) {
		s := l.sightings[id]
		share := model.LimitShare{Upstream: id, Limit: s.limit, Age: at.Sub(s.at)}
		if own := l.wanted(id, l.followers); f.wanted[id] > 0 {
			together := part(own, l.wanted(id, l.others))
			share.Fraction = max(0, min(together*f.wanted[id]/own, together-l.grantedToOthers(id, follower)))
		}
		if f.granted != nil {
			f.granted[id] = share.Fraction
		}
		shares = append(shares, share)
	}
	return shares
}

// grantedToOthers sums the shares of an upstream's limit that are granted to the
// followers except one.
func (l *limits) grantedToOthers(id model.UpstreamID, except model.VMID) float64 {
	sum := 0.0
	for _, vm := range slices.Sorted(maps.Keys(l.followers)) {
		if vm != except {
			sum += l.followers[vm].granted[id]
		}
	}
	return sum
}

// limitShares returns the shares to send to a follower. A disk VM that has just
// started sends none, because it does not know the demand at the other disk VMs.
func (c *Control) limitShares(at time.Time, follower model.VMID) []model.LimitShare {
	c.limits.expire(at)
	if at.Sub(c.settings.ProcessStart) < limitStartDelay {
		return nil
	}
	if c.knowsDemand(at) {
		return c.limits.grant(at, follower, func(own, others float64) float64 { return own / (own + others) })
	}
	return c.limits.grant(at, follower, func(_, _ float64) float64 { return c.equalPart() })
}

// knowsDemand reports whether this disk VM knows the demand of all VMs that reach
// the same upstreams. The followers of another disk VM go on sending while that
// one is silent, unless its zone is: then the zone is down or cut off.
func (c *Control) knowsDemand(at time.Time) bool {
	for _, id := range c.diskVMs() {
		_, known := c.limits.others[id]
		if !known && id != c.settings.VM.ID && c.isolation.hearsZone(at, c.zoneOf(id)) {
			return false
		}
	}
	return true
}

// equalPart returns the part of a limit that this disk VM's followers may use
// together while it does not know the demand at the others: an equal one for each.
func (c *Control) equalPart() float64 {
	if c.upstreamList.entryVMCount == 0 {
		return 0
	}
	return min(1, float64(len(c.limits.followers))/float64(c.upstreamList.entryVMCount))
}

// sendLimits sends the demand of this VM's followers to the other disk VMs.
func (c *Control) sendLimits(at time.Time, out []effect.Effect) []effect.Effect {
	l := &c.limits
	l.expire(at)
	if len(l.sightings) == 0 || at.Sub(l.sentAt) < limitExchangePeriod {
		return out
	}
	l.sentAt = at
	first := len(out)
	m := c.upstreamListMessage(at, false)
	m.Totals = l.totals(at)
	for _, id := range c.diskVMs() {
		if id != c.settings.VM.ID {
			out = append(out, effect.SendMessage{To: id, Message: m})
		}
	}
	return c.complete(first, out)
}

// peerLimits handles what a message about the list of upstreams says about limits.
func (c *Control) peerLimits(at time.Time, from model.VMID, totals []model.LimitReport, shares []model.LimitShare, out []effect.Effect) []effect.Effect {
	if c.settings.VM.HasDisk {
		c.limits.recordTotal(at, from, totals)
		return out
	}
	if len(shares) == 0 || !c.isParent(from) {
		return out
	}
	return append(out, effect.ToTraffic{Loop: effect.AllLoops, Body: event.LimitShares{Shares: shares}})
}
