package admin_test

import (
	"errors"
	"expvar"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"reflect"
	"strings"
	"testing"
	"time"

	"comfreypulley/core/effect"
	"comfreypulley/core/entry"
	"comfreypulley/core/event"
	"comfreypulley/core/model"
	"comfreypulley/core/plane"
	"comfreypulley/io/admin"
)

// fakeLog is a log with one replica that commits at once. With noMajority set, it
// accepts no command and confirms no read.
type fakeLog struct {
	plane.Replicator
	noMajority bool
	entries    []entry.Entry
	lastIndex  uint64
	reads      []uint64
}

func (l *fakeLog) LogStatus() plane.LogStatus {
	return plane.LogStatus{Leader: "vm0", Leading: true, Term: 1, CommitIndex: l.lastIndex, LastMajority: time.Now()}
}

func (l *fakeLog) Propose(at time.Time, c entry.Command, out []effect.Effect) (uint64, entry.Status, []effect.Effect) {
	if l.noMajority {
		return 0, entry.StatusNoMajority, out
	}
	l.lastIndex++
	l.entries = append(l.entries, entry.Entry{Index: l.lastIndex, Term: 1, At: at, Command: c})
	return l.lastIndex, entry.StatusOK, out
}

func (l *fakeLog) Committed() (*entry.Image, []entry.Entry) {
	entries := l.entries
	l.entries = nil
	return nil, entries
}

func (l *fakeLog) HandleDiskSynced(_ time.Time, _ event.DiskSynced, out []effect.Effect) []effect.Effect {
	return out
}

func (l *fakeLog) SetReplicas(_ time.Time, _ []model.VMID, out []effect.Effect) []effect.Effect {
	return out
}

func (l *fakeLog) Confirm(_ time.Time, n uint64, out []effect.Effect) (entry.Status, []effect.Effect) {
	if l.noMajority {
		return entry.StatusNoMajority, out
	}
	l.reads = append(l.reads, n)
	return entry.StatusOK, out
}

func (l *fakeLog) Confirmed() []uint64 {
	reads := l.reads
	l.reads = nil
	return reads
}

// testServer is an admin server with a control state. Requests are sent one after the
// other, so the state needs no loop.
type testServer struct {
	control plane.Control
	log     *fakeLog
	server  *admin.Server
	client  *admin.Client
	http    *httptest.Server
}

func newTestServer(t *testing.T) *testServer {
	f := &testServer{log: &fakeLog{}}
	f.server = &admin.Server{Post: f.post, Vars: new(expvar.Map)}
	f.http = httptest.NewServer(f.server)
	t.Cleanup(f.http.Close)
	f.client = &admin.Client{Addr: netip.MustParseAddrPort(strings.TrimPrefix(f.http.URL, "http://"))}
	f.control.SetLog(f.log)
	vm := model.VM{ID: "vm0", Zone: "a", HasDisk: true, PeerAddr: netip.MustParseAddrPort("127.0.0.1:7000")}
	f.control.Start(time.Now(), event.Start{VM: vm, Loops: 1, InitialConfig: &model.Topology{VMs: map[model.VMID]model.VM{"vm0": vm}}}, nil)
	f.control.HandleDiskSynced(time.Now(), event.DiskSynced{}, nil)
	return f
}

// post passes an event to the control state. A command without an answer times out at
// once.
func (f *testServer) post(body event.Body) {
	now := time.Now()
	var out []effect.Effect
	switch body := body.(type) {
	case event.OperatorCommand:
		out = f.control.HandleOperatorCommand(now, body, nil)
		out = f.control.HandleDiskSynced(now, event.DiskSynced{}, out)
		out = f.control.HandleTimer(now.Add(time.Hour), event.TimerID{Kind: event.TimerPropose}, out)
	case event.StatusRequest:
		out = f.control.HandleStatusRequest(now, body, nil)
	}
	for _, e := range out {
		if r, ok := e.(effect.AnswerOperator); ok {
			f.server.Respond(r)
		}
	}
}

