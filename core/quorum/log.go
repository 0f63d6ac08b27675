package quorum

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"comfreypulley/core/effect"
	"comfreypulley/core/entry"
	"comfreypulley/core/event"
	"comfreypulley/core/frame"
	"comfreypulley/core/model"
)

// Periods and bounds. With them a new leader commits within 2 s of the loss of
// the old one: at most 800 ms until the first pre-vote, and a second try.
const (
	beatPeriod  = 100 * time.Millisecond
	minElection = 400 * time.Millisecond
	maxElection = 800 * time.Millisecond
	minFirst    = 100 * time.Millisecond // between campaigns after a start, until a leader was heard
	maxFirst    = 300 * time.Millisecond
	firstPeriod = 4 * time.Second // of such campaigns; the VMs of a fleet start within less
	snapRetry   = time.Second     // a snapshot takes longer to send and sync than a heartbeat period
	maxPending  = 8192            // uncommitted entries; bounds the leader's memory without a majority
	maxBatch    = 256             // entries of one frame.AppendRequest
	maxWeight   = 1 << 20         // estimated bytes of one frame.AppendRequest, below the 4 MiB of a frame
)

type role uint8

const (
	follower role = iota
	precandidate
	candidate
	leader
)

// Log is one replica of the log. The zero value ignores every event until
// Loaded.
type Log struct {
	self   entry.Replica
	random *rand.Rand
	ready  bool
	loaded time.Time // when the data folder was read
	met    bool      // a leader was heard since
	failed bool

	role     role
	term     uint64
	vote     entry.Replica
	leads    model.VMID // known leader of the term, "" when unknown
	heard    time.Time  // of the last message of the leader
	deadline time.Time  // of the election timeout
	votes    map[entry.Replica]bool

	image   entry.Image
	entries []entry.Entry // after the image
	commit  uint64
	known   uint64 // highest commit index that a leader named
	applied uint64
	restore bool // the image is to be returned by Committed

	writes   uint64 // number of the last write
	synced   uint64 // number of the last synced write
	termAt   uint64 // write that made the term and vote durable
	stable   uint64 // last index on the disk
	unsent   uint64 // first index not yet handed to the disk
	flight   flight
	saving   flight // of the image
	held     []promise
	verified uint64 // last index known to equal that of the term's leader
	round    uint64 // of the leader, last heard or last begun

	first     []entry.Replica // voters until entry 1, without disks
	members   entry.Members
	changedAt uint64 // index of the entry that holds members
	want      []model.VMID

	progress  map[entry.Replica]*progress
	disks     map[model.VMID]model.DiskID // disk each VM last answered with
	began     uint64                      // first index of the leader's own term
	reads     []read
	confirmed []uint64
	resigning time.Time // deadline of the hand-over; zero when not resigning
}

// flight is a write that the disk is working on. A zero n means none.
type flight struct {
	n    uint64
	last uint64
}

// promise is a message that must not leave before write n is durable.
type promise struct {
	n    uint64
	term uint64
	tell effect.SendMessage
}

// read waits until a majority answered a heartbeat round.
type read struct {
	n     uint64
	round uint64
}

// Status is what a replica knows of the log.
type Status struct {
	Leader  model.VMID // "" when unknown
	Leading bool
	Term    uint64
	Commit  uint64
	Known   uint64 // highest commit index that a leader named
	Last    uint64
	Heard   time.Time // when a majority, or the leader for it, was last heard of
	Members entry.Members
	Silent  []Silence // voters that the leader does not hear, ascending by VM
	Failed  bool      // the disk failed; this replica takes no further part
}

// Silence says how long the leader has not heard a voter.
type Silence struct {
	VM  model.VMID
	For time.Duration
}

