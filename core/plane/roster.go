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

// Pace of reading the platform's list of upstreams. Calls are charged and
// limited in rate, so the leader reads it for all; another VM reads it when it
// has had no news for longer.
const (
	rosterPeriod  = 200 * time.Millisecond // between two looks at what is due
	leaderReads   = time.Second
	othersRead    = 1600 * time.Millisecond
	readsApart    = 150 * time.Millisecond // between the VMs that would read in the leader's place
	readTimeout   = 2 * time.Second
	listenerQuiet = 4 * time.Second         // after which a VM no longer counts as a listener
	fleetSettle   = 1500 * time.Millisecond // after a start, when not all daemons are known yet
	fleetHold     = 15 * time.Second        // for which a larger count of daemons stays in force
)

// roster is the list of upstreams as last read, by this VM or another one. The
// zero value has none.
type roster struct {
	upstreams []model.Upstream
	stamp     uint64    // of the content; 0 when none is known
	serial    uint64    // of the read; a list of a higher one is newer
	read      time.Time // when it was read
	asked     time.Time // when a read by this VM began; zero when none is under way
	tried     time.Time // when the last read by this VM began
	failing   bool
	ignored   int                      // entries left out of the last read
	listeners map[model.VMID]time.Time // daemons that follow this VM, by their last digest
	fleet     int                      // daemons as last published, 0 when not known
	counted   time.Time                // when there were last as many
}

func (c *Control) startRoster(at time.Time, out []effect.Effect) []effect.Effect {
	if !c.start.SelfRegistration || !c.start.VM.HasDisk {
		return out
	}
	return setTimer(event.TimerUpstreamList, at.Add(rosterPeriod), out)
}

// timerRoster reads the list when it is this VM's turn.
func (c *Control) timerRoster(at time.Time, out []effect.Effect) []effect.Effect {
	out = setTimer(event.TimerUpstreamList, at.Add(rosterPeriod), out)
	out = c.look(at, c.tellDaemons(at, out))
	r := &c.roster
	if !r.asked.IsZero() && at.Sub(r.asked) < readTimeout {
		return out
	}
	if at.Sub(r.tried) < leaderReads || at.Sub(r.read) < c.readAfter() {
		return out
	}
	r.asked, r.tried = at, at
	return append(out, effect.ReadUpstreamList{Timeout: readTimeout})
}

// readAfter is the age of the last news at which this VM reads the list.
func (c *Control) readAfter() time.Duration {
	if c.leading() {
		return leaderReads - rosterPeriod/2
	}
	return othersRead + readsApart*time.Duration(slices.Index(c.disks(), c.start.VM.ID)+1)
}

