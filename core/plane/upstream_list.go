package plane

import (
	"hash/fnv"
	"slices"
	"strconv"
	"time"

	"comfreypulley/core/effect"
	"comfreypulley/core/event"
	"comfreypulley/core/frame"
	"comfreypulley/core/model"
)

// Times of reading the platform's list of upstreams. The platform charges for
// calls and limits their rate, so the leader reads the list for all VMs. Another
// disk VM reads it only when it has received no list for longer.
const (
	upstreamListPeriod      = 200 * time.Millisecond  // between two checks whether something is due
	leaderReadPeriod        = time.Second             // between two reads by the leader
	fallbackReadAge         = 1600 * time.Millisecond // age of the list from which on other disk VMs read it
	fallbackReadStagger     = 150 * time.Millisecond  // between the times at which the other disk VMs read it, one after the other
	upstreamListReadTimeout = 2 * time.Second
	followerTimeout         = 4 * time.Second         // without a digest, after which a VM no longer counts as a follower
	entryVMCountStartDelay  = 1500 * time.Millisecond // after a start, until all entry VMs are known
	entryVMCountShrinkDelay = 15 * time.Second        // before a lower number of entry VMs replaces a higher one
)

// upstreamList is the platform's list of upstreams as this or another VM last
// read it. The zero value holds no list.
type upstreamList struct {
	upstreams      []model.Upstream
	checksum       uint64                   // hash of the content; 0 when there is no list
	readSeq        uint64                   // number of the read; a list with a higher one is newer
	readAt         time.Time                // when the list was read
	readStarted    time.Time                // when a read by this VM began; zero when none is under way
	lastAttempt    time.Time                // when the last read by this VM began
	failing        bool                     // the last read by this VM failed
	ignored        int                      // unusable entries in the last read
	firstIgnored   string                   // beginning of the first of them
	followers      map[model.VMID]time.Time // entry VMs that follow this VM, with the times of their last digests
	entryVMCount   int                      // entry VMs of the fleet as last published; 0 when not known
	countConfirmed time.Time                // when at least that many were last counted
}

// startUpstreamList sets the first timer on a disk VM with self-registration.
func (c *Control) startUpstreamList(at time.Time, out []effect.Effect) []effect.Effect {
	if !c.settings.SelfRegistration || !c.settings.VM.HasDisk {
		return out
	}
	return appendTimer(event.TimerUpstreamList, at.Add(upstreamListPeriod), out)
}

// timerUpstreamList runs the periodic checks of a disk VM, and reads the list of
// upstreams when it is this VM's turn.
func (c *Control) timerUpstreamList(at time.Time, out []effect.Effect) []effect.Effect {
	out = appendTimer(event.TimerUpstreamList, at.Add(upstreamListPeriod), out)
	out = c.checkIsolation(at, c.sendEntryVMs(at, out))
	out = c.sendLimits(at, out)
	list := &c.upstreamList
	if !list.readStarted.IsZero() && at.Sub(list.readStarted) < upstreamListReadTimeout {
		return out
	}
	if at.Sub(list.lastAttempt) < leaderReadPeriod || at.Sub(list.readAt) < c.readAfter() {
		return out
	}
	list.readStarted, list.lastAttempt = at, at
	return append(out, effect.ReadUpstreamList{Timeout: upstreamListReadTimeout})
}

// readAfter returns the age of the list at which this VM reads it again.
func (c *Control) readAfter() time.Duration {
	if c.leading() {
		return leaderReadPeriod - upstreamListPeriod/2
	}
	return fallbackReadAge + fallbackReadStagger*time.Duration(slices.Index(c.diskVMs(), c.settings.VM.ID)+1)
}

// HandleUpstreamListRead handles the end of a read: it puts the list in force
// and notifies the other disk VMs that there is a new one.
func (c *Control) HandleUpstreamListRead(at time.Time, read event.UpstreamListRead, out []effect.Effect) []effect.Effect {
	first := len(out)
	list := &c.upstreamList
	started := list.readStarted
	list.readStarted = time.Time{}
	if read.Problem != "" {
		if !list.failing {
			out = append(out, effect.Note{At: at, Subject: "roster", Action: "not read", Cause: read.Problem, Alert: true})
		}
		list.failing = true
		return c.complete(first, out)
	}
	if list.failing {
		out = append(out, effect.Note{At: at, Subject: "roster", Action: "read again", Cause: "the list answers"})
	}
	list.failing = false
	if read.Ignored != list.ignored || read.FirstIgnored != list.firstIgnored {
		cause := strconv.Itoa(read.Ignored) + " name no usable upstream"
		if read.FirstIgnored != "" {
			cause += ", the first begins with " + read.FirstIgnored
		}
		out = append(out, effect.Note{At: at, Subject: "roster", Action: "entries ignored", Cause: cause})
	}
	if read.Ignored > 0 {
		out = append(out, effect.Count{Counter: effect.CountIgnored, Reason: "upstreams", N: int64(read.Ignored)})
	}
	list.ignored, list.firstIgnored = read.Ignored, read.FirstIgnored
	if started.IsZero() {
		started = at
	}
	out = c.applyUpstreamList(at, started, c.nextReadSeq(started), read.Upstreams, out)
	for _, id := range c.diskVMs() {
		if id != c.settings.VM.ID {
			out = append(out, effect.SendMessage{To: id, Message: c.upstreamListMessage(at, false)})
		}
	}
	return c.complete(first, out)
}

