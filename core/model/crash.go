package model

// Crash is a crash of an upstream while it ran a request. The crashes of one upstream by
// equal requests are numbered from 1, since an upstream may come back under its id and
// crash again. The number follows those that were known when the attempt was sent: VMs that
// saw the same crash give it the same number, and a report that comes late or twice says
// nothing new.
type Crash struct {
	Upstream UpstreamID
	Number   int
	Cleared  int // highest number that an answer to an equal request has cleared; 0 for none
}

// AnsweredCrashes are crashes of upstreams that an answer to an equal request has cleared.
// Crashes that it does not name are not, so that it clears none that came after the answer.
type AnsweredCrashes struct {
	Fingerprint Fingerprint
	Upstreams   []UpstreamID // that crashed before the answer
	Numbers     []int        `msgpack:",omitempty"` // of their last crashes before it; empty for 1 each, as earlier builds mean it
}

// Number returns the number of the last crash of Upstreams[i] before the answer.
func (a *AnsweredCrashes) Number(i int) int { return crashNumber(a.Numbers, i) }

// crashNumber returns the number at a position, or 1 where there is none.
func crashNumber(numbers []int, i int) int {
	if i < len(numbers) {
		return numbers[i]
	}
	return 1
}

// SplitCrashes returns crashes as lists of equal length. Those of the numbers are nil
// while they say nothing that an earlier build would not assume.
func SplitCrashes(crashes []Crash) (upstreams []UpstreamID, numbers, cleared []int) {
	isPlain := true
	for _, c := range crashes {
		upstreams, numbers, cleared = append(upstreams, c.Upstream), append(numbers, c.Number), append(cleared, c.Cleared)
		isPlain = isPlain && c.Number == 1 && c.Cleared == 0
	}
	if isPlain {
		return upstreams, nil, nil
	}
	return upstreams, numbers, cleared
}

// JoinCrashes is the inverse of SplitCrashes.
func JoinCrashes(upstreams []UpstreamID, numbers, cleared []int) []Crash {
	var crashes []Crash
	for i, id := range upstreams {
		c := Crash{Upstream: id, Number: crashNumber(numbers, i)}
		if i < len(cleared) {
			c.Cleared = cleared[i]
		}
		crashes = append(crashes, c)
	}
	return crashes
}
