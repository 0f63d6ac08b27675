package check

import (
	"bytes"
	"cmp"
	"context"
	"crypto/sha256"
	"crypto/tls"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"

	"comfreypulley/io/bench"
	"comfreypulley/io/fault"
	"comfreypulley/io/stub"
)

const (
	customer = "tabadul"
	secret   = "check"
	index    = "pairing"
	zones    = 3
	disks    = 5 // VMs with data folders, as far as there are that many
)

// layout is the size of a world and what differs from the defaults.
type layout struct {
	shards, replicas, vms int
	concurrency           int      // of the contract; 0 means 300
	conns                 int      // connection cap of each upstream; 0 means 65
	coverage              float64  // least coverage of its classes
	upstream              []string // flags of all upstreams
	proxied               bool     // VMs reach the upstreams through fault proxies
	zoned                 bool     // proxies in front of VMs and upstreams, so that zones can be cut off
	tls                   bool     // mutual TLS between the VMs
	retention             string   // of idempotency keys; "" means 1h
}

// world is a fleet of processes.
type world struct {
	t         *testing.T
	dir       string
	number    int
	layout    layout
	upstreams []*upstream // by shard and then replica
	vms       []*vm
}

// upstream is a stand-in process.
type upstream struct {
	*process
	id      string
	shard   int
	addr    netip.AddrPort // for VMs
	control netip.AddrPort
	runs    string         // run log file
	rules   netip.AddrPort // of its fault proxy, if any
	gate    *fault.Proxy   // of a zoned world
}

// vm is an entry VM process.
type vm struct {
	*process
	id       string
	starts   atomic.Int64
	caller   netip.AddrPort
	peer     netip.AddrPort // as registered
	listen   netip.AddrPort // for peers
	admin    netip.AddrPort
	settings string
	gate     *fault.Proxy // of a zoned world
	keys     *tls.Config  // of its operators, nil for plain HTTP
}

// worlds counts the worlds of this test process.
var worlds atomic.Int64

// newWorld starts upstreams, fault proxies and VMs, and waits until the VMs are
// ready.
func newWorld(t *testing.T, l layout) *world {
	t.Helper()
	l.conns = cmp.Or(l.conns, 65)
	l.concurrency = cmp.Or(l.concurrency, 300)
	l.retention = cmp.Or(l.retention, "1h")
	w := &world{t: t, dir: t.TempDir(), number: int(worlds.Add(1)), layout: l}
	for shard := range l.shards {
		for replica := range l.replicas {
			w.addUpstream(shard, replica)
		}
	}
	for n := range l.vms {
		v := &vm{
			id: fmt.Sprintf("vm%d", n+1), caller: w.address(n, callerPort), listen: w.address(n, peerPort), admin: w.address(n, adminPort),
			settings: filepath.Join(w.dir, fmt.Sprintf("vm%d.ini", n+1)),
		}
		v.peer = v.listen
		if l.zoned {
			v.gate = w.proxy(v.listen)
			v.peer = v.gate.Addr()
		}
		w.vms = append(w.vms, v)
	}
	if l.tls {
		w.writeKeys()
	}
	w.write("fleet.ini", w.fleet())
	for n, v := range w.vms {
		w.write(filepath.Base(v.settings), w.settings(n))
		w.startVM(v)
	}
	for _, v := range w.vms {
		w.ready(v)
	}
	return w
}

// Ports of a VM, from its first one.
const (
	callerPort = iota
	peerPort
	adminPort
	portsPerVM
)

// address is a loopback address of a VM. Two test processes have different ids
// and so different pairs of second byte and port; worlds and zones differ in the
// third byte. Ports stay below the ephemeral range.
func (w *world) address(vm, port int) netip.AddrPort {
	pid := os.Getpid()
	ip := netip.AddrFrom4([4]byte{127, byte(1 + pid%250), byte(w.number*zones + vm%zones), byte(vm + 1)})
	return netip.AddrPortFrom(ip, uint16(10_000+portsPerVM*(pid/250%5000)+port))
}

// sources are the addresses of a zone's VMs.
func (w *world) sources(zone int) netip.Prefix {
	return netip.PrefixFrom(w.address(zone, 0).Addr(), 24).Masked()
}

// proxy starts a fault proxy in this process.
func (w *world) proxy(target netip.AddrPort) *fault.Proxy {
	w.t.Helper()
	p, err := fault.Listen(netip.MustParseAddrPort("127.0.0.1:0"), target, 1)
	if err != nil {
		w.t.Fatal(err)
	}
	go func() { _ = p.Run() }()
	w.t.Cleanup(p.Close)
	return p
}

