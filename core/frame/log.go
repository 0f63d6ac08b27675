package frame

import (
	"time"

	"comfreypulley/core/entry"
)

// VoteRequest asks for a vote in an election of the replicated log's leader. With
// PreVote set it only asks whether the vote would be given, and no term changes.
type VoteRequest struct {
	Term      uint64
	Replica   entry.Replica // the candidate
	LastIndex uint64        // of the candidate's log
	LastTerm  uint64        // of the entry at LastIndex
	PreVote   bool          `msgpack:"Pre"`
}

// VoteResponse answers VoteRequest.
type VoteResponse struct {
	Term    uint64
	Replica entry.Replica // the voter
	PreVote bool          `msgpack:"Pre"`
	Granted bool
	Founder bool `msgpack:",omitempty"` // an initial voter with its first disk
}

// AppendRequest replicates log entries. It is also the leader's heartbeat.
type AppendRequest struct {
	Term        uint64
	Replica     entry.Replica // the leader
	PrevIndex   uint64        // of the entry before Entries
	PrevTerm    uint64        // of that entry
	Entries     []entry.Entry
	CommitIndex uint64 `msgpack:"Commit"`
	Round       uint64 // heartbeat number; a majority that repeats it confirms the leader for linearizable reads
	Handover    bool   // the leader resigns, and the receiver should start an election at once

	Sent        time.Time     // stamp of the leader's clock; zero from a VM of an earlier version
	Echo        time.Time     // Sent of the receiver's last answer that the leader has
	MajorityAge time.Duration // time since a majority last accepted the leader
}

// AppendResponse answers AppendRequest.
type AppendResponse struct {
	Term       uint64
	Replica    entry.Replica // the follower
	OK         bool          // the follower has the leader's entry at PrevIndex
	MatchIndex uint64        `msgpack:"Match"` // up to which the follower's synced log is known to equal the leader's
	NextIndex  uint64        `msgpack:"Hint"`  // index from which the leader should send when OK is false
	Round      uint64        // as in AppendRequest
	Sent       time.Time     // stamp of the follower's clock
	Echo       time.Time     // Sent of the last AppendRequest; zero from a VM of an earlier version
	Founder    bool          `msgpack:",omitempty"` // an initial voter with its first disk, which the members do not name yet
}

// InstallImage sends an image to a replica whose next entries the leader no longer
// has. The image replaces a prefix of the replica's log.
type InstallImage struct {
	Term    uint64
	Replica entry.Replica // the leader
	Image   entry.Image
}

// InstallImageResponse answers InstallImage.
type InstallImageResponse struct {
	Term    uint64
	Replica entry.Replica // the follower
	Index   uint64        // of the installed image
}

// ProposeRequest forwards a command to the leader of the replicated log.
type ProposeRequest struct {
	Seq     uint64 `msgpack:"N"`
	Command entry.Command
}

// ProposeResponse answers ProposeRequest.
type ProposeResponse struct {
	Seq    uint64 `msgpack:"N"`
	Result entry.Result
}

// Kind returns KindVoteRequest.
func (VoteRequest) Kind() Kind { return KindVoteRequest }

// Kind returns KindVoteResponse.
func (VoteResponse) Kind() Kind { return KindVoteResponse }

// Kind returns KindAppendRequest.
func (AppendRequest) Kind() Kind { return KindAppendRequest }

// Kind returns KindAppendResponse.
func (AppendResponse) Kind() Kind { return KindAppendResponse }

// Kind returns KindInstallImage.
func (InstallImage) Kind() Kind { return KindInstallImage }

// Kind returns KindInstallImageResponse.
func (InstallImageResponse) Kind() Kind { return KindInstallImageResponse }

// Kind returns KindProposeRequest.
func (ProposeRequest) Kind() Kind { return KindProposeRequest }

// Kind returns KindProposeResponse.
func (ProposeResponse) Kind() Kind { return KindProposeResponse }
