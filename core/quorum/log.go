package quorum

import (
	"math/rand/v2"
	"slices"
	"time"

	"comfreypulley/core/effect"
	"comfreypulley/core/entry"
	"comfreypulley/core/event"
	"comfreypulley/core/frame"
	"comfreypulley/core/model"
)

// Timeouts and limits. With these timeouts a new leader commits within 2 s of
// the loss of the old one: the first pre-vote starts after at most 800 ms,
// which leaves time for a second attempt.
const (
	heartbeatPeriod    = 100 * time.Millisecond
	minElectionTimeout = 400 * time.Millisecond
	maxElectionTimeout = 800 * time.Millisecond
	minStartupTimeout  = 100 * time.Millisecond // election timeout after a start, until a leader sends a message
	maxStartupTimeout  = 300 * time.Millisecond
	startupPeriod      = 4 * time.Second // how long the shorter timeouts apply; the VMs of a fleet all start within it
	imageRetryDelay    = time.Second     // sending and syncing an image takes longer than a heartbeat period
	foundingDelay      = 2 * time.Second // after a start, until a majority of the initial voters may start the log
	maxUncommitted     = 8192            // entries; bounds the leader's memory while there is no majority
	maxBatchEntries    = 256             // entries in one frame.AppendRequest
	maxBatchBytes      = 1 << 20         // estimated bytes in one frame.AppendRequest, below the 4 MiB limit of a frame
)

type role uint8

const (
	follower role = iota
	preCandidate
	candidate
	leader
)

// Log is one replica of the replicated log. The zero value ignores every event
// until Loaded is called.
type Log struct {
	self        entry.Replica
	random      *rand.Rand
	initialized bool      // Loaded was called
	loadedAt    time.Time // when the data folder was read
	clock       model.Clock
	leaderHeard bool // a leader has sent a message since the start
	diskFailed  bool

	role             role
	term             uint64
	votedFor         entry.Replica // vote given in term, zero when none
	leaderID         model.VMID    // leader of the term, "" when unknown
	lastContact      time.Time     // last message of the leader; on the leader its last heartbeat
	currentAt        time.Time     // latest time at which this replica is known to have held all committed entries
	leaderStamp      time.Time     // stamp of the last request of the term's leader
	electionDeadline time.Time
	votes            map[entry.Replica]bool // granted in the current election

	image             entry.Image   // latest snapshot of the state machine
	entries           []entry.Entry // entries after the image
	commitIndex       uint64
	leaderCommitIndex uint64 // highest commit index that a leader announced
	appliedIndex      uint64 // index up to which Committed returned entries
	restoreImage      bool   // Committed has yet to return the image

	lastWriteSeq  uint64        // number of the last write
	syncedSeq     uint64        // highest number of a synced write
	termSeq       uint64        // write that contains the current term and vote
	termWrittenAt time.Time     // when it was handed to the disk
	termSyncTime  time.Duration // how long the last one of its kind took
	syncedIndex   uint64        // last index on the disk
	nextUnwritten uint64        // first index not handed to the disk yet
	entriesWrite  diskWrite     // append in flight
	imageWrite    diskWrite     // write of the image in flight
	heldMessages  []heldMessage
	matchedIndex  uint64 // last index up to which the log matches that of the term's leader
	round         uint64 // heartbeat round: the last one received or, on the leader, started

	initialVoters []entry.Replica // voters until entry 1 is written; their disks are unknown
	firstStart    bool            // initial voters have their first disks; a VM that lost its disk is none
	members       entry.Members
	membersIndex  uint64       // index of the entry that set members, 0 when none did
	wantedVMs     []model.VMID // VMs that should replicate the log

	progress         map[entry.Replica]*progress // of the other members, on the leader
	reportedDisks    map[model.VMID]model.DiskID // disk in the latest answer of each VM
	termStart        uint64                      // index of the leader's first entry in its term
	pendingReads     []pendingRead
	confirmedReads   []uint64  // reads to be returned by Confirmed
	transferDeadline time.Time // of the leadership transfer; zero when none is under way
}

// diskWrite is a write in progress. A zero seq means that there is none.
type diskWrite struct {
	seq       uint64 // number of the write
	lastIndex uint64 // last index it contains
}

// heldMessage is a message that waits until a write is synced. It is discarded
// if the term changes in the meantime.
type heldMessage struct {
	seq     uint64
	term    uint64
	message effect.SendMessage
}

// pendingRead is a linearizable read that waits until a majority has answered a
// heartbeat round.
type pendingRead struct {
	id    uint64
	round uint64
}

