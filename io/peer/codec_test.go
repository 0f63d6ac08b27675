package peer

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/netip"
	"reflect"
	"testing"
	"time"

	"comfreypulley/core/entry"
	"comfreypulley/core/frame"
	"comfreypulley/core/model"
)

// sampleMessages returns at least one message of each kind, with most fields set.
func sampleMessages() []frame.Message {
	at := time.Unix(1_700_000_000, 5)
	replica := entry.Replica{VM: "vm1", Disk: 9}
	vm := model.VM{ID: "vm1", Zone: "a", PeerAddr: netip.MustParseAddrPort("127.0.0.1:7001"), HasDisk: true, State: 1, Revision: 3}
	contract := model.Contract{
		Customer: "c", Credential: [32]byte{1}, Indexes: []string{"i"}, Concurrency: 5, Capacity: 0.5, RetryBudget: 0.1,
		Retention: time.Hour, Classes: []model.Class{{Name: "n", Wait: time.Second, Price: 7, Weight: 2, MinCoverage: 1}}, Revision: 4,
	}
	holder := entry.ClaimHolder{VM: "vm1", ProcessStart: at.UTC(), Loop: 1, Request: 6} // as node.State creates it
	localHolder := entry.ClaimHolder{VM: "vm1", ProcessStart: at, Loop: 1, Request: 6}  // times in decoded images are in the local time zone
	outcome := entry.Outcome{Snapshot: 8, Shard: 1, ShardCount: 2, Items: []model.Item{{ID: "x", Rank: 1.5, Data: []byte("y")}}, Class: "n", Price: 7}
	key := model.NewKey(at, [10]byte{1, 2})
	change := entry.Change{Op: "op", ExpectedRevision: 2, Contract: &contract, VM: &vm, Remove: &entry.Removal{Upstream: "u", VM: "v"}}
	commands := []entry.Command{
		entry.Noop{},
		change,
		entry.Members{Voters: []entry.Replica{replica}, Learners: []entry.Replica{replica}},
		entry.Claim{Customer: "c", Key: key, Fingerprint: 3, Holder: holder, Retention: time.Hour},
		entry.Settle{Customer: "c", Key: key, Holder: holder, Outcome: outcome},
		entry.Release{Customer: "c", Key: key, Holder: holder},
	}
	var entries []entry.Entry
	messages := []frame.Message{
		frame.ProposeRequest{}, frame.Digest{},
	}
	for i, c := range commands {
		entries = append(entries, entry.Entry{Index: uint64(i), Term: 2, At: at, Command: c})
		messages = append(messages, frame.ProposeRequest{Seq: 1, Command: c})
	}
	result := entry.Result{Status: entry.StatusSettled, Detail: "d", Revision: 3, Outcome: &outcome, Leader: "vm1"}
	config := entry.Config{
		Revision: 4, Contracts: []model.Contract{contract}, VMs: []model.VM{vm}, Ops: []entry.OpRecord{{ID: "op", At: at, Result: result}},
		Upstreams: []model.Upstream{{ID: "u", Addr: vm.PeerAddr, Zone: "a", Index: "i", Slots: 1, MaxConns: 2, DialCost: time.Second, Revision: 1}},
	}
	image := entry.Image{
		Index: 1, Term: 2, At: at, Config: config, Members: entry.Members{Voters: []entry.Replica{replica}},
		Ledger: []entry.ClaimRecord{{Customer: "c", Key: key, Holder: localHolder, ExpiresAt: at, Outcome: &outcome}},
	}
	return append(
		messages,
		frame.VoteRequest{Term: 1, Replica: replica, LastIndex: 2, LastTerm: 3, PreVote: true},
		frame.VoteResponse{Term: 1, Replica: replica, PreVote: true, Granted: true, Founder: true},
		frame.AppendRequest{Term: 1, Replica: replica, PrevIndex: 2, PrevTerm: 3, Entries: entries, CommitIndex: 4, Round: 5, Handover: true, Sent: at, Echo: at, MajorityAge: time.Second},
		frame.AppendResponse{Term: 1, Replica: replica, OK: true, MatchIndex: 2, NextIndex: 3, Round: 4, Sent: at, Echo: at, Founder: true},
		frame.InstallImage{Term: 1, Replica: replica, Image: image},
		frame.InstallImageResponse{Term: 1, Replica: replica, Index: 2},
		frame.ProposeResponse{Seq: 1, Result: result},
		frame.Digest{
			VM: "vm1", Zone: "a", ProcessStart: at, Revision: 4, ConfigChecksum: 1 << 63,
			Descendants:          []frame.VMStatus{{VM: "vm2", Revision: 3, HeartbeatAge: time.Second, Suspected: true}},
			UpstreamListChecksum: 5, PortionAddr: netip.MustParseAddrPort("10.0.0.1:7741"), EntryVMsChecksum: 6, Sent: at, Limits: []model.LimitReport{{Upstream: "u", Limit: &model.Limit{Rate: 1.5}, Age: time.Second, Wanted: 2}},
		},
		frame.ConfigDelta{
			From: 1, To: 2, Changes: []entry.Change{change}, Checksum: 3, Leader: "vm1", MajorityAge: time.Second, Ancestors: []model.VMID{"vm1"}, Echo: at,
		},
		frame.FullConfig{Config: config, Checksum: 3, Leader: "vm1", MajorityAge: time.Second, Ancestors: []model.VMID{"vm1"}, Echo: at},
		frame.Ping{Seq: 1}, frame.Pong{Seq: 1},
		frame.IndirectPing{Seq: 1, Target: "vm1"}, frame.IndirectPong{Seq: 1, Target: "vm1", Alive: true},
		frame.LeaseRequest{Seq: 1, ProcessStart: at, Revision: 2, Demand: map[string]int{"c": 1}},
		frame.LeaseResponse{Seq: 1, ExtraConcurrency: map[string]int{"c": 1}, Duration: time.Second, LimitsAge: time.Minute, LimitsRevision: 3},
		frame.UpstreamList{
			Checksum: 9, ReadSeq: 8, Age: time.Second, EntryVMCount: 17, Isolated: true, Complete: true, Upstreams: []model.Upstream{{
				ID: "u1", Addr: netip.MustParseAddrPort("10.0.0.1:80"), Zone: "a", Index: "s", Slots: 2, WarmUpLeft: time.Second,
			}},
			Totals:  []model.LimitReport{{Upstream: "u", Limit: &model.Limit{Rate: 1.5}, Age: time.Second, Wanted: 2}},
			Issuers: []model.VMID{"vm3"}, Shares: []model.LimitShare{{Upstream: "u", Limit: &model.Limit{Rate: 1.5}, Age: time.Second, Fraction: 0.5}},
		},
		frame.UpstreamListRequest{},
		frame.UpstreamWarning{Upstream: "u", Unreachable: true, ExtraLatency: time.Second},
		frame.EntryVMs{VMs: []model.EntryVM{{ID: "vm1", Zone: "a", PortionAddr: netip.MustParseAddrPort("10.0.0.1:7741")}}, Issues: true},
		frame.TokenRequest{Seq: 7, Customer: "c", Relayed: true, Late: true},
		frame.TokenResponse{Seq: 7, Granted: true, Known: true, Wait: time.Second, Unreached: []model.VMID{"vm3"}},
		frame.TokenExchange{Hears: []model.VMID{"vm1"}, Wanted: []string{"c"}, Tokens: map[string]float64{"d": 1.5}},
		frame.CrashReport{Fingerprint: 3, Upstreams: []model.UpstreamID{"u", "u\x002"}, Quarantine: time.Second, Relay: true, Answered: []model.AnsweredCrashes{{Fingerprint: 4, Upstreams: []model.UpstreamID{"v\x003"}}}},
	)
}

