// Package body reads the bodies of HTTP responses within a memory budget, because a
// server in trouble may send bytes without end.
//
// # Usage
//
//	var budget body.Budget // one for all responses that a client reads
//	b, err := budget.ReadAll(response.Body, response.ContentLength)
//
//	r := budget.NewReader(response.Body) // for a body that is decoded as it arrives
//	defer r.Release()
//
// After an error the caller closes the connection and must not close the body, since
// that reads the rest of it; http.Transport closes the connection by itself.
package body
