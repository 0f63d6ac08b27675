package model

import (
	"slices"
	"strconv"
	"strings"
)

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
	Upstreams   []UpstreamID // names of the crashes before the answer, see CrashNames
}

const (
	crashSeparator = "\x00" // between an upstream and the number of its crash; no id has it
	maxCrashNames  = 1 << 6 // of one upstream, the last ones
)

// CrashNames returns the names under which VMs share the crashes that are not cleared: the
// id of the upstream for its first one, and the id with the number for later ones. To
// earlier builds, which count upstreams, each is an upstream that crashed once.
func CrashNames(crashes []Crash) (names []UpstreamID) {
	for _, c := range crashes {
		for n := max(c.Cleared, c.Number-maxCrashNames) + 1; n <= c.Number; n++ {
			name := c.Upstream
			if n > 1 {
				name += UpstreamID(crashSeparator + strconv.Itoa(n))
			}
			names = append(names, name)
		}
	}
	return names
}

// NamedCrashes returns the last crash of each upstream in a list of names. Those before the
// first one that is named count as cleared.
func NamedCrashes(names []UpstreamID) (crashes []Crash) {
	for _, name := range names {
		id, number := name, 1
		if before, after, ok := strings.Cut(string(name), crashSeparator); ok {
			n, err := strconv.Atoi(after)
			if err != nil || n < 1 {
				continue
			}
			id, number = UpstreamID(before), n
		}
		i := slices.IndexFunc(crashes, func(c Crash) bool { return c.Upstream == id })
		if i < 0 {
			crashes = append(crashes, Crash{Upstream: id, Number: number, Cleared: number - 1})
			continue
		}
		crashes[i].Number, crashes[i].Cleared = max(crashes[i].Number, number), min(crashes[i].Cleared, number-1)
	}
	return crashes
}
