package peer

import (
	"bytes"
	"errors"
	"fmt"
	"net/netip"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"comfreypulley/core/entry"
	"comfreypulley/core/frame"
	"comfreypulley/core/model"
)

// Kinds of frames that are not messages. They count down from the top, away
// from the kinds of messages.
const (
	kindHello  frame.Kind = 255 - iota
	kindPart              // bytes of a message that goes on in the next frame
	kindLast              // the last bytes of such a message
	kindPacked            // the same; the joined bytes are compressed
)

// hello is the first frame of a connection.
type hello struct {
	VM   model.VMID
	Zone model.Zone
	To   model.VMID // whom the sender expects at the address
}

// Kind returns kindHello.
func (hello) Kind() frame.Kind { return kindHello }

// FormatError reports bytes that are not a message.
type FormatError struct {
	Kind    frame.Kind // 0 when it was not read
	Problem error
}

// Error implements error.
func (e *FormatError) Error() string {
	if e.Kind == 0 {
		return "malformed message: " + e.Problem.Error()
	}
	return fmt.Sprintf("malformed message of kind %d: %v", e.Kind, e.Problem)
}

// Unwrap returns the problem.
func (e *FormatError) Unwrap() error { return e.Problem }

// decoders holds the type of each kind.
var decoders = map[frame.Kind]func(*msgpack.Decoder) (frame.Message, error){
	frame.KindVoteRequest:          decode[frame.VoteRequest],
	frame.KindVoteResponse:         decode[frame.VoteResponse],
	frame.KindAppendRequest:        decodeWire[wireAppend],
	frame.KindAppendResponse:       decode[frame.AppendResponse],
	frame.KindInstallImage:         decode[frame.InstallImage],
	frame.KindInstallImageResponse: decode[frame.InstallImageResponse],
	frame.KindProposeRequest:       decodeWire[wirePropose],
	frame.KindProposeResponse:      decode[frame.ProposeResponse],
	frame.KindDigest:               decodeWire[wireDigest],
	frame.KindConfigDelta:          decode[frame.ConfigDelta],
	frame.KindFullConfig:           decode[frame.FullConfig],
	frame.KindPing:                 decode[frame.Ping],
	frame.KindPong:                 decode[frame.Pong],
	frame.KindIndirectPing:         decode[frame.IndirectPing],
	frame.KindIndirectPong:         decode[frame.IndirectPong],
	frame.KindLeaseRequest:         decode[frame.LeaseRequest],
	frame.KindLeaseResponse:        decode[frame.LeaseResponse],
	frame.KindCrashReport:          decode[frame.CrashReport],
	frame.KindUpstreamList:         decode[frame.UpstreamList],
	frame.KindUpstreamListRequest:  decode[frame.UpstreamListRequest],
	frame.KindUpstreamWarning:      decode[frame.UpstreamWarning],
	frame.KindEntryVMs:             decode[frame.EntryVMs],
	kindHello:                      decode[hello],
}

// Encode returns the msgpack array of kind and body of a message.
func Encode(m frame.Message) (b []byte, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("encode message of kind %d: %w", m.Kind(), err)
		}
	}()
	var buffer bytes.Buffer
	enc := msgpack.GetEncoder()
	defer msgpack.PutEncoder(enc)
	enc.Reset(&buffer)
	// Bodies are maps, so that VMs of two versions read each other during an
	// upgrade: an unknown field is skipped and a missing one is zero.
	enc.UseCompactInts(true)
	if err = enc.EncodeArrayLen(2); err != nil {
		return nil, err
	}
	if err = enc.EncodeUint(uint64(m.Kind())); err != nil {
		return nil, err
	}
	if err = enc.Encode(wireOf(m)); err != nil {
		return nil, err
	}
	return buffer.Bytes(), nil
}

