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
	diskVMs  = 5 // number of VMs with a disk; all if there are fewer VMs
)

// layout is the size of a fleet and its other properties.
type layout struct {
	shards, replicas, vms int
	concurrency           int      // of the contract; 0 means 300
	conns                 int      // connections that each upstream accepts; 0 means 65
	coverage              float64  // minimum coverage of the contract's classes
	upstreamFlags         []string // command line flags of all upstreams
	proxied               bool     // VMs reach the upstreams through fault proxies
	zoned                 bool     // fault proxies are in front of VMs and upstreams, so that zones can be cut off
	tls                   bool     // mutual TLS between the VMs
	retention             string   // of idempotency keys; "" means 1h
}

// fleet is a fleet of VM and upstream processes.
type fleet struct {
	t         *testing.T
	dir       string
	number    int // of this fleet in the test process
	layout    layout
	upstreams []*upstream // ordered by shard, then by replica
	vms       []*vm
}

// upstream is the process of a stand-in for an upstream.
type upstream struct {
	*process
	id           string
	shard        int
	addr         netip.AddrPort // that VMs connect to
	control      netip.AddrPort
	runLog       string         // path of the run log
	faultControl netip.AddrPort // HTTP API of its fault proxy; zero without one
	zoneProxy    *fault.Proxy   // nil unless the layout is zoned
}

// vm is the process of an entry VM.
type vm struct {
	*process
	id           string
	starts       atomic.Int64
	callerAddr   netip.AddrPort
	peerAddr     netip.AddrPort // that other VMs connect to
	listenAddr   netip.AddrPort // listener for other VMs
	adminAddr    netip.AddrPort
	settingsFile string
	zoneProxy    *fault.Proxy // nil unless the layout is zoned
	adminTLS     *tls.Config  // for operators' connections; nil for plain HTTP
}

// fleetCount is the number of fleets that this test process has started.
var fleetCount atomic.Int64

// newFleet starts upstreams, fault proxies and VMs, and waits until the VMs accept
// requests.
func newFleet(t *testing.T, l layout) *fleet {
	t.Helper()
	l.conns = cmp.Or(l.conns, 65)
	l.concurrency = cmp.Or(l.concurrency, 300)
	l.retention = cmp.Or(l.retention, "1h")
	f := &fleet{t: t, dir: t.TempDir(), number: int(fleetCount.Add(1)), layout: l}
	for shard := range l.shards {
		for replica := range l.replicas {
			f.addUpstream(shard, replica)
		}
	}
	for n := range l.vms {
		v := &vm{
			id: fmt.Sprintf("vm%d", n+1), callerAddr: f.address(n, callerPortOffset), listenAddr: f.address(n, peerPortOffset),
			adminAddr: f.address(n, adminPortOffset), settingsFile: filepath.Join(f.dir, fmt.Sprintf("vm%d.ini", n+1)),
		}
		v.peerAddr = v.listenAddr
		if l.zoned {
			v.zoneProxy = f.startProxy(v.listenAddr)
			v.peerAddr = v.zoneProxy.Addr()
		}
		f.vms = append(f.vms, v)
	}
	if l.tls {
		f.writeTLSFiles()
	}
	f.writeFile("fleet.ini", f.fleetFile())
	for n, v := range f.vms {
		f.writeFile(filepath.Base(v.settingsFile), f.vmSettings(n))
		f.startVM(v)
	}
	for _, v := range f.vms {
		f.waitReady(v)
	}
	return f
}

// Ports of a VM, relative to its first one.
const (
	callerPortOffset = iota
	peerPortOffset
	adminPortOffset
	portsPerVM
)

// address returns the address of a VM's port. Different test processes have
// different pairs of second byte and port, because these are derived from the
// process id. Fleets and zones differ in the third byte. Ports are below the
// ephemeral range.
func (f *fleet) address(vm, port int) netip.AddrPort {
	pid := os.Getpid()
	ip := netip.AddrFrom4([4]byte{127, byte(1 + pid%250), byte(f.number*zones + vm%zones), byte(vm + 1)})
	return netip.AddrPortFrom(ip, uint16(10_000+portsPerVM*(pid/250%5000)+port))
}

// zonePrefix returns the prefix of the addresses of a zone's VMs.
func (f *fleet) zonePrefix(zone int) netip.Prefix {
	return netip.PrefixFrom(f.address(zone, 0).Addr(), 24).Masked()
}

// startProxy starts a fault proxy in the test process.
func (f *fleet) startProxy(target netip.AddrPort) *fault.Proxy {
	f.t.Helper()
	p, err := fault.Listen(netip.MustParseAddrPort("127.0.0.1:0"), target, 1)
	if err != nil {
		f.t.Fatal(err)
	}
	go func() { _ = p.Run() }()
	f.t.Cleanup(p.Close)
	return p
}

