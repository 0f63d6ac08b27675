package spool_test

import (
	"bytes"
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"comfreypulley/io/spool"
)

const patience = 5 * time.Second // for what takes no time

// writes is a goroutine that logs lines.
type writes struct {
	to    io.Writer
	n     int
	ended chan struct{}
}

func (w *writes) run() {
	defer close(w.ended)
	for n := range w.n {
		fmt.Fprintf(w.to, "line %d\n", n)
	}
}

// Guards against a process that stands still because nobody reads its log, and
// against lines that are left out without a word.
func TestWriteDoesNotWaitForTheReader(t *testing.T) {
	r, to := io.Pipe()
	w := spool.New(to)
	const lines = 5000
	all := &writes{to: w, n: lines, ended: make(chan struct{})}
	go all.run()
	select {
	case <-all.ended:
	case <-time.After(patience):
		t.Fatal("the writer waits for a reader")
	}
	text := &text{from: r, ended: make(chan string, 1)}
	go text.run()
	w.Close()
	if err := to.Close(); err != nil {
		t.Fatal(err)
	}
	got := <-text.ended
	if !strings.HasPrefix(got, "line 0\n") || !strings.Contains(got, "log lines dropped") {
		t.Errorf("got %d bytes beginning with %.80q, want the first lines and how many were dropped", len(got), got)
	}
}

// held is a reader that takes nothing until it is let go.
type held struct {
	bytes.Buffer
	entered chan struct{} // has an entry once a line waits
	release chan struct{} // closed to let lines through
}

func (h *held) Write(line []byte) (n int, err error) {
	select {
	case h.entered <- struct{}{}:
	default:
	}
	<-h.release
	return h.Buffer.Write(line)
}

// Guards against a number of lost lines that stands before lines that were kept,
// so that a reader looks for the gap in the wrong place.
func TestNumberOfDroppedLinesStandsWhereTheyWereDropped(t *testing.T) {
	to := &held{entered: make(chan struct{}, 1), release: make(chan struct{})}
	w := spool.New(to)
	fmt.Fprintln(w, "first")
	<-to.entered
	const queued, dropped = 512, 3 // the writer's goroutine holds the first line
	for n := range queued + dropped {
		fmt.Fprintf(w, "line %d\n", n)
	}
	close(to.release)
	w.Close()
	got := strings.Split(strings.TrimSpace(to.String()), "\n")
	if len(got) != queued+2 {
		t.Fatalf("got %d lines, want %d", len(got), queued+2)
	}
	if last := got[len(got)-1]; !strings.Contains(last, `"lines":3`) || !strings.Contains(last, "log lines dropped") {
		t.Errorf("got %q as the last line, want that %d lines were dropped", last, dropped)
	}
	if got, want := got[queued], fmt.Sprintf("line %d", queued-1); got != want {
		t.Errorf("got %q before it, want %q", got, want)
	}
}

// text reads everything.
type text struct {
	from  io.Reader
	ended chan string
}

func (t *text) run() {
	all, err := io.ReadAll(t.from)
	if err != nil {
		all = append(all, err.Error()...)
	}
	t.ended <- string(all)
}

// Guards against lines that are lost or change places though there is room.
func TestLinesInOrder(t *testing.T) {
	var to bytes.Buffer
	w := spool.New(&to)
	var want strings.Builder
	for n := range 100 {
		fmt.Fprintf(w, "line %d\n", n)
		fmt.Fprintf(&want, "line %d\n", n)
	}
	w.Close()
	if got := to.String(); got != want.String() {
		t.Errorf("got %q, want %q", got, want.String())
	}
}
