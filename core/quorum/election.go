package quorum

import (
	"fmt"
	"slices"
	"time"

	"comfreypulley/core/effect"
	"comfreypulley/core/entry"
	"comfreypulley/core/event"
	"comfreypulley/core/frame"
	"comfreypulley/core/model"
)

// resetElectionTimer restarts the election timer with a random timeout.
func (l *Log) resetElectionTimer(at time.Time, out []effect.Effect) []effect.Effect {
	shortest, longest := minElectionTimeout, maxElectionTimeout
	if !l.leaderHeard && at.Sub(l.loadedAt) < startupPeriod {
		// Short timeouts let a fleet that restarts as a whole elect a leader
		// quickly. They cannot depose a live leader, because its followers refuse
		// pre-votes.
		// An election waits for two writes, one after the other: those of the candidate's
		// term and of a voter's. A slow disk would otherwise end each one.
		syncs := min(2*l.termSyncTime, maxElectionTimeout)
		shortest, longest = minStartupTimeout+syncs, maxStartupTimeout+syncs
	}
	l.electionDeadline = at.Add(shortest + time.Duration(l.random.Int64N(int64(longest-shortest))))
	return setTimer(event.TimerElection, l.electionDeadline, out)
}

// becomeFollower becomes a follower in the current term.
func (l *Log) becomeFollower(at time.Time, cause string, out []effect.Effect) []effect.Effect {
	if l.role == leader {
		l.currentAt = l.lastMajority()
		out = note(at, fmt.Sprintf("stepped down as leader of term %d", l.term), cause, out)
		out = append(out, effect.StopTimer{ID: event.TimerID{Kind: event.TimerHeartbeat}})
		l.leaderID = ""
	}
	l.role = follower
	l.progress, l.pendingReads, l.transferDeadline = nil, nil, time.Time{}
	return l.resetElectionTimer(at, out)
}

// enterTerm becomes a follower in a higher term.
func (l *Log) enterTerm(at time.Time, term uint64, out []effect.Effect) []effect.Effect {
	out = l.becomeFollower(at, fmt.Sprintf("term %d was heard of", term), out)
	l.term, l.votedFor, l.leaderID = term, entry.Replica{}, ""
	l.matchedIndex, l.round, l.leaderStamp = l.commitIndex, 0, time.Time{}
	return l.writeTerm(at, out)
}

// disksUnknown reports whether the disks of the voters are not recorded in the
// log yet.
func (l *Log) disksUnknown() bool {
	return l.membersIndex == 0
}

// startPreVote requests pre-votes. They keep a replica that cannot win the
// election from raising the term and thus deposing a healthy leader.
func (l *Log) startPreVote(at time.Time, cause string, out []effect.Effect) []effect.Effect {
	out = l.resetElectionTimer(at, out)
	if !l.isVoter() {
		l.role, l.leaderID = follower, ""
		return out
	}
	if l.leaderID != "" {
		out = note(at, "lost leader "+string(l.leaderID), cause, out)
	}
	l.role, l.leaderID = preCandidate, ""
	return l.requestVotes(at, frame.VoteRequest{Term: l.term + 1, PreVote: true}, out)
}

func (l *Log) isVoter() bool {
	if l.disksUnknown() {
		_, ok := findReplica(l.members.Voters, l.self.VM)
		return ok
	}
	return slices.Contains(l.members.Voters, l.self) || l.isUnrecordedFounder()
}

// becomeCandidate becomes a candidate in a new term and requests votes.
func (l *Log) becomeCandidate(at time.Time, out []effect.Effect) []effect.Effect {
	out = l.enterTerm(at, l.term+1, out)
	l.role, l.votedFor = candidate, l.self
	// enterTerm has just queued the write of the new term; it also contains the
	// vote now.
	out[len(out)-1] = effect.SaveVote{Seq: l.termSeq, Term: l.term, Vote: l.votedFor}
	return l.requestVotes(at, frame.VoteRequest{Term: l.term}, out)
}

// requestVotes votes for itself and requests the votes of the other voters.
func (l *Log) requestVotes(at time.Time, v frame.VoteRequest, out []effect.Effect) []effect.Effect {
	v.Replica, v.LastIndex, v.LastTerm = l.self, l.lastIndex(), l.termOf(l.lastIndex())
	l.votes = make(map[entry.Replica]bool)
	l.addVote(l.self, l.isUnrecordedFounder())
	for _, r := range l.members.Voters {
		if r.VM != l.self.VM {
			seq := l.termSeq
			if v.PreVote {
				seq = 0
			}
			out = l.sendAfterSync(seq, effect.SendMessage{To: r.VM, Message: v}, out)
		}
	}
	return l.countVotes(at, out)
}

// mayElect reports whether this replica may vote for a candidate. One whose log is empty
// would start a log, which only initial voters decide. A VM that is none at its start may
// have lost its disk, and with it the entries of the log that there is.
func (l *Log) mayElect(v frame.VoteRequest) bool {
	_, initial := findReplica(l.initialVoters, l.self.VM)
	return v.LastIndex > 0 || initial || !l.firstStart
}

