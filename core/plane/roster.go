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
// disk VM reads it only when it has had no news for longer.
const (
	rosterCheckPeriod   = 200 * time.Millisecond  // between two checks whether something is due
	leaderReadPeriod    = time.Second             // between two reads by the leader
	fallbackReadAge     = 1600 * time.Millisecond // age of the list from which on other disk VMs read it
	fallbackReadStagger = 150 * time.Millisecond  // between the times at which the other disk VMs read it, one after the other
	rosterReadTimeout   = 2 * time.Second
	followerTimeout     = 4 * time.Second         // without a digest, after which a VM no longer counts as a follower
	fleetStartDelay     = 1500 * time.Millisecond // after a start, until all entry VMs are known
	fleetShrinkDelay    = 15 * time.Second        // before a lower number of entry VMs replaces a higher one
)

// roster is the platform's list of upstreams as this or another VM last read it.
// The zero value holds no list.
type roster struct {
	upstreams      []model.Upstream
	stamp          uint64                   // hash of the content; 0 when there is no list
	serial         uint64                   // number of the read; a list with a higher one is newer
	readAt         time.Time                // when the list was read
	readStarted    time.Time                // when a read by this VM began; zero when none is under way
	lastAttempt    time.Time                // when the last read by this VM began
	failing        bool                     // the last read by this VM failed
	ignored        int                      // unusable entries in the last read
	followers      map[model.VMID]time.Time // entry VMs that follow this VM, with the times of their last digests
	fleetSize      int                      // entry VMs of the fleet as last published; 0 when not known
	fleetSizeSince time.Time                // when there were last at least that many
}

// startRoster sets the first timer on a disk VM in a fleet whose VMs register
// themselves.
func (c *Control) startRoster(at time.Time, out []effect.Effect) []effect.Effect {
	if !c.settings.SelfRegistration || !c.settings.VM.HasDisk {
		return out
	}
	return appendTimer(event.TimerUpstreamList, at.Add(rosterCheckPeriod), out)
}

// timerRoster runs the periodic checks of a disk VM, and reads the list of
// upstreams when it is this VM's turn.
func (c *Control) timerRoster(at time.Time, out []effect.Effect) []effect.Effect {
	out = appendTimer(event.TimerUpstreamList, at.Add(rosterCheckPeriod), out)
	out = c.checkIsolation(at, c.sendEntryVMs(at, out))
	r := &c.roster
	if !r.readStarted.IsZero() && at.Sub(r.readStarted) < rosterReadTimeout {
		return out
	}
	if at.Sub(r.lastAttempt) < leaderReadPeriod || at.Sub(r.readAt) < c.readAfter() {
		return out
	}
	r.readStarted, r.lastAttempt = at, at
	return append(out, effect.ReadUpstreamList{Timeout: rosterReadTimeout})
}

// readAfter returns the age of the list at which this VM reads it again.
func (c *Control) readAfter() time.Duration {
	if c.leading() {
		return leaderReadPeriod - rosterCheckPeriod/2
	}
	return fallbackReadAge + fallbackReadStagger*time.Duration(slices.Index(c.diskVMs(), c.settings.VM.ID)+1)
}

// Listed handles the end of a read: it puts the list in force and tells the other
// disk VMs that there is a new one.
func (c *Control) Listed(at time.Time, l event.UpstreamListRead, out []effect.Effect) []effect.Effect {
	first := len(out)
	r := &c.roster
	began := r.readStarted
	r.readStarted = time.Time{}
	if l.Problem != "" {
		if !r.failing {
			out = append(out, effect.Note{At: at, Subject: "roster", Action: "not read", Cause: l.Problem, Alert: true})
		}
		r.failing = true
		return c.complete(first, out)
	}
	if r.failing {
		out = append(out, effect.Note{At: at, Subject: "roster", Action: "read again", Cause: "the list answers"})
	}
	r.failing = false
	if l.Ignored != r.ignored {
		out = append(out, effect.Note{
			At: at, Subject: "roster", Action: "entries ignored", Cause: strconv.Itoa(l.Ignored) + " name no usable upstream",
		})
	}
	r.ignored = l.Ignored
	if began.IsZero() {
		began = at
	}
	out = c.takeRoster(at, began, c.nextSerial(began), l.Upstreams, out)
	for _, id := range c.diskVMs() {
		if id != c.settings.VM.ID {
			out = append(out, effect.SendMessage{To: id, Message: c.rosterMessage(at, false)})
		}
	}
	return c.complete(first, out)
}

// nextSerial returns the number of a read. It is higher than all known here and,
// so that numbers also grow across restarts, at least the time of day. The age of
// a list would not do to order lists: while a VM is stalled its clock may be, too.
func (c *Control) nextSerial(read time.Time) uint64 {
	return max(c.roster.serial+1, uint64(max(0, read.UnixMilli())))
}