// nextReadSeq returns the number of a read. It is higher than all known here
// and, so that numbers also grow across restarts, at least the time of day. The
// age of a list cannot order lists: while a VM is stalled its clock
// may be, too.
func (c *Control) nextReadSeq(readAt time.Time) uint64 {
	return max(c.upstreamList.readSeq+1, uint64(max(0, readAt.UnixMilli())))
}

// applyUpstreamList puts a list of upstreams that was read at readAt in force and
// passes it on, unless a newer one is known.
func (c *Control) applyUpstreamList(at, readAt time.Time, readSeq uint64, upstreams []model.Upstream, out []effect.Effect) []effect.Effect {
	list := &c.upstreamList
	if readSeq < list.readSeq {
		return out
	}
	list.readSeq, list.readAt = readSeq, readAt
	checksum := upstreamListChecksum(upstreams, c.limitedWhileCold())
	changed := checksum != list.checksum
	if changed {
		out = append(out, effect.Note{At: at, Subject: "roster", Action: "changed", Cause: describeUpstreamChanges(list.upstreams, upstreams)})
	}
	list.upstreams, list.checksum, list.entryVMCount = upstreams, checksum, c.countEntryVMs(at)
	out = append(out, effect.ToTraffic{
		Loop: effect.AllLoops, Body: event.UpstreamList{Upstreams: upstreams, Checksum: checksum, ReadAt: readAt, EntryVMCount: list.entryVMCount},
	})
	if !changed {
		return out
	}
	for _, id := range c.followers(at) {
		out = append(out, effect.SendMessage{To: id, Message: c.upstreamListMessage(at, true)})
	}
	return out
}

// countEntryVMs counts the entry VMs that follow this or another disk VM, and
// returns the number to publish. Each entry VM uses an equal part of fleet-wide
// limits, so a number that is too low lets the fleet exceed them. Hence a disk
// VM that has just started publishes no number, and a lower number replaces a
// higher one only after entryVMCountShrinkDelay.
func (c *Control) countEntryVMs(at time.Time) int {
	list := &c.upstreamList
	if !c.settings.VM.HasDisk || at.Sub(c.settings.ProcessStart) < entryVMCountStartDelay {
		return list.entryVMCount
	}
	n := len(c.entryVMs.all(at))
	for _, id := range c.followers(at) {
		if _, takesPortions := c.entryVMs.followers[id]; !takesPortions {
			n++
		}
	}
	if n >= list.entryVMCount || at.Sub(list.countConfirmed) >= entryVMCountShrinkDelay {
		list.entryVMCount, list.countConfirmed = n, at
	}
	return list.entryVMCount
}