// handleVoteRequest answers a vote request.
func (l *Log) handleVoteRequest(at time.Time, from model.VMID, v frame.VoteRequest, out []effect.Effect) []effect.Effect {
	if v.PreVote {
		// A replica in contact with its leader does not help to depose it.
		leaderAlive := l.role == leader || l.leaderID != "" && at.Before(l.lastContact.Add(minElectionTimeout))
		granted := !leaderAlive && v.Term > l.term && l.upToDate(v.LastIndex, v.LastTerm) && l.mayElect(v)
		response := frame.VoteResponse{Term: l.term, Replica: l.self, PreVote: true, Granted: granted, Founder: l.isFounder()}
		if granted {
			response.Term = v.Term
		}
		return append(out, effect.SendMessage{To: from, Message: response})
	}
	if v.Term > l.term {
		out = l.enterTerm(at, v.Term, out)
	}
	granted := v.Term == l.term && l.upToDate(v.LastIndex, v.LastTerm) && l.mayElect(v) &&
		(l.votedFor == entry.Replica{} || l.votedFor == v.Replica)
	if granted && l.votedFor != v.Replica {
		l.role, l.votedFor = follower, v.Replica
		out = l.writeTerm(at, out)
		out = l.resetElectionTimer(at, out)
	}
	response := frame.VoteResponse{Term: l.term, Replica: l.self, Granted: granted, Founder: l.isFounder()}
	return l.sendAfterSync(l.termSeq, effect.SendMessage{To: from, Message: response}, out)
}

// handleVoteResponse handles the answer to a vote request.
func (l *Log) handleVoteResponse(at time.Time, v frame.VoteResponse, out []effect.Effect) []effect.Effect {
	if !v.Granted {
		if v.Term > l.term {
			out = l.enterTerm(at, v.Term, out)
		}
		return out
	}
	expected := l.role == preCandidate && v.PreVote && v.Term == l.term+1 ||
		l.role == candidate && !v.PreVote && v.Term == l.term
	if !expected {
		return out
	}
	l.addVote(v.Replica, v.Founder)
	return l.countVotes(at, out)
}

// addVote records a vote. That of an initial voter with its first disk also counts for the
// voter without a disk, as which the members may name it.
func (l *Log) addVote(r entry.Replica, founder bool) {
	l.votes[r] = true
	if founder && !l.disksUnknown() {
		l.votes[entry.Replica{VM: r.VM}] = true
	}
}

// countVotes becomes a candidate if the pre-vote is won, and the leader if the
// election is won.
func (l *Log) countVotes(at time.Time, out []effect.Effect) []effect.Effect {
	switch {
	case !l.electionWon(at):
		return out
	case l.role == preCandidate:
		return l.becomeCandidate(at, out)
	case l.role == candidate && l.termSeq <= l.syncedSeq:
		return l.becomeLeader(at, out)
	default:
		return out
	}
}

// electionWon reports whether the votes win the election: those of a majority
// of the voters or, while the disks are unknown, those of all initial voters,
// each with exactly one disk. At the first start of a fleet a majority of the
// initial voters is enough after a while.
func (l *Log) electionWon(at time.Time) bool {
	if !l.disksUnknown() {
		return l.hasMajority(func(r entry.Replica) bool { return l.votes[r] })
	}
	founders := l.founders()
	all := !slices.ContainsFunc(founders, func(r entry.Replica) bool { return r.Disk == 0 })
	return all || l.firstStart && !at.Before(l.loadedAt.Add(foundingDelay)) && 2*l.voterCount(founders) > len(founders)
}

// founders returns the initial voters with the disks that voted for this replica. The disk
// is 0 where none or more than one of a VM did.
func (l *Log) founders() []entry.Replica {
	var founders []entry.Replica
	for _, r := range l.members.Voters {
		n := 0
		for v := range l.votes {
			if v.VM == r.VM {
				r.Disk = v.Disk
				n++
			}
		}
		if n != 1 {
			r.Disk = 0
		}
		founders = append(founders, r)
	}
	return founders
}

// voterCount returns the number of voters whose disk is known.
func (l *Log) voterCount(voters []entry.Replica) (n int) {
	for _, r := range voters {
		if r.Disk != 0 {
			n++
		}
	}
	return n
}

// hasMajority reports whether a predicate holds for a majority of the voters.
func (l *Log) hasMajority(holds func(entry.Replica) bool) bool {
	n := 0
	for _, r := range l.members.Voters {
		if holds(r) {
			n++
		}
	}
	return n > len(l.members.Voters)/2
}

// becomeLeader becomes the leader of the current term.
func (l *Log) becomeLeader(at time.Time, out []effect.Effect) []effect.Effect {
	l.role, l.leaderID, l.lastContact, l.leaderHeard = leader, l.self.VM, at, true
	l.round, l.termStart = 0, l.lastIndex()+1
	l.transferDeadline = time.Time{}
	clear(l.reportedDisks)
	for v := range l.votes {
		if v.VM != l.self.VM && v.Disk != 0 {
			l.reportedDisks[v.VM] = v.Disk
		}
	}
	l.trackMembers(at)
	out = note(at, fmt.Sprintf("became leader of term %d", l.term), fmt.Sprintf("%d votes", len(l.votes)), out)
	out = append(out, effect.StopTimer{ID: event.TimerID{Kind: event.TimerElection}})
	out = setTimer(event.TimerHeartbeat, at.Add(heartbeatPeriod), out)
	var first entry.Command = entry.Noop{}
	switch {
	case !l.disksUnknown() && l.isUnrecordedFounder():
		first = l.membersWithFounder(l.self)
	case l.disksUnknown():
		first = entry.Members{Voters: l.founders()}
		out = note(at, "bound the first voters to their disks", "the log had no entry", out)
	}
	out = l.appendCommand(at, first, out)
	return l.startRound(at, out)
}