// isolateZone cuts a zone off from the others in both directions. A negative zone
// reconnects all zones.
func (f *fleet) isolateZone(zone int) {
	f.t.Helper()
	for n, v := range f.vms {
		f.cutZone(v.zoneProxy, n%zones, zone)
	}
	for i, u := range f.upstreams {
		f.cutZone(u.zoneProxy, i%zones, zone)
	}
}

// cutZone sets the rules of the proxy of a process in zone own, so that it cuts
// connections between zone and the other zones.
func (f *fleet) cutZone(proxy *fault.Proxy, own, zone int) {
	f.t.Helper()
	var rules fault.Rules
	for other := range zones {
		if zone >= 0 && (own == zone) != (other == zone) {
			rules.Sources = append(rules.Sources, fault.SourceRules{Prefix: f.zonePrefix(other), Cut: true})
		}
	}
	if err := proxy.SetRules(rules); err != nil {
		f.t.Fatal(err)
	}
}

// addUpstream starts an upstream and its proxies.
func (f *fleet) addUpstream(shard, replica int) {
	u := &upstream{id: fmt.Sprintf("%s-%d-%d", index, shard, replica), shard: shard}
	u.runLog = filepath.Join(f.dir, u.id+".runs")
	args := append([]string{
		"upstream", "--name", u.id, "--control", "127.0.0.1:0", "--log", u.runLog,
		"--hold", stub.HeldSnapshot{Index: index, Version: 1, ShardCount: f.layout.shards, HeldShards: []int{shard}}.String(),
		"--conns", strconv.Itoa(f.layout.conns), "--seed", strconv.Itoa(shard*f.layout.replicas + replica + 1),
	}, f.layout.upstreamFlags...)
	u.process = startProcess(f.t, u.id, args...)
	u.addr, u.control = u.process.addr("serving"), u.process.addr("control")
	if f.layout.proxied {
		p := startProcess(f.t, "fault "+u.id, "fault", "--target", u.addr.String(), "--seed", strconv.Itoa(shard))
		u.addr, u.faultControl = p.addr("serving"), p.addr("control")
	}
	if f.layout.zoned {
		u.zoneProxy = f.startProxy(u.addr)
		u.addr = u.zoneProxy.Addr()
	}
	f.upstreams = append(f.upstreams, u)
}

// startVM starts or restarts the process of a VM.
func (f *fleet) startVM(v *vm) {
	v.process = startProcess(f.t, v.id, "serve", v.settingsFile)
	v.starts.Add(1)
}

// waitReady waits until a VM accepts requests.
func (f *fleet) waitReady(v *vm) {
	f.t.Helper()
	eventually(f.t, v.id+" is ready", func() bool {
		status, _, err := f.get(v.callerAddr, "/ready")
		if v.hasEnded() {
			f.t.Fatalf("%s ended: %q", v.id, v.otherLines)
		}
		return err == nil && status == http.StatusOK
	})
}

// fleetFile returns the content of the fleet file.
func (f *fleet) fleetFile() string {
	var b strings.Builder
	fmt.Fprintf(&b, "[contract %s]\ncredential = %x\nindexes = %s\n", customer, sha256.Sum256([]byte(secret)), index)
	fmt.Fprintf(&b, "concurrency = %d\ncapacity = 1\nextra = 0.1\nretention = %s\n\n", f.layout.concurrency, f.layout.retention)
	for i, wait := range []string{"50ms", "1s", "30s"} {
		fmt.Fprintf(&b, "[class %s c%d]\nwait = %s\nprice = %d\nweight = 1\ncoverage = %v\n\n", customer, i, wait, 9-i, f.layout.coverage)
	}
	for n, v := range f.vms {
		fmt.Fprintf(&b, "[vm %s]\nzone = %s\npeer = %v\ndisk = %s\n\n",
			v.id, zoneName(n), v.peerAddr, map[bool]string{true: "yes", false: "no"}[n < diskVMs])
	}
	for i, u := range f.upstreams {
		fmt.Fprintf(&b, "[upstream %s]\nzone = %s\naddr = %v\nindex = %s\nslots = 3\nconns = %d\ndial = 1ms\n\n",
			u.id, zoneName(i), u.addr, index, f.layout.conns)
	}
	return b.String()
}

// vmSettings returns the content of a VM's settings file.
func (f *fleet) vmSettings(n int) string {
	v := f.vms[n]
	var b strings.Builder
	fmt.Fprintf(&b, "[vm]\nid = %s\nzone = %s\n\n[caller]\nlisten = %v\ngrace = 100ms\nfinish = 30s\n\n", v.id, zoneName(n), v.callerAddr)
	fmt.Fprintf(&b, "[peer]\nlisten = %v\n\n[admin]\nlisten = %v\n\n[traffic]\nseed = %d\n\n", v.listenAddr, v.adminAddr, n+1)
	if n < diskVMs {
		fmt.Fprintf(&b, "[data]\nfolder = %s\n\n", filepath.Join(f.dir, v.id))
	}
	if f.layout.tls {
		fmt.Fprintf(&b, "[tls]\ncert = %[1]s.cert\nkey = %[1]s.key\nca = %[2]s\n\n", filepath.Join(f.dir, v.id), filepath.Join(f.dir, "ca"))
	}
	fmt.Fprintf(&b, "[fleet]\nfile = %s\n", filepath.Join(f.dir, "fleet.ini"))
	return b.String()
}