func testContract() model.Contract {
	return model.Contract{
		Customer: "acme", Credential: [32]byte{1, 2}, Indexes: []string{"pairing", "portal"}, Concurrency: 30, Capacity: 0.5,
		RetryBudget: 0.05, Retention: 90 * time.Minute,
		Classes: []model.Class{
			{Name: "now", Wait: 50 * time.Millisecond, Price: 5, Weight: 2, MinCoverage: 0.5},
			{Name: "later", Wait: 2 * time.Second, Price: 1, Weight: 0.5, MinCoverage: 1},
		},
	}
}

// wantHTTPStatus checks that a request failed with the given HTTP status code, and
// returns the result in the response.
func wantHTTPStatus(t *testing.T, err error, want int) admin.Result {
	t.Helper()
	var resultErr *admin.ResultError
	if !errors.As(err, &resultErr) || resultErr.StatusCode != want {
		t.Fatalf("got %v, want HTTP %d", err, want)
	}
	return resultErr.Result
}

// Guards against contract fields that are lost between the client and the
// configuration, conflicts that are not reported, and resends that are applied
// twice.
func TestContract(t *testing.T) {
	f := newTestServer(t)
	ctx := t.Context()
	want := testContract()
	first, err := f.client.PutContract(ctx, admin.ChangeHeaders{Operation: "op1"}, want)
	if err != nil {
		t.Fatal(err)
	}
	want.Revision = model.Revision(first.Revision)
	got, err := f.client.Contract(ctx, "acme")
	if err != nil || !reflect.DeepEqual(got, want) {
		t.Fatalf("got %+v, %v, want %+v", got, err, want)
	}
	_, err = f.client.PutContract(ctx, admin.ChangeHeaders{}, want)
	if r := wantHTTPStatus(t, err, http.StatusConflict); r.Revision != first.Revision {
		t.Errorf("the conflict states revision %d, want %d", r.Revision, first.Revision)
	}
	resent, err := f.client.PutContract(ctx, admin.ChangeHeaders{Operation: "op1"}, testContract())
	if err != nil || resent != first {
		t.Errorf("a resend got %+v, %v, want %+v", resent, err, first)
	}
	_, err = f.client.RetireContract(ctx, admin.ChangeHeaders{}, "acme")
	wantHTTPStatus(t, err, http.StatusPreconditionRequired)
	retired, err := f.client.RetireContract(ctx, admin.ChangeHeaders{ExpectedRevision: want.Revision}, "acme")
	if err != nil {
		t.Fatal(err)
	}
	want.Retired, want.Revision = true, model.Revision(retired.Revision)
	all, err := f.client.Contracts(ctx)
	if err != nil || !reflect.DeepEqual(all, []model.Contract{want}) {
		t.Errorf("got %+v, %v, want %+v", all, err, want)
	}
	bad := testContract()
	bad.Customer, bad.Concurrency = "bolt", 0
	_, err = f.client.PutContract(ctx, admin.ChangeHeaders{}, bad)
	if r := wantHTTPStatus(t, err, http.StatusBadRequest); !strings.Contains(r.Detail, "concurrency") {
		t.Errorf("got detail %q, want it to name the field", r.Detail)
	}
}