// Listed takes the end of a read.
func (c *Control) Listed(at time.Time, l event.UpstreamListRead, out []effect.Effect) []effect.Effect {
	from := len(out)
	r := &c.roster
	began := r.asked
	r.asked = time.Time{}
	if l.Problem != "" {
		if !r.failing {
			out = append(out, effect.Note{At: at, Subject: "roster", Action: "not read", Cause: l.Problem, Alert: true})
		}
		r.failing = true
		return c.seal(from, out)
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
	for _, id := range c.disks() {
		if id != c.start.VM.ID {
			out = append(out, effect.SendMessage{To: id, Message: c.rosterFrame(at, false)})
		}
	}
	return c.seal(from, out)
}

// nextSerial numbers a read: above all that are known here, and otherwise by the
// time of day, so that the numbers go on after a restart. The age of a list would
// not do for their order, since the clock of a VM that stands still may do so, too.
func (c *Control) nextSerial(read time.Time) uint64 {
	return max(c.roster.serial+1, uint64(max(0, read.UnixMilli())))
}

// takeRoster puts a list in force that was read at a time, unless a newer one is
// known.
func (c *Control) takeRoster(at, read time.Time, serial uint64, upstreams []model.Upstream, out []effect.Effect) []effect.Effect {
	r := &c.roster
	if serial < r.serial {
		return out
	}
	r.serial, r.read = serial, read
	stamp := stampOf(upstreams)
	changed := stamp != r.stamp
	if changed {
		out = append(out, effect.Note{At: at, Subject: "roster", Action: "changed", Cause: rosterDifference(r.upstreams, upstreams)})
	}
	r.upstreams, r.stamp, r.fleet = upstreams, stamp, c.countFleet(at)
	out = append(out, effect.ToTraffic{
		Loop: effect.AllLoops, Body: event.UpstreamList{Upstreams: upstreams, Checksum: stamp, ReadAt: read, EntryVMCount: r.fleet},
	})
	if !changed {
		return out
	}
	for _, id := range c.following(at) {
		out = append(out, effect.SendMessage{To: id, Message: c.rosterFrame(at, true)})
	}
	return out
}

// countFleet counts the daemons that follow this VM or another one. Each has a
// part of fleet-wide bounds, so that it is worse to count too few: a VM that has
// just started knows no number, and a lower one counts only after a while.
func (c *Control) countFleet(at time.Time) int {
	r := &c.roster
	if !c.start.VM.HasDisk || at.Sub(c.start.ProcessStart) < fleetSettle {
		return r.fleet
	}
	n := len(c.daemons.all(at))
	for _, id := range c.following(at) {
		if _, gathers := c.daemons.own[id]; !gathers {
			n++
		}
	}
	if n >= r.fleet || at.Sub(r.counted) >= fleetHold {
		r.fleet, r.counted = n, at
	}
	return r.fleet
}

// following lists the daemons that follow this VM, ascending by id.
func (c *Control) following(at time.Time) []model.VMID {
	var ids []model.VMID
	for id, seen := range c.roster.listeners {
		if at.Sub(seen) >= listenerQuiet {
			delete(c.roster.listeners, id)
			continue
		}
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

func (c *Control) rosterFrame(at time.Time, whole bool) frame.UpstreamList {
	r := &c.roster
	f := frame.UpstreamList{Checksum: r.stamp, ReadSeq: r.serial, Age: max(0, at.Sub(r.read)), EntryVMCount: r.fleet, Isolated: c.outside.isolated}
	if whole {
		f.Complete, f.Upstreams = true, r.upstreams
	}
	return f
}

// listen notes a daemon that follows this VM, and sends it the list when it has
// another one.
func (c *Control) listen(at time.Time, from model.VMID, d frame.Digest, out []effect.Effect) []effect.Effect {
	if !c.start.SelfRegistration {
		return out
	}
	if c.roster.listeners == nil {
		c.roster.listeners = make(map[model.VMID]time.Time)
	}
	if _, disk := c.store.VM(from); !disk {
		c.roster.listeners[from] = at
		c.daemons.follow(model.EntryVM{ID: from, Zone: d.Zone, PortionAddr: d.PortionAddr})
	}
	if c.daemons.stamp != 0 && d.PortionAddr.IsValid() && d.EntryVMsChecksum != c.daemons.stamp {
		out = append(out, effect.SendMessage{To: from, Message: frame.EntryVMs{VMs: c.daemons.told}})
	}
	if c.roster.stamp == 0 {
		return out
	}
	return append(out, effect.SendMessage{To: from, Message: c.rosterFrame(at, d.UpstreamListChecksum != c.roster.stamp)})
}

// peerRoster takes another VM's list, or asks for the whole of it.
func (c *Control) peerRoster(at time.Time, from model.VMID, m frame.Message, out []effect.Effect) []effect.Effect {
	r := &c.roster
	switch m := m.(type) {
	case frame.UpstreamListRequest:
		if r.stamp != 0 {
			out = append(out, effect.SendMessage{To: from, Message: c.rosterFrame(at, true)})
		}
	case frame.UpstreamList:
		out = c.told(from, m.Isolated, out)
		if !c.start.VM.HasDisk && m.EntryVMCount > 0 {
			r.fleet = m.EntryVMCount
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

// stampOf identifies the content of a list, which is sorted. It is never 0.
func stampOf(upstreams []model.Upstream) uint64 {
	h := fnv.New64a()
	for _, u := range upstreams {
		_, _ = h.Write([]byte(string(u.ID) + "\x00" + u.Index + "\x00" + u.Addr.String() + "\x00" + u.State.String() + "\x00" + string(u.Zone) + "\n"))
	}
	return h.Sum64() | 1
}

// rosterDifference says in short which upstreams came, went or began to drain.
func rosterDifference(before, after []model.Upstream) string {
	const most = 8 // named in one line
	old := make(map[model.UpstreamID]model.Upstream, len(before))
	for _, u := range before {
		old[u.ID] = u
	}
	text, n := "", 0
	add := func(sign string, id model.UpstreamID) {
		if n++; n <= most {
			text += " " + sign + string(id)
		}
	}
	for _, u := range after {
		known, ok := old[u.ID]
		switch {
		case !ok:
			add("+", u.ID)
		case known.State != u.State:
			add("~", u.ID)
		case known.Addr != u.Addr:
			add("@", u.ID)
		}
		delete(old, u.ID)
	}
	for _, u := range before {
		if _, gone := old[u.ID]; gone {
			add("-", u.ID)
		}
	}
	if n > most {
		text += " and more"
	}
	if text == "" {
		return "details of upstreams"
	}
	return text[1:]
}