// HandleDiskLoaded initializes the replica from the content of the data folder.
// The VMs in initialVoters are the voters of a log that has no entry yet. firstStart
// says that a VM has initial voters only at the first start of the fleet: one that
// lost its disk has none when it starts again.
func (l *Log) HandleDiskLoaded(
	at time.Time, self model.VMID, seed uint64, initialVoters []model.VMID, firstStart bool, loaded event.DiskLoaded, out []effect.Effect,
) []effect.Effect {
	l.self = entry.Replica{VM: self, Disk: loaded.Disk}
	l.random = rand.New(rand.NewPCG(seed, uint64(loaded.Disk)))
	l.initialized = true
	l.term, l.votedFor = loaded.Term, loaded.Vote
	l.image, l.entries = loaded.Image, slices.Clone(loaded.Entries)
	if t := l.termOf(l.lastIndex()); t > l.term {
		l.term, l.votedFor = t, entry.Replica{}
	}
	l.commitIndex, l.restoreImage = l.image.Index, l.image.Index > 0
	l.appliedIndex, l.matchedIndex = l.commitIndex, l.commitIndex
	l.syncedIndex, l.nextUnwritten = l.lastIndex(), l.lastIndex()+1
	l.reportedDisks = make(map[model.VMID]model.DiskID)
	for _, vm := range initialVoters {
		l.initialVoters = append(l.initialVoters, entry.Replica{VM: vm})
	}
	l.firstStart = firstStart
	l.resetMembers(l.lastIndex())
	l.loadedAt, l.clock = at, model.NewClock(at)
	return l.resetElectionTimer(at, out)
}

// HandlePeerMessage handles a message from another replica.
func (l *Log) HandlePeerMessage(at time.Time, from model.VMID, m frame.Message, out []effect.Effect) []effect.Effect {
	if !l.initialized || l.diskFailed {
		return out
	}
	switch m := m.(type) {
	case frame.VoteRequest:
		return l.handleVoteRequest(at, from, m, out)
	case frame.VoteResponse:
		return l.handleVoteResponse(at, m, out)
	case frame.AppendRequest:
		return l.append(at, from, m, out)
	case frame.AppendResponse:
		return l.handleAppendResponse(at, m, out)
	case frame.InstallImage:
		return l.installImage(at, from, m, out)
	case frame.InstallImageResponse:
		return l.handleInstallImageResponse(at, m, out)
	default:
		return out
	}
}

// HandleTimer handles an election or heartbeat timer.
func (l *Log) HandleTimer(at time.Time, kind event.TimerKind, out []effect.Effect) []effect.Effect {
	if !l.initialized || l.diskFailed {
		return out
	}
	switch {
	case kind == event.TimerHeartbeat && l.role == leader:
		return l.heartbeat(at, out)
	case kind == event.TimerElection && l.role == candidate && l.syncedSeq < l.termSeq:
		return l.resetElectionTimer(at, out) // the vote requests wait for the disk
	case kind == event.TimerElection && l.role != leader:
		if at.Before(l.electionDeadline) {
			// Heartbeats only move the deadline, which avoids setting a timer for
			// each.
			return setTimer(event.TimerElection, l.electionDeadline, out)
		}
		return l.startPreVote(at, "no leader heard for an election timeout", out)
	default:
		return out
	}
}

// HandleDiskSynced handles the completion of writes.
func (l *Log) HandleDiskSynced(at time.Time, s event.DiskSynced, out []effect.Effect) []effect.Effect {
	if !l.initialized || l.diskFailed || s.Seq <= l.syncedSeq {
		return out
	}
	if l.syncedSeq < l.termSeq && l.termSeq <= s.Seq {
		l.termSyncTime = at.Sub(l.termWrittenAt)
	}
	l.syncedSeq = s.Seq
	if l.entriesWrite.seq > 0 && l.entriesWrite.seq <= s.Seq {
		l.syncedIndex = max(l.syncedIndex, min(l.entriesWrite.lastIndex, l.nextUnwritten-1))
		l.entriesWrite = diskWrite{}
	}
	if l.imageWrite.seq > 0 && l.imageWrite.seq <= s.Seq {
		l.syncedIndex = max(l.syncedIndex, l.imageWrite.lastIndex)
		l.imageWrite = diskWrite{}
	}
	l.heldMessages = slices.DeleteFunc(l.heldMessages, func(m heldMessage) bool {
		if m.seq > l.syncedSeq {
			return false
		}
		if m.term == l.term {
			out = append(out, m.message)
		}
		return true
	})
	switch l.role {
	case candidate:
		if l.termSeq <= l.syncedSeq {
			out = l.countVotes(at, out)
		}
	case leader:
		out = l.advanceCommit(at, out)
	default:
		out = l.acknowledge(at, out)
	}
	return l.writeEntries(out)
}

