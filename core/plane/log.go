package plane

import (
	"fmt"
	"strconv"
	"time"

	"comfreypulley/core/effect"
	"comfreypulley/core/entry"
	"comfreypulley/core/event"
	"comfreypulley/core/frame"
	"comfreypulley/core/model"
)

// compactEvery is how many entries are applied between two images of the log.
const compactEvery = 4096

// compactWeight is how many bytes of documents are applied between two images;
// it bounds the log in memory and on the disk of a small VM.
const compactWeight = 4 << 20

// weightOf estimates the bytes that a change adds to the log.
func weightOf(c entry.Change) int {
	if c.Document == nil {
		return 0
	}
	return 2 * len(c.Document.Source) // the decoded form is about as long
}

// Replicator is the replicated log as the control state uses it. Propose gives
// index 0 when it appended nothing; Confirm gives StatusUnknown while a read is
// under way. Effects that tell another VM need no address.
type Replicator interface {
	Loaded(at time.Time, self model.VMID, seed uint64, first []model.VMID, loaded event.DiskLoaded, out []effect.Effect) []effect.Effect
	Peer(at time.Time, from model.VMID, m frame.Message, out []effect.Effect) []effect.Effect
	Timer(at time.Time, kind event.TimerKind, out []effect.Effect) []effect.Effect
	Synced(at time.Time, s event.DiskSynced, out []effect.Effect) []effect.Effect
	DiskFailed(at time.Time, f event.DiskFailed, out []effect.Effect) []effect.Effect
	Propose(at time.Time, c entry.Command, out []effect.Effect) (index uint64, status entry.Status, o []effect.Effect)
	Confirm(at time.Time, n uint64, out []effect.Effect) (status entry.Status, o []effect.Effect)
	Confirmed() (reads []uint64)
	Committed() (image *entry.Image, entries []entry.Entry)
	Compact(at time.Time, image entry.Image, out []effect.Effect) []effect.Effect
	Want(at time.Time, replicas []model.VMID, out []effect.Effect) []effect.Effect
	Resign(at time.Time, out []effect.Effect) []effect.Effect
	Standing() Standing
}

// Standing is what a replica knows of the log.
type Standing struct {
	Leader  model.VMID // "" when unknown
	Leading bool
	Term    uint64
	Commit  uint64
	Known   uint64    // highest commit index that a leader named; the entries up to it may be missing here
	Heard   time.Time // when a majority was last heard of
	Silent  []Silence // voters that the leader does not hear
}

// Silence says how long the leader has not heard a voter.
type Silence struct {
	VM  model.VMID
	For time.Duration
}

// position is how far the log has been applied.
type position struct {
	index   uint64
	term    uint64
	at      time.Time // highest entry time
	members entry.Members
	imaged  uint64 // index of the last image
	weight  int    // bytes of the documents applied since
	loaded  slot   // last entry in the data folder at start
}

// Replicate sets the log of a VM with a disk. It is called before Start.
func (c *Control) Replicate(log Replicator) {
	c.log = log
}

// Loaded starts the log from the data folder.
func (c *Control) Loaded(at time.Time, loaded event.DiskLoaded, out []effect.Effect) []effect.Effect {
	from := len(out)
	if c.log == nil {
		return out
	}
	if n := len(loaded.Entries); n > 0 {
		c.applied.loaded = slot{index: loaded.Entries[n-1].Index, term: loaded.Entries[n-1].Term}
	}
	out = c.log.Loaded(at, c.start.VM.ID, c.start.Seed, c.first(), loaded, out)
	if loaded.Image.Index > 0 || len(loaded.Entries) > 0 {
		out = c.refresh(at, out)
	}
	return c.seal(from, c.moved(at, out))
}

// Synced takes the progress of the disk.
func (c *Control) Synced(at time.Time, s event.DiskSynced, out []effect.Effect) []effect.Effect {
	from := len(out)
	if c.log == nil {
		return out
	}
	out = c.log.Synced(at, s, out)
	return c.seal(from, c.moved(at, out))
}

// DiskFailed ends this VM's part in the log. It goes on serving queries and
// follows the distribution tree from now on.
func (c *Control) DiskFailed(at time.Time, f event.DiskFailed, out []effect.Effect) []effect.Effect {
	from := len(out)
	if c.log == nil {
		return out
	}
	out = c.log.DiskFailed(at, f, out)
	out = c.moved(at, out)
	c.heard = c.log.Standing().Heard
	c.stale = c.behind()
	c.log = nil
	c.lead = Standing{}
	return c.seal(from, append(out, effect.Note{At: at, Subject: "log", Action: "left the log", Cause: f.Problem, Alert: true}))
}

// behind reports whether entries that were in force before the start of the
// process may still be missing. Publishing before would go back behind a
// revision that this VM served. All of them are applied once the last one in the
// data folder is, or an entry of a later leader. A VM whose disk had failed
// served revisions that its data folder lacks, so the first view also waits for
// what the leader says is committed, and for an entry of its term: before, a new
// leader does not know what the one before committed.
func (c *Control) behind() bool {
	if c.stale || c.log == nil {
		return c.stale
	}
	if c.applied.index < c.applied.loaded.index && c.applied.term <= c.applied.loaded.term {
		return true
	}
	if c.fresh.holds(c) {
		return true
	}
	s := c.log.Standing()
	return c.published == 0 && s.Leader != "" && (c.applied.index < s.Known || c.applied.term < s.Term)
}

// first lists the replicas of an empty log: the disk VMs of the settings.
func (c *Control) first() []model.VMID {
	var ids []model.VMID
	if c.start.InitialConfig == nil {
		return ids
	}
	for _, vm := range genesis(c.start.InitialConfig).VMs {
		if vm.HasDisk {
			ids = append(ids, vm.ID)
		}
	}
	return ids
}

