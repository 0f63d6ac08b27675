package proxy

import (
	"bufio"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"

	"github.com/vmihailenco/msgpack/v5"

	"comfreypulley/core/effect"
	"comfreypulley/core/model"
	"comfreypulley/io/codec"
)

// portionHeader is the name of the header that states a portion: the version of
// the routing document, then the numbers of the shards, separated by semicolons.
const portionHeader = "Comfreypulley-Portion"

// portionFrame is one of the msgpack objects in the body of a response to a
// portion.
type portionFrame struct {
	Results []model.ShardResult `msgpack:"Pieces"`
	Records []byte
	More    bool // another frame follows
}

// maxFrameBytes is the limit of one encoded portionFrame.
const maxFrameBytes = 1 << 20

// maxPortionFrames is the largest number of frames of a portion: the answer and
// the failure of a shard may come in a frame of its own, and a last frame follows.
func maxPortionFrames(shards int) int { return 2*shards + 1 }

// readPortionFrame reads the next frame. An invalid one gives a *ResponseError.
func readPortionFrame(r *bufio.Reader) (frame portionFrame, err error) {
	defer func() {
		var syntax *codec.SyntaxError
		if errors.As(err, &syntax) {
			err = &ResponseError{Problem: syntax.Error()}
		}
	}()
	raw, err := codec.ReadValue(r, maxFrameBytes)
	if err != nil {
		return frame, err
	}
	err = codec.Unmarshal(raw, func(d *msgpack.Decoder) error { return d.Decode(&frame) })
	return frame, err
}

// PortionError reports an invalid value of the portion header.
type PortionError struct{ Text string }

// Error implements error.
func (e *PortionError) Error() string {
	return fmt.Sprintf("header %s has the invalid value %q", portionHeader, e.Text)
}

func formatPortion(p *model.Portion) string {
	b := strconv.AppendUint(nil, p.DocumentVersion, 10)
	for _, n := range p.Shards {
		b = strconv.AppendInt(append(b, ';'), int64(n), 10)
	}
	return string(b)
}

func parsePortion(text string) (p *model.Portion, err error) {
	defer func() {
		if err != nil {
			err = &PortionError{Text: text}
		}
	}()
	version, rest, _ := strings.Cut(text, ";")
	p = &model.Portion{}
	if p.DocumentVersion, err = strconv.ParseUint(version, 10, 64); err != nil {
		return nil, err
	}
	for field := range strings.SplitSeq(rest, ";") {
		n, err := strconv.Atoi(field)
		if err != nil {
			return nil, err
		}
		p.Shards = append(p.Shards, n)
	}
	return p, nil
}

// PortionHandler is the http.Handler for other VMs' requests, which are portions or
// requests that are handed over. It passes them to a Server.
type PortionHandler struct{ Server *Server }

// ServeHTTP implements http.Handler.
func (h *PortionHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s := h.Server
	if text := r.Header.Get(handoverHeader); text != "" {
		h.serveHandover(w, r, text)
		return
	}
	p, err := parsePortion(r.Header.Get(portionHeader))
	if err != nil {
		// The other VM treats the status as a refusal of the portion.
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	r.Header.Del(portionHeader)
	if s.HeaderNames.Team != "" {
		p.Team = r.Header.Get(s.HeaderNames.Team)
	}
	if s.draining.Load() {
		// The other VM does not know yet that this one is draining. The portion
		// is still accepted, because it ends long before the process does.
		w.Header().Set("Connection", "close")
	}
	s.serve(w, r, p, nil)
}

// serveHandover serves a request that another VM hands over.
func (h *PortionHandler) serveHandover(w http.ResponseWriter, r *http.Request, text string) {
	handover, err := parseHandover(text)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	handover.Metered = r.Header.Get(meteredHeader) != ""
	r.Header.Del(handoverHeader)
	w.Header().Set(handoverHeader, text)
	if h.Server.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	h.Server.serve(w, r, nil, handover)
}

// streamPortionResults writes frames to another VM up to the last one, or a
// refusal. It reports false when the other VM has closed the connection.
func (s *Server) streamPortionResults(w http.ResponseWriter, r *http.Request, request *CallerRequest) bool {
	encoder := msgpack.NewEncoder(w)
	encoder.UseCompactInts(true)
	w.Header()["Content-Type"], w.Header()["Date"] = nil, nil // suppresses both headers, which no VM reads
	for {
		select {
		case e := <-request.responses:
			result, ok := e.(effect.SendPortionResult)
			if !ok {
				s.writeEffect(w, e)
				return true
			}
			if err := encoder.Encode(portionFrame{Results: result.Results, Records: result.Records, More: result.More}); err != nil {
				return false
			}
			if !result.More {
				return true
			}
			if err := http.NewResponseController(w).Flush(); err != nil {
				return false
			}
		case <-r.Context().Done():
			return false
		}
	}
}
