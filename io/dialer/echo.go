package dialer

import (
	"net/http"

	"comfreypulley/io/heads"
)

// attemptHeader identifies an attempt or a probe. An upstream repeats it in its
// response.
const attemptHeader = "Attempt"

// answersAttempt reports whether a response is the one to an attempt, and not a late
// second copy of an earlier response on the connection, nor bytes that are no response.
// An upstream that does not repeat the header is trusted.
func answersAttempt(response *http.Response, number string) bool {
	if interim, err := heads.CheckStatus(response); interim || err != nil {
		return false
	}
	repeated := response.Header.Get(attemptHeader)
	return repeated == "" || repeated == number
}
