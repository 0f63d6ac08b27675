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

// maxEntriesPerImage is how many entries are applied between two images of the
// replicated state.
const maxEntriesPerImage = 4096

// maxDocumentBytesPerImage is how many bytes of documents are applied between
// two images. It bounds the log in the memory and on the disk of a small VM.
const maxDocumentBytesPerImage = 4 << 20

// loggedBytes estimates how many bytes a change adds to the log.
func loggedBytes(c entry.Change) int {
	if c.Document == nil {
		return 0
	}
	return 2 * len(c.Document.Source) // the decoded document, which the entry also holds, is about as long
}

// Replicator is one replica of the log. Its effects that send a message to
// another VM need no address.
type Replicator interface {
	// HandleDiskLoaded starts the replica. firstStart says that VMs have initial voters
	// only at the first start of the fleet.
	HandleDiskLoaded(
		at time.Time, self model.VMID, seed uint64, initialVoters []model.VMID, firstStart bool, loaded event.DiskLoaded, out []effect.Effect,
	) []effect.Effect
	HandlePeerMessage(at time.Time, from model.VMID, m frame.Message, out []effect.Effect) []effect.Effect
	HandleTimer(at time.Time, kind event.TimerKind, out []effect.Effect) []effect.Effect
	HandleDiskSynced(at time.Time, s event.DiskSynced, out []effect.Effect) []effect.Effect
	HandleDiskFailed(at time.Time, f event.DiskFailed, out []effect.Effect) []effect.Effect
	// Propose appends a command. It returns index 0 when it appended nothing.
	Propose(at time.Time, c entry.Command, out []effect.Effect) (index uint64, status entry.Status, effects []effect.Effect)
	// Confirm starts to confirm, for a read, that this VM still leads. It returns
	// StatusUnknown while the confirmation is under way.
	Confirm(at time.Time, read uint64, out []effect.Effect) (status entry.Status, effects []effect.Effect)
	// Confirmed lists the reads that were confirmed since the last call.
	Confirmed() (reads []uint64)
	// Committed returns what is to be applied since the last call: first the
	// image, unless it is nil, then the entries.
	Committed() (image *entry.Image, entries []entry.Entry)
	// Compact replaces applied entries by an image.
	Compact(at time.Time, image entry.Image, out []effect.Effect) []effect.Effect
	// SetReplicas sets the VMs that should replicate the log.
	SetReplicas(at time.Time, replicas []model.VMID, out []effect.Effect) []effect.Effect
	// Resign hands over the leadership.
	Resign(at time.Time, out []effect.Effect) []effect.Effect
	LogStatus() LogStatus
}

// LogStatus is the state of the log as one replica knows it.
type LogStatus struct {
	Leader            model.VMID // "" when unknown
	Leading           bool
	Term              uint64
	CommitIndex       uint64        // index up to which entries are committed
	LeaderCommitIndex uint64        // highest commit index that a leader reported; this replica may still miss entries up to it
	LastMajority      time.Time     // last contact with a majority
	SilentVoters      []SilentVoter // voters that do not answer the leader
}

// SilentVoter is a voter that does not answer the leader, and for how long.
type SilentVoter struct {
	VM  model.VMID
	For time.Duration
}

// appliedState says how far the log has been applied.
type appliedState struct {
	index         uint64
	term          uint64
	at            time.Time // highest time of an entry; the clocks of leaders may differ
	members       entry.Members
	lastImage     uint64  // index of the last image
	documentBytes int     // bytes of documents applied since the last image
	lastLoaded    entryID // last entry in the data folder at the start of the process
}

// SetLog sets the log of a disk VM. It is called before Start.
func (c *Control) SetLog(log Replicator) {
	c.log = log
}