// followers lists the entry VMs that follow this VM, ascending by id, and drops
// those that have fallen silent.
func (c *Control) followers(at time.Time) []model.VMID {
	var ids []model.VMID
	for id, seen := range c.upstreamList.followers {
		if at.Sub(seen) >= followerTimeout {
			delete(c.upstreamList.followers, id)
			continue
		}
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// upstreamListMessage returns a message about the list of upstreams, which has
// the list itself only if complete is set.
func (c *Control) upstreamListMessage(at time.Time, complete bool) frame.UpstreamList {
	list := &c.upstreamList
	m := frame.UpstreamList{
		Checksum: list.checksum, ReadSeq: list.readSeq, Age: max(0, at.Sub(list.readAt)),
		EntryVMCount: list.entryVMCount, Isolated: c.isolation.isolated,
	}
	if complete {
		m.Complete, m.Upstreams = true, list.upstreams
	}
	return m
}

// recordFollower records the sender of a digest as a follower if it is not a
// registered VM. It sends the list of entry VMs if the follower has another one,
// and a message about the list of upstreams, complete if the follower has another
// one.
func (c *Control) recordFollower(at time.Time, from model.VMID, d frame.Digest, out []effect.Effect) []effect.Effect {
	if !c.settings.SelfRegistration {
		return out
	}
	if c.upstreamList.followers == nil {
		c.upstreamList.followers = make(map[model.VMID]time.Time)
	}
	if _, registered := c.store.VM(from); !registered {
		c.upstreamList.followers[from] = at
		c.entryVMs.recordFollower(model.EntryVM{ID: from, Zone: d.Zone, PortionAddr: d.PortionAddr})
	}
	if c.entryVMs.checksum != 0 && d.PortionAddr.IsValid() && d.EntryVMsChecksum != c.entryVMs.checksum {
		out = append(out, effect.SendMessage{To: from, Message: frame.EntryVMs{VMs: c.entryVMs.current}})
	}
	if c.upstreamList.checksum == 0 {
		return out
	}
	if d.UpstreamListChecksum == 0 {
		out = c.sendQuarantines(at, from, out) // before the list, without which it serves nothing
	}
	c.limits.recordFollower(at, from, d.Limits)
	m := c.upstreamListMessage(at, d.UpstreamListChecksum != c.upstreamList.checksum)
	m.Shares, m.Issuers = c.limitShares(at, from), c.issuers(at)
	return append(out, effect.SendMessage{To: from, Message: m})
}

// peerUpstreamList handles another VM's list of upstreams, requests the
// complete one when a message says only that there is a newer one, or answers
// such a request.
func (c *Control) peerUpstreamList(at time.Time, from model.VMID, m frame.Message, out []effect.Effect) []effect.Effect {
	list := &c.upstreamList
	switch m := m.(type) {
	case frame.UpstreamListRequest:
		if list.checksum != 0 {
			out = append(out, effect.SendMessage{To: from, Message: c.upstreamListMessage(at, true)})
		}
	case frame.UpstreamList:
		out = c.peerIsolation(from, m.Isolated, out)
		out = c.peerLimits(at, from, m.Totals, m.Shares, out)
		if !c.settings.VM.HasDisk && m.EntryVMCount > 0 && c.isParent(from) {
			list.entryVMCount = m.EntryVMCount
		}
		if !c.settings.VM.HasDisk && len(m.Issuers) > 0 && c.isParent(from) {
			c.setIssuers(m.Issuers)
		}
		switch {
		case m.Complete:
			return c.applyUpstreamList(at, at.Add(-m.Age), m.ReadSeq, m.Upstreams, out)
		case m.Checksum == list.checksum:
			return c.applyUpstreamList(at, at.Add(-m.Age), m.ReadSeq, list.upstreams, out)
		case m.ReadSeq > list.readSeq:
			return append(out, effect.SendMessage{To: from, Message: frame.UpstreamListRequest{}})
		}
	}
	return out
}

// upstreamListChecksum returns a hash that identifies the content of a sorted
// list. It is never 0, the value for no list. Of the services whose cold upstreams have a
// limit, it covers which ones are cold.
func upstreamListChecksum(upstreams []model.Upstream, limitedWhileCold map[string]bool) uint64 {
	h := fnv.New64a()
	for _, u := range upstreams {
		if u.WarmUpLeft > 0 && limitedWhileCold[u.Index] {
			_, _ = h.Write([]byte("cold\x00"))
		}
		_, _ = h.Write([]byte(string(u.ID) + "\x00" + u.Index + "\x00" + u.Addr.String() + "\x00" + u.State.String() + "\x00" + string(u.Zone) + "\n"))
	}
	return h.Sum64() | 1
}

// limitedWhileCold returns the services whose upstreams have a limit while they are cold.
func (c *Control) limitedWhileCold() map[string]bool {
	d := c.store.Topology().Document
	if d == nil {
		return nil
	}
	var services map[string]bool
	for _, s := range d.Services {
		if s.WarmUpRate > 0 {
			if services == nil {
				services = make(map[string]bool)
			}
			services[s.Name] = true
		}
	}
	return services
}

// describeUpstreamChanges lists up to eight upstreams that were added (+),
// removed (-), changed their state (~) or changed their address (@).
func describeUpstreamChanges(before, after []model.Upstream) string {
	const maxNamed = 8
	old := make(map[model.UpstreamID]model.Upstream, len(before))
	for _, u := range before {
		old[u.ID] = u
	}
	text, n := "", 0
	addChange := func(sign string, id model.UpstreamID) {
		if n++; n <= maxNamed {
			text += " " + sign + string(id)
		}
	}
	for _, u := range after {
		known, ok := old[u.ID]
		switch {
		case !ok:
			addChange("+", u.ID)
		case known.State != u.State:
			addChange("~", u.ID)
		case known.Addr != u.Addr:
			addChange("@", u.ID)
		}
		delete(old, u.ID)
	}
	for _, u := range before {
		if _, gone := old[u.ID]; gone {
			addChange("-", u.ID)
		}
	}
	if n > maxNamed {
		text += " and more"
	}
	if text == "" {
		return "details of upstreams"
	}
	return text[1:]
}
