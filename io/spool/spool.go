// Package spool writes log lines beside the goroutine that logs them, so that a
// reader that has fallen behind holds nobody up.
//
// # Usage
//
//	w := spool.New(os.Stdout)
//	defer w.Close()
//	logger := &log.Logger{Handler: json.New(w), Level: log.InfoLevel}
//
// Each Write is one line. Lines that find the queue full are left out; a line
// with their number stands in their place, before the next line that finds room
// or at the end.
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
	queuedLines = 512                    // a line has up to about 4 KB
	lastLines   = 200 * time.Millisecond // for the queue to empty in Close
)

// entry is a line and the number of lines that were left out before it.
type entry struct {
	dropped int64
	line    []byte
}

// Writer is a queue of lines. Make it with New.
type Writer struct {
	to      io.Writer
	lines   chan entry
	dropped atomic.Int64
	once    sync.Once
	closing chan struct{}
	ended   chan struct{}
}

// New returns a writer and starts its goroutine, which ends with Close.
func New(to io.Writer) *Writer {
	w := &Writer{to: to, lines: make(chan entry, queuedLines), closing: make(chan struct{}), ended: make(chan struct{})}
	go w.run()
	return w
}

// Write implements io.Writer. It never blocks and never fails.
func (w *Writer) Write(line []byte) (n int, err error) {
	dropped := w.dropped.Swap(0)
	select {
	case w.lines <- entry{dropped: dropped, line: bytes.Clone(line)}:
	default:
		w.dropped.Add(dropped + 1)
	}
	return len(line), nil
}

// Close waits a short while for the queue to empty. Lines that are written later
// may be lost.
func (w *Writer) Close() {
	w.once.Do(func() { close(w.closing) })
	timer := time.NewTimer(lastLines)
	defer timer.Stop()
	select {
	case <-w.ended:
	case <-timer.C:
	}
}

func (w *Writer) run() {
	defer close(w.ended)
	for {
		select {
		case e := <-w.lines:
			w.write(e)
		case <-w.closing:
			w.flush()
			return
		}
	}
}

func (w *Writer) flush() {
	for {
		select {
		case e := <-w.lines:
			w.write(e)
		default:
			w.report(w.dropped.Swap(0))
			return
		}
	}
}

// write writes a line, and before it how many were left out. There is no other
// place to report that the log itself cannot be written.
func (w *Writer) write(e entry) {
	w.report(e.dropped)
	_, _ = w.to.Write(e.line)
}

func (w *Writer) report(dropped int64) {
	if dropped == 0 {
		return
	}
	logger := &log.Logger{Handler: json.New(w.to), Level: log.InfoLevel}
	logger.WithField("lines", dropped).Warn("log lines dropped")
}
