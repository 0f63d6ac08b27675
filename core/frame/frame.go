// Package frame holds the messages that VMs send each other.
//
// # Usage
//
// A reducer sends a message with an effect.SendMessage; the reducer of the
// receiving VM receives it in an event.PeerMessage. Messages may be lost, delayed,
// repeated and reordered; every protocol here tolerates that.
//
//	out = append(out, effect.SendMessage{To: leader, Message: frame.ProposeRequest{Seq: 4, Command: claim}})
//
// Where a request has a Seq, its sender chooses it, and the response repeats it.
// The msgpack tags keep the names that fields have on the wire.
//
// The package encodes nothing: io/peer encodes the messages by their [Kind].
package frame

// Kind numbers the message types on the wire.
type Kind uint8

// Message kinds. The numbers are part of the wire format.
const (
	KindVoteRequest Kind = iota + 1
	KindVoteResponse
	KindAppendRequest
	KindAppendResponse
	KindInstallImage
	KindInstallImageResponse
	KindProposeRequest
	KindProposeResponse
	KindDigest
	KindConfigDelta
	KindFullConfig
	KindPing
	KindPong
	KindIndirectPing
	KindIndirectPong
	KindLeaseRequest
	KindLeaseResponse
	KindCrashReport
	KindUpstreamList
	KindUpstreamListRequest
	KindUpstreamWarning
	KindEntryVMs
	KindTokenRequest
	KindTokenResponse
	KindTokenExchange
)

// Message is a message between two VMs.
type Message interface{ Kind() Kind }