func (c *Control) leading() bool {
	return c.log != nil && c.log.Standing().Leading
}

// leader returns the VM that leads the log as far as this VM knows, or "".
func (c *Control) leader() model.VMID {
	if c.log != nil {
		if s := c.log.Standing(); s.Leader != "" {
			return s.Leader
		}
	}
	if c.named == "" && c.tree != nil {
		return c.tree.Leader()
	}
	return c.named
}

// advance applies what the log committed.
func (c *Control) advance(at time.Time, out []effect.Effect) []effect.Effect {
	if c.log == nil {
		return out
	}
	image, entries := c.log.Committed()
	if image != nil && image.Index > c.applied.index {
		c.store.Restore(image.Config)
		c.book.Restore(image.Ledger, image.At)
		c.applied = position{index: image.Index, term: image.Term, at: image.At, members: image.Members, imaged: image.Index, loaded: c.applied.loaded}
		c.queue.skipped(image.Index)
	}
	for _, e := range entries {
		if e.Index > c.applied.index {
			out = c.apply(at, e, out)
		}
	}
	if c.applied.index-c.applied.imaged >= compactEvery || c.applied.weight >= compactWeight {
		c.applied.imaged, c.applied.weight = c.applied.index, 0
		out = c.log.Compact(at, c.image(), out)
	}
	for _, n := range c.log.Confirmed() {
		out = c.confirmed(at, n, out)
	}
	return out
}

// apply applies one entry and answers the command in it when it came from here.
func (c *Control) apply(at time.Time, e entry.Entry, out []effect.Effect) []effect.Effect {
	c.applied.index, c.applied.term = e.Index, e.Term
	if e.At.After(c.applied.at) {
		c.applied.at = e.At
	}
	var result entry.Result
	switch command := e.Command.(type) {
	case entry.Change:
		before := c.store.Revision()
		c.noteJoined(e.At, command)
		result = c.store.Apply(e.At, command)
		c.applied.weight += weightOf(command)
		if command.Document == nil || c.store.Revision() != before {
			out = append(out, noteChange(at, command, result))
		}
	case entry.Claim, entry.Settle, entry.Release:
		result = c.book.Apply(e.At, command)
	case entry.Members:
		c.applied.members = command
		result = entry.Result{Status: entry.StatusOK}
	default:
		result = entry.Result{Status: entry.StatusOK, Revision: c.store.Revision()}
	}
	if p := c.queue.committed(slot{index: e.Index, term: e.Term}); p != nil {
		out = c.finish(at, p, result, out)
	}
	return out
}

func (c *Control) image() entry.Image {
	return entry.Image{
		Index: c.applied.index, Term: c.applied.term, At: c.applied.at,
		Config: c.store.Image(), Ledger: c.book.Image(), Members: c.applied.members,
	}
}

// observe follows changes of leadership. A leader of a log without a
// configuration proposes the one from the settings.
func (c *Control) observe(at time.Time, out []effect.Effect) []effect.Effect {
	if c.log == nil {
		return out
	}
	before := c.lead
	c.lead = c.log.Standing()
	if before.Leader != c.lead.Leader || before.Leading != c.lead.Leading {
		out = append(out, noteLeader(at, before, c.lead))
		out = c.hurry(at, out)
	}
	if !c.lead.Leading {
		c.wanted = 0
		return out
	}
	began := !before.Leading || before.Term != c.lead.Term
	if began {
		c.leads(at)
	}
	if began && c.store.Revision() == 0 && c.start.InitialConfig != nil {
		g := genesis(c.start.InitialConfig)
		_, _, out = c.log.Propose(at, entry.Change{InitialConfig: &g}, out)
	}
	if c.wanted != c.store.Revision() {
		c.wanted = c.store.Revision()
		out = c.log.Want(at, c.disks(), out)
	}
	return out
}

func noteLeader(at time.Time, before, now Standing) effect.Note {
	n := effect.Note{At: at, Subject: "log", Action: "leader is " + string(now.Leader), Cause: fmt.Sprintf("term %d", now.Term)}
	if now.Leader == "" {
		n.Action = "no leader"
		n.Cause = fmt.Sprintf("%s led until term %d", before.Leader, now.Term)
		n.Alert = true
	}
	return n
}

func noteChange(at time.Time, c entry.Change, r entry.Result) effect.Note {
	n := effect.Note{At: at, Subject: "configuration", Action: "changed"}
	switch {
	case c.Document != nil:
		n.Subject = "document " + strconv.FormatUint(c.Document.Version, 10)
	case c.Contract != nil:
		n.Subject = "contract " + c.Contract.Customer
		if c.Contract.Retired {
			n.Action = "retired"
		}
	case c.Upstream != nil:
		n.Subject = "upstream " + string(c.Upstream.ID)
		if c.Upstream.State == model.StateDraining {
			n.Action = "drained"
		}
	case c.VM != nil:
		n.Subject = "vm " + string(c.VM.ID)
		if c.VM.State == model.StateDraining {
			n.Action = "drained"
		}
	case c.Remove != nil && c.Remove.Upstream != "":
		n.Subject, n.Action = "upstream "+string(c.Remove.Upstream), "removed"
	case c.Remove != nil:
		n.Subject, n.Action = "vm "+string(c.Remove.VM), "removed"
	}
	n.Cause = fmt.Sprintf("operation %q, now at revision %d", c.Op, r.Revision)
	if r.Status != entry.StatusOK {
		n.Action = "not " + n.Action
		n.Cause = fmt.Sprintf("operation %q: %s: %s", c.Op, r.Status, r.Detail)
	}
	return n
}
