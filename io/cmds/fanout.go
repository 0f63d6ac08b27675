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
	milli = float64(time.Millisecond)
	p99   = 0.99
)

// fanoutCommand shows what a wide fan-out does to the latency of queries.
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

// Run implements the subcommand.
func (c *fanoutCommand) Run() (err error) {
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	shards, err := c.byShards(w)
	if err != nil {
		return err
	}
	budget, err := c.byBudget(w)
	if err != nil {
		return err
	}
	if err := w.Flush(); err != nil || c.Draw == "" {
		return err
	}
	if err := shards.Write(filepath.Join(c.Draw, "fanout.svg")); err != nil {
		return err
	}
	return budget.Write(filepath.Join(c.Draw, "budget.svg"))
}

func (c *fanoutCommand) times() scale.ServiceTimes {
	return scale.ServiceTimes{Median: c.Service, Sigma: c.Spread, RareFraction: c.Rare, RareFactor: c.RareBy}
}

func (c *fanoutCommand) run(shards int, extra float64, plain bool) (scale.Result, error) {
	f := scale.Fanout{
		Shards: shards, Replicas: c.Replicas, Queries: c.Queries, RetryBudget: extra, Baseline: plain, Seed: c.Seed, ServiceTimes: c.times(),
	}
	return f.Run()
}

// byShards runs both policies at each number of shards.
func (c *fanoutCommand) byShards(w *tabwriter.Writer) (*chart.Chart, error) {
	fmt.Fprintf(w, "shards\ttail of a shard\tcomputed p99 ms\tplain p50\tplain p99\tfull p50\tfull p99\textra\tlate\n")
	computed, plain, full := chart.Series{Name: "computed, no hedges"}, chart.Series{Name: "plain"}, chart.Series{Name: "full"}
	for _, n := range c.Shards {
		p, err := c.run(n, c.Extra, true)
		if err != nil {
			return nil, err
		}
		f, err := c.run(n, c.Extra, false)
		if err != nil {
			return nil, err
		}
		bound := c.times().Quantile(p99, n, 0)
		fmt.Fprintf(w, "%d\t%.3g\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%.4f\t%d\n", n, scale.MaxSlowFraction(p99, n), ms(bound),
			ms(p.P50), ms(p.P99), ms(f.P50), ms(f.P99), f.AttemptRatio, p.Unanswered+f.Unanswered)
		computed.Points = append(computed.Points, chart.Point{X: float64(n), Y: ms(bound)})
		plain.Points = append(plain.Points, chart.Point{X: float64(n), Y: ms(p.P99)})
		full.Points = append(full.Points, chart.Point{X: float64(n), Y: ms(f.P99)})
	}
	return &chart.Chart{
		Title: "Latency of queries by fan-out", XLabel: "shards", YLabel: "p99 in ms", LogX: true, Series: []chart.Series{computed, plain, full},
	}, nil
}

// byBudget runs the full policy with each budget at the last number of shards.
func (c *fanoutCommand) byBudget(w *tabwriter.Writer) (*chart.Chart, error) {
	n := c.Shards[len(c.Shards)-1]
	fmt.Fprintf(w, "\nbudget\tp50 ms\tp99 ms\tworst ms\textra\n")
	half, tail := chart.Series{Name: "p50"}, chart.Series{Name: "p99"}
	for _, extra := range c.Budget {
		r, err := c.run(n, extra, false)
		if err != nil {
			return nil, err
		}
		fmt.Fprintf(w, "%v\t%.1f\t%.1f\t%.1f\t%.4f\n", extra, ms(r.P50), ms(r.P99), ms(r.Max), r.AttemptRatio)
		half.Points = append(half.Points, chart.Point{X: extra, Y: ms(r.P50)})
		tail.Points = append(tail.Points, chart.Point{X: extra, Y: ms(r.P99)})
	}
	return &chart.Chart{
		Title:  fmt.Sprintf("Latency of queries over %d shards by extra-load budget", n),
		XLabel: "budget, share of first attempts", YLabel: "ms", Series: []chart.Series{half, tail},
	}, nil
}

func ms(d time.Duration) float64 { return float64(d) / milli }