// Guards against a message that cannot be encoded or differs after decoding, and
// against a kind without a sample.
func TestCodecKeepsMessages(t *testing.T) {
	seen := map[frame.Kind]bool{}
	unset := map[string]bool{} // fields that are zero in every sample of their type so far
	for _, want := range sampleMessages() {
		seen[want.Kind()] = true
		for value, i := reflect.ValueOf(want), 0; i < value.NumField(); i++ {
			name := value.Type().String() + "." + value.Type().Field(i).Name
			zeroBefore, known := unset[name]
			unset[name] = value.Field(i).IsZero() && (zeroBefore || !known)
		}
		b, err := Encode(want)
		if err != nil {
			t.Fatal(err)
		}
		got, err := Decode(b)
		if err != nil || !reflect.DeepEqual(got, want) {
			t.Errorf("kind %d: got %+v, %v, want %+v", want.Kind(), got, err, want)
		}
	}
	for kind := range decoders {
		if !seen[kind] && kind != kindHello {
			t.Errorf("no sample of kind %d", kind)
		}
	}
	for name, zero := range unset {
		if zero {
			t.Errorf("no sample sets %s, so that its loss would not show", name)
		}
	}
}

// Guards against parts that are joined wrongly, and against frames above the limit
// or cut off.
func TestFramingSplitsAndLimits(t *testing.T) {
	data := make([]byte, 2*maxFrame+5) // random bytes, so that compression does not make it shorter
	random := rand.New(rand.NewPCG(1, 2))
	for i := range data {
		data[i] = byte(random.Uint32())
	}
	want := frame.ProposeRequest{Command: entry.Settle{Outcome: entry.Outcome{Items: []model.Item{{ID: "x", Data: data}}}}}
	var b bytes.Buffer
	for range 2 {
		if _, err := writeMessage(&b, want); err != nil {
			t.Fatal(err)
		}
	}
	r := &reader{r: &b}
	for range 2 {
		if got, err := r.next(); err != nil || !reflect.DeepEqual(got, frame.Message(want)) {
			t.Fatalf("the joined message differs, error %v", err)
		}
	}
	if _, err := r.next(); !errors.Is(err, io.EOF) {
		t.Errorf("at the end: %v, want EOF", err)
	}
	var sizeErr *SizeError
	_, err := (&reader{r: bytes.NewReader([]byte{0xff, 0, 0, 0})}).next()
	if !errors.As(err, &sizeErr) {
		t.Errorf("a frame above the limit gives %v, want a SizeError", err)
	}
	if _, err = (&reader{r: bytes.NewReader([]byte{0, 0, 0, 9, 1})}).next(); !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Errorf("a truncated frame gives %v, want unexpected EOF", err)
	}
}