func zoneName(n int) string {
	return []string{"a", "b", "c"}[n%zones]
}

func (f *fleet) writeFile(name, text string) {
	f.t.Helper()
	if err := os.WriteFile(filepath.Join(f.dir, name), []byte(text), 0o600); err != nil {
		f.t.Fatal(err)
	}
}

// runLoad sends requests to the load's targets, by default all VMs, and waits for
// the results.
func (f *fleet) runLoad(l *bench.OpenLoop) []bench.Result {
	f.t.Helper()
	if l.Targets == nil {
		for _, v := range f.vms {
			l.Targets = append(l.Targets, v.callerAddr)
		}
	}
	for i := range l.Callers {
		l.Callers[i].Customer, l.Callers[i].Secret, l.Callers[i].Index = customer, secret, index
	}
	results, err := l.Run(f.t.Context())
	if err != nil {
		f.t.Fatal(err)
	}
	return results
}

// checkResults compares results with the run logs on disk. It fails the test when
// an answer violates a guarantee that holds under every fault.
func (f *fleet) checkResults(results []bench.Result) *bench.Report {
	f.t.Helper()
	logs := f.runLogs()
	report := bench.Measure(results)
	bench.NewChecker(logs).Check(report, results)
	if report.MixedSnapshots+report.ForeignItems+report.IncorrectAnswers+report.DuplicateRuns+report.LostRuns+report.FalseRefusals > 0 {
		f.t.Errorf("mixed %d, crossed %d, untrue %d, doubled %d, lost %d, false refusals %d; want none: %q",
			report.MixedSnapshots, report.ForeignItems, report.IncorrectAnswers, report.DuplicateRuns, report.LostRuns, report.FalseRefusals, report.Faults)
	}
	f.t.Logf("queries %d, complete %d, partial %d, refused %v, failed %d",
		report.Queries, report.Complete, report.Partial, report.RefusalReasons, report.Unanswered)
	return report
}

// runLogs reads the run logs of all upstreams, including killed ones.
func (f *fleet) runLogs() []stub.RunLog {
	f.t.Helper()
	var logs []stub.RunLog
	for _, u := range f.upstreams {
		runs, err := stub.ReadRuns(u.runLog)
		if err != nil {
			f.t.Fatal(err)
		}
		logs = append(logs, stub.RunLog{ID: u.id, Runs: runs})
	}
	return logs
}

// waitIdle waits until no upstream runs a request, so that the run logs are
// complete.
func (f *fleet) waitIdle() {
	f.t.Helper()
	for _, u := range f.upstreams {
		eventually(f.t, u.id+" is idle", func() bool { return u.hasEnded() || f.loadReport(u) == stub.Load{Slots: f.loadReport(u).Slots} })
	}
}

// loadReport requests an upstream's load report.
func (f *fleet) loadReport(u *upstream) (load stub.Load) {
	f.t.Helper()
	f.getJSON(u.control, "/v1/report", &load)
	return load
}

// runLog requests a running upstream's run log.
func (f *fleet) runLog(u *upstream) (log stub.RunLog) {
	f.t.Helper()
	f.getJSON(u.control, "/v1/runs", &log)
	return log
}

// setUpstream changes settings of an upstream.
func (f *fleet) setUpstream(u *upstream, change string) {
	f.t.Helper()
	f.post(u.control, "/v1/control", change)
}

// setFaultRules replaces the rules of an upstream's fault proxy.
func (f *fleet) setFaultRules(u *upstream, rules string) {
	f.t.Helper()
	f.post(u.faultControl, "/v1/rules", rules)
}

func (f *fleet) post(addr netip.AddrPort, path, body string) {
	f.t.Helper()
	status, answer, err := f.request(http.MethodPost, addr, path, body, nil)
	if err != nil || status != http.StatusOK {
		f.t.Fatalf("%s %s: status %d, %v, %s", path, body, status, err, answer)
	}
}

func (f *fleet) get(addr netip.AddrPort, path string) (status int, body []byte, err error) {
	return f.request(http.MethodGet, addr, path, "", nil)
}

func (f *fleet) getJSON(addr netip.AddrPort, path string, to any) {
	f.t.Helper()
	status, body, err := f.get(addr, path)
	if err == nil && status == http.StatusOK {
		err = json.Unmarshal(body, to)
	}
	if err != nil || status != http.StatusOK {
		f.t.Fatalf("%s: status %d, %v", path, status, err)
	}
}

// request sends one request on a new connection.
func (f *fleet) request(method string, addr netip.AddrPort, path, body string, header map[string]string) (status int, answer []byte, err error) {
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
