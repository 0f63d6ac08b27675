package stub

import (
	"encoding/binary"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/zeebo/xxh3"

	"comfreypulley/io/proxy"
)

const (
	partRecords  = 20
	recordSize   = 16 // bytes
	routedHealth = "/health"
)

// Routed makes a stand-in answer routed requests on any path, under the headers
// of a dialect. A request that names another upstream is not run.
type Routed struct {
	Dialect *proxy.HeaderNames
	Watcher Watcher // told of every request
}

// Watcher is told what reaches a stand-in and what becomes of it, before the
// answer leaves.
type Watcher interface {
	Arrived(a Arrival)
	Ended(receipt, tag string, finished bool)
}

// Arrival is a routed request at a stand-in.
type Arrival struct {
	Upstream string // as which the stand-in took the request
	Receipt  string
	Tag      string
	Digest   uint64        // of its method, URI and body
	Wait     time.Duration // as stated; 0 when it is missing
	Accepted bool          // false when it is not run
	Records  []byte        // of its answer
}

// Rename changes the id that routed requests must name.
func (s *Stub) Rename(id string) { s.name.Store(&id) }

// Digest tells requests apart.
func Digest(method, uri string, body []byte) uint64 {
	return xxh3.HashString(method + " " + uri + "\n" + string(body))
}

// serveRouted answers a routed request.
func (s *Stub) serveRouted(w http.ResponseWriter, r *http.Request) {
	d, set := s.routed.Dialect, s.settings.Load()
	tag := r.Header.Get(d.RequestID)
	w.Header().Set(d.RequestID, tag)
	report := s.report(time.Now())
	w.Header().Set(d.Load, strconv.Itoa(report.Inflight)+","+strconv.Itoa(report.Queued)+","+strconv.Itoa(report.Slots))
	if r.URL.Path == routedHealth {
		return
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, maxQuery))
	if err != nil {
		return // the connection has ended
	}
	ms, err := strconv.ParseInt(r.Header.Get(d.Wait), 10, 64)
	if err != nil {
		ms = 0 // the watcher sees that it is missing
	}
	name := *s.name.Load()
	a := Arrival{Upstream: name, Tag: tag, Digest: Digest(r.Method, r.RequestURI, body), Wait: time.Duration(ms) * time.Millisecond}
	refuse := func(status int) {
		s.routed.Watcher.Arrived(a)
		w.Header().Set(d.NotRun, "1")
		w.WriteHeader(status)
	}
	if expected := r.Header.Get(d.ExpectedUpstream); expected != "" && expected != name {
		refuse(http.StatusMisdirectedRequest)
		return
	}
	switch s.slots.enter(r.Context(), set, a.Wait) {
	case entered:
		s.runRouted(w, r, set, a)
	case cancelled:
		s.routed.Watcher.Arrived(a)
	default:
		refuse(http.StatusServiceUnavailable)
	}
}

// runRouted runs a request in its slot and then answers it.
func (s *Stub) runRouted(w http.ResponseWriter, r *http.Request, set *Settings, a Arrival) {
	n := s.runlog.begin(Run{At: time.Now(), Request: a.Tag})
	a.Receipt = s.runlog.id(n)
	a.Accepted, a.Records = true, routedRecords(a.Receipt)
	s.routed.Watcher.Arrived(a)
	end := EndFinished
	if !sleep(r.Context(), s.serviceTime(time.Now(), set)) {
		end = EndCancelled
	}
	s.runlog.end(n, end)
	s.slots.leave(s.settings.Load())
	s.routed.Watcher.Ended(a.Receipt, a.Tag, end == EndFinished)
	if end == EndFinished {
		w.Header().Set(s.routed.Dialect.Receipt, a.Receipt)
		_, _ = w.Write(a.Records) // a caller that has left needs no answer
	}
}

// routedRecords returns the records of a run, in no order.
func routedRecords(receipt string) []byte {
	b := make([]byte, 0, partRecords*recordSize)
	for i := range uint64(partRecords) {
		h := xxh3.HashString128Seed(receipt, i)
		b = binary.BigEndian.AppendUint64(b, h.Hi)
		b = binary.BigEndian.AppendUint64(b, h.Lo)
	}
	return b
}