// Guards against documents and lists that saturate the slow network links of entry
// VMs, and against decompression that changes a message or has no limit.
func TestLongMessagesAreCompressed(t *testing.T) {
	var want frame.UpstreamList
	for n := range 300 {
		want.Upstreams = append(want.Upstreams, model.Upstream{
			ID: model.UpstreamID(fmt.Sprintf("i-%010x", n*n*7919)), Index: fmt.Sprintf("service%d", n/3), Slots: 4, Zone: "zone-a",
			Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, 64, byte(n)}), 8080),
		})
	}
	encoded, err := Encode(want)
	if err != nil {
		t.Fatal(err)
	}
	var b bytes.Buffer
	size, err := writeMessage(&b, want)
	if err != nil || size != b.Len() || size > len(encoded)/4 {
		t.Errorf("got %d bytes, %v, want at most a quarter of %d", size, err, len(encoded))
	}
	if got, err := (&reader{r: &b}).next(); err != nil || !reflect.DeepEqual(got, frame.Message(want)) {
		t.Errorf("the decoded message differs, error %v", err)
	}
	compressed, _ := compress(make([]byte, 1<<20))
	var sizeErr *SizeError
	if _, err := decompress(compressed, 1<<20-1); !errors.As(err, &sizeErr) {
		t.Errorf("more bytes than the limit give %v, want a SizeError", err)
	}
	var formatErr *FormatError
	if _, err := decompress(compressed[:len(compressed)/2], 1<<20); !errors.As(err, &formatErr) {
		t.Errorf("truncated bytes give %v, want a FormatError", err)
	}
}

// Guards against panics, hangs and errors of unexpected types when the network
// delivers arbitrary bytes.
func FuzzReader(f *testing.F) {
	for _, m := range sampleMessages() {
		var b bytes.Buffer
		if _, err := writeMessage(&b, m); err != nil {
			f.Fatal(err)
		}
		f.Add(b.Bytes())
	}
	f.Add([]byte{0, 0, 0, 5, 0x92, 0xcc, byte(kindPart), 0xc4, 0})
	f.Add([]byte{0, 0, 0, 5, 0x92, 0xcc, byte(kindLastCompressed), 0xc4, 0})
	f.Add([]byte{0, 0, 0, 7, 0x92, 9, 0x92, 0xdf, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, b []byte) {
		r := &reader{r: bytes.NewReader(b)}
		for {
			m, err := r.next()
			var formatErr *FormatError
			var sizeErr *SizeError
			switch {
			case err == nil:
				if _, err = Encode(m); err != nil {
					t.Fatalf("a decoded message cannot be encoded: %v", err)
				}
				continue
			case !errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) && !errors.As(err, &formatErr) && !errors.As(err, &sizeErr):
				t.Fatalf("error of an unexpected type: %v", err)
			}
			return
		}
	})
}
