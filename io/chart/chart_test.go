package chart_test

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"comfreypulley/io/chart"
)

// Guards against a drawing that comes out empty or differs between runs, which
// would change committed plots without a change of the figures.
func TestWriteIsRepeatable(t *testing.T) {
	c := chart.Chart{
		Title: "Latency", X: "share", Y: "ms", LogY: true,
		Series: []chart.Series{{Name: "full", Points: []chart.Point{{X: 0.5, Y: 3}, {X: 0.99, Y: 12}}}},
	}
	var drawn [2][]byte
	for i := range drawn {
		file := filepath.Join(t.TempDir(), "c.svg")
		if err := c.Write(file); err != nil {
			t.Fatal(err)
		}
		raw, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		drawn[i] = raw
	}
	if !bytes.Contains(drawn[0], []byte("full")) {
		t.Error("got a drawing without the name of its series")
	}
	if !bytes.Equal(drawn[0], drawn[1]) {
		t.Error("got two different drawings of the same chart")
	}
}

// Guards against a silent failure for an unknown format.
func TestWriteRefusesUnknownFormat(t *testing.T) {
	c := chart.Chart{Series: []chart.Series{{Name: "a", Points: []chart.Point{{X: 1, Y: 1}}}}}
	if err := c.Write(filepath.Join(t.TempDir(), "c.unknown")); err == nil {
		t.Error("got no error for an unknown format")
	}
}
