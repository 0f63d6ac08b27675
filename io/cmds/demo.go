package cmds

import (
	"encoding/json"
	"fmt"
	"os"
	"text/tabwriter"
	"time"

	"comfreypulley/io/bench"
	"comfreypulley/io/demo"
)

// demoCommand runs the whole system in one process.
type demoCommand struct {
	For   time.Duration `default:"5s" help:"Length of the load."`
	Rate  float64       `default:"200" help:"Queries a second."`
	JSON  bool          `help:"Print one JSON object instead of a table."`
	Plain bool          `help:"Use the plain baseline policy."`
}

// Run implements the subcommand.
func (c *demoCommand) Run(s *scope) (err error) {
	d := &demo.Demo{Period: c.For, Rate: c.Rate, Plain: c.Plain, Logger: s.logger}
	report, err := d.Run(s.ctx)
	if err != nil {
		return err
	}
	if c.JSON {
		return json.NewEncoder(os.Stdout).Encode(report)
	}
	return printReport(report)
}

func printReport(r *bench.Report) error {
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	rows := []struct {
		name  string
		value any
	}{
		{"queries", r.Queries},
		{"whole", r.Whole},
		{"partial", r.Partial},
		{"refused", r.Refused},
		{"failed", r.Failed},
		{"mixed", r.Mixed},
		{"crossed", r.Crossed},
		{"untrue", r.Untrue},
		{"doubled", r.Doubled},
		{"false refusals", r.FalseRefusals},
		{"p50 ms", r.P50},
		{"p99 ms", r.P99},
		{"coverage", r.Coverage},
		{"extra", r.Extra},
	}
	for _, row := range rows {
		fmt.Fprintf(w, "%s\t%v\n", row.name, row.value)
	}
	return w.Flush()
}
