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

// await restarts the election timer with a random timeout.
func (l *Log) await(at time.Time, out []effect.Effect) []effect.Effect {
	least, most := minElection, maxElection
	if !l.met && at.Sub(l.loaded) < firstPeriod {
		// Short timeouts let a fleet that restarts as a whole elect a leader
		// quickly. They cannot depose a live leader, because its followers refuse
		// pre-votes.
		least, most = minFirst, maxFirst
	}
	l.deadline = at.Add(least + time.Duration(l.random.Int64N(int64(most-least))))
	return setTimer(event.TimerElection, l.deadline, out)
}

// follow becomes a follower in the current term.
func (l *Log) follow(at time.Time, cause string, out []effect.Effect) []effect.Effect {
	if l.role == leader {
		out = note(at, fmt.Sprintf("stepped down as leader of term %d", l.term), cause, out)
		out = append(out, effect.StopTimer{ID: event.TimerID{Kind: event.TimerBeat}})
		l.leads = ""
	}
	l.role = follower
	l.progress, l.reads, l.resigning = nil, nil, time.Time{}
	return l.await(at, out)
}

// raise becomes a follower in a higher term.
func (l *Log) raise(at time.Time, term uint64, out []effect.Effect) []effect.Effect {
	out = l.follow(at, fmt.Sprintf("term %d was heard of", term), out)
	l.term, l.vote, l.leads = term, entry.Replica{}, ""
	l.verified, l.round = l.commit, 0
	return l.store(out)
}

// unbound reports whether the disks of the voters are not recorded in the log
// yet.
func (l *Log) unbound() bool {
	return l.changedAt == 0
}

// campaign starts a pre-vote. A replica that cannot win the election thus does
// not raise the term and depose a healthy leader.
func (l *Log) campaign(at time.Time, cause string, out []effect.Effect) []effect.Effect {
	out = l.await(at, out)
	if !l.voter() {
		l.role, l.leads = follower, ""
		return out
	}
	if l.leads != "" {
		out = note(at, "lost leader "+string(l.leads), cause, out)
	}
	l.role, l.leads = precandidate, ""
	return l.solicit(at, frame.Vote{Term: l.term + 1, Pre: true}, out)
}

func (l *Log) voter() bool {
	if l.unbound() {
		_, ok := replicaOf(l.members.Voters, l.self.VM)
		return ok
	}
	return slices.Contains(l.members.Voters, l.self)
}

// stand becomes a candidate in a new term and requests votes.
func (l *Log) stand(at time.Time, out []effect.Effect) []effect.Effect {
	out = l.raise(at, l.term+1, out)
	l.role, l.vote = candidate, l.self
	// raise has just queued the write of the new term; it also contains the vote
	// now.
	out[len(out)-1] = effect.Vote{N: l.termAt, Term: l.term, Vote: l.vote}
	return l.solicit(at, frame.Vote{Term: l.term}, out)
}

// solicit votes for itself and requests the votes of the other voters.
func (l *Log) solicit(at time.Time, v frame.Vote, out []effect.Effect) []effect.Effect {
	v.Replica, v.LastIndex, v.LastTerm = l.self, l.last(), l.termOf(l.last())
	l.votes = map[entry.Replica]bool{l.self: true}
	for _, r := range l.members.Voters {
		if r.VM != l.self.VM {
			n := l.termAt
			if v.Pre {
				n = 0
			}
			out = l.after(n, effect.Tell{To: r.VM, Message: v}, out)
		}
	}
	return l.tally(at, out)
}

// asked answers a vote request.
func (l *Log) asked(at time.Time, from model.VMID, v frame.Vote, out []effect.Effect) []effect.Effect {
	if v.Pre {
		// A replica in contact with its leader does not help to depose it.
		heard := l.role == leader || l.leads != "" && at.Before(l.heard.Add(minElection))
		granted := !heard && v.Term > l.term && l.newer(v.LastIndex, v.LastTerm)
		answer := frame.Voted{Term: l.term, Replica: l.self, Pre: true, Granted: granted}
		if granted {
			answer.Term = v.Term
		}
		return append(out, effect.Tell{To: from, Message: answer})
	}
	if v.Term > l.term {
		out = l.raise(at, v.Term, out)
	}
	granted := v.Term == l.term && l.newer(v.LastIndex, v.LastTerm) &&
		(l.vote == entry.Replica{} || l.vote == v.Replica)
	if granted && l.vote != v.Replica {
		l.role, l.vote = follower, v.Replica
		out = l.store(out)
		out = l.await(at, out)
	}
	answer := frame.Voted{Term: l.term, Replica: l.self, Granted: granted}
	return l.after(l.termAt, effect.Tell{To: from, Message: answer}, out)
}

// voted handles the answer to a vote request.
func (l *Log) voted(at time.Time, v frame.Voted, out []effect.Effect) []effect.Effect {
	if !v.Granted {
		if v.Term > l.term {
			out = l.raise(at, v.Term, out)
		}
		return out
	}
	wanted := l.role == precandidate && v.Pre && v.Term == l.term+1 ||
		l.role == candidate && !v.Pre && v.Term == l.term
	if !wanted {
		return out
	}
	l.votes[v.Replica] = true
	return l.tally(at, out)
}

// tally starts the election after a won pre-vote, and the term as leader after
// a won election.
func (l *Log) tally(at time.Time, out []effect.Effect) []effect.Effect {
	switch {
	case !l.won():
		return out
	case l.role == precandidate:
		return l.stand(at, out)
	case l.role == candidate && l.termAt <= l.synced:
		return l.lead(at, out)
	default:
		return out
	}
}

// won reports whether the votes win the election: those of a majority of the
// voters or, while the disks are unknown, those of all initial voters, each
// with exactly one disk.
func (l *Log) won() bool {
	if !l.unbound() {
		return l.majority(func(r entry.Replica) bool { return l.votes[r] })
	}
	for _, r := range l.members.Voters {
		n := 0
		for v := range l.votes {
			if v.VM == r.VM {
				n++
			}
		}
		if n != 1 {
			return false
		}
	}
	return true
}

// majority reports whether a predicate holds for a majority of the voters.
func (l *Log) majority(holds func(entry.Replica) bool) bool {
	n := 0
	for _, r := range l.members.Voters {
		if holds(r) {
			n++
		}
	}
	return n > len(l.members.Voters)/2
}

// lead becomes the leader of the current term.
func (l *Log) lead(at time.Time, out []effect.Effect) []effect.Effect {
	l.role, l.leads, l.heard, l.met = leader, l.self.VM, at, true
	l.round, l.began = 0, l.last()+1
	l.resigning = time.Time{}
	clear(l.disks)
	for v := range l.votes {
		if v != l.self {
			l.disks[v.VM] = v.Disk
		}
	}
	l.track(at)
	out = note(at, fmt.Sprintf("became leader of term %d", l.term), fmt.Sprintf("%d votes", len(l.votes)), out)
	out = append(out, effect.StopTimer{ID: event.TimerID{Kind: event.TimerElection}})
	out = setTimer(event.TimerBeat, at.Add(beatPeriod), out)
	var first entry.Command = entry.Noop{}
	if l.unbound() {
		bound := entry.Members{}
		for _, r := range l.members.Voters {
			for v := range l.votes {
				if v.VM == r.VM {
					bound.Voters = append(bound.Voters, v)
				}
			}
		}
		first = bound
		out = note(at, "bound the first voters to their disks", "the log had no entry", out)
	}
	out = l.add(at, first, out)
	return l.begin(at, out)
}
