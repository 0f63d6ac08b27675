package model

// AnsweredCrashes are crashes of upstreams that an answer to an equal request has cleared.
// Crashes that it does not name are not, so that it clears none that came after the answer.
type AnsweredCrashes struct {
	Fingerprint Fingerprint
	Upstreams   []UpstreamID // that crashed before the answer
}
