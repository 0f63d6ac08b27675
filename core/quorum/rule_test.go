package quorum

import (
	"testing"

	"comfreypulley/core/effect"
	"comfreypulley/core/entry"
	"comfreypulley/core/event"
	"comfreypulley/core/frame"
	"comfreypulley/core/model"
)

// threeVoters is a set of voters with known disks, used in a log of two
// entries.
var threeVoters = entry.Members{Voters: []entry.Replica{{VM: "vm0", Disk: 1}, {VM: "vm1", Disk: 2}, {VM: "vm2", Disk: 3}}}

func newThreeVoterLog() *Log {
	l := &Log{}
	l.HandleDiskLoaded(startTime, "vm0", 1, nil, false, event.DiskLoaded{Disk: 1, Term: 2, Entries: []entry.Entry{
		{Index: 1, Term: 1, Command: threeVoters}, {Index: 2, Term: 2, Command: entry.Noop{}},
	}}, nil)
	return l
}

// Guards against a new leader that commits an entry of an earlier term by
// counting replicas, although another leader may still overwrite the entry, and
// against a change of members before an entry of the leader's own term is
// committed.
func TestNoCommitOfEarlierTerm(t *testing.T) {
	l := newThreeVoterLog()
	l.SetReplicas(startTime, []model.VMID{"vm0", "vm1", "vm2", "vm3"}, nil)
	l.HandlePeerMessage(startTime, "vm1", frame.AppendRequest{Term: 2, Replica: threeVoters.Voters[1], PrevIndex: 2, PrevTerm: 2, CommitIndex: 1}, nil)
	at := startTime.Add(maxElectionTimeout)
	l.HandleTimer(at, event.TimerElection, nil)
	l.HandlePeerMessage(at, "vm1", frame.VoteResponse{Term: 3, Replica: threeVoters.Voters[1], PreVote: true, Granted: true}, nil)
	l.HandleDiskSynced(at, event.DiskSynced{Seq: l.lastWriteSeq}, nil)
	l.HandlePeerMessage(at, "vm1", frame.VoteResponse{Term: 3, Replica: threeVoters.Voters[1], Granted: true}, nil)
	if l.role != leader {
		t.Fatalf("role is %d after the votes, want leader", l.role)
	}
	l.HandlePeerMessage(at, "vm1", frame.AppendResponse{Term: 3, Replica: threeVoters.Voters[1], OK: true, MatchIndex: 2}, nil)
	l.HandlePeerMessage(at, "vm3", frame.AppendResponse{Term: 3, Replica: entry.Replica{VM: "vm3", Disk: 4}}, nil)
	l.HandleTimer(at.Add(heartbeatPeriod), event.TimerHeartbeat, nil)
	if got, want := l.commitIndex, uint64(1); got != want {
		t.Errorf("committed up to %d, want %d", got, want)
	}
	if got, want := l.lastIndex(), uint64(3); got != want {
		t.Errorf("last entry is %d, want %d: no change of members yet", got, want)
	}
	l.HandleDiskSynced(at, event.DiskSynced{Seq: l.lastWriteSeq}, nil)
	l.HandlePeerMessage(at, "vm1", frame.AppendResponse{Term: 3, Replica: threeVoters.Voters[1], OK: true, MatchIndex: 3}, nil)
	if got, want := l.commitIndex, uint64(3); got != want {
		t.Errorf("committed up to %d, want %d", got, want)
	}
	if got, want := len(l.members.Learners), 1; got != want {
		t.Errorf("%d learners, want %d", got, want)
	}
}

// Guards against a replica that acknowledges an image when only an append that
// the image replaced was synced.
func TestInstallImageDuringAppend(t *testing.T) {
	l := newThreeVoterLog()
	lead := threeVoters.Voters[1]
	l.HandlePeerMessage(startTime, lead.VM, frame.AppendRequest{
		Term: 3, Replica: lead, PrevIndex: 2, PrevTerm: 2, Entries: []entry.Entry{{Index: 3, Term: 3, Command: entry.Noop{}}},
	}, nil)
	l.HandleDiskSynced(startTime, event.DiskSynced{Seq: l.lastWriteSeq - 1}, nil)
	lead = threeVoters.Voters[2]
	l.HandlePeerMessage(startTime, lead.VM, frame.InstallImage{Term: 4, Replica: lead, Image: entry.Image{Index: 3, Term: 2, Members: threeVoters}}, nil)
	out := l.HandleDiskSynced(startTime, event.DiskSynced{Seq: l.lastWriteSeq - 1}, nil)
	for _, e := range out {
		if send, ok := e.(effect.SendMessage); ok {
			if m, ok := send.Message.(frame.AppendResponse); !ok || m.MatchIndex >= 3 {
				t.Errorf("sent %+v before the image was synced", send.Message)
			}
		}
	}
	out = l.HandleDiskSynced(startTime, event.DiskSynced{Seq: l.lastWriteSeq}, nil)
	if _, ok := out[0].(effect.SendMessage).Message.(frame.InstallImageResponse); !ok {
		t.Errorf("sent %+v after the image was synced, want frame.InstallImageResponse", out[0])
	}
}

// Guards against a replica that considers itself up to date although the leader
// has committed entries that the replica lacks.
func TestLeaderCommitInStatus(t *testing.T) {
	l := newThreeVoterLog()
	if got := l.Status().LeaderCommitIndex; got != 0 {
		t.Errorf("without a leader: got the leader's commit index %d, want 0", got)
	}
	lead := threeVoters.Voters[1]
	l.HandlePeerMessage(startTime, lead.VM, frame.AppendRequest{Term: 2, Replica: lead, PrevIndex: 2, PrevTerm: 2, CommitIndex: 4}, nil)
	for i := uint64(3); i <= 4; i++ {
		if s := l.Status(); s.CommitIndex >= s.LeaderCommitIndex {
			t.Errorf("with entries up to %d of 4: got commit index %d, want one below the leader's %d", i-1, s.CommitIndex, s.LeaderCommitIndex)
		}
		l.HandlePeerMessage(startTime, lead.VM, frame.AppendRequest{
			Term: 2, Replica: lead, PrevIndex: i - 1, PrevTerm: 2, CommitIndex: 4,
			Entries: []entry.Entry{{Index: i, Term: 2, Command: entry.Noop{}}},
		}, nil)
	}
	if s := l.Status(); s.CommitIndex != s.LeaderCommitIndex {
		t.Errorf("with all entries: got commit %d, want %d", s.CommitIndex, s.LeaderCommitIndex)
	}
}
