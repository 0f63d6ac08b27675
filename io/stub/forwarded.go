package stub

import (
	"cmp"
	"encoding/binary"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"github.com/zeebo/xxh3"

	"comfreypulley/io/proxy"
)

const (
	recordsPerAnswer = 20
	recordSize       = 16 // bytes
	healthPath       = "/health"
)

// ForwardingConfig makes a stub answer the requests that a proxy forwards to an
// upstream, on any path. A request meant for another upstream is refused.
type ForwardingConfig struct {
	HeaderNames *proxy.HeaderNames // names of the headers
	Watcher     Watcher
}

// Watcher is notified of every forwarded request.
type Watcher interface {
	// Arrived is called once for each request, when it begins to run, is refused or
	// is cancelled while it waits.
	Arrived(a Arrival)
	// Ended is called when a request has run, before its answer is sent.
	Ended(receipt, callerRequestID string, finished bool)
}

// Arrival is a forwarded request that reached a stub.
type Arrival struct {
	Upstream        string        // the stub's upstream id when the request arrived
	Intended        string        // id of the upstream that the request is intended for; as Upstream when it names none
	Receipt         string        // sent in the answer as proof that this stub answered; empty when the request is not run
	CallerRequestID string        // request id chosen by the caller
	RequestHash     uint64        // hash of its method, URI and body
	Wait            time.Duration // how long the caller waits, as its header states; 0 when the header is missing or invalid
	Source          netip.Addr    // address that it came from
	Team            string        // whose request it is, as its header states
	KeyPassed       bool          // it has a key, which is for this tier only
	Pause           time.Duration // that the stub asked for in its answer; 0 for none
	Accepted        bool          // false when the request is not run
	Records         []byte        // body of the answer
}

// SetUpstreamID changes the stub's upstream id. Later forwarded requests meant for
// another id are refused.
func (s *Stub) SetUpstreamID(id string) { s.upstreamID.Store(&id) }

// HashRequest returns a hash of a request, by which tests recognize it.
func HashRequest(method, uri string, body []byte) uint64 {
	return xxh3.HashString(method + " " + uri + "\n" + string(body))
}

// serveForwarded answers a forwarded request or a health check.
func (s *Stub) serveForwarded(w http.ResponseWriter, r *http.Request) {
	d, settings := s.forwarding.HeaderNames, s.settings.Load()
	tag := r.Header.Get(d.RequestID)
	w.Header().Set(d.RequestID, tag)
	report := s.report(time.Now())
	w.Header().Set(d.Load, s.loadText(report))
	if r.URL.Path == healthPath {
		return
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err != nil {
		return // the connection was closed
	}
	ms, err := strconv.ParseInt(r.Header.Get(d.Wait), 10, 64)
	if err != nil {
		ms = 0
	}
	id := *s.upstreamID.Load()
	a := Arrival{
		Upstream: id, Intended: cmp.Or(r.Header.Get(d.ExpectedUpstream), id), CallerRequestID: tag,
		RequestHash: HashRequest(r.Method, r.RequestURI, body), Wait: time.Duration(ms) * time.Millisecond,
		Team: r.Header.Get(d.Team), KeyPassed: r.Header.Get("Authorization") != "",
	}
	if from, err := netip.ParseAddrPort(r.RemoteAddr); err == nil {
		a.Source = from.Addr().Unmap()
	}
	refuse := func(status int) {
		s.forwarding.Watcher.Arrived(a)
		w.Header().Set(d.NotRun, "1")
		w.WriteHeader(status)
	}
	if a.Intended != id {
		refuse(http.StatusMisdirectedRequest)
		return
	}
	if a.Pause = settings.Pause; a.Pause > 0 {
		w.Header().Set("Retry-After", strconv.FormatFloat(a.Pause.Seconds(), 'f', -1, 64))
		refuse(http.StatusServiceUnavailable)
		return
	}
	switch s.slots.acquire(r.Context(), settings, a.Wait) {
	case acquired:
		s.runForwarded(w, r, settings, a)
	case cancelled:
		s.forwarding.Watcher.Arrived(a)
	default:
		refuse(http.StatusServiceUnavailable)
	}
}

// runForwarded runs a request that has acquired a slot, releases the slot and
// sends the answer.
func (s *Stub) runForwarded(w http.ResponseWriter, r *http.Request, settings *Settings, a Arrival) {
	n := s.runs.begin(Run{At: time.Now(), RequestID: a.CallerRequestID})
	a.Receipt = s.runs.id(n)
	a.Accepted, a.Records = true, answerRecords(a.Receipt)
	s.forwarding.Watcher.Arrived(a)
	end := EndFinished
	if !sleep(r.Context(), s.serviceTime(time.Now(), settings)) {
		end = EndCancelled
	}
	s.runs.end(n, end)
	s.slots.release(s.settings.Load())
	s.forwarding.Watcher.Ended(a.Receipt, a.CallerRequestID, end == EndFinished)
	if end == EndFinished {
		w.Header().Set(s.forwarding.HeaderNames.Receipt, a.Receipt)
		_, _ = w.Write(a.Records) // fails only when the client has closed the connection
	}
}

// answerRecords returns the unsorted records of the answer with the given receipt.
func answerRecords(receipt string) []byte {
	b := make([]byte, 0, recordsPerAnswer*recordSize)
	for i := range uint64(recordsPerAnswer) {
		h := xxh3.HashString128Seed(receipt, i)
		b = binary.BigEndian.AppendUint64(b, h.Hi)
		b = binary.BigEndian.AppendUint64(b, h.Lo)
	}
	return b
}
