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

// await starts a new randomised election timeout.
func (l *Log) await(at time.Time, out []effect.Effect) []effect.Effect {
	least, most := minElection, maxElection
	if !l.met && at.Sub(l.loaded) < firstPeriod {
		// Pre-votes keep an early candidate from unseating a leader that is alive, so
		// a fleet that restarts as a whole need not wait for full timeouts.
		least, most = minFirst, maxFirst
	}
	l.deadline = at.Add(least + time.Duration(l.random.Int64N(int64(most-least))))
	return setTimer(event.TimerElection, l.deadline, out)
}

// follow gives up leading or standing for election, without a change of term.
func (l *Log) follow(at time.Time, cause string, out []effect.Effect) []effect.Effect {
	if l.role == leader {
		out = note(at, fmt.Sprintf("stepped down as leader of term %d", l.term), cause, out)
		out = append(out, effect.StopTimer{ID: event.TimerID{Kind: event.TimerHeartbeat}})
		l.leads = ""
	}
	l.role = follower
	l.progress, l.reads, l.resigning = nil, nil, time.Time{}
	return l.await(at, out)
}

// raise moves to a higher term.
func (l *Log) raise(at time.Time, term uint64, out []effect.Effect) []effect.Effect {
	out = l.follow(at, fmt.Sprintf("term %d was heard of", term), out)
	l.term, l.vote, l.leads = term, entry.Replica{}, ""
	l.verified, l.round = l.commit, 0
	return l.store(out)
}

// unbound reports whether the voters' disks are not known yet.
func (l *Log) unbound() bool {
	return l.changedAt == 0
}

// campaign asks for pre-votes, which keeps a replica that cannot win from
// raising the term of a healthy leader.
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
	return l.solicit(at, frame.VoteRequest{Term: l.term + 1, PreVote: true}, out)
}

// voter reports whether this replica is a voter.
func (l *Log) voter() bool {
	if l.unbound() {
		_, ok := replicaOf(l.members.Voters, l.self.VM)
		return ok
	}
	return slices.Contains(l.members.Voters, l.self)
}

// stand asks for votes in a new term.
func (l *Log) stand(at time.Time, out []effect.Effect) []effect.Effect {
	out = l.raise(at, l.term+1, out)
	l.role, l.vote = candidate, l.self
	// raise stored the term; the vote replaces that write.
	out[len(out)-1] = effect.SaveVote{Seq: l.termAt, Term: l.term, Vote: l.vote}
	return l.solicit(at, frame.VoteRequest{Term: l.term}, out)
}

// solicit asks the other voters and counts the own vote.
func (l *Log) solicit(at time.Time, v frame.VoteRequest, out []effect.Effect) []effect.Effect {
	v.Replica, v.LastIndex, v.LastTerm = l.self, l.last(), l.termOf(l.last())
	l.votes = map[entry.Replica]bool{l.self: true}
	for _, r := range l.members.Voters {
		if r.VM != l.self.VM {
			n := l.termAt
			if v.PreVote {
				n = 0
			}
			out = l.after(n, effect.SendMessage{To: r.VM, Message: v}, out)
		}
	}
	return l.tally(at, out)
}

// asked answers a request for a vote.
func (l *Log) asked(at time.Time, from model.VMID, v frame.VoteRequest, out []effect.Effect) []effect.Effect {
	if v.PreVote {
		// A replica that hears its leader does not help to unseat it.
		heard := l.role == leader || l.leads != "" && at.Before(l.heard.Add(minElection))
		granted := !heard && v.Term > l.term && l.newer(v.LastIndex, v.LastTerm)
		answer := frame.VoteResponse{Term: l.term, Replica: l.self, PreVote: true, Granted: granted}
		if granted {
			answer.Term = v.Term
		}
		return append(out, effect.SendMessage{To: from, Message: answer})
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
	answer := frame.VoteResponse{Term: l.term, Replica: l.self, Granted: granted}
	return l.after(l.termAt, effect.SendMessage{To: from, Message: answer}, out)
}

// voted takes an answer to a request for a vote.
func (l *Log) voted(at time.Time, v frame.VoteResponse, out []effect.Effect) []effect.Effect {
	if !v.Granted {
		if v.Term > l.term {
			out = l.raise(at, v.Term, out)
		}
		return out
	}
	wanted := l.role == precandidate && v.PreVote && v.Term == l.term+1 ||
		l.role == candidate && !v.PreVote && v.Term == l.term
	if !wanted {
		return out
	}
	l.votes[v.Replica] = true
	return l.tally(at, out)
}

// tally moves on when the votes suffice.
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

// won reports whether the votes elect: a majority of the bound voters or, before
// the first entry, every first VM with one disk each.
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

// majority reports whether the condition holds for a majority of the voters.
func (l *Log) majority(holds func(entry.Replica) bool) bool {
	n := 0
	for _, r := range l.members.Voters {
		if holds(r) {
			n++
		}
	}
	return n > len(l.members.Voters)/2
}

// lead begins to lead the term.
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
	out = setTimer(event.TimerHeartbeat, at.Add(beatPeriod), out)
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