// HandleDiskLoaded starts the log with the content of the data folder.
func (c *Control) HandleDiskLoaded(at time.Time, loaded event.DiskLoaded, out []effect.Effect) []effect.Effect {
	first := len(out)
	if c.log == nil {
		return out
	}
	if n := len(loaded.Entries); n > 0 {
		c.applied.lastLoaded = entryID{index: loaded.Entries[n-1].Index, term: loaded.Entries[n-1].Term}
	}
	out = c.keepFounders(loaded, out)
	out = c.log.HandleDiskLoaded(at, c.settings.VM.ID, c.settings.Seed, c.initialVoters(), c.settings.SelfRegistration, loaded, out)
	if loaded.Image.Index > 0 || len(loaded.Entries) > 0 {
		out = c.startBarrier(at, out)
	}
	return c.complete(first, c.update(at, out))
}

// HandleDiskSynced notifies the log of the writes that are on the disk.
func (c *Control) HandleDiskSynced(at time.Time, s event.DiskSynced, out []effect.Effect) []effect.Effect {
	first := len(out)
	if c.log == nil {
		return out
	}
	out = c.log.HandleDiskSynced(at, s, out)
	return c.complete(first, c.update(at, out))
}

// HandleDiskFailed closes this VM's replica of the log. The VM continues to
// serve queries and receives its configuration from the distribution tree from
// now on.
func (c *Control) HandleDiskFailed(at time.Time, f event.DiskFailed, out []effect.Effect) []effect.Effect {
	first := len(out)
	if c.log == nil {
		return out
	}
	out = c.log.HandleDiskFailed(at, f, out)
	out = c.update(at, out)
	c.lastMajority = c.log.LogStatus().LastMajority
	c.stale = c.mayMissEntries()
	c.log = nil
	c.lastStatus = LogStatus{}
	return c.complete(first, append(out, effect.Note{At: at, Subject: "log", Action: "left the log", Cause: f.Problem, Alert: true}))
}

// mayMissEntries reports whether entries that were in force before the process
// started may not be applied yet. A view published then could be older than one
// that this VM served before. All these entries are applied once the last one in
// the data folder is, or an entry of a later leader. After a disk failure a VM
// served revisions that its data folder lacks, so the first view also waits for
// the commit index that the leader reports and for an entry of the leader's
// term: until one is committed, a new leader does not know which entries of its
// predecessor are.
func (c *Control) mayMissEntries() bool {
	if c.stale || c.log == nil {
		return c.stale
	}
	if c.applied.index < c.applied.lastLoaded.index && c.applied.term <= c.applied.lastLoaded.term {
		return true
	}
	if c.barrier.blocks(c) {
		return true
	}
	status := c.log.LogStatus()
	return c.publishedRevision == 0 && status.Leader != "" && (c.applied.index < status.LeaderCommitIndex || c.applied.term < status.Term)
}

// initialVoters lists the voters of an empty log: the disk VMs of the first
// configuration.
func (c *Control) initialVoters() []model.VMID {
	var ids []model.VMID
	if c.settings.InitialConfig == nil {
		return ids
	}
	for _, vm := range initialConfig(c.settings.InitialConfig).VMs {
		if vm.HasDisk {
			ids = append(ids, vm.ID)
		}
	}
	return ids
}

func (c *Control) leading() bool {
	return c.log != nil && c.log.LogStatus().Leading
}

// leader returns the VM that leads the log as far as this VM knows, or "".
func (c *Control) leader() model.VMID {
	if c.log != nil {
		if status := c.log.LogStatus(); status.Leader != "" {
			return status.Leader
		}
	}
	if c.reportedLeader != "" || c.tree == nil {
		return c.reportedLeader
	}
	// The tree hears of a new leader up to a second later.
	if id := c.tree.Leader(); id != c.lostLeader {
		return id
	}
	return ""
}

// applyCommitted applies the entries or the image that the log committed,
// creates an image when one is due, and answers the reads that the log
// confirmed.
func (c *Control) applyCommitted(at time.Time, out []effect.Effect) []effect.Effect {
	if c.log == nil {
		return out
	}
	image, entries := c.log.Committed()
	if image != nil && image.Index > c.applied.index {
		c.store.Restore(image.Config)
		c.ledger.Restore(image.Ledger, image.At)
		c.applied = appliedState{
			index: image.Index, term: image.Term, at: image.At,
			members: image.Members, lastImage: image.Index, lastLoaded: c.applied.lastLoaded,
		}
		c.proposals.imageInstalled(image.Index)
	}
	for _, e := range entries {
		if e.Index > c.applied.index {
			out = c.applyEntry(at, e, out)
		}
	}
	if c.configuredAt.IsZero() && c.store.Revision() > 0 {
		c.configuredAt = at
	}
	if c.applied.index-c.applied.lastImage >= maxEntriesPerImage || c.applied.documentBytes >= maxDocumentBytesPerImage {
		c.applied.lastImage, c.applied.documentBytes = c.applied.index, 0
		out = c.log.Compact(at, c.image(), out)
	}
	for _, read := range c.log.Confirmed() {
		out = c.answerConfirmedRead(at, read, out)
	}
	return out
}

