package proxy

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"

	"github.com/vmihailenco/msgpack/v5"

	"comfreypulley/core/effect"
	"comfreypulley/core/model"
)

// portionHeader names the version of a document and the numbers of shards, each
// after a semicolon.
const portionHeader = "Comfreypulley-Portion"

// piecesFrame is one msgpack object in the body of an answer to a portion.
type piecesFrame struct {
	Pieces  []model.ShardResult
	Records []byte
	More    bool // another frame follows
}

// PortionError reports a header that names no portion.
type PortionError struct{ Text string }

// Error implements error.
func (e *PortionError) Error() string { return fmt.Sprintf("header %s: %q", portionHeader, e.Text) }

func writePortion(p *model.Portion) string {
	b := strconv.AppendUint(nil, p.DocumentVersion, 10)
	for _, n := range p.Shards {
		b = strconv.AppendInt(append(b, ';'), int64(n), 10)
	}
	return string(b)
}

func readPortion(text string) (p *model.Portion, err error) {
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

// Gatherer takes portions of other VMs' requests for a Server. It implements
// http.Handler.
type Gatherer struct{ Server *Server }

// ServeHTTP implements http.Handler.
func (g *Gatherer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s := g.Server
	p, err := readPortion(r.Header.Get(portionHeader))
	if err != nil {
		// The VM that asked counts it as a portion that was not taken.
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	r.Header.Del(portionHeader)
	if s.leaving.Load() {
		// The other VM does not know yet. Portions end long before this process does.
		w.Header().Set("Connection", "close")
	}
	s.serve(w, r, p)
}

// stream writes frames to another VM until the last one, or a refusal. It
// reports false when the other VM has left.
func (s *Server) stream(w http.ResponseWriter, r *http.Request, x *Exchange) bool {
	encoder := msgpack.NewEncoder(w)
	encoder.UseCompactInts(true)
	w.Header()["Content-Type"], w.Header()["Date"] = nil, nil // no VM reads them
	for {
		select {
		case e := <-x.answer:
			g, ok := e.(effect.SendPortionResult)
			if !ok {
				s.write(w, e)
				return true
			}
			if err := encoder.Encode(piecesFrame{Pieces: g.Results, Records: g.Records, More: g.More}); err != nil {
				return false
			}
			if !g.More {
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