// Loaded takes over the content of the data folder. The VMs in first form the
// first voters of a log that has no entry yet.
func (l *Log) Loaded(at time.Time, self model.VMID, seed uint64, first []model.VMID, loaded event.DiskLoaded, out []effect.Effect) []effect.Effect {
	l.self = entry.Replica{VM: self, Disk: loaded.Disk}
	l.random = rand.New(rand.NewPCG(seed, uint64(loaded.Disk)))
	l.ready = true
	l.term, l.vote = loaded.Term, loaded.Vote
	l.image, l.entries = loaded.Image, slices.Clone(loaded.Entries)
	if t := l.termOf(l.last()); t > l.term {
		l.term, l.vote = t, entry.Replica{}
	}
	l.commit, l.restore = l.image.Index, l.image.Index > 0
	l.applied, l.verified = l.commit, l.commit
	l.stable, l.unsent = l.last(), l.last()+1
	l.disks = make(map[model.VMID]model.DiskID)
	for _, vm := range first {
		l.first = append(l.first, entry.Replica{VM: vm})
	}
	l.findMembers(l.last())
	l.loaded = at
	return l.await(at, out)
}

// Peer takes a message of another replica.
func (l *Log) Peer(at time.Time, from model.VMID, m frame.Message, out []effect.Effect) []effect.Effect {
	if !l.ready || l.failed {
		return out
	}
	switch m := m.(type) {
	case frame.VoteRequest:
		return l.asked(at, from, m, out)
	case frame.VoteResponse:
		return l.voted(at, m, out)
	case frame.AppendRequest:
		return l.append(at, from, m, out)
	case frame.AppendResponse:
		return l.appended(at, m, out)
	case frame.InstallImage:
		return l.snap(at, from, m, out)
	case frame.InstallImageResponse:
		return l.snapped(at, m, out)
	default:
		return out
	}
}

// Timer takes an election or heartbeat timer.
func (l *Log) Timer(at time.Time, kind event.TimerKind, out []effect.Effect) []effect.Effect {
	if !l.ready || l.failed {
		return out
	}
	switch {
	case kind == event.TimerHeartbeat && l.role == leader:
		return l.beat(at, out)
	case kind == event.TimerElection && l.role != leader:
		if at.Before(l.deadline) {
			// Heartbeats only move the deadline, which saves setting a timer for each.
			return setTimer(event.TimerElection, l.deadline, out)
		}
		return l.campaign(at, "no leader heard for an election timeout", out)
	default:
		return out
	}
}

// Synced takes the completion of writes.
func (l *Log) Synced(at time.Time, s event.DiskSynced, out []effect.Effect) []effect.Effect {
	if !l.ready || l.failed || s.Seq <= l.synced {
		return out
	}
	l.synced = s.Seq
	if l.flight.n > 0 && l.flight.n <= s.Seq {
		l.stable = max(l.stable, min(l.flight.last, l.unsent-1))
		l.flight = flight{}
	}
	if l.saving.n > 0 && l.saving.n <= s.Seq {
		l.stable = max(l.stable, l.saving.last)
		l.saving = flight{}
	}
	l.held = slices.DeleteFunc(l.held, func(p promise) bool {
		if p.n > l.synced {
			return false
		}
		if p.term == l.term {
			out = append(out, p.tell)
		}
		return true
	})
	switch l.role {
	case candidate:
		if l.termAt <= l.synced {
			out = l.tally(at, out)
		}
	case leader:
		out = l.advance(at, out)
	default:
		out = l.acknowledge(out)
	}
	return l.write(out)
}

// DiskFailed ends this replica's part in the log.
func (l *Log) DiskFailed(at time.Time, f event.DiskFailed, out []effect.Effect) []effect.Effect {
	if l.failed {
		return out
	}
	cause := "the disk failed: " + f.Problem
	if l.role == leader {
		out = l.follow(at, cause, out)
	}
	l.failed, l.leads, l.held = true, "", nil
	return append(out, effect.Note{At: at, Subject: "log", Action: "replica stopped", Cause: cause, Alert: true})
}

