// Package admin is the operators' HTTP API of a VM: a server that passes changes and
// status requests to the control loop, and the client that the command line uses.
//
// # Usage
//
//	server := &admin.Server{Post: control.Post, Vars: counters}
//	server.Respond(answer) // called by the control loop for each effect.AnswerOperator
//
//	client := &admin.Client{Addr: addr}
//	result, err := client.PutContract(ctx, admin.ChangeHeaders{ExpectedRevision: 4}, contract)
//
// A change has two headers: Operation is an id, and a resend with the same id
// returns the result of the first request. Expect-Revision is the revision of the
// object that the operator saw; without it, the object must not exist. The header
// cannot be named Expect, which HTTP itself defines: net/http answers 417 to any
// value other than 100-continue.
//
// A change without an operation id that does not say what it follows, an order about a
// zone or the addition of an upstream or VM, is redirected (307) to an id under which it
// takes effect, so that a late copy of it changes nothing.
//
// Response codes: 200 applied, 400 invalid, 409 the object has another revision, 428
// the revision is required but missing, 503 certainly not applied, for example
// without a majority, 504 unknown whether it was applied. Durations have the form
// 80ms.
package admin
