package stub

import (
	"iter"
	"strings"
)

// SplitPath yields the parts of a path between slashes.
func SplitPath(path string) iter.Seq[string] {
	return strings.SplitSeq(path, "/")
}
