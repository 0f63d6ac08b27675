// Package spool writes log lines on a goroutine of its own, so that a slow reader of
// the log does not block the goroutines that write to it.
//
// # Usage
//
//	w := spool.New(os.Stdout)
//	defer w.Close()
//	logger := &log.Logger{Handler: json.New(w), Level: log.InfoLevel}
//
// Each Write is one line. Lines written while the queue is full are dropped. In their
// place, a line states how many were dropped.
package spool

import (
	"bytes"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/json"
)

const (
	queueLength  = 512                    // lines; each has up to about 4 KB
	flushTimeout = 200 * time.Millisecond // how long Close waits for the queue to empty
)

// queuedLine is a line and the number of lines that were dropped before it.
type queuedLine struct {
	dropped int64
	line    []byte
}

// Writer queues lines and writes them on its own goroutine. It is created by New.
type Writer struct {
	out     io.Writer
	queue   chan queuedLine
	dropped atomic.Int64
	once    sync.Once
	closing chan struct{}
	done    chan struct{}
}

// New returns a writer to out and starts its goroutine, which ends after Close.
func New(out io.Writer) *Writer {
	w := &Writer{out: out, queue: make(chan queuedLine, queueLength), closing: make(chan struct{}), done: make(chan struct{})}
	go w.run()
	return w
}

// Write implements io.Writer. It never blocks and never fails.
func (w *Writer) Write(line []byte) (n int, err error) {
	dropped := w.dropped.Swap(0)
	select {
	case w.queue <- queuedLine{dropped: dropped, line: bytes.Clone(line)}:
	default:
		w.dropped.Add(dropped + 1)
	}
	return len(line), nil
}

// Close writes the queued lines, for which it waits at most flushTimeout. Lines
// passed to Write afterwards may be lost.
func (w *Writer) Close() {
	w.once.Do(func() { close(w.closing) })
	timer := time.NewTimer(flushTimeout)
	defer timer.Stop()
	select {
	case <-w.done:
	case <-timer.C:
	}
}

func (w *Writer) run() {
	defer close(w.done)
	for {
		select {
		case l := <-w.queue:
			w.write(l)
		case <-w.closing:
			w.flush()
			return
		}
	}
}

// flush writes the queued lines.
func (w *Writer) flush() {
	for {
		select {
		case l := <-w.queue:
			w.write(l)
		default:
			w.writeDropped(w.dropped.Swap(0))
			return
		}
	}
}

// write writes a line, after one that states how many were dropped before it. Errors
// are ignored: there is no other place to report that the log cannot be written.
func (w *Writer) write(l queuedLine) {
	w.writeDropped(l.dropped)
	_, _ = w.out.Write(l.line)
}

// writeDropped writes a line that states how many lines were dropped, if any.
func (w *Writer) writeDropped(dropped int64) {
	if dropped == 0 {
		return
	}
	logger := &log.Logger{Handler: json.New(w.out), Level: log.InfoLevel}
	logger.WithField("lines", dropped).Warn("log lines dropped")
}