// Guards against upstreams and VMs that cannot be added, drained or removed through
// the API, or that lose fields when they are drained.
func TestUpstreamAndVM(t *testing.T) {
	f := newTestServer(t)
	ctx := t.Context()
	u := model.Upstream{
		ID: "u1", Addr: netip.MustParseAddrPort("127.0.0.1:9000"), Zone: "a", Index: "pairing", Slots: 3, MaxConns: 65, DialCost: 6 * time.Millisecond,
	}
	added, err := f.client.PutUpstream(ctx, admin.ChangeHeaders{}, u)
	if err != nil {
		t.Fatal(err)
	}
	drained, err := f.client.Drain(ctx, admin.ChangeHeaders{ExpectedRevision: model.Revision(added.Revision)}, "upstream", "u1")
	if err != nil {
		t.Fatal(err)
	}
	u.State, u.Revision = model.StateDraining, model.Revision(drained.Revision)
	if got, err := f.client.Upstreams(ctx); err != nil || !reflect.DeepEqual(got, []model.Upstream{u}) {
		t.Errorf("got %+v, %v, want %+v", got, err, u)
	}
	if _, err := f.client.Remove(ctx, admin.ChangeHeaders{ExpectedRevision: u.Revision}, "upstream", "u1"); err != nil {
		t.Fatal(err)
	}
	if got, err := f.client.Upstreams(ctx); err != nil || len(got) != 0 {
		t.Errorf("got %+v, %v, want none", got, err)
	}
	if _, err := f.client.PutVM(ctx, admin.ChangeHeaders{}, model.VM{ID: "vm1", Zone: "b", PeerAddr: netip.MustParseAddrPort("127.0.0.1:7001")}); err != nil {
		t.Fatal(err)
	}
	_, err = f.client.Remove(ctx, admin.ChangeHeaders{ExpectedRevision: 1}, "vm", "vm0")
	wantHTTPStatus(t, err, http.StatusBadRequest)
	if got, err := f.client.VMs(ctx); err != nil || len(got) != 2 {
		t.Errorf("got %+v, %v, want two VMs", got, err)
	}
}

// Guards against reporting a change as applied without a majority, or an outdated
// configuration as the newest.
func TestNoMajority(t *testing.T) {
	f := newTestServer(t)
	if s, err := f.client.FleetStatus(t.Context(), true); err != nil || !s.Current || s.Leader != "vm0" || s.Revision != 1 {
		t.Errorf("got %+v, %v, want a current status", s, err)
	}
	f.log.noMajority = true
	_, err := f.client.PutContract(t.Context(), admin.ChangeHeaders{}, testContract())
	if r := wantHTTPStatus(t, err, http.StatusServiceUnavailable); r.Status != entry.StatusNoMajority.String() {
		t.Errorf("got status %q, want majority", r.Status)
	}
	_, err = f.client.FleetStatus(t.Context(), true)
	wantHTTPStatus(t, err, http.StatusServiceUnavailable)
}

// Guards against decisions without an explanation, and against accepting an invalid
// body or one whose id differs from that in the path.
func TestExplainAndBadBodies(t *testing.T) {
	f := newTestServer(t)
	if _, err := f.client.PutContract(t.Context(), admin.ChangeHeaders{Operation: "op7"}, testContract()); err != nil {
		t.Fatal(err)
	}
	notes, err := f.client.Explain(t.Context(), "contract acme")
	if err != nil || len(notes) != 1 || !strings.Contains(notes[0].Cause, "op7") {
		t.Errorf("got %+v, %v, want one note that names the operation", notes, err)
	}
	for name, body := range map[string]string{
		"another customer": `{"customer":"bolt"}`,
		"unknown field":    `{"customer":"acme","color":1}`,
		"no JSON":          `{`,
		"bad wait":         `{"customer":"acme","classes":[{"wait":"soon"}]}`,
	} {
		request, err := http.NewRequestWithContext(t.Context(), http.MethodPut, f.http.URL+"/v1/contract/acme", strings.NewReader(body))
		if err != nil {
			t.Fatal(err)
		}
		response, err := f.http.Client().Do(request)
		if err != nil {
			t.Fatal(err)
		}
		text, _ := io.ReadAll(response.Body)
		response.Body.Close()
		if got, want := response.StatusCode, http.StatusBadRequest; got != want {
			t.Errorf("%s: got %d %s, want %d", name, got, text, want)
		}
	}
}
