package stub

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"sync"
	"testing"
	"time"

	"comfreypulley/io/proxy"
)

const eventTimeout = 20 * time.Second // limit for waiting on events that a correct stub always causes

// serverRun runs a Server in a goroutine.
type serverRun struct {
	server *Server
	ended  chan error
}

func (r *serverRun) run() {
	r.ended <- r.server.Run()
}

// shardRequester sends one shard request in a goroutine.
type shardRequester struct {
	ctx    context.Context
	server *Server
	ended  chan error
}

func (r *shardRequester) run() {
	_, err := post(r.ctx, r.server, "/v1/shard/i/1/0", "{}")
	r.ended <- err
}

func startStub(t *testing.T, cfg Config) (*Stub, *Server) {
	t.Helper()
	if cfg.Settings.Snapshots == nil {
		cfg.Settings.Snapshots = []HeldSnapshot{{Index: "i", Version: 1, ShardCount: 2, HeldShards: []int{0}}}
	}
	s, err := New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	server, err := Listen(s, Endpoint{Addr: netip.MustParseAddrPort("127.0.0.1:0")})
	if err != nil {
		t.Fatal(err)
	}
	r := &serverRun{server: server, ended: make(chan error, 1)}
	go r.run()
	t.Cleanup(func() {
		server.Close()
		if err := <-r.ended; err != nil {
			t.Errorf("Run: %v", err)
		}
	})
	return s, server
}

// reply is the status and headers of an answer.
type reply struct {
	status int
	header http.Header
}

// post sends a POST request with the headers of a shard request.
func post(ctx context.Context, server *Server, path, body string) (r reply, err error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, fmt.Sprintf("http://%s%s", server.Addr(0), path), strings.NewReader(body))
	if err != nil {
		return r, err
	}
	request.Header.Set("Timeout", "10000")
	request.Header.Set("Request", "vm-1")
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: eventTimeout}
	response, err := client.Do(request)
	if err != nil {
		return r, err
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return reply{status: response.StatusCode, header: response.Header}, err
}

// eventually waits for a condition and fails the test after eventTimeout.
func eventually(t *testing.T, what string, met func() bool) {
	t.Helper()
	for deadline := time.Now().Add(eventTimeout); !met(); {
		if time.Now().After(deadline) {
			t.Fatalf("%s did not happen within %v", what, eventTimeout)
		}
		<-time.After(time.Millisecond)
	}
}

// Guards against a stub that answers a shard request although it does not hold the
// shard, is cold or is drained.
func TestStatusByState(t *testing.T) {
	s, server := startStub(t, Config{Settings: Settings{MaxQueued: 0}})
	for _, c := range []struct {
		change string
		path   string
		status int
		state  string
		ran    string
	}{
		{`{}`, "/v1/shard/i/1/0", 200, "", "yes"},
		{`{}`, "/v1/shard/i/2/0", 409, "", "no"},
		{`{}`, "/v1/shard/i/1/1", 409, "", "no"},
		{`{"state":"drained"}`, "/v1/shard/i/1/0", 503, "drained", "no"},
		{`{"state":"cold"}`, "/v1/shard/i/1/0", 503, "cold", "no"},
		{`{"state":"active"}`, "/v1/shard/i/x/0", 400, "", ""},
		{`{}`, "/v1/shard/i/1", 400, "", ""},
	} {
		if r, err := post(t.Context(), server, "/v1/control", c.change); err != nil || r.status != http.StatusOK {
			t.Fatalf("control %s: %v, %v", c.change, r, err)
		}
		r, err := post(t.Context(), server, c.path, "{}")
		if err != nil {
			t.Fatal(err)
		}
		if r.status != c.status || r.header.Get("State") != c.state || r.header.Get("Ran") != c.ran {
			t.Errorf("%s after %s: got %d, State %q, Ran %q, want %d, %q, %q",
				c.path, c.change, r.status, r.header.Get("State"), r.header.Get("Ran"), c.status, c.state, c.ran)
		}
	}
	if got := len(s.Runs()); got != 1 {
		t.Errorf("run log has %d runs, want the 1 that was answered", got)
	}
}

