package chart

import (
	"fmt"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Size of a chart.
const (
	width  = 16 * vg.Centimeter
	height = 10 * vg.Centimeter
)

// Chart is a line chart.
type Chart struct {
	Title  string
	XLabel string // label with unit
	YLabel string // label with unit
	LogX   bool   // logarithmic axis; values must be above 0
	LogY   bool   // logarithmic axis; values must be above 0
	Series []Series
}

// Series is one line of a chart. Its points are drawn with markers.
type Series struct {
	Name   string
	Points []Point
}

// Point is one point of a line.
type Point struct {
	X, Y float64
}

// Write draws the chart to a file, whose extension selects the format.
func (c *Chart) Write(file string) (err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("chart %s: %w", file, err)
		}
	}()
	p := plot.New()
	p.Title.Text = c.Title
	p.X.Label.Text = c.XLabel
	p.Y.Label.Text = c.YLabel
	p.Legend.Top = true
	p.Legend.Left = true
	p.Add(plotter.NewGrid())
	if c.LogX {
		p.X.Scale = plot.LogScale{}
		p.X.Tick.Marker = plot.LogTicks{Prec: -1}
	}
	if c.LogY {
		p.Y.Scale = plot.LogScale{}
		p.Y.Tick.Marker = plot.LogTicks{Prec: -1}
	}
	for i, series := range c.Series {
		if err := addSeries(p, i, series); err != nil {
			return err
		}
	}
	return p.Save(width, height, file)
}

func addSeries(p *plot.Plot, i int, series Series) error {
	points := make(plotter.XYs, len(series.Points))
	for n, point := range series.Points {
		points[n].X, points[n].Y = point.X, point.Y
	}
	line, dots, err := plotter.NewLinePoints(points)
	if err != nil {
		return fmt.Errorf("series %s: %w", series.Name, err)
	}
	line.Color = plotutil.Color(i)
	dots.Color = plotutil.Color(i)
	dots.Shape = plotutil.Shape(i)
	p.Add(line, dots)
	p.Legend.Add(series.Name, line, dots)
	return nil
}