// applyEntry applies one entry, and answers the proposal that it came from when
// that was made on this VM.
func (c *Control) applyEntry(at time.Time, e entry.Entry, out []effect.Effect) []effect.Effect {
	c.applied.index, c.applied.term = e.Index, e.Term
	if e.At.After(c.applied.at) {
		c.applied.at = e.At
	}
	var result entry.Result
	switch command := e.Command.(type) {
	case entry.Change:
		before := c.store.Revision()
		c.recordJoin(e.At, command)
		result = c.store.Apply(e.At, command)
		c.applied.documentBytes += loggedBytes(command)
		if command.Document == nil || c.store.Revision() != before {
			out = append(out, changeNote(at, command, result))
		}
	case entry.Claim, entry.Settle, entry.Release:
		result = c.ledger.Apply(e.At, command)
	case entry.Members:
		c.applied.members = command
		result = entry.Result{Status: entry.StatusOK}
	default:
		result = entry.Result{Status: entry.StatusOK, Revision: c.store.Revision()}
	}
	if p := c.proposals.proposalOf(entryID{index: e.Index, term: e.Term}); p != nil {
		out = c.answerProposal(at, p, result, out)
	}
	return out
}

func (c *Control) image() entry.Image {
	return entry.Image{
		Index: c.applied.index, Term: c.applied.term, At: c.applied.at,
		Config: c.store.Image(), Ledger: c.ledger.Image(), Members: c.applied.members,
	}
}

// followLeadership reacts to a change of the leader: it retries commands, and
// on the new leader prepares the granter. The leader of a log without a
// configuration proposes the one from the settings. A leader also sets which
// VMs should replicate the log.
func (c *Control) followLeadership(at time.Time, out []effect.Effect) []effect.Effect {
	if c.log == nil {
		return out
	}
	before := c.lastStatus
	c.lastStatus = c.log.LogStatus()
	if before.Leader != c.lastStatus.Leader || before.Leading != c.lastStatus.Leading {
		out = append(out, leaderNote(at, before, c.lastStatus))
		out = c.retryAllNow(at, out)
	}
	if !c.lastStatus.Leading {
		c.replicasRevision = 0
		return out
	}
	newTerm := !before.Leading || before.Term != c.lastStatus.Term
	if newTerm {
		c.becomeLeader(at)
	}
	if newTerm && c.store.Revision() == 0 && c.settings.InitialConfig != nil {
		initial := initialConfig(c.settings.InitialConfig)
		_, _, out = c.log.Propose(at, entry.Change{InitialConfig: &initial}, out)
	}
	if c.replicasRevision != c.store.Revision() {
		c.replicasRevision = c.store.Revision()
		out = c.log.SetReplicas(at, c.diskVMs(), out)
	}
	return out
}

func leaderNote(at time.Time, before, now LogStatus) effect.Note {
	n := effect.Note{At: at, Subject: "log", Action: "leader is " + string(now.Leader), Cause: fmt.Sprintf("term %d", now.Term)}
	if now.Leader == "" {
		n.Action = "no leader"
		n.Cause = fmt.Sprintf("%s led until term %d", before.Leader, now.Term)
		n.Alert = true
	}
	return n
}

func changeNote(at time.Time, c entry.Change, r entry.Result) effect.Note {
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
	case c.Zone != nil:
		n.Subject, n.Action = "zone "+string(c.Zone.Zone), "put back into use"
		if c.Zone.Out {
			n.Action = "taken out of use"
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
