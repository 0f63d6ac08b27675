// Package chart draws measurements as SVG or PNG files.
//
// # Usage
//
//	c := chart.Chart{Title: "Latency", X: "share of queries", Y: "ms", Series: []chart.Series{{Name: "full", Points: points}}}
//	err := c.Write("docs/plots/latency.svg")
//
// The extension of the file name selects the format.
package chart