// Guards against an unbounded queue, and against a cancelled request that keeps
// its slot or is logged as finished.
func TestShedAndCancel(t *testing.T) {
	s, server := startStub(t, Config{Settings: Settings{Slots: 1, MaxQueued: 1, MedianServiceTime: time.Hour}})
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 2)
	for range 2 {
		go (&shardRequester{ctx: ctx, server: server, ended: ended}).run()
	}
	eventually(t, "one running and one queued", func() bool {
		load := s.slots.load(s.settings.Load())
		return load.InFlight == 1 && load.Queued == 1
	})
	r, err := post(t.Context(), server, "/v1/shard/i/1/0", "{}")
	if err != nil || r.status != http.StatusTooManyRequests || r.header.Get("Retry-After") == "" {
		t.Errorf("third request: got %v and %v, want 429 with Retry-After", r, err)
	}
	cancel()
	for range 2 {
		if err := <-ended; err == nil {
			t.Error("a cancelled request was answered")
		}
	}
	eventually(t, "empty slots", func() bool { return s.slots.load(s.settings.Load()) == Load{Slots: 1} })
	for _, r := range s.Runs() {
		if r.End != EndCancelled {
			t.Errorf("run %s ended as %q, want cancelled", r.ID, r.End)
		}
	}
}

// Guards against a crash that leaves a connection open or is missing from the run
// log, and against a restart without a cold period.
func TestCrashAndRestart(t *testing.T) {
	name := filepath.Join(t.TempDir(), "runs")
	s, server := startStub(t, Config{ID: "u", RunLogFile: name, Settings: Settings{RestartDelay: time.Millisecond, ColdPeriod: time.Hour}})
	if err := s.Change(func(next *Settings) { next.ColdPeriod = 0 }); err != nil {
		t.Fatal(err)
	}
	if r, err := post(t.Context(), server, "/v1/shard/i/1/0", `{"crash":true}`); err == nil {
		t.Fatalf("the crashing request got %d, want a reset", r.status)
	}
	if err := s.Change(func(next *Settings) { next.ColdPeriod = time.Hour }); err != nil {
		t.Fatal(err)
	}
	eventually(t, "the restart", func() bool {
		r, err := post(t.Context(), server, "/v1/shard/i/1/0", "{}")
		return err == nil && r.header.Get("State") == StateCold
	})
	runs, err := ReadRuns(name)
	if err != nil || len(runs) != 1 || runs[0].End != EndCrashed || runs[0].RequestID != "vm-1" {
		t.Errorf("run log file has %+v and %v, want one crashed run of vm-1", runs, err)
	}
	if got := s.RunLog().Crashes; got != 1 {
		t.Errorf("counted %d crashes, want 1", got)
	}
}

// Guards against Run failing because an outgoing connection was given the stub's
// port while the stub was down. Such a failure would end a whole demo.
func TestRestartWaitsForItsPort(t *testing.T) {
	s, server := startStub(t, Config{Settings: Settings{RestartDelay: 200 * time.Millisecond}})
	answers := func() bool {
		r, err := post(t.Context(), server, "/v1/shard/i/1/0", "{}")
		return err == nil && r.status == http.StatusOK
	}
	var taken net.Listener
	eventually(t, "listening on the port before the restart", func() (ok bool) {
		s.Crash()
		var err error
		taken, err = net.Listen("tcp", server.Addr(0).String())
		return err == nil
	})
	// A second attempt to restart shows that the first one found the port in use.
	for range 2 {
		began := time.Now()
		eventually(t, "a restart that finds the port in use", func() bool {
			s.mu.Lock()
			defer s.mu.Unlock()
			return s.startedAt.After(began)
		})
	}
	taken.Close()
	eventually(t, "an answer after the restart", answers)
}

// Guards against refusing connections below the limit or accepting them above it.
func TestConnectionCap(t *testing.T) {
	s, server := startStub(t, Config{Settings: Settings{MaxConns: 2}})
	var conns []net.Conn
	for range 2 {
		c, err := net.Dial("tcp", server.Addr(0).String())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		conns = append(conns, c)
	}
	eventually(t, "two connections", func() bool { return server.listeners[0].conns.count() == 2 })
	third, err := net.Dial("tcp", server.Addr(0).String())
	if err == nil {
		// The reset may arrive during or after the handshake.
		_ = third.SetReadDeadline(time.Now().Add(eventTimeout))
		_, err = third.Read(make([]byte, 1))
		_ = third.Close()
	}
	if err == nil {
		t.Error("the third connection got bytes, want a reset")
	}
	eventually(t, "a refused connection", func() bool { return s.RunLog().RefusedConns == 1 })
	_ = conns[0].Close()
	eventually(t, "an answer after a connection was closed", func() bool {
		r, err := post(t.Context(), server, "/v1/shard/i/1/0", "{}")
		return err == nil && r.status == http.StatusOK
	})
}

