package stub

import (
	"fmt"
	"strconv"
	"strings"
)

// ParseHeldSnapshot parses the form INDEX/VERSION/SHARDS/LIST, where SHARDS is the
// number of shards of the snapshot and LIST the numbers of the held ones,
// separated by commas.
func ParseHeldSnapshot(text string) (h HeldSnapshot, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("held snapshot %q is not of the form pairing/1/10/0,3: %w", text, err)
		}
	}()
	parts := strings.Split(text, "/")
	if len(parts) != 4 {
		return h, fmt.Errorf("has %d parts instead of 4", len(parts))
	}
	h.Index = parts[0]
	if h.Version, err = strconv.ParseUint(parts[1], 10, 64); err != nil {
		return h, err
	}
	if h.ShardCount, err = strconv.Atoi(parts[2]); err != nil {
		return h, err
	}
	for _, part := range strings.Split(parts[3], ",") {
		n, err := strconv.Atoi(part)
		if err != nil {
			return h, err
		}
		h.HeldShards = append(h.HeldShards, n)
	}
	return h, nil
}

// String returns the form that ParseHeldSnapshot parses.
func (h HeldSnapshot) String() string {
	list := make([]string, len(h.HeldShards))
	for i, n := range h.HeldShards {
		list[i] = strconv.Itoa(n)
	}
	return fmt.Sprintf("%s/%d/%d/%s", h.Index, h.Version, h.ShardCount, strings.Join(list, ","))
}
