package proxy

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"

	"comfreypulley/core/effect"
	"comfreypulley/core/event"
	"comfreypulley/core/model"
	"comfreypulley/io/heads"
)

// Names of the headers with which VMs hand requests over.
const (
	// handoverHeader states a handover in a request: the least version of the routing
	// document and the number of attempts left, separated by a semicolon. In an
	// answer its presence shows that the VM knows the header. In an interim response it
	// states the version by which the request is served.
	handoverHeader = "Comfreypulley-Handover"

	// refusalHeader is in the answer of a VM that did not serve the request: the
	// reason and whether the request ran, separated by a semicolon.
	refusalHeader = "Comfreypulley-Refusal"

	// meteredHeader is in a request that is handed over and has a token of its
	// customer's limit.
	meteredHeader = "Comfreypulley-Metered"

	// leavingHeader names an upstream that said in the answer that it is about to
	// stop. It may appear more than once.
	leavingHeader = "Comfreypulley-Leaving"
)

// HandoverError reports an invalid value of a header between VMs.
type HandoverError struct{ Header, Text string }

// Error implements error.
func (e *HandoverError) Error() string {
	return fmt.Sprintf("header %s has the invalid value %q", e.Header, e.Text)
}

func formatHandover(h *model.Handover) string {
	return strconv.FormatUint(h.DocumentVersion, 10) + ";" + strconv.Itoa(h.MaxAttempts)
}

func parseHandover(text string) (h *model.Handover, err error) {
	version, attempts, _ := strings.Cut(text, ";")
	h = &model.Handover{}
	if h.DocumentVersion, err = strconv.ParseUint(version, 10, 64); err != nil {
		return nil, &HandoverError{Header: handoverHeader, Text: text}
	}
	if h.MaxAttempts, err = strconv.Atoi(attempts); err != nil || h.MaxAttempts < 1 {
		return nil, &HandoverError{Header: handoverHeader, Text: text}
	}
	return h, nil
}

// writeAcceptance writes an interim response with the version of the document by which
// a request that was handed over is served. A VM of an earlier version skips it.
func writeAcceptance(w http.ResponseWriter, e effect.AcceptHandover) {
	answered := w.Header().Get(handoverHeader)
	w.Header().Set(handoverHeader, formatHandover(&model.Handover{DocumentVersion: e.DocumentVersion, MaxAttempts: 1}))
	w.WriteHeader(http.StatusProcessing)
	w.Header().Set(handoverHeader, answered)
}

// readAcceptance posts the acceptance of a request in an interim response to it.
func (a *attempt) readAcceptance(response *http.Response) {
	if a.forward.Handover == nil {
		return
	}
	if h, err := parseHandover(response.Header.Get(handoverHeader)); err == nil {
		a.client.Post(event.HandoverAccepted{Attempt: a.forward.Attempt, DocumentVersion: h.DocumentVersion})
	}
}

func formatRefusal(r model.Refusal) string { return string(r.Reason) + ";" + r.Ran.String() }

// parseRefusal returns nil when the header is missing or invalid. A refusal that does
// not clearly state otherwise may have run.
func parseRefusal(h http.Header) *model.Refusal {
	reason, ran, found := strings.Cut(h.Get(refusalHeader), ";")
	if !found || !slices.Contains(model.RefusalReasons(), model.RefusalReason(reason)) {
		return nil
	}
	r := &model.Refusal{Reason: model.RefusalReason(reason), RetryAfter: heads.ParseRetryAfter(h)}
	switch ran {
	case model.RanNo.String():
		r.Ran = model.RanNo
	case model.RanYes.String():
		r.Ran = model.RanYes
	}
	return r
}

// readHandoverResult returns the event for another VM's answer to a request that was
// handed over.
func (a *attempt) readHandoverResult(response *http.Response) (result event.Body, err error) {
	body, err := a.client.bodies.ReadAll(response.Body, response.ContentLength)
	if err != nil {
		return nil, fmt.Errorf("read the answer of another VM: %w", err)
	}
	refusal := parseRefusal(response.Header)
	switch {
	case response.Header.Get(handoverHeader) == "" && response.StatusCode == http.StatusBadRequest:
		// A VM of an earlier version did not find a portion in the request.
		return event.AttemptFailed{Attempt: a.forward.Attempt, Reason: model.FailedShed, Ran: model.RanNo, NewConn: a.newConn}, nil
	case response.Header.Get(handoverHeader) == "":
		return nil, &ResponseError{Problem: "does not come from another VM"}
	case response.Header.Get(refusalHeader) != "" && refusal == nil:
		return nil, &HandoverError{Header: refusalHeader, Text: response.Header.Get(refusalHeader)}
	case refusal != nil:
		return event.HandoverResult{Attempt: a.forward.Attempt, Refusal: refusal}, nil
	}
	var leaving []model.UpstreamID
	for _, id := range response.Header.Values(leavingHeader) {
		leaving = append(leaving, model.UpstreamID(id))
	}
	return event.HandoverResult{Attempt: a.forward.Attempt, Leaving: leaving, Response: model.Response{
		Status: response.StatusCode, Headers: responseHeaders(response.Header), Body: body,
	}}, nil
}
