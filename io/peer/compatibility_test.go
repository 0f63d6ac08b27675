package peer

import (
	"bytes"
	"fmt"
	"net/netip"
	"reflect"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"comfreypulley/core/entry"
	"comfreypulley/core/frame"
	"comfreypulley/core/model"
)

// Guards against limits that a configuration of the largest planned fleet, with
// 34,000 upstreams and 6,900 VMs, exceeds, so that it never reaches a new VM.
func TestConfigurationOfTheDesignSizePasses(t *testing.T) {
	var config entry.Config
	for i := range 34_000 {
		config.Upstreams = append(config.Upstreams, model.Upstream{
			ID: model.UpstreamID(fmt.Sprintf("pairing-%05d", i)), Zone: "a", Index: "pairing", Slots: 3, MaxConns: 65, DialCost: 6 * time.Millisecond,
			Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 8080), Revision: 1,
		})
	}
	for i := range 6_900 {
		config.VMs = append(config.VMs, model.VM{
			ID: model.VMID(fmt.Sprintf("vm%05d", i)), Zone: "a", Revision: 1,
			PeerAddr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(i >> 8), byte(i)}), 7400),
		})
	}
	want := frame.FullConfig{Config: config, Leader: "vm00001", Ancestors: []model.VMID{"vm00001"}}
	var b bytes.Buffer
	size, err := writeMessage(&b, want)
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("%d bytes", size)
	if got, err := (&reader{r: &b}).next(); err != nil || !reflect.DeepEqual(got, frame.Message(want)) {
		t.Errorf("the decoded configuration differs, error %v", err)
	}
}

// Guards against VMs of two versions that cannot decode each other's messages
// during a rolling upgrade, because one version has a field that the other lacks.
func TestMessagesOfOtherVersionsAreRead(t *testing.T) {
	want := frame.CrashReport{Fingerprint: 3, Upstreams: []model.UpstreamID{"u"}, Quarantine: time.Second}
	for name, added := range map[string]any{"Pass": false, "Later": []string{"field"}, "Quarantine": time.Second} {
		fields := map[string]any{"Fingerprint": uint64(3), "Upstreams": []string{"u"}, "Quarantine": time.Second, name: added}
		b, err := msgpack.Marshal([]any{uint64(frame.KindCrashReport), fields})
		if err != nil {
			t.Fatal(err)
		}
		if got, err := Decode(b); err != nil || !reflect.DeepEqual(got, frame.Message(want)) {
			t.Errorf("with %s: got %+v, %v, want %+v", name, got, err, want)
		}
	}
}
