package stub

import (
	"iter"
	"strings"
)

// SplitPath yields the segments of a path, split at each slash.
func SplitPath(path string) iter.Seq[string] {
	return strings.SplitSeq(path, "/")
}
