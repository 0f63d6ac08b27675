package proxy

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"

	"comfreypulley/core/model"
)

// Headers between VMs. A portion is a version and the numbers of shards; a piece
// is the number of a shard, the upstream that was asked and the receipt, each
// after a semicolon, as far as there are any.
const (
	portionHeader = "Comfreypulley-Portion"
	pieceHeader   = "Comfreypulley-Piece"
)

// PortionError reports a header between VMs that makes no sense.
type PortionError struct {
	Header string
	Text   string
}

// Error implements error.
func (e *PortionError) Error() string { return fmt.Sprintf("header %s: %q", e.Header, e.Text) }

func writePortion(p *model.Portion) string {
	b := strconv.AppendUint(nil, p.Version, 10)
	for _, n := range p.Legs {
		b = strconv.AppendInt(append(b, ';'), int64(n), 10)
	}
	return string(b)
}

func readPortion(text string) (p *model.Portion, err error) {
	defer func() {
		if err != nil {
			err = &PortionError{Header: portionHeader, Text: text}
		}
	}()
	version, rest, _ := strings.Cut(text, ";")
	p = &model.Portion{}
	if p.Version, err = strconv.ParseUint(version, 10, 64); err != nil {
		return nil, err
	}
	for field := range strings.SplitSeq(rest, ";") {
		n, err := strconv.Atoi(field)
		if err != nil {
			return nil, err
		}
		p.Legs = append(p.Legs, n)
	}
	return p, nil
}

func writePiece(p model.Piece) string {
	text := strconv.Itoa(p.Leg)
	if p.Tried != "" || p.Receipt != "" {
		text += ";" + string(p.Tried)
	}
	if p.Receipt != "" {
		text += ";" + p.Receipt
	}
	return text
}

func readPieces(h http.Header) (pieces []model.Piece, err error) {
	for _, text := range h.Values(pieceHeader) {
		number, rest, _ := strings.Cut(text, ";")
		p := model.Piece{}
		if p.Leg, err = strconv.Atoi(number); err != nil {
			return nil, &PortionError{Header: pieceHeader, Text: text}
		}
		tried, receipt, _ := strings.Cut(rest, ";")
		p.Tried, p.Receipt = model.UpstreamID(tried), receipt
		pieces = append(pieces, p)
	}
	slices.SortFunc(pieces, func(a, b model.Piece) int { return a.Leg - b.Leg })
	return pieces, nil
}

// Gatherer takes portions of other VMs' requests for a Server. It implements
// http.Handler.
type Gatherer struct{ Server *Server }

// ServeHTTP implements http.Handler.
func (g *Gatherer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s := g.Server
	p, err := readPortion(r.Header.Get(portionHeader))
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	r.Header.Del(portionHeader)
	if s.leaving.Load() {
		w.Header().Set("Connection", "close")
		s.refuse(w, model.Rejection{Reason: model.RefusedDraining, Ran: model.RanNo, After: drainPause})
		return
	}
	s.serve(w, r, p)
}
