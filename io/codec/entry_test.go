package codec_test

import (
	"bytes"
	"errors"
	"net/netip"
	"reflect"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"comfreypulley/core/entry"
	"comfreypulley/core/model"
	"comfreypulley/io/codec"
)

// at is a time in a time zone other than UTC, as a process's clock may return.
var at = time.Date(2026, 1, 1, 3, 0, 0, 123456789, time.FixedZone("EAT", 3*3600))

// commands returns commands of each kind.
func commands() []entry.Command {
	holder := entry.ClaimHolder{VM: "vm0", ProcessStart: at.UTC(), Loop: 2, Request: 9}
	contract := model.Contract{
		Customer: "acme", Credential: [32]byte{1, 2}, Indexes: []string{"pairing"}, Concurrency: 10, Capacity: 0.5,
		Retention: time.Hour, Classes: []model.Class{{Name: "now", Wait: time.Second, Price: 5, Weight: 1}}, Retired: true, Revision: 4,
	}
	outcome := entry.Outcome{Snapshot: 7, Shard: 1, ShardCount: 3, Items: []model.Item{{ID: "a", Rank: 1.5, Data: []byte("x")}}, Price: -3}
	return []entry.Command{
		entry.Noop{},
		entry.Change{Op: "op", ExpectedRevision: 3, Contract: &contract},
		entry.Change{Op: "op", Upstream: &model.Upstream{ID: "u", Addr: netip.MustParseAddrPort("[::1]:80"), DialCost: time.Millisecond}},
		entry.Change{Op: "op", VM: &model.VM{ID: "vm0", Zone: "a", HasDisk: true, State: model.StateDraining}},
		entry.Change{Op: "op", Remove: &entry.Removal{VM: "vm0"}},
		entry.Members{Voters: []entry.Replica{{VM: "vm0", Disk: 1 << 63}}, Learners: []entry.Replica{{VM: "vm1", Disk: 2}}},
		entry.Claim{Customer: "acme", Key: model.Key{1, 15: 2}, Fingerprint: 1 << 63, Holder: holder, Retention: time.Hour},
		entry.Settle{Customer: "acme", Key: model.Key{1}, Holder: holder, Outcome: outcome},
		entry.Release{Customer: "acme", Key: model.Key{1}, Holder: holder},
	}
}

// Guards against a command that differs after encoding and decoding,
// and against a truncated entry that is accepted.
func TestEntries(t *testing.T) {
	for i, c := range commands() {
		want := entry.Entry{Index: uint64(i + 1), Term: 1 << 40, At: at, Command: c}
		var b bytes.Buffer
		if err := codec.EncodeEntry(codec.NewEncoder(&b), want); err != nil {
			t.Fatal(err)
		}
		if err := codec.Validate(b.Bytes()); err != nil {
			t.Errorf("%T: %v", c, err)
		}
		got, err := codec.DecodeEntry(codec.NewDecoder(bytes.NewReader(b.Bytes())))
		want.At = want.At.UTC()
		if err != nil || !reflect.DeepEqual(got, want) {
			t.Errorf("got %+v, %v; want %+v", got, err, want)
		}
		for n := range b.Len() {
			if _, err := codec.DecodeEntry(codec.NewDecoder(bytes.NewReader(b.Bytes()[:n]))); err == nil {
				t.Errorf("%T cut to %d of %d bytes was decoded", c, n, b.Len())
			}
			if n > 0 && codec.Validate(b.Bytes()[:n]) == nil {
				t.Errorf("%T cut to %d of %d bytes passed validation", c, n, b.Len())
			}
		}
	}
}

// Guards against an image that differs after encoding and decoding.
func TestImage(t *testing.T) {
	change := commands()[1].(entry.Change)
	outcome := commands()[7].(entry.Settle).Outcome
	want := entry.Image{
		Index: 9, Term: 2, At: at.UTC(), Members: commands()[5].(entry.Members),
		Config: entry.Config{
			Revision: 4, Contracts: []model.Contract{*change.Contract}, VMs: []model.VM{{ID: "vm0"}},
			Ops: []entry.OpRecord{{ID: "op", At: at.UTC(), Result: entry.Result{Status: entry.StatusConflict, Detail: "d", Outcome: &outcome}}},
		},
		Ledger: []entry.ClaimRecord{{Customer: "acme", ExpiresAt: at.UTC(), Holder: entry.ClaimHolder{ProcessStart: at.UTC()}, Outcome: &outcome}},
	}
	var b bytes.Buffer
	if err := codec.EncodeImage(codec.NewEncoder(&b), want); err != nil {
		t.Fatal(err)
	}
	got, err := codec.DecodeImage(codec.NewDecoder(&b))
	if err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, %v; want %+v", got, err, want)
	}
}

// Guards against decoding a command of a newer version as a command of another
// kind.
func TestUnknownKind(t *testing.T) {
	var want *codec.KindError
	_, err := codec.DecodeCommand(codec.NewDecoder(bytes.NewReader([]byte{0x92, 99, 0x90})))
	if !errors.As(err, &want) || want.Kind != 99 {
		t.Errorf("got %v, want a KindError of kind 99", err)
	}
	if err := codec.EncodeCommand(codec.NewEncoder(&bytes.Buffer{}), nil); !errors.As(err, &want) {
		t.Errorf("got %v, want a KindError", err)
	}
}

// Guards against a crash on a nil in place of a time in an image, at
// which msgpack panics. A fuzz test found this input.
func TestNilTime(t *testing.T) {
	var want *codec.SyntaxError
	err := codec.Unmarshal([]byte{0x81, 0xa2, 'A', 't', 0xc0}, func(d *msgpack.Decoder) error {
		_, err := codec.DecodeImage(d)
		return err
	})
	if !errors.As(err, &want) {
		t.Errorf("got %v, want a SyntaxError", err)
	}
}

// Guards against a version that cannot read a log written by the
// version before or after it.
func TestAddedField(t *testing.T) {
	b := []byte{0x92, byte(codec.KindMembers), 0x82, 0xa5, 'A', 'd', 'd', 'e', 'd', 0x91, 1, 0xa6, 'V', 'o', 't', 'e', 'r', 's', 0x91, 0x80}
	err := codec.Unmarshal(b, func(d *msgpack.Decoder) error {
		got, err := codec.DecodeCommand(d)
		if want := (entry.Members{Voters: []entry.Replica{{}}}); !reflect.DeepEqual(got, want) {
			t.Errorf("got %+v, want %+v", got, want)
		}
		return err
	})
	if err != nil {
		t.Error(err)
	}
}

// FuzzEntries guards against bytes that crash the decoder or make it allocate memory
// for entries that do not follow.
func FuzzEntries(f *testing.F) {
	f.Add([]byte{0xdd, 0xff, 0xff, 0xff, 0xff})
	f.Add([]byte{0x91, 0x94, 1, 1, 0xd6, 0xff, 0, 0, 0, 0, 0x92, 3, 0x92, 0xdd, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(_ *testing.T, b []byte) {
		_ = codec.Unmarshal(b, func(d *msgpack.Decoder) error {
			_, err := codec.DecodeEntries(d)
			return err
		})
		_ = codec.Unmarshal(b, func(d *msgpack.Decoder) error {
			_, err := codec.DecodeImage(d)
			return err
		})
	})
}