// separate cuts a zone of a zoned world off from the others, in both directions.
// A negative zone heals all.
func (w *world) separate(zone int) {
	w.t.Helper()
	for n, v := range w.vms {
		w.cut(v.gate, n%zones, zone)
	}
	for i, u := range w.upstreams {
		w.cut(u.gate, i%zones, zone)
	}
}

func (w *world) cut(gate *fault.Proxy, own, zone int) {
	w.t.Helper()
	var rules fault.Rules
	for other := range zones {
		if zone >= 0 && (own == zone) != (other == zone) {
			rules.Sources = append(rules.Sources, fault.Source{From: w.sources(other), Cut: true})
		}
	}
	if err := gate.Set(rules); err != nil {
		w.t.Fatal(err)
	}
}

func (w *world) addUpstream(shard, replica int) {
	u := &upstream{id: fmt.Sprintf("%s-%d-%d", index, shard, replica), shard: shard}
	u.runs = filepath.Join(w.dir, u.id+".runs")
	args := append([]string{
		"upstream", "--name", u.id, "--control", "127.0.0.1:0", "--log", u.runs,
		"--hold", stub.HeldSnapshot{Index: index, Version: 1, ShardCount: w.layout.shards, HeldShards: []int{shard}}.String(),
		"--conns", strconv.Itoa(w.layout.conns), "--seed", strconv.Itoa(shard*w.layout.replicas + replica + 1),
	}, w.layout.upstream...)
	u.process = startProcess(w.t, u.id, args...)
	u.addr, u.control = u.process.addr("serving"), u.process.addr("control")
	if w.layout.proxied {
		p := startProcess(w.t, "fault "+u.id, "fault", "--target", u.addr.String(), "--seed", strconv.Itoa(shard))
		u.addr, u.rules = p.addr("serving"), p.addr("control")
	}
	if w.layout.zoned {
		u.gate = w.proxy(u.addr)
		u.addr = u.gate.Addr()
	}
	w.upstreams = append(w.upstreams, u)
}

// startVM starts or restarts a VM.
func (w *world) startVM(v *vm) {
	v.process = startProcess(w.t, v.id, "serve", v.settings)
	v.starts.Add(1)
}

func (w *world) ready(v *vm) {
	w.t.Helper()
	eventually(w.t, v.id+" is ready", func() bool {
		status, _, err := w.get(v.caller, "/ready")
		if v.over() {
			w.t.Fatalf("%s ended: %q", v.id, v.other)
		}
		return err == nil && status == http.StatusOK
	})
}

func (w *world) fleet() string {
	var b strings.Builder
	fmt.Fprintf(&b, "[contract %s]\ncredential = %x\nindexes = %s\n", customer, sha256.Sum256([]byte(secret)), index)
	fmt.Fprintf(&b, "concurrency = %d\ncapacity = 1\nextra = 0.1\nretention = %s\n\n", w.layout.concurrency, w.layout.retention)
	for i, wait := range []string{"50ms", "1s", "30s"} {
		fmt.Fprintf(&b, "[class %s c%d]\nwait = %s\nprice = %d\nweight = 1\ncoverage = %v\n\n", customer, i, wait, 9-i, w.layout.coverage)
	}
	for n, v := range w.vms {
		fmt.Fprintf(&b, "[vm %s]\nzone = %s\npeer = %v\ndisk = %s\n\n", v.id, zoneOf(n), v.peer, map[bool]string{true: "yes", false: "no"}[n < disks])
	}
	for i, u := range w.upstreams {
		fmt.Fprintf(&b, "[upstream %s]\nzone = %s\naddr = %v\nindex = %s\nslots = 3\nconns = %d\ndial = 1ms\n\n", u.id, zoneOf(i), u.addr, index, w.layout.conns)
	}
	return b.String()
}

func (w *world) settings(n int) string {
	v := w.vms[n]
	var b strings.Builder
	fmt.Fprintf(&b, "[vm]\nid = %s\nzone = %s\n\n[caller]\nlisten = %v\ngrace = 100ms\nfinish = 30s\n\n", v.id, zoneOf(n), v.caller)
	fmt.Fprintf(&b, "[peer]\nlisten = %v\n\n[admin]\nlisten = %v\n\n[traffic]\nseed = %d\n\n", v.listen, v.admin, n+1)
	if n < disks {
		fmt.Fprintf(&b, "[data]\nfolder = %s\n\n", filepath.Join(w.dir, v.id))
	}
	if w.layout.tls {
		fmt.Fprintf(&b, "[tls]\ncert = %[1]s.cert\nkey = %[1]s.key\nca = %[2]s\n\n", filepath.Join(w.dir, v.id), filepath.Join(w.dir, "ca"))
	}
	fmt.Fprintf(&b, "[fleet]\nfile = %s\n", filepath.Join(w.dir, "fleet.ini"))
	return b.String()
}

