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

// fleetSize is the number of VMs of the measurements, as today's users have.
const fleetSize = 17

// measured skips the test unless measurements are asked for.
func measured(t *testing.T) {
	t.Helper()
	if !*measure {
		t.Skip("a measurement; -measure runs it")
	}
}

// output writes figures as one JSON line. Times are in milliseconds.
func output(t *testing.T, figures map[string]any) {
	t.Helper()
	figures["test"] = t.Name()
	line, err := json.Marshal(figures)
	if err != nil {
		t.Fatal(err)
	}
	fmt.Println(string(line))
}

func draw(t *testing.T, name string, c *chart.Chart) {
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

// quantile returns a quantile of ascending values.
func quantile(sorted []time.Duration, q float64) time.Duration {
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}

// Measures the time from sending a change until it is in force on all VMs.
func TestMeasureChanges(t *testing.T) {
	measured(t)
	const changes, pace = 200, 50 * time.Millisecond
	w := newWorld(t, layout{vms: fleetSize})
	watch := w.watch()
	sent, revisions := make([]time.Time, changes), make([]uint64, changes)
	var wg sync.WaitGroup
	for n := range changes {
		sent[n] = time.Now()
		wg.Go(func() {
			r, err := w.vms[n%len(w.vms)].client().PutContract(t.Context(), admin.ChangeHeaders{}, contractOf(fmt.Sprintf("c%d", n), 10))
			if err != nil {
				t.Error(err)
			}
			revisions[n] = r.Revision
		})
		<-time.After(pace)
	}
	wg.Wait()
	w.inForce(model.Revision(slices.Max(revisions)), w.vms...)
	eventually(t, "the watch saw the last revision", func() bool { return watch.reached(slices.Max(revisions)) })
	watch.end()
	var times []time.Duration
	for n, revision := range revisions {
		last := time.Time{}
		for _, seen := range watch.seen {
			i := slices.IndexFunc(seen, func(s sight) bool { return s.revision >= revision })
			if seen[i].at.After(last) {
				last = seen[i].at
			}
		}
		times = append(times, last.Sub(sent[n]))
	}
	slices.Sort(times)
	output(t, map[string]any{
		"vms": fleetSize, "changes": changes, "p50": ms(quantile(times, 0.5)), "p99": ms(quantile(times, 0.99)),
		"worst": ms(times[changes-1]), "reverted": len(watch.falls),
	})
	line := chart.Series{Name: "17 VMs, one change each 50 ms"}
	for i, d := range times {
		line.Points = append(line.Points, chart.Point{X: ms(d), Y: float64(i+1) / changes})
	}
	draw(t, "control-changes.svg", &chart.Chart{
		Title: "Time until a change is in force on all VMs", XLabel: "time (ms)", YLabel: "share of changes", Series: []chart.Series{line},
	})
}

// reached reports whether every VM was seen with a revision.
func (p *watch) reached(revision uint64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, seen := range p.seen {
		if seen[len(seen)-1].revision >= revision {
			n++
		}
	}
	return n == len(p.world.vms)
}

// next waits for a change that was sent after now, and returns how long it took.
func (o *operator) next(t *testing.T, since time.Time) time.Duration {
	t.Helper()
	o.more(t, 2) // the first one may have been sent before
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.last.Sub(since)
}

// Measures the time from the kill of a leader until a change sent after it is
// accepted, five times.
func TestMeasureLeaderKilled(t *testing.T) {
	measured(t)
	w := newWorld(t, layout{vms: fleetSize})
	o := w.operate("c", w.vms[disks:]...)
	var times []time.Duration
	for range 5 {
		o.more(t, 20)
		leader := w.leader()
		leader.kill()
		times = append(times, o.next(t, time.Now()))
		w.startVM(leader)
		w.ready(leader)
	}
	o.finish(t)
	w.expectContracts(o, w.vms...)
	slices.Sort(times)
	output(t, map[string]any{"vms": fleetSize, "kills": len(times), "median": ms(times[2]), "worst": ms(times[4]), "accepted": len(o.accepted), "lost": w.lost(o)})
}

// lost counts accepted contracts that a VM does not know.
func (w *world) lost(o *operator) (n int) {
	contracts, err := w.vms[len(w.vms)-1].client().Contracts(w.t.Context())
	if err != nil {
		w.t.Fatal(err)
	}
	for _, customer := range o.accepted {
		if !slices.ContainsFunc(contracts, func(c model.Contract) bool { return c.Customer == customer }) {
			n++
		}
	}
	return n
}

// Measures what a zone serves while it is cut off for 30 s, and the time from
// healing until it has everything in force that was accepted before.
func TestMeasureZoneCut(t *testing.T) {
	measured(t)
	const period = 30 * time.Second
	w := newWorld(t, layout{shards: 3, replicas: 3, vms: fleetSize, coverage: 0.5, zoned: true})
	var inside, outside []*vm
	var targets []netip.AddrPort
	for n, v := range w.vms {
		if n%zones == 0 {
			inside, targets = append(inside, v), append(targets, v.caller)
		} else {
			outside = append(outside, v)
		}
	}
	watch, o := w.watch(), w.operate("c", outside...)
	o.more(t, 20)
	w.separate(0)
	results := w.load(&bench.OpenLoop{Targets: targets, Rate: 60, Period: period, Seed: 40, Callers: []bench.Caller{{Wait: time.Second}}})
	o.finish(t)
	w.inForce(o.revision, outside...)
	w.separate(-1)
	healed := time.Now()
	w.inForce(o.revision, w.vms...)
	took := time.Since(healed)
	w.expectContracts(o, inside...)
	watch.end()
	w.idle()
	report := w.check(results)
	late := bench.Select(results, func(r *bench.Result) bool { return r.PlannedAt >= 2*time.Second })
	output(t, map[string]any{
		"vms": fleetSize, "changes": len(o.accepted), "queries": report.Queries, "whole": report.Complete, "partial": report.Partial,
		"refused": report.RefusalReasons, "untrue": report.IncorrectAnswers, "after2s": len(late), "whole2s": len(bench.Select(late, (*bench.Result).Complete)),
		"healed": ms(took), "reverted": len(watch.falls), "seed": 40,
	})
}

// Measures the time from the start of a process that missed 500 changes until
// it serves, and whether it is current then.
func TestMeasureReturn(t *testing.T) {
	measured(t)
	for _, n := range []int{1, fleetSize - 1} {
		w := newWorld(t, layout{vms: fleetSize})
		v := w.vms[n]
		leader := w.leader()
		if leader == v {
			v = w.vms[n-1]
		}
		v.kill()
		o := w.operate("c", w.vms[2])
		if v == w.vms[2] {
			t.Fatal("the operator's VM is the one that is killed")
		}
		o.more(t, 500)
		o.finish(t)
		started := time.Now()
		w.startVM(v)
		w.ready(v)
		took := time.Since(started)
		s, _ := w.status(v)
		output(t, map[string]any{
			"vms": fleetSize, "disk": n < disks, "missed": len(o.accepted), "ready": ms(took),
			"behind": int(o.revision) - int(s.Revision),
		})
	}
}

// Measures the time until a change is accepted after a disk VM was replaced and
// a second one, the leader, killed as soon as the first one was back.
func TestMeasureReplacedDisk(t *testing.T) {
	measured(t)
	w := newWorld(t, layout{vms: fleetSize})
	o := w.operate("c", w.vms[disks:]...)
	o.more(t, 50)
	replaced := w.vms[1]
	replaced.kill()
	if err := os.RemoveAll(filepath.Join(w.dir, replaced.id)); err != nil {
		t.Fatal(err)
	}
	o.more(t, 50)
	started := time.Now()
	w.startVM(replaced)
	w.ready(replaced)
	back := time.Since(started)
	leader := w.leader()
	leader.kill()
	took := o.next(t, time.Now())
	o.more(t, 50)
	o.finish(t)
	w.expectContracts(o, slices.DeleteFunc(slices.Clone(w.vms), func(v *vm) bool { return v == leader })...)
	output(t, map[string]any{"vms": fleetSize, "back": ms(back), "next": ms(took), "accepted": len(o.accepted), "lost": w.lost(o)})
}

// usage is what a process has used so far.
type usage struct {
	cpu      time.Duration
	resident float64 // MB
	bytes    int64   // sent and received
	messages int64   // sent and received
}

func (w *world) usage(v *vm) (u usage) {
	w.t.Helper()
	read := func(name string) string {
		raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/%s", v.cmd.Process.Pid, name))
		if err != nil {
			w.t.Fatal(err)
		}
		return string(raw)
	}
	const tick = 10 * time.Millisecond // unit of the times in /proc
	stat := read("stat")
	fields := strings.Fields(stat[strings.LastIndex(stat, ")")+1:])
	for _, field := range fields[11:13] { // user and system time
		n, err := strconv.Atoi(field)
		if err != nil {
			w.t.Fatal(err)
		}
		u.cpu += time.Duration(n) * tick
	}
	for line := range strings.Lines(read("status")) {
		if text, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, err := strconv.Atoi(strings.Fields(text)[0])
			if err != nil {
				w.t.Fatal(err)
			}
			u.resident = float64(kb) / 1024
		}
	}
	var vars struct {
		All struct {
			Peer map[string]int64 `json:"peer"`
		} `json:"comfreypulley"`
	}
	w.getJSON(v.admin, "/debug/vars", &vars)
	u.bytes = vars.All.Peer["sentbytes"] + vars.All.Peer["receivedbytes"]
	u.messages = vars.All.Peer["sent"] + vars.All.Peer["received"]
	return u
}

