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

// Kinds of frames that are not of package frame. They are numbered down from 255
// to stay clear of the kinds there, which are numbered up from 1.
const (
	kindHello          frame.Kind = 255 - iota
	kindPart                      // part of a message that continues in the next frame
	kindLastPart                  // last part of a message
	kindLastCompressed            // last part of a message that is compressed as a whole
)

// hello is the first frame of a connection. It names the sender.
type hello struct {
	VM   model.VMID
	Zone model.Zone
	To   model.VMID // VM that the sender expects at the address
}

// Kind returns kindHello.
func (hello) Kind() frame.Kind { return kindHello }

// FormatError reports bytes that are not a valid message.
type FormatError struct {
	Kind    frame.Kind // 0 when it could not be read
	Problem error
}

// Error implements error.
func (e *FormatError) Error() string {
	if e.Kind == 0 {
		return "malformed message: " + e.Problem.Error()
	}
	return fmt.Sprintf("malformed message of kind %d: %v", e.Kind, e.Problem)
}

// Unwrap returns Problem.
func (e *FormatError) Unwrap() error { return e.Problem }

// decoders decode the body of a message, by its kind.
var decoders = map[frame.Kind]func(*msgpack.Decoder) (frame.Message, error){
	frame.KindVoteRequest:          decode[frame.VoteRequest],
	frame.KindVoteResponse:         decode[frame.VoteResponse],
	frame.KindAppendRequest:        decodeWire[wireAppendRequest],
	frame.KindAppendResponse:       decode[frame.AppendResponse],
	frame.KindInstallImage:         decode[frame.InstallImage],
	frame.KindInstallImageResponse: decode[frame.InstallImageResponse],
	frame.KindProposeRequest:       decodeWire[wireProposeRequest],
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
	frame.KindTokenRequest:         decode[frame.TokenRequest],
	frame.KindTokenResponse:        decode[frame.TokenResponse],
	frame.KindTokenExchange:        decode[frame.TokenExchange],
	frame.KindEntryVMs:             decode[frame.EntryVMs],
	kindHello:                      decode[hello],
}

// Encode encodes a message as a msgpack array of its kind and body.
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
	// Bodies are maps, so that VMs of different versions understand each other
	// during an upgrade: an unknown field is skipped and a missing one is zero.
	enc.UseCompactInts(true)
	if err = enc.EncodeArrayLen(2); err != nil {
		return nil, err
	}
	if err = enc.EncodeUint(uint64(m.Kind())); err != nil {
		return nil, err
	}
	if err = enc.Encode(toWire(m)); err != nil {
		return nil, err
	}
	return buffer.Bytes(), nil
}

// Decode decodes a message encoded by Encode. Its errors are *FormatError.
func Decode(b []byte) (m frame.Message, err error) {
	var kind frame.Kind
	defer func() {
		// The msgpack library panics on some inputs, such as nil for a time.
		if p := recover(); p != nil {
			err = fmt.Errorf("%v", p)
		}
		if err != nil {
			m, err = nil, &FormatError{Kind: kind, Problem: err}
		}
	}()
	rest, err := validate(b, 0)
	switch {
	case err != nil:
		return nil, err
	case len(rest) > 0:
		return nil, errors.New("unexpected bytes after the message")
	}
	dec := msgpack.GetDecoder()
	defer msgpack.PutDecoder(dec)
	dec.Reset(bytes.NewReader(b))
	n, err := dec.DecodeArrayLen()
	if err != nil {
		return nil, err
	}
	if n != 2 {
		return nil, fmt.Errorf("array of %d elements, want kind and body", n)
	}
	number, err := dec.DecodeUint8()
	if err != nil {
		return nil, err
	}
	kind = frame.Kind(number)
	read, ok := decoders[kind]
	if !ok {
		return nil, errors.New("unknown kind")
	}
	return read(dec)
}

func decode[M frame.Message](dec *msgpack.Decoder) (frame.Message, error) {
	var m M
	err := dec.Decode(&m)
	return m, err
}

// wireMessage is the encoded form of a message type that the msgpack library
// cannot encode directly, or only in more bytes.
type wireMessage interface{ message() frame.Message }

func decodeWire[W wireMessage](dec *msgpack.Decoder) (frame.Message, error) {
	var w W
	if err := dec.Decode(&w); err != nil {
		return nil, err
	}
	return w.message(), nil
}

