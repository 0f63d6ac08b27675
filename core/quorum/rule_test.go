package quorum

import (
	"testing"

	"comfreypulley/core/effect"
	"comfreypulley/core/entry"
	"comfreypulley/core/event"
	"comfreypulley/core/frame"
	"comfreypulley/core/model"
)

// three is a set of bound voters with a log of two entries.
var three = entry.Members{Voters: []entry.Replica{{VM: "vm0", Disk: 1}, {VM: "vm1", Disk: 2}, {VM: "vm2", Disk: 3}}}

func loadThree() *Log {
	l := &Log{}
	l.Loaded(start, "vm0", 1, nil, event.DiskLoaded{Disk: 1, Term: 2, Entries: []entry.Entry{
		{Index: 1, Term: 1, Command: three}, {Index: 2, Term: 2, Command: entry.Noop{}},
	}}, nil)
	return l
}

// TestEarlierTerm guards against a new leader that commits an entry of an earlier
// term by counting replicas, which another leader may still replace, and against
// a change of members before an entry of its own term is committed.
func TestEarlierTerm(t *testing.T) {
	l := loadThree()
	l.Want(start, []model.VMID{"vm0", "vm1", "vm2", "vm3"}, nil)
	l.Peer(start, "vm1", frame.AppendRequest{Term: 2, Replica: three.Voters[1], PrevIndex: 2, PrevTerm: 2, CommitIndex: 1}, nil)
	at := start.Add(maxElection)
	l.Timer(at, event.TimerElection, nil)
	l.Peer(at, "vm1", frame.VoteResponse{Term: 3, Replica: three.Voters[1], PreVote: true, Granted: true}, nil)
	l.Synced(at, event.DiskSynced{Seq: l.writes}, nil)
	l.Peer(at, "vm1", frame.VoteResponse{Term: 3, Replica: three.Voters[1], Granted: true}, nil)
	if l.role != leader {
		t.Fatalf("role is %d after the votes, want leader", l.role)
	}
	l.Peer(at, "vm1", frame.AppendResponse{Term: 3, Replica: three.Voters[1], OK: true, MatchIndex: 2}, nil)
	l.Peer(at, "vm3", frame.AppendResponse{Term: 3, Replica: entry.Replica{VM: "vm3", Disk: 4}}, nil)
	l.Timer(at.Add(beatPeriod), event.TimerHeartbeat, nil)
	if got, want := l.commit, uint64(1); got != want {
		t.Errorf("committed up to %d, want %d", got, want)
	}
	if got, want := l.last(), uint64(3); got != want {
		t.Errorf("last entry is %d, want %d: no change of members yet", got, want)
	}
	l.Synced(at, event.DiskSynced{Seq: l.writes}, nil)
	l.Peer(at, "vm1", frame.AppendResponse{Term: 3, Replica: three.Voters[1], OK: true, MatchIndex: 3}, nil)
	if got, want := l.commit, uint64(3); got != want {
		t.Errorf("committed up to %d, want %d", got, want)
	}
	if got, want := len(l.members.Learners), 1; got != want {
		t.Errorf("%d learners, want %d", got, want)
	}
}

// TestSnapDuringAppend guards against the sync of an append that a snapshot made
// void being taken for the sync of the snapshot.
func TestSnapDuringAppend(t *testing.T) {
	l := loadThree()
	lead := three.Voters[1]
	l.Peer(start, lead.VM, frame.AppendRequest{
		Term: 3, Replica: lead, PrevIndex: 2, PrevTerm: 2, Entries: []entry.Entry{{Index: 3, Term: 3, Command: entry.Noop{}}},
	}, nil)
	l.Synced(start, event.DiskSynced{Seq: l.writes - 1}, nil)
	lead = three.Voters[2]
	l.Peer(start, lead.VM, frame.InstallImage{Term: 4, Replica: lead, Image: entry.Image{Index: 3, Term: 2, Members: three}}, nil)
	out := l.Synced(start, event.DiskSynced{Seq: l.writes - 1}, nil)
	for _, e := range out {
		if tell, ok := e.(effect.SendMessage); ok {
			if m, ok := tell.Message.(frame.AppendResponse); !ok || m.MatchIndex >= 3 {
				t.Errorf("sent %+v before the snapshot was synced", tell.Message)
			}
		}
	}
	out = l.Synced(start, event.DiskSynced{Seq: l.writes}, nil)
	if _, ok := out[0].(effect.SendMessage).Message.(frame.InstallImageResponse); !ok {
		t.Errorf("sent %+v after the snapshot was synced, want frame.Snapped", out[0])
	}
}

// TestKnown guards against a replica that takes itself for current although the
// leader has committed entries that it has not got.
func TestKnown(t *testing.T) {
	l := loadThree()
	if got := l.Status().Known; got != 0 {
		t.Errorf("without a leader: got %d known as committed, want 0", got)
	}
	lead := three.Voters[1]
	l.Peer(start, lead.VM, frame.AppendRequest{Term: 2, Replica: lead, PrevIndex: 2, PrevTerm: 2, CommitIndex: 4}, nil)
	for i := uint64(3); i <= 4; i++ {
		if s := l.Status(); s.Commit >= s.Known {
			t.Errorf("with entries up to %d of 4: got commit %d not below known %d", i-1, s.Commit, s.Known)
		}
		l.Peer(start, lead.VM, frame.AppendRequest{
			Term: 2, Replica: lead, PrevIndex: i - 1, PrevTerm: 2, CommitIndex: 4,
			Entries: []entry.Entry{{Index: i, Term: 2, Command: entry.Noop{}}},
		}, nil)
	}
	if s := l.Status(); s.Commit != s.Known {
		t.Errorf("with all entries: got commit %d, want %d", s.Commit, s.Known)
	}
}
