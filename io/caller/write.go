package caller

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"comfreypulley/core/effect"
	"comfreypulley/core/model"
)

// answerBody is the JSON body of an answer to a query.
type answerBody struct {
	Request  uint64       `json:"request"`
	Snapshot uint64       `json:"snapshot"`
	Items    []itemBody   `json:"items"`
	Coverage coverageBody `json:"coverage"`
	Class    string       `json:"class"`
	Price    int64        `json:"price"`
	Ran      string       `json:"ran"`
}

type itemBody struct {
	ID   string          `json:"id"`
	Rank float64         `json:"rank"`
	Data json.RawMessage `json:"data"`
}

type coverageBody struct {
	Answered int   `json:"answered"`
	Total    int   `json:"total"`
	Missing  []int `json:"missing"`
}

// refusalBody is the JSON body of a refusal.
type refusalBody struct {
	Request uint64 `json:"request"`
	Reason  string `json:"reason"`
	Detail  string `json:"detail"`
	Ran     string `json:"ran"`
}

func writeEffect(w http.ResponseWriter, e effect.Effect) {
	switch e := e.(type) {
	case effect.SendAnswer:
		writeAnswer(w, e.Answer)
	case effect.Refuse:
		writeRefusal(w, e.Refusal)
	}
}

func writeAnswer(w http.ResponseWriter, a model.Answer) {
	body := answerBody{
		Request:  uint64(a.Request),
		Snapshot: uint64(a.Snapshot),
		Items:    make([]itemBody, len(a.Items)),
		Coverage: coverageBody{Answered: a.Coverage.Answered, Total: a.Coverage.Total, Missing: a.Coverage.Missing},
		Class:    a.Class,
		Price:    a.Price,
		Ran:      a.Ran.String(),
	}
	if body.Coverage.Missing == nil {
		body.Coverage.Missing = []int{}
	}
	for i, item := range a.Items {
		body.Items[i] = itemBody{ID: item.ID, Rank: item.Rank, Data: item.Data}
	}
	writeJSON(w, http.StatusOK, body)
}

func writeRefusal(w http.ResponseWriter, r model.Refusal) {
	if r.RetryAfter > 0 {
		seconds := (r.RetryAfter + time.Second - 1) / time.Second
		w.Header().Set("Retry-After", strconv.FormatInt(int64(seconds), 10))
	}
	writeJSON(w, statusOf(r.Reason), refusalBody{
		Request: uint64(r.Request), Reason: string(r.Reason), Detail: r.Detail, Ran: r.Ran.String(),
	})
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// The caller may have disconnected; it cannot be notified of the error.
	_ = json.NewEncoder(w).Encode(body)
}

func statusOf(reason model.RefusalReason) int {
	switch reason {
	case model.RefusedInvalid, model.RefusedWait:
		return http.StatusBadRequest
	case model.RefusedCredential:
		return http.StatusUnauthorized
	case model.RefusedIndex:
		return http.StatusForbidden
	case model.RefusedPending:
		return http.StatusConflict
	case model.RefusedExpired:
		return http.StatusGone
	case model.RefusedConflict, model.RefusedQuarantine:
		return http.StatusUnprocessableEntity
	case model.RefusedBusy, model.RefusedQuota:
		return http.StatusTooManyRequests
	case model.RefusedCoverage:
		return http.StatusGatewayTimeout
	default:
		return http.StatusServiceUnavailable
	}
}