// toWire returns the value that is encoded for a message.
func toWire(m frame.Message) any {
	switch m := m.(type) {
	case frame.AppendRequest:
		w := wireAppendRequest{
			Term: m.Term, Replica: m.Replica, PrevIndex: m.PrevIndex, PrevTerm: m.PrevTerm, CommitIndex: m.CommitIndex, Round: m.Round,
			Handover: m.Handover, Sent: m.Sent, Echo: m.Echo, MajorityAge: m.MajorityAge,
		}
		for _, e := range m.Entries {
			w.Entries = append(w.Entries, wireEntry{Index: e.Index, Term: e.Term, At: e.At, Command: wireCommand{e.Command}})
		}
		return w
	case frame.ProposeRequest:
		return wireProposeRequest{Seq: m.Seq, Command: wireCommand{m.Command}}
	case frame.Digest:
		w := wireDigest{
			VM: m.VM, Zone: m.Zone, Revision: m.Revision, ConfigChecksum: m.ConfigChecksum, Descendants: m.Descendants,
			UpstreamListChecksum: m.UpstreamListChecksum, PortionAddr: m.PortionAddr, EntryVMsChecksum: m.EntryVMsChecksum,
			Limits: m.Limits,
		}
		if !m.ProcessStart.IsZero() {
			w.ProcessStart = m.ProcessStart.UnixNano()
		}
		if !m.Sent.IsZero() {
			w.Sent = m.Sent.UnixNano()
		}
		return w
	default:
		return m
	}
}

type wireAppendRequest struct {
	Term        uint64
	Replica     entry.Replica
	PrevIndex   uint64
	PrevTerm    uint64
	Entries     []wireEntry
	CommitIndex uint64 `msgpack:"Commit"`
	Round       uint64
	Handover    bool `msgpack:",omitempty"` // rarely set
	Sent        time.Time
	Echo        time.Time
	MajorityAge time.Duration
}

type wireEntry struct {
	Index   uint64
	Term    uint64
	At      time.Time
	Command wireCommand
}

func (w wireAppendRequest) message() frame.Message {
	m := frame.AppendRequest{
		Term: w.Term, Replica: w.Replica, PrevIndex: w.PrevIndex, PrevTerm: w.PrevTerm, CommitIndex: w.CommitIndex, Round: w.Round,
		Handover: w.Handover, Sent: w.Sent, Echo: w.Echo, MajorityAge: w.MajorityAge,
	}
	for _, e := range w.Entries {
		m.Entries = append(m.Entries, entry.Entry{Index: e.Index, Term: e.Term, At: e.At, Command: e.Command.Command})
	}
	return m
}

type wireProposeRequest struct {
	Seq     uint64 `msgpack:"N"`
	Command wireCommand
}

func (w wireProposeRequest) message() frame.Message {
	return frame.ProposeRequest{Seq: w.Seq, Command: w.Command.Command}
}

// wireDigest holds times in Unix nanoseconds, so that an empty one takes one byte
// instead of fifteen.
type wireDigest struct {
	VM                   model.VMID
	Zone                 model.Zone
	ProcessStart         int64 `msgpack:"Start"`
	Revision             model.Revision
	ConfigChecksum       uint64           `msgpack:"Sum"`
	Descendants          []frame.VMStatus `msgpack:"Below"`
	UpstreamListChecksum uint64           `msgpack:"Roster"`
	PortionAddr          netip.AddrPort   `msgpack:"Gathers"`
	EntryVMsChecksum     uint64           `msgpack:"Daemons"`
	Sent                 int64
	Limits               []model.LimitReport `msgpack:",omitempty"` // rarely set
}

func (w wireDigest) message() frame.Message {
	m := frame.Digest{
		VM: w.VM, Zone: w.Zone, Revision: w.Revision, ConfigChecksum: w.ConfigChecksum, Descendants: w.Descendants,
		UpstreamListChecksum: w.UpstreamListChecksum, PortionAddr: w.PortionAddr, EntryVMsChecksum: w.EntryVMsChecksum,
		Limits: w.Limits,
	}
	if w.ProcessStart != 0 {
		m.ProcessStart = time.Unix(0, w.ProcessStart)
	}
	if w.Sent != 0 {
		m.Sent = time.Unix(0, w.Sent)
	}
	return m
}