func (s *connSet) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// Guards against ignoring the settings that delay reports or make them false.
func TestReportsLagAndLie(t *testing.T) {
	s, _ := startStub(t, Config{Settings: Settings{Slots: 3, ReportAge: time.Second}})
	begin := time.Now()
	s.report(begin)
	if err := s.Change(func(next *Settings) { next.State = StateDrained }); err != nil {
		t.Fatal(err)
	}
	if got := s.report(begin.Add(999 * time.Millisecond)).State; got != StateActive {
		t.Errorf("state is %q before the lag has passed, want the previous state active", got)
	}
	if got := s.report(begin.Add(2 * time.Second)).State; got != StateDrained {
		t.Errorf("state is %q after the lag, want drained", got)
	}
	if err := s.Change(func(next *Settings) {
		next.FalseReport = &FalseReport{Load: Load{InFlight: 7, Slots: 9}, State: StateCold}
	}); err != nil {
		t.Fatal(err)
	}
	if got := s.report(begin); got.InFlight != 7 || got.Slots != 9 || got.State != StateCold {
		t.Errorf("report is %+v, want the false load of 7 in flight and 9 slots, and the false state cold", got)
	}
}

// Guards against applying a part of an invalid control body, and against resetting
// the settings that a body omits.
func TestControlBodies(t *testing.T) {
	s, _ := startStub(t, Config{Settings: Settings{
		Slots: 3, MaxQueued: 5, MedianServiceTime: time.Millisecond, FalseReport: &FalseReport{Load: Load{Slots: 1}},
	}})
	before, _ := json.Marshal(newControlBody(s.Settings()))
	for _, text := range []string{
		``, `[]`, `{"slot":1}`, `{"slots":0}`, `{"queue":7,"state":"gone"}`, `{"rare":2}`, `{"service":"fast"}`, `{"cold":"-1s"}`,
		`{"holds":[{"index":"i","version":2,"shards":2,"holds":[2]}]}`,
	} {
		err := s.applyChange(func(current Settings) (Settings, error) { return parseControl(current, []byte(text)) })
		if err == nil {
			t.Errorf("control body %s was accepted", text)
		}
	}
	if after, _ := json.Marshal(newControlBody(s.Settings())); !bytes.Equal(before, after) {
		t.Errorf("settings are %s after invalid bodies, want %s", after, before)
	}
	err := s.applyChange(func(current Settings) (Settings, error) {
		return parseControl(current, []byte(`{"service":"5ms","lie":null}`))
	})
	got := s.Settings()
	if err != nil || got.MedianServiceTime != 5*time.Millisecond || got.MaxQueued != 5 || got.FalseReport != nil || len(got.Snapshots) != 1 {
		t.Errorf("settings are %+v and %v, want service 5ms, queue 5, no false load and the held snapshot kept", got, err)
	}
}