// Measures what control costs a VM of an idle fleet, by its size.
func TestMeasureIdle(t *testing.T) {
	measured(t)
	const settle, period = 8 * time.Second, 20 * time.Second
	names := []string{"CPU (0.01% of a core)", "traffic (KB/s)", "resident (MB)", "messages/s"}
	lines := make([]chart.Series, len(names))
	for _, n := range []int{5, 9, 17, 33, 65} {
		w := newWorld(t, layout{vms: n})
		<-time.After(settle)
		before := make([]usage, n)
		for i, v := range w.vms {
			before[i] = w.usage(v)
		}
		<-time.After(period)
		var sum, most [4]float64
		for i, v := range w.vms {
			u := w.usage(v)
			for k, x := range []float64{
				100 * (u.cpu - before[i].cpu).Seconds() / period.Seconds(), float64(u.bytes-before[i].bytes) / period.Seconds(),
				u.resident, float64(u.messages-before[i].messages) / period.Seconds(),
			} {
				sum[k] += x
				most[k] = max(most[k], x)
			}
		}
		for _, v := range w.vms {
			v.kill()
		}
		output(t, map[string]any{
			"vms": n, "cpu": sum[0] / float64(n), "bytes": sum[1] / float64(n), "resident": sum[2] / float64(n), "messages": sum[3] / float64(n),
			"mostcpu": most[0], "mostbytes": most[1], "mostresident": most[2], "mostmessages": most[3],
		})
		for k, scale := range []float64{100, 1.0 / 1024, 1, 1} {
			lines[k].Name = names[k]
			lines[k].Points = append(lines[k].Points, chart.Point{X: float64(n), Y: scale * sum[k] / float64(n)})
		}
	}
	draw(t, "control-idle.svg", &chart.Chart{
		Title: "Idle control cost, mean of the VMs", XLabel: "VMs", YLabel: "see legend", LogX: true, LogY: true, Series: lines,
	})
}
