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

const testTimeout = 5 * time.Second // for steps that take no time unless they block

// lineWriter writes n lines on a goroutine.
type lineWriter struct {
	w    io.Writer
	n    int
	done chan struct{}
}

func (w *lineWriter) run() {
	defer close(w.done)
	for n := range w.n {
		fmt.Fprintf(w.w, "line %d\n", n)
	}
}

// Guards against a process that blocks because nobody reads its log, and against
// lines that are dropped without notice.
func TestWriteDoesNotWaitForTheReader(t *testing.T) {
	r, out := io.Pipe()
	w := spool.New(out)
	const lines = 5000
	writer := &lineWriter{w: w, n: lines, done: make(chan struct{})}
	go writer.run()
	select {
	case <-writer.done:
	case <-time.After(testTimeout):
		t.Fatal("Write waits for a reader")
	}
	reader := &pipeReader{r: r, result: make(chan string, 1)}
	go reader.run()
	w.Close()
	if err := out.Close(); err != nil {
		t.Fatal(err)
	}
	got := <-reader.result
	if !strings.HasPrefix(got, "line 0\n") || !strings.Contains(got, "log lines dropped") {
		t.Errorf("got %d bytes beginning with %.80q, want the first lines and the number of dropped lines", len(got), got)
	}
}

// blockingWriter blocks writes until release is closed.
type blockingWriter struct {
	bytes.Buffer
	entered chan struct{} // holds an element once a write is blocked
	release chan struct{} // closed to unblock writes
}

func (b *blockingWriter) Write(line []byte) (n int, err error) {
	select {
	case b.entered <- struct{}{}:
	default:
	}
	<-b.release
	return b.Buffer.Write(line)
}

// Guards against reporting dropped lines before lines that were kept, so that a
// reader searches for the gap in the wrong place.
func TestDroppedLinesAreReportedWhereTheyAreMissing(t *testing.T) {
	out := &blockingWriter{entered: make(chan struct{}, 1), release: make(chan struct{})}
	w := spool.New(out)
	fmt.Fprintln(w, "first")
	<-out.entered
	const queued, dropped = 512, 3 // lines, after the first, which blocks the writer's goroutine
	for n := range queued + dropped {
		fmt.Fprintf(w, "line %d\n", n)
	}
	close(out.release)
	w.Close()
	got := strings.Split(strings.TrimSpace(out.String()), "\n")
	if len(got) != queued+2 {
		t.Fatalf("got %d lines, want %d", len(got), queued+2)
	}
	if last := got[len(got)-1]; !strings.Contains(last, `"lines":3`) || !strings.Contains(last, "log lines dropped") {
		t.Errorf("got %q as the last line, want it to say that %d lines were dropped", last, dropped)
	}
	if got, want := got[queued], fmt.Sprintf("line %d", queued-1); got != want {
		t.Errorf("got %q before the last line, want %q", got, want)
	}
}

// pipeReader reads everything from r and sends it to result.
type pipeReader struct {
	r      io.Reader
	result chan string
}

func (p *pipeReader) run() {
	all, err := io.ReadAll(p.r)
	if err != nil {
		all = append(all, err.Error()...)
	}
	p.result <- string(all)
}

// Guards against lines that are lost or reordered while the queue has room.
func TestLinesInOrder(t *testing.T) {
	var out bytes.Buffer
	w := spool.New(&out)
	var want strings.Builder
	for n := range 100 {
		fmt.Fprintf(w, "line %d\n", n)
		fmt.Fprintf(&want, "line %d\n", n)
	}
	w.Close()
	if got := out.String(); got != want.String() {
		t.Errorf("got %q, want %q", got, want.String())
	}
}