// Propose appends a command when this replica leads. Index is 0 when the
// command was not appended, and status says why; otherwise status is
// entry.StatusUnknown until Committed returns the entry.
func (l *Log) Propose(at time.Time, c entry.Command, out []effect.Effect) (index uint64, status entry.Status, o []effect.Effect) {
	if status := l.refusal(); status != entry.StatusUnknown {
		return 0, status, out
	}
	if !l.resigning.IsZero() || l.last()-l.commit >= maxPending {
		return 0, entry.StatusUnavailable, out
	}
	out = l.add(at, c, out)
	return l.last(), entry.StatusUnknown, out
}

// Confirm asks whether this replica still leads, for the linearizable read n.
// With entry.StatusUnknown the read is under way: Confirmed returns it later,
// or never when the leader steps down.
func (l *Log) Confirm(at time.Time, n uint64, out []effect.Effect) (status entry.Status, o []effect.Effect) {
	if status := l.refusal(); status != entry.StatusUnknown {
		return status, out
	}
	idle := len(l.reads) == 0
	l.reads = append(l.reads, read{n: n, round: l.round + 1})
	if idle {
		out = l.begin(at, out)
	}
	return entry.StatusUnknown, l.settle(at, out)
}

// Confirmed returns the reads confirmed since the last call. The caller applies
// what Committed returns before it serves them.
func (l *Log) Confirmed() (reads []uint64) {
	reads, l.confirmed = l.confirmed, nil
	return reads
}

// Committed returns what is to be applied since the last call: first the image,
// unless it is nil, then the entries.
func (l *Log) Committed() (image *entry.Image, entries []entry.Entry) {
	if l.restore {
		restored := l.image
		image, l.restore = &restored, false
	}
	if l.applied < l.commit {
		entries = slices.Clone(l.slice(l.applied+1, l.commit))
		l.applied = l.commit
	}
	return image, entries
}

// Compact replaces the entries up to the image's index by the image. Its term
// and members are filled in here. An image that is not newer than the last, or
// not applied yet, is ignored.
func (l *Log) Compact(_ time.Time, image entry.Image, out []effect.Effect) []effect.Effect {
	if !l.ready || l.failed || image.Index <= l.image.Index || image.Index > l.applied {
		return out
	}
	image.Term = l.termOf(image.Index)
	image.Members, _ = l.membersAt(image.Index)
	l.entries = slices.Clone(l.slice(image.Index+1, l.last()))
	l.image = image
	return l.save(out)
}

// Want states the VMs that should replicate the log. The leader moves the
// members toward them; an empty list changes nothing.
func (l *Log) Want(at time.Time, replicas []model.VMID, out []effect.Effect) []effect.Effect {
	l.want = slices.Clone(replicas)
	if l.role != leader || l.failed {
		return out
	}
	return l.reconcile(at, out)
}

// Resign hands leadership over to the voter with the newest log. The replica
// takes no proposals meanwhile, and steps down after an election timeout in any
// case.
func (l *Log) Resign(at time.Time, out []effect.Effect) []effect.Effect {
	if l.role != leader || !l.resigning.IsZero() {
		return out
	}
	l.resigning = at.Add(maxElection)
	return l.handOver(out)
}

// Status returns what this replica knows of the log.
func (l *Log) Status() Status {
	s := Status{
		Leader: l.leads, Leading: l.role == leader, Term: l.term, Commit: l.commit, Known: l.known, Last: l.last(),
		Heard: l.heard, Members: l.members, Failed: l.failed,
	}
	if l.role == leader {
		s.Heard = l.majorityHeard()
		s.Silent = l.silence()
	}
	return s
}

// silence lists the voters that were not heard for an election timeout.
func (l *Log) silence() []Silence {
	var list []Silence
	for _, r := range l.members.Voters {
		if p := l.progress[r]; p != nil && l.heard.Sub(p.heard) >= maxElection {
			list = append(list, Silence{VM: r.VM, For: l.heard.Sub(p.heard)})
		}
	}
	slices.SortFunc(list, func(a, b Silence) int { return cmp.Compare(a.VM, b.VM) })
	return list
}

// refusal says why a command or read cannot be taken, or entry.StatusUnknown.
func (l *Log) refusal() entry.Status {
	switch {
	case l.failed || l.role != leader && l.leads == "":
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