// HandleDiskFailed excludes this replica from the log for good, because it can no
// longer store entries or votes.
func (l *Log) HandleDiskFailed(at time.Time, f event.DiskFailed, out []effect.Effect) []effect.Effect {
	if l.diskFailed {
		return out
	}
	cause := "the disk failed: " + f.Problem
	if l.role == leader {
		out = l.becomeFollower(at, cause, out)
	}
	l.diskFailed, l.leaderID, l.heldMessages = true, "", nil
	return append(out, effect.Note{At: at, Subject: "log", Action: "replica stopped", Cause: cause, Alert: true})
}

// Propose appends a command if this replica is the leader. If the command is
// not appended, index is 0 and status is the reason. Otherwise status is
// entry.StatusUnknown until Committed returns the entry.
func (l *Log) Propose(at time.Time, c entry.Command, out []effect.Effect) (index uint64, status entry.Status, o []effect.Effect) {
	if status := l.rejection(); status != entry.StatusUnknown {
		return 0, status, out
	}
	if !l.transferDeadline.IsZero() || l.lastIndex()-l.commitIndex >= maxUncommitted {
		return 0, entry.StatusUnavailable, out
	}
	out = l.appendCommand(at, c, out)
	return l.lastIndex(), entry.StatusUnknown, out
}

// Confirm starts a linearizable read, which verifies that this replica is still
// the leader. If status is entry.StatusUnknown, Confirmed returns the
// id later, or never if the leader steps down; any other status is the reason
// why the read was rejected.
func (l *Log) Confirm(at time.Time, id uint64, out []effect.Effect) (status entry.Status, o []effect.Effect) {
	if status := l.rejection(); status != entry.StatusUnknown {
		return status, out
	}
	idle := len(l.pendingReads) == 0
	l.pendingReads = append(l.pendingReads, pendingRead{id: id, round: l.round + 1})
	if idle {
		out = l.startRound(at, out)
	}
	return entry.StatusUnknown, l.confirmReads(at, out)
}

// Confirmed returns the ids of the reads confirmed since the last call. The
// caller first applies what Committed returns and then serves them.
func (l *Log) Confirmed() (reads []uint64) {
	reads, l.confirmedReads = l.confirmedReads, nil
	return reads
}

// Committed returns what was committed since the last call: an image to
// restore, unless it is nil, and then the entries to apply.
func (l *Log) Committed() (image *entry.Image, entries []entry.Entry) {
	if l.restoreImage {
		restored := l.image
		image, l.restoreImage = &restored, false
	}
	if l.appliedIndex < l.commitIndex {
		entries = slices.Clone(l.entryRange(l.appliedIndex+1, l.commitIndex))
		l.appliedIndex = l.commitIndex
	}
	return image, entries
}

// Compact replaces the entries up to the image's index by the image and fills
// in the image's term and members. It ignores an image that is not newer than
// the current one or that is ahead of the applied entries.
func (l *Log) Compact(_ time.Time, image entry.Image, out []effect.Effect) []effect.Effect {
	if !l.initialized || l.diskFailed || image.Index <= l.image.Index || image.Index > l.appliedIndex {
		return out
	}
	image.Term = l.termOf(image.Index)
	image.Members, _ = l.membersAt(image.Index)
	l.entries = slices.Clone(l.entryRange(image.Index+1, l.lastIndex()))
	l.image = image
	return l.writeImage(out)
}

// SetReplicas sets the VMs that should replicate the log. The leader changes the
// members step by step until they match; an empty list changes nothing.
func (l *Log) SetReplicas(at time.Time, replicas []model.VMID, out []effect.Effect) []effect.Effect {
	l.wantedVMs = slices.Clone(replicas)
	if l.role != leader || l.diskFailed {
		return out
	}
	return l.changeMembers(at, out)
}

// Resign transfers leadership to a voter that has every entry. Meanwhile the
// replica rejects proposals, and it steps down after an election timeout even
// if no voter took over.
func (l *Log) Resign(at time.Time, out []effect.Effect) []effect.Effect {
	if l.role != leader || !l.transferDeadline.IsZero() {
		return out
	}
	l.transferDeadline = at.Add(maxElectionTimeout)
	return l.transferLeadership(at, out)
}

// rejection returns the reason to reject a command or read, or
// entry.StatusUnknown if there is none.
func (l *Log) rejection() entry.Status {
	switch {
	case l.diskFailed || l.role != leader && l.leaderID == "":
		return entry.StatusNoMajority
	case l.role != leader:
		return entry.StatusNotLeader
	default:
		return entry.StatusUnknown
	}
}

func setTimer(kind event.TimerKind, at time.Time, out []effect.Effect) []effect.Effect {
	return append(out, effect.SetTimer{ID: event.TimerID{Kind: kind}, At: at})
}

func note(at time.Time, action, cause string, out []effect.Effect) []effect.Effect {
	return append(out, effect.Note{At: at, Subject: "log", Action: action, Cause: cause})
}
