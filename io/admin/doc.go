// Package admin is the operators' side of a VM: an HTTP server that hands
// changes and questions to the control loop, and the client that the command
// line uses.
//
// # Usage
//
//	server := &admin.Server{Post: control.Post, Vars: counters}
//	server.Respond(respond) // from the control loop, for each effect.AnswerOperator
//
//	client := &admin.Client{Addr: addr}
//	result, err := client.PutContract(ctx, admin.Change{Expect: 4}, contract)
//
// A change carries the headers Operation (an id; a resend with the same id gets
// the first result) and Expect-Revision (the revision of the object that the
// operator saw; without it the object must not exist). The name Expect alone
// belongs to HTTP itself: net/http answers 417 to any value but 100-continue.
//
// Answers: 200 applied, 400 malformed, 409 another revision is current, 428 no
// revision stated, 503 certainly not applied as there is no majority, 504 not
// known whether it was applied. Durations are written like 80ms.
package admin
