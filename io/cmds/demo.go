package cmds

import (
	"encoding/json"
	"fmt"
	"os"
	"text/tabwriter"
	"time"

	"github.com/apex/log"

	"comfreypulley/io/bench"
	"comfreypulley/io/chart"
	"comfreypulley/io/demo"
)

// demoCommand runs entry VMs, simulated upstreams and a load in one process, once
// with the baseline policy ("plain") and once with the full policy.
type demoCommand struct {
	Like    string        `default:"tabadul" enum:"kilimo,tabadul" help:"Shape: ${enum}."`
	Profile string        `default:"steady" enum:"confirm,crash,flood,overload,replica,steady,straggler,versions,zone" help:"Faults and load: ${enum}."`
	For     time.Duration `default:"10s" help:"Length of each load."`
	Rate    float64       `default:"0" help:"Requests a second; 0 takes that of the profile."`
	Seed    uint64        `default:"1" help:"Seed of times, queries and faults."`
	VMs     int           `name:"vms" default:"0" help:"Entry VMs; 0 takes all of the shape."`
	Shards  int           `default:"0" help:"Shards of the looked-up index, two replicas each in one zone; 0 takes those of the shape."`
	Chart   string        `placeholder:"FILE" help:"Draw the latencies of both policies into an SVG or PNG file."`
	JSON    bool          `help:"Print one JSON object instead of a table."`
}

// Run implements the command demo.
func (c *demoCommand) Run(rc *runContext) (err error) {
	warnLogger := &log.Logger{Handler: rc.handler, Level: log.WarnLevel}
	d := &demo.Demo{
		Examples: rc.examples, Example: c.Like, Profile: c.Profile, Period: c.For, Rate: c.Rate, Seed: c.Seed,
		VMs: c.VMs, Shards: c.Shards, Logger: warnLogger,
	}
	result, err := d.Run(rc.ctx)
	if err != nil {
		return err
	}
	if c.Chart != "" {
		if err := drawResult(result, c.Chart); err != nil {
			return err
		}
	}
	if c.JSON {
		return json.NewEncoder(os.Stdout).Encode(result)
	}
	return printResult(result)
}

// drawResult draws the latency distributions of both policies into a file.
func drawResult(r *demo.Result, file string) error {
	c := chart.Chart{
		Title: fmt.Sprintf("Latency, %s, %s, seed %d", r.Example, r.Profile, r.Seed), XLabel: "ms", YLabel: "share of answers", LogX: true,
	}
	for _, policy := range []struct {
		name   string
		report *bench.Report
	}{{"plain", r.Baseline}, {"full", r.Report}} {
		series := chart.Series{Name: policy.name}
		for _, l := range policy.report.Latencies {
			series.Points = append(series.Points, chart.Point{X: l.Milliseconds, Y: l.Fraction})
		}
		c.Series = append(c.Series, series)
	}
	return c.Write(file)
}

// printResult prints the figures of both policies side by side, then the targets.
func printResult(r *demo.Result) error {
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "%s, %s, seed %d, %d VMs\tplain\tfull\n", r.Example, r.Profile, r.Seed, r.VMs)
	rows := []struct {
		name  string
		value func(*bench.Report) any
	}{
		{"queries", func(r *bench.Report) any { return r.Queries }},
		{"whole", func(r *bench.Report) any { return r.Complete }},
		{"partial", func(r *bench.Report) any { return r.Partial }},
		{"refused", func(r *bench.Report) any { return r.Refused }},
		{"failed", func(r *bench.Report) any { return r.Unanswered }},
		{"in time", func(r *bench.Report) any { return r.InTime }},
		{"mixed", func(r *bench.Report) any { return r.MixedSnapshots }},
		{"crossed", func(r *bench.Report) any { return r.ForeignItems }},
		{"untrue", func(r *bench.Report) any { return r.IncorrectAnswers }},
		{"doubled", func(r *bench.Report) any { return r.DuplicateRuns }},
		{"lost", func(r *bench.Report) any { return r.LostRuns }},
		{"confirmed", func(r *bench.Report) any { return r.Confirmed }},
		{"false refusals", func(r *bench.Report) any { return r.FalseRefusals }},
		{"p50 ms", func(r *bench.Report) any { return r.P50 }},
		{"p99 ms", func(r *bench.Report) any { return r.P99 }},
		{"refusals p99 ms", func(r *bench.Report) any { return r.RefusalP99 }},
		{"coverage", func(r *bench.Report) any { return fmt.Sprintf("%.4f", r.Coverage) }},
		{"extra", func(r *bench.Report) any { return fmt.Sprintf("%.4f", r.AttemptRatio) }},
		{"refusals", func(r *bench.Report) any { return r.RefusalReasons }},
	}
	for _, row := range rows {
		fmt.Fprintf(w, "%s\t%v\t%v\n", row.name, row.value(r.Baseline), row.value(r.Report))
	}
	fmt.Fprintln(w, "\ntarget\tfull\tmet")
	for _, t := range r.Targets {
		fmt.Fprintf(w, "%s: %s\t%.4g\t%v\n", t.Name, t.Bound, t.Value, t.Met)
	}
	if err := w.Flush(); err != nil {
		return err
	}
	for _, text := range append(r.Baseline.Faults, r.Faults...) {
		fmt.Println("fault:", text)
	}
	return nil
}