// takeRoster puts a list of upstreams in force and passes it on, unless a newer
// one is known. read is the time at which it was read.
func (c *Control) takeRoster(at, read time.Time, serial uint64, upstreams []model.Upstream, out []effect.Effect) []effect.Effect {
	r := &c.roster
	if serial < r.serial {
		return out
	}
	r.serial, r.readAt = serial, read
	stamp := rosterStamp(upstreams)
	changed := stamp != r.stamp
	if changed {
		out = append(out, effect.Note{At: at, Subject: "roster", Action: "changed", Cause: describeRosterChange(r.upstreams, upstreams)})
	}
	r.upstreams, r.stamp, r.fleetSize = upstreams, stamp, c.updateFleetSize(at)
	out = append(out, effect.ToTraffic{
		Loop: effect.AllLoops, Body: event.UpstreamList{Upstreams: upstreams, Checksum: stamp, ReadAt: read, EntryVMCount: r.fleetSize},
	})
	if !changed {
		return out
	}
	for _, id := range c.followers(at) {
		out = append(out, effect.SendMessage{To: id, Message: c.rosterMessage(at, true)})
	}
	return out
}

// updateFleetSize counts the entry VMs that follow this or another disk VM, and
// returns the number to publish. Each entry VM takes an equal part of fleet-wide
// limits, so a number that is too low lets the fleet exceed them. Hence a disk VM
// that has just started publishes no number, and a lower number replaces a higher
// one only after fleetShrinkDelay.
func (c *Control) updateFleetSize(at time.Time) int {
	r := &c.roster
	if !c.settings.VM.HasDisk || at.Sub(c.settings.ProcessStart) < fleetStartDelay {
		return r.fleetSize
	}
	n := len(c.entryVMs.all(at))
	for _, id := range c.followers(at) {
		if _, gathers := c.entryVMs.followers[id]; !gathers {
			n++
		}
	}
	if n >= r.fleetSize || at.Sub(r.fleetSizeSince) >= fleetShrinkDelay {
		r.fleetSize, r.fleetSizeSince = n, at
	}
	return r.fleetSize
}

// followers lists the entry VMs that follow this VM, ascending by id, and forgets
// those that have fallen silent.
func (c *Control) followers(at time.Time) []model.VMID {
	var ids []model.VMID
	for id, seen := range c.roster.followers {
		if at.Sub(seen) >= followerTimeout {
			delete(c.roster.followers, id)
			continue
		}
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// rosterMessage returns the message about the list of upstreams, with its content
// if whole is set.
func (c *Control) rosterMessage(at time.Time, whole bool) frame.UpstreamList {
	r := &c.roster
	f := frame.UpstreamList{Checksum: r.stamp, ReadSeq: r.serial, Age: max(0, at.Sub(r.readAt)), EntryVMCount: r.fleetSize, Isolated: c.isolation.isolated}
	if whole {
		f.Complete, f.Upstreams = true, r.upstreams
	}
	return f
}

// recordFollower records the sender of a digest as a follower if it is not
// registered as a disk VM. It sends the list of entry VMs if the follower has
// another one, and the list of upstreams, whole only if the follower has another
// one.
func (c *Control) recordFollower(at time.Time, from model.VMID, d frame.Digest, out []effect.Effect) []effect.Effect {
	if !c.settings.SelfRegistration {
		return out
	}
	if c.roster.followers == nil {
		c.roster.followers = make(map[model.VMID]time.Time)
	}
	if _, disk := c.store.VM(from); !disk {
		c.roster.followers[from] = at
		c.entryVMs.recordFollower(model.EntryVM{ID: from, Zone: d.Zone, PortionAddr: d.PortionAddr})
	}
	if c.entryVMs.stamp != 0 && d.PortionAddr.IsValid() && d.EntryVMsChecksum != c.entryVMs.stamp {
		out = append(out, effect.SendMessage{To: from, Message: frame.EntryVMs{VMs: c.entryVMs.current}})
	}
	if c.roster.stamp == 0 {
		return out
	}
	return append(out, effect.SendMessage{To: from, Message: c.rosterMessage(at, d.UpstreamListChecksum != c.roster.stamp)})
}

// peerRoster takes another VM's list of upstreams, requests the whole list when
// only the news of a newer one came, or answers such a request.
func (c *Control) peerRoster(at time.Time, from model.VMID, m frame.Message, out []effect.Effect) []effect.Effect {
	r := &c.roster
	switch m := m.(type) {
	case frame.UpstreamListRequest:
		if r.stamp != 0 {
			out = append(out, effect.SendMessage{To: from, Message: c.rosterMessage(at, true)})
		}
	case frame.UpstreamList:
		out = c.peerIsolation(from, m.Isolated, out)
		if !c.settings.VM.HasDisk && m.EntryVMCount > 0 {
			r.fleetSize = m.EntryVMCount
		}
		switch {
		case m.Complete:
			return c.takeRoster(at, at.Add(-m.Age), m.ReadSeq, m.Upstreams, out)
		case m.Checksum == r.stamp:
			return c.takeRoster(at, at.Add(-m.Age), m.ReadSeq, r.upstreams, out)
		case m.ReadSeq > r.serial:
			return append(out, effect.SendMessage{To: from, Message: frame.UpstreamListRequest{}})
		}
	}
	return out
}

// rosterStamp returns a hash that identifies the content of a sorted list. It is
// never 0, the value for no list.
func rosterStamp(upstreams []model.Upstream) uint64 {
	h := fnv.New64a()
	for _, u := range upstreams {
		_, _ = h.Write([]byte(string(u.ID) + "\x00" + u.Index + "\x00" + u.Addr.String() + "\x00" + u.State.String() + "\x00" + string(u.Zone) + "\n"))
	}
	return h.Sum64() | 1
}

// describeRosterChange lists up to eight upstreams that were added (+), removed
// (-), changed their state (~) or changed their address (@).
func describeRosterChange(before, after []model.Upstream) string {
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
