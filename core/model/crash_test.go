package model

import (
	"slices"
	"testing"
)

// Guards against crashes that an earlier build takes for one, since it counts the names, and
// against names that are read as other crashes.
func TestNamesOfCrashes(t *testing.T) {
	crashes := []Crash{{Upstream: "a", Number: 1}, {Upstream: "b", Number: 3}, {Upstream: "c", Number: 12, Cleared: 10}, {Upstream: "d", Number: 2, Cleared: 2}}
	names := CrashNames(crashes)
	if want := []UpstreamID{"a", "b", "b\x002", "b\x003", "c\x0011", "c\x0012"}; !slices.Equal(names, want) {
		t.Errorf("got names %q, want %q", names, want)
	}
	slices.Reverse(names)
	got := NamedCrashes(names)
	slices.Reverse(got)
	if want := crashes[:3]; !slices.Equal(got, want) {
		t.Errorf("got %+v, want %+v", got, want)
	}
	if got, want := len(CrashNames(NamedCrashes([]UpstreamID{"a", "a\x001000000000"}))), maxCrashNames; got != want {
		t.Errorf("got %d names of very many crashes, want the last %d", got, want)
	}
	if got := NamedCrashes([]UpstreamID{"a\x00", "b\x00x", "c\x000", "d\x00-2"}); len(got) != 0 {
		t.Errorf("got %+v from names that are none", got)
	}
}
