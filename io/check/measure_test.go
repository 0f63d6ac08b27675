package check

import (
	"encoding/json"
	"flag"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"comfreypulley/core/model"
	"comfreypulley/io/admin"
	"comfreypulley/io/bench"
	"comfreypulley/io/chart"
)

var (
	measure = flag.Bool("measure", false, "run the measurements")
	charts  = flag.String("charts", "", "folder that the measurements write their charts to")
)

// fleetSize is the number of VMs in the measurements, which is that of present
// users.
const fleetSize = 17

// skipUnlessMeasuring skips the test unless -measure is set.
func skipUnlessMeasuring(t *testing.T) {
	t.Helper()
	if !*measure {
		t.Skip("this is a measurement; run it with -measure")
	}
}

// printFigures prints figures as one line of JSON. Times are in milliseconds.
func printFigures(t *testing.T, figures map[string]any) {
	t.Helper()
	figures["test"] = t.Name()
	line, err := json.Marshal(figures)
	if err != nil {
		t.Fatal(err)
	}
	fmt.Println(string(line))
}

// writeChart writes a chart into the folder given by -charts, if any.
func writeChart(t *testing.T, name string, c *chart.Chart) {
	t.Helper()
	if *charts == "" {
		return
	}
	folder := *charts
	if !filepath.IsAbs(folder) {
		folder = filepath.Join("..", "..", folder) // tests run in the folder of their package
	}
	if err := c.Write(filepath.Join(folder, name)); err != nil {
		t.Fatal(err)
	}
}

