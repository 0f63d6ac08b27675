// Package dialer sends query attempts and probes to upstreams over HTTP.
//
// # Usage
//
//	d := &dialer.Dialer{Post: loop.Post, RequestIDPrefix: "vm1-1718000000"}
//	d.LimitConns(effect.LimitConns{Upstream: "u1", Conns: 3})
//	d.Send(effect.Send{...}) // ends in event.AnswerReceived or event.AttemptFailed
//	d.Close()
//
// Connections to an upstream never exceed the limit set for it. Timeouts are
// those of the effects. The HTTP protocol is described in docs/design.md,
// section 5.2.
package dialer
