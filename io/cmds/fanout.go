package cmds

import (
	"fmt"
	"os"
	"path/filepath"
	"text/tabwriter"
	"time"

	"comfreypulley/io/chart"
	"comfreypulley/io/scale"
)

const (
	nanosPerMilli = float64(time.Millisecond)
	p99           = 0.99
)

// fanoutCommand simulates queries over many shards and prints how their latency
// depends on the number of shards and on the retry budget.
type fanoutCommand struct {
	Shards   []int         `default:"10,100,300,1000,1300" help:"Numbers of shards."`
	Budget   []float64     `default:"0,0.01,0.02,0.05,0.1" help:"Extra-load budgets to compare at the largest number of shards."`
	Extra    float64       `default:"0.05" help:"Extra-load budget of the full policy."`
	Replicas int           `default:"3" help:"Replicas of each shard."`
	Queries  int           `default:"1000" help:"Queries of each run."`
	Service  time.Duration `default:"3ms" help:"Median service time."`
	Spread   float64       `default:"0.3" help:"Sigma of the log-normal service time."`
	Rare     float64       `default:"0.01" help:"Share of answers that take longer."`
	RareBy   float64       `default:"10" help:"Factor on the service time of these."`
	Seed     uint64        `default:"1" help:"Seed of the service times."`
	Draw     string        `help:"Folder for fanout.svg and budget.svg; empty draws nothing."`
}

// Run implements the command fanout.
func (c *fanoutCommand) Run() (err error) {
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	shardsChart, err := c.compareShards(w)
	if err != nil {
		return err
	}
	budgetChart, err := c.compareBudgets(w)
	if err != nil {
		return err
	}
	if err := w.Flush(); err != nil || c.Draw == "" {
		return err
	}
	if err := shardsChart.Write(filepath.Join(c.Draw, "fanout.svg")); err != nil {
		return err
	}
	return budgetChart.Write(filepath.Join(c.Draw, "budget.svg"))
}

func (c *fanoutCommand) serviceTimes() scale.ServiceTimes {
	return scale.ServiceTimes{Median: c.Service, Sigma: c.Spread, RareFraction: c.Rare, RareFactor: c.RareBy}
}

// simulate runs one simulation with the baseline or the full policy.
func (c *fanoutCommand) simulate(shards int, retryBudget float64, baseline bool) (scale.Result, error) {
	fanout := scale.Fanout{
		Shards: shards, Replicas: c.Replicas, Queries: c.Queries, RetryBudget: retryBudget, Baseline: baseline,
		Seed: c.Seed, ServiceTimes: c.serviceTimes(),
	}
	return fanout.Run()
}

// compareShards simulates the baseline ("plain") and the full policy with each
// number of shards. It prints the computed p99 without hedges beside them.
func (c *fanoutCommand) compareShards(w *tabwriter.Writer) (*chart.Chart, error) {
	fmt.Fprintf(w, "shards\ttail of a shard\tcomputed p99 ms\tplain p50\tplain p99\tfull p50\tfull p99\textra\tlate\n")
	computedSeries, plainSeries, fullSeries := chart.Series{Name: "computed, no hedges"}, chart.Series{Name: "plain"}, chart.Series{Name: "full"}
	for _, shards := range c.Shards {
		plain, err := c.simulate(shards, c.Extra, true)
		if err != nil {
			return nil, err
		}
		full, err := c.simulate(shards, c.Extra, false)
		if err != nil {
			return nil, err
		}
		computed := c.serviceTimes().Quantile(p99, shards, 0)
		fmt.Fprintf(w, "%d\t%.3g\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%.4f\t%d\n", shards, scale.MaxSlowFraction(p99, shards), milliseconds(computed),
			milliseconds(plain.P50), milliseconds(plain.P99), milliseconds(full.P50), milliseconds(full.P99), full.AttemptRatio, plain.Unanswered+full.Unanswered)
		computedSeries.Points = append(computedSeries.Points, chart.Point{X: float64(shards), Y: milliseconds(computed)})
		plainSeries.Points = append(plainSeries.Points, chart.Point{X: float64(shards), Y: milliseconds(plain.P99)})
		fullSeries.Points = append(fullSeries.Points, chart.Point{X: float64(shards), Y: milliseconds(full.P99)})
	}
	return &chart.Chart{
		Title: "Latency of queries by fan-out", XLabel: "shards", YLabel: "p99 in ms", LogX: true,
		Series: []chart.Series{computedSeries, plainSeries, fullSeries},
	}, nil
}

// compareBudgets simulates the full policy with each retry budget and the last
// number of shards.
func (c *fanoutCommand) compareBudgets(w *tabwriter.Writer) (*chart.Chart, error) {
	shards := c.Shards[len(c.Shards)-1]
	fmt.Fprintf(w, "\nbudget\tp50 ms\tp99 ms\tworst ms\textra\n")
	p50Series, p99Series := chart.Series{Name: "p50"}, chart.Series{Name: "p99"}
	for _, budget := range c.Budget {
		r, err := c.simulate(shards, budget, false)
		if err != nil {
			return nil, err
		}
		fmt.Fprintf(w, "%v\t%.1f\t%.1f\t%.1f\t%.4f\n", budget, milliseconds(r.P50), milliseconds(r.P99), milliseconds(r.Max), r.AttemptRatio)
		p50Series.Points = append(p50Series.Points, chart.Point{X: budget, Y: milliseconds(r.P50)})
		p99Series.Points = append(p99Series.Points, chart.Point{X: budget, Y: milliseconds(r.P99)})
	}
	return &chart.Chart{
		Title:  fmt.Sprintf("Latency of queries over %d shards by extra-load budget", shards),
		XLabel: "budget, share of first attempts", YLabel: "ms", Series: []chart.Series{p50Series, p99Series},
	}, nil
}

func milliseconds(d time.Duration) float64 { return float64(d) / nanosPerMilli }