func ms(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// quantile returns the q-quantile of values in ascending order.
func quantile(sorted []time.Duration, q float64) time.Duration {
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}

// Measures the time from sending a change until all VMs use it.
func TestMeasureChanges(t *testing.T) {
	skipUnlessMeasuring(t)
	const changes, pace = 200, 50 * time.Millisecond
	f := newFleet(t, layout{vms: fleetSize})
	watch := f.watchRevisions()
	sent, revisions := make([]time.Time, changes), make([]uint64, changes)
	var wg sync.WaitGroup
	for n := range changes {
		sent[n] = time.Now()
		wg.Go(func() {
			r, err := f.vms[n%len(f.vms)].client().PutContract(t.Context(), admin.ChangeHeaders{}, newContract(fmt.Sprintf("c%d", n), 10))
			if err != nil {
				t.Error(err)
			}
			revisions[n] = r.Revision
		})
		<-time.After(pace)
	}
	wg.Wait()
	f.waitInForce(model.Revision(slices.Max(revisions)), f.vms...)
	eventually(t, "the watch saw the last revision", func() bool { return watch.allReached(slices.Max(revisions)) })
	watch.finish()
	var times []time.Duration
	for n, revision := range revisions {
		last := time.Time{}
		for _, seen := range watch.sightings {
			i := slices.IndexFunc(seen, func(s sighting) bool { return s.revision >= revision })
			if seen[i].at.After(last) {
				last = seen[i].at
			}
		}
		times = append(times, last.Sub(sent[n]))
	}
	slices.Sort(times)
	printFigures(t, map[string]any{
		"vms": fleetSize, "changes": changes, "p50": ms(quantile(times, 0.5)), "p99": ms(quantile(times, 0.99)),
		"worst": ms(times[changes-1]), "reverted": len(watch.decreases),
	})
	line := chart.Series{Name: "17 VMs, one change each 50 ms"}
	for i, d := range times {
		line.Points = append(line.Points, chart.Point{X: ms(d), Y: float64(i+1) / changes})
	}
	writeChart(t, "control-changes.svg", &chart.Chart{
		Title: "Time until a change is in force on all VMs", XLabel: "time (ms)", YLabel: "share of changes", Series: []chart.Series{line},
	})
}

// allReached reports whether every VM has reported at least a revision.
func (p *revisionWatch) allReached(revision uint64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, seen := range p.sightings {
		if seen[len(seen)-1].revision >= revision {
			n++
		}
	}
	return n == len(p.fleet.vms)
}

// waitNext waits until a change that was sent from now on is accepted, and returns
// the time of the acceptance relative to since.
func (o *operator) waitNext(t *testing.T, since time.Time) time.Duration {
	t.Helper()
	o.waitAccepted(t, 2) // the first one may have been sent earlier
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.lastAccepted.Sub(since)
}

// Measures five times how long after the kill of a leader the next change is
// accepted.
func TestMeasureLeaderKilled(t *testing.T) {
	measureLeaderGone(t, func(leader *vm) { leader.kill() })
}

// Measures five times how long after the planned stop of a leader the next change is
// accepted. The leader hands over its leadership before it exits.
func TestMeasureLeaderStopped(t *testing.T) {
	measureLeaderGone(t, func(leader *vm) {
		leader.terminate()
		leader.waitExit()
	})
}

func measureLeaderGone(t *testing.T, end func(leader *vm)) {
	skipUnlessMeasuring(t)
	f := newFleet(t, layout{vms: fleetSize})
	o := f.startOperator("c", f.vms[diskVMs:]...)
	var times []time.Duration
	for range 5 {
		o.waitAccepted(t, 20)
		leader := f.waitLeader()
		end(leader)
		times = append(times, o.waitNext(t, time.Now()))
		f.startVM(leader)
		f.waitReady(leader)
	}
	o.finish(t)
	f.checkContracts(o, f.vms...)
	slices.Sort(times)
	printFigures(t, map[string]any{"vms": fleetSize, "leaders": len(times), "median": ms(times[2]), "worst": ms(times[4]), "accepted": len(o.accepted), "lost": f.countLost(o)})
}

// countLost returns the number of accepted contracts that the last VM does not have.
func (f *fleet) countLost(o *operator) (n int) {
	contracts, err := f.vms[len(f.vms)-1].client().Contracts(f.t.Context())
	if err != nil {
		f.t.Fatal(err)
	}
	for _, customer := range o.accepted {
		if !slices.ContainsFunc(contracts, func(c model.Contract) bool { return c.Customer == customer }) {
			n++
		}
	}
	return n
}

// Measures how a zone that is cut off for 30 s answers queries, and the time from
// its reconnection until its VMs use every change accepted before.
func TestMeasureZoneCut(t *testing.T) {
	skipUnlessMeasuring(t)
	const period = 30 * time.Second
	f := newFleet(t, layout{shards: 3, replicas: 3, vms: fleetSize, coverage: 0.5, zoned: true})
	var inside, outside []*vm
	var targets []netip.AddrPort
	for n, v := range f.vms {
		if n%zones == 0 {
			inside, targets = append(inside, v), append(targets, v.callerAddr)
		} else {
			outside = append(outside, v)
		}
	}
	watch, o := f.watchRevisions(), f.startOperator("c", outside...)
	o.waitAccepted(t, 20)
	f.isolateZone(0)
	results := f.runLoad(&bench.OpenLoop{Targets: targets, Rate: 60, Period: period, Seed: 40, Callers: []bench.Caller{{Wait: time.Second}}})
	o.finish(t)
	f.waitInForce(o.revision, outside...)
	f.isolateZone(-1)
	reconnected := time.Now()
	f.waitInForce(o.revision, f.vms...)
	took := time.Since(reconnected)
	f.checkContracts(o, inside...)
	watch.finish()
	f.waitIdle()
	report := f.checkResults(results)
	late := bench.Select(results, func(r *bench.Result) bool { return r.PlannedAt >= 2*time.Second })
	printFigures(t, map[string]any{
		"vms": fleetSize, "changes": len(o.accepted), "queries": report.Queries, "whole": report.Complete, "partial": report.Partial,
		"refused": report.RefusalReasons, "untrue": report.IncorrectAnswers, "after2s": len(late), "whole2s": len(bench.Select(late, (*bench.Result).Complete)),
		"healed": ms(took), "reverted": len(watch.decreases), "seed": 40,
	})
}

// Measures the time from the restart of a VM that missed 500 changes until it is
// ready, and how many revisions it is behind then.
func TestMeasureReturn(t *testing.T) {
	skipUnlessMeasuring(t)
	for _, n := range []int{1, fleetSize - 1} {
		f := newFleet(t, layout{vms: fleetSize})
		v := f.vms[n]
		leader := f.waitLeader()
		if leader == v {
			v = f.vms[n-1]
		}
		v.kill()
		o := f.startOperator("c", f.vms[2])
		if v == f.vms[2] {
			t.Fatal("the VM that the operator uses was killed")
		}
		o.waitAccepted(t, 500)
		o.finish(t)
		started := time.Now()
		f.startVM(v)
		f.waitReady(v)
		took := time.Since(started)
		s, _ := f.status(v)
		printFigures(t, map[string]any{
			"vms": fleetSize, "disk": n < diskVMs, "missed": len(o.accepted), "ready": ms(took),
			"behind": int(o.revision) - int(s.Revision),
		})
	}
}

// Measures the time until a change is accepted when a VM lost its disk and the
// leader is killed as soon as that VM is ready again.
func TestMeasureReplacedDisk(t *testing.T) {
	skipUnlessMeasuring(t)
	f := newFleet(t, layout{vms: fleetSize})
	o := f.startOperator("c", f.vms[diskVMs:]...)
	o.waitAccepted(t, 50)
	replaced := f.vms[1]
	replaced.kill()
	if err := os.RemoveAll(filepath.Join(f.dir, replaced.id)); err != nil {
		t.Fatal(err)
	}
	o.waitAccepted(t, 50)
	started := time.Now()
	f.startVM(replaced)
	f.waitReady(replaced)
	back := time.Since(started)
	leader := f.waitLeader()
	leader.kill()
	took := o.waitNext(t, time.Now())
	o.waitAccepted(t, 50)
	o.finish(t)
	f.checkContracts(o, slices.DeleteFunc(slices.Clone(f.vms), func(v *vm) bool { return v == leader })...)
	printFigures(t, map[string]any{"vms": fleetSize, "back": ms(back), "next": ms(took), "accepted": len(o.accepted), "lost": f.countLost(o)})
}

// resourceUsage is what a process has used since its start.
type resourceUsage struct {
	cpu      time.Duration
	resident float64 // MB
	bytes    int64   // sent and received
	messages int64   // sent and received
}

// resourceUsage reads the usage of a VM's process from /proc and its counters.
func (f *fleet) resourceUsage(v *vm) (u resourceUsage) {
	f.t.Helper()
	read := func(name string) string {
		raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/%s", v.cmd.Process.Pid, name))
		if err != nil {
			f.t.Fatal(err)
		}
		return string(raw)
	}
	const tick = 10 * time.Millisecond // unit of times in /proc
	stat := read("stat")
	fields := strings.Fields(stat[strings.LastIndex(stat, ")")+1:])
	for _, field := range fields[11:13] { // user and system time
		n, err := strconv.Atoi(field)
		if err != nil {
			f.t.Fatal(err)
		}
		u.cpu += time.Duration(n) * tick
	}
	for line := range strings.Lines(read("status")) {
		if text, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, err := strconv.Atoi(strings.Fields(text)[0])
			if err != nil {
				f.t.Fatal(err)
			}
			u.resident = float64(kb) / 1024
		}
	}
	var vars struct {
		All struct {
			Peer map[string]int64 `json:"peer"`
		} `json:"comfreypulley"`
	}
	f.getJSON(v.adminAddr, "/debug/vars", &vars)
	u.bytes = vars.All.Peer["sentbytes"] + vars.All.Peer["receivedbytes"]
	u.messages = vars.All.Peer["sent"] + vars.All.Peer["received"]
	return u
}