func zoneOf(n int) string {
	return []string{"a", "b", "c"}[n%zones]
}

func (w *world) write(name, text string) {
	w.t.Helper()
	if err := os.WriteFile(filepath.Join(w.dir, name), []byte(text), 0o600); err != nil {
		w.t.Fatal(err)
	}
}

// load sends a load to all VMs.
func (w *world) load(l *bench.OpenLoop) []bench.Result {
	w.t.Helper()
	if l.Targets == nil {
		for _, v := range w.vms {
			l.Targets = append(l.Targets, v.caller)
		}
	}
	for i := range l.Callers {
		l.Callers[i].Customer, l.Callers[i].Secret, l.Callers[i].Index = customer, secret, index
	}
	results, err := l.Run(w.t.Context())
	if err != nil {
		w.t.Fatal(err)
	}
	return results
}

// check compares results with the run logs on disk, and fails the test when
// an answer breaks a promise that holds under every fault.
func (w *world) check(results []bench.Result) *bench.Report {
	w.t.Helper()
	logs := w.logs()
	report := bench.Measure(results)
	bench.NewChecker(logs).Check(report, results)
	if report.MixedSnapshots+report.ForeignItems+report.IncorrectAnswers+report.DuplicateRuns+report.LostRuns+report.FalseRefusals > 0 {
		w.t.Errorf("mixed %d, crossed %d, untrue %d, doubled %d, lost %d, false refusals %d; want none: %q",
			report.MixedSnapshots, report.ForeignItems, report.IncorrectAnswers, report.DuplicateRuns, report.LostRuns, report.FalseRefusals, report.Faults)
	}
	w.t.Logf("queries %d, whole %d, partial %d, refused %v, failed %d", report.Queries, report.Complete, report.Partial, report.RefusalReasons, report.Unanswered)
	return report
}

// logs reads the run logs of all upstreams, dead ones too.
func (w *world) logs() []stub.RunLog {
	w.t.Helper()
	var logs []stub.RunLog
	for _, u := range w.upstreams {
		runs, err := stub.ReadRuns(u.runs)
		if err != nil {
			w.t.Fatal(err)
		}
		logs = append(logs, stub.RunLog{ID: u.id, Runs: runs})
	}
	return logs
}

// idle waits until no upstream runs anything, so that the run logs are complete.
func (w *world) idle() {
	w.t.Helper()
	for _, u := range w.upstreams {
		eventually(w.t, u.id+" is idle", func() bool { return u.over() || w.report(u) == stub.Load{Slots: w.report(u).Slots} })
	}
}

func (w *world) report(u *upstream) (load stub.Load) {
	w.t.Helper()
	w.getJSON(u.control, "/v1/report", &load)
	return load
}

// log asks a live upstream for its log.
func (w *world) log(u *upstream) (log stub.RunLog) {
	w.t.Helper()
	w.getJSON(u.control, "/v1/runs", &log)
	return log
}

// control changes the settings of an upstream.
func (w *world) control(u *upstream, change string) {
	w.t.Helper()
	w.post(u.control, "/v1/control", change)
}

// rules replaces the rules of an upstream's fault proxy.
func (w *world) rules(u *upstream, rules string) {
	w.t.Helper()
	w.post(u.rules, "/v1/rules", rules)
}

func (w *world) post(addr netip.AddrPort, path, body string) {
	w.t.Helper()
	status, answer, err := w.exchange(http.MethodPost, addr, path, body, nil)
	if err != nil || status != http.StatusOK {
		w.t.Fatalf("%s %s: status %d, %v, %s", path, body, status, err, answer)
	}
}

func (w *world) get(addr netip.AddrPort, path string) (status int, body []byte, err error) {
	return w.exchange(http.MethodGet, addr, path, "", nil)
}

func (w *world) getJSON(addr netip.AddrPort, path string, to any) {
	w.t.Helper()
	status, body, err := w.get(addr, path)
	if err == nil && status == http.StatusOK {
		err = json.Unmarshal(body, to)
	}
	if err != nil || status != http.StatusOK {
		w.t.Fatalf("%s: status %d, %v", path, status, err)
	}
}

// exchange sends one request on a connection of its own.
func (w *world) exchange(method string, addr netip.AddrPort, path, body string, header map[string]string) (status int, answer []byte, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), maxWait)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, fmt.Sprintf("http://%s%s", addr, path), bytes.NewReader([]byte(body)))
	if err != nil {
		return 0, nil, err
	}
	for name, value := range header {
		r.Header.Set(name, value)
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(r)
	if err != nil {
		return 0, nil, err
	}
	defer response.Body.Close()
	answer, err = io.ReadAll(response.Body)
	return response.StatusCode, answer, err
}