// Guards against a run log that cannot be read after the process was killed while
// it wrote a line.
func TestReadRunsAfterKill(t *testing.T) {
	name := filepath.Join(t.TempDir(), "runs")
	text := `{"id":"u-1-0","request":"a","end":""}` + "\n" + `{"id":"u-1-1","request":"b","end":""}` + "\n" +
		`{"id":"u-1-0","request":"a","end":"finished"}` + "\n" + `{"id":"u-1-1","requ`
	if err := os.WriteFile(name, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	runs, err := ReadRuns(name)
	if err != nil || len(runs) != 2 || runs[0].End != EndFinished || runs[1].End != "" {
		t.Errorf("got %+v and %v, want a finished and an unfinished run", runs, err)
	}
	if err := os.WriteFile(name, []byte("{\n"+text), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := ReadRuns(name); err == nil {
		t.Error("an invalid line in the middle was accepted")
	}
}

// recordingWatcher records the calls to a Watcher.
type recordingWatcher struct {
	mu       sync.Mutex
	arrivals []Arrival
	finished []bool // of the requests that have ended
}

// Arrived implements Watcher.
func (r *recordingWatcher) Arrived(a Arrival) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.arrivals = append(r.arrivals, a)
}

// Ended implements Watcher.
func (r *recordingWatcher) Ended(_, _ string, finished bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.finished = append(r.finished, finished)
}

// Guards against a Watcher that misses a forwarded request or is notified of
// something else than the caller received.
func TestForwardedRequestsReachWatcher(t *testing.T) {
	watcher := &recordingWatcher{}
	d := &proxy.HeaderNames{RequestID: "T", Wait: "W", Receipt: "R", ExpectedUpstream: "E", NotRun: "N", Load: "L"}
	_, server := startStub(t, Config{ID: "u", Settings: Settings{Slots: 1}, Forwarding: &ForwardingConfig{HeaderNames: d, Watcher: watcher}})
	get := func(expect string) (status int, header http.Header, body string) {
		r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+server.Addr(0).String()+"/a?b", http.NoBody)
		if err != nil {
			t.Fatal(err)
		}
		r.Header.Set("T", "tag")
		r.Header.Set("W", "70")
		r.Header.Set("E", expect)
		response, err := http.DefaultClient.Do(r)
		if err != nil {
			t.Fatal(err)
		}
		defer response.Body.Close()
		raw, err := io.ReadAll(response.Body)
		if err != nil {
			t.Fatal(err)
		}
		return response.StatusCode, response.Header, string(raw)
	}
	_, answered, body := get("u")
	got, refused, _ := get("v")
	if want := http.StatusMisdirectedRequest; got != want || refused.Get("N") == "" {
		t.Errorf("request for another upstream: got status %d and headers %v, want %d and a statement that it was not run", got, refused, want)
	}
	watcher.mu.Lock()
	defer watcher.mu.Unlock()
	if len(watcher.arrivals) != 2 || len(watcher.finished) != 1 || !watcher.finished[0] {
		t.Fatalf("got requests %+v and ends %v, want two requests of which one has finished", watcher.arrivals, watcher.finished)
	}
	ran := watcher.arrivals[0]
	want := Arrival{
		Upstream: "u", Intended: "u", Receipt: answered.Get("R"), CallerRequestID: "tag", RequestHash: HashRequest(http.MethodGet, "/a?b", nil),
		Wait: 70 * time.Millisecond, Source: netip.MustParseAddr("127.0.0.1"), Accepted: true, Records: []byte(body),
	}
	if ran.Receipt == "" || !reflect.DeepEqual(ran, want) {
		t.Errorf("got %+v, want %+v", ran, want)
	}
	if other := watcher.arrivals[1]; other.Accepted || other.Upstream != "u" || other.Intended != "v" {
		t.Errorf("got arrival %+v of the refused request, want it not accepted by u and intended for v", other)
	}
}

// forwardedRequester sends a forwarded request in a goroutine.
type forwardedRequester struct {
	server *Server
	ended  chan error
}

func (r *forwardedRequester) run() {
	request, err := http.NewRequest(http.MethodGet, "http://"+r.server.Addr(0).String()+"/a", http.NoBody)
	if err != nil {
		r.ended <- err
		return
	}
	request.Header.Set("W", "5000")
	response, err := http.DefaultClient.Do(request)
	if err == nil {
		err = response.Body.Close()
	}
	r.ended <- err
}

// Guards against attributing a request to the upstream id that the stub was given
// while the request was waiting.
func TestForwardedRequestKeepsUpstreamIDOfItsArrival(t *testing.T) {
	watcher := &recordingWatcher{}
	d := &proxy.HeaderNames{RequestID: "T", Wait: "W", Receipt: "R", ExpectedUpstream: "E", NotRun: "N", Load: "L"}
	s, server := startStub(t, Config{
		ID: "u", Settings: Settings{Slots: 1, MaxQueued: 1, MedianServiceTime: time.Second},
		Forwarding: &ForwardingConfig{HeaderNames: d, Watcher: watcher},
	})
	r := &forwardedRequester{server: server, ended: make(chan error, 2)}
	go r.run()
	for deadline := time.Now().Add(eventTimeout); s.slots.load(s.settings.Load()).InFlight == 0; {
		if time.Now().After(deadline) {
			t.Fatal("the first request does not run")
		}
		<-time.After(time.Millisecond)
	}
	go r.run()
	for s.slots.load(s.settings.Load()).Queued == 0 {
		if len(r.ended) > 0 {
			t.Fatal("a request ended before the second one waited")
		}
		<-time.After(time.Millisecond)
	}
	s.SetUpstreamID("v")
	for range 2 {
		if err := <-r.ended; err != nil {
			t.Fatal(err)
		}
	}
	watcher.mu.Lock()
	defer watcher.mu.Unlock()
	for _, a := range watcher.arrivals {
		if a.Upstream != "u" {
			t.Errorf("got a request of upstream %s, want u", a.Upstream)
		}
	}
}