// Measures the resources that a VM of an idle fleet uses, for several fleet sizes.
func TestMeasureIdle(t *testing.T) {
	skipUnlessMeasuring(t)
	const settle, period = 8 * time.Second, 20 * time.Second
	names := []string{"CPU (0.01% of a core)", "traffic (KB/s)", "resident (MB)", "messages/s"}
	lines := make([]chart.Series, len(names))
	for _, n := range []int{5, 9, 17, 33, 65} {
		f := newFleet(t, layout{vms: n})
		<-time.After(settle)
		before := make([]resourceUsage, n)
		for i, v := range f.vms {
			before[i] = f.resourceUsage(v)
		}
		<-time.After(period)
		var sum, most [4]float64
		for i, v := range f.vms {
			u := f.resourceUsage(v)
			for k, x := range []float64{
				100 * (u.cpu - before[i].cpu).Seconds() / period.Seconds(), float64(u.bytes-before[i].bytes) / period.Seconds(),
				u.resident, float64(u.messages-before[i].messages) / period.Seconds(),
			} {
				sum[k] += x
				most[k] = max(most[k], x)
			}
		}
		for _, v := range f.vms {
			v.kill()
		}
		printFigures(t, map[string]any{
			"vms": n, "cpu": sum[0] / float64(n), "bytes": sum[1] / float64(n), "resident": sum[2] / float64(n), "messages": sum[3] / float64(n),
			"mostcpu": most[0], "mostbytes": most[1], "mostresident": most[2], "mostmessages": most[3],
		})
		for k, scale := range []float64{100, 1.0 / 1024, 1, 1} {
			lines[k].Name = names[k]
			lines[k].Points = append(lines[k].Points, chart.Point{X: float64(n), Y: scale * sum[k] / float64(n)})
		}
	}
	writeChart(t, "control-idle.svg", &chart.Chart{
		Title: "Idle control cost, mean of the VMs", XLabel: "VMs", YLabel: "see legend", LogX: true, LogY: true, Series: lines,
	})
}
