package chart_test

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"comfreypulley/io/chart"
)

// Guards against an empty chart, and against output that differs between runs:
// committed charts would then change although their data did not.
func TestWriteIsRepeatable(t *testing.T) {
	c := chart.Chart{
		Title: "Latency", XLabel: "share", YLabel: "ms", LogY: true,
		Series: []chart.Series{{Name: "full", Points: []chart.Point{{X: 0.5, Y: 3}, {X: 0.99, Y: 12}}}},
	}
	var charts [2][]byte
	for i := range charts {
		file := filepath.Join(t.TempDir(), "c.svg")
		if err := c.Write(file); err != nil {
			t.Fatal(err)
		}
		raw, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		charts[i] = raw
	}
	if !bytes.Contains(charts[0], []byte("full")) {
		t.Error("got a file without the name of the series")
	}
	if !bytes.Equal(charts[0], charts[1]) {
		t.Error("got two different files for the same chart")
	}
}

// Guards against ignoring an unknown file format.
func TestWriteRefusesUnknownFormat(t *testing.T) {
	c := chart.Chart{Series: []chart.Series{{Name: "a", Points: []chart.Point{{X: 1, Y: 1}}}}}
	if err := c.Write(filepath.Join(t.TempDir(), "c.unknown")); err == nil {
		t.Error("got no error for an unknown format")
	}
}