// Decode reads what Encode wrote. Anything else gives a *FormatError.
func Decode(b []byte) (m frame.Message, err error) {
	var kind frame.Kind
	defer func() {
		// The msgpack library panics on some input, such as nil for a time.
		if p := recover(); p != nil {
			err = fmt.Errorf("%v", p)
		}
		if err != nil {
			m, err = nil, &FormatError{Kind: kind, Problem: err}
		}
	}()
	rest, err := check(b, 0)
	switch {
	case err != nil:
		return nil, err
	case len(rest) > 0:
		return nil, errors.New("bytes after the body")
	}
	dec := msgpack.GetDecoder()
	defer msgpack.PutDecoder(dec)
	dec.Reset(bytes.NewReader(b))
	n, err := dec.DecodeArrayLen()
	if err != nil {
		return nil, err
	}
	if n != 2 {
		return nil, fmt.Errorf("array of %d, want kind and body", n)
	}
	number, err := dec.DecodeUint8()
	if err != nil {
		return nil, err
	}
	kind = frame.Kind(number)
	read, ok := decoders[kind]
	if !ok {
		return nil, errors.New("kind is not known")
	}
	return read(dec)
}

func decode[M frame.Message](dec *msgpack.Decoder) (frame.Message, error) {
	var m M
	err := dec.Decode(&m)
	return m, err
}

// wire is a message in a form that msgpack can encode, or encodes shorter.
type wire interface{ message() frame.Message }

func decodeWire[W wire](dec *msgpack.Decoder) (frame.Message, error) {
	var w W
	if err := dec.Decode(&w); err != nil {
		return nil, err
	}
	return w.message(), nil
}

func wireOf(m frame.Message) any {
	switch m := m.(type) {
	case frame.AppendRequest:
		w := wireAppend{
			Term: m.Term, Replica: m.Replica, PrevIndex: m.PrevIndex, PrevTerm: m.PrevTerm, Commit: m.CommitIndex, Round: m.Round,
		}
		for _, e := range m.Entries {
			w.Entries = append(w.Entries, wireEntry{Index: e.Index, Term: e.Term, At: e.At, Command: command{e.Command}})
		}
		return w
	case frame.ProposeRequest:
		return wirePropose{N: m.Seq, Command: command{m.Command}}
	case frame.Digest:
		w := wireDigest{VM: m.VM, Zone: m.Zone, Revision: m.Revision, Sum: m.ConfigChecksum, Below: m.Descendants, Roster: m.UpstreamListChecksum, Gathers: m.PortionAddr, Daemons: m.EntryVMsChecksum}
		if !m.ProcessStart.IsZero() {
			w.Start = m.ProcessStart.UnixNano()
		}
		return w
	default:
		return m
	}
}

type wireAppend struct {
	Term      uint64
	Replica   entry.Replica
	PrevIndex uint64
	PrevTerm  uint64
	Entries   []wireEntry
	Commit    uint64
	Round     uint64
}

type wireEntry struct {
	Index   uint64
	Term    uint64
	At      time.Time
	Command command
}

func (w wireAppend) message() frame.Message {
	m := frame.AppendRequest{
		Term: w.Term, Replica: w.Replica, PrevIndex: w.PrevIndex, PrevTerm: w.PrevTerm, CommitIndex: w.Commit, Round: w.Round,
	}
	for _, e := range w.Entries {
		m.Entries = append(m.Entries, entry.Entry{Index: e.Index, Term: e.Term, At: e.At, Command: e.Command.Command})
	}
	return m
}

type wirePropose struct {
	N       uint64
	Command command
}

func (w wirePropose) message() frame.Message {
	return frame.ProposeRequest{Seq: w.N, Command: w.Command.Command}
}

// wireDigest has the start as nanoseconds, so that one that is left out takes
// one byte instead of fifteen.
type wireDigest struct {
	VM       model.VMID
	Zone     model.Zone
	Start    int64
	Revision model.Revision
	Sum      uint64
	Below    []frame.VMStatus
	Roster   uint64
	Gathers  netip.AddrPort
	Daemons  uint64
}

func (w wireDigest) message() frame.Message {
	m := frame.Digest{VM: w.VM, Zone: w.Zone, Revision: w.Revision, ConfigChecksum: w.Sum, Descendants: w.Below, UpstreamListChecksum: w.Roster, PortionAddr: w.Gathers, EntryVMsChecksum: w.Daemons}
	if w.Start != 0 {
		m.ProcessStart = time.Unix(0, w.Start)
	}
	return m
}
