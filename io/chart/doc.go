// Package chart draws measurements as SVG or PNG files.
//
// # Usage
//
//	c := chart.Chart{Title: "Latency", XLabel: "time in s", YLabel: "latency in ms", Series: series}
//	err := c.Write("docs/plots/latency.svg")
//
// The extension of the file name selects the format.
package chart
