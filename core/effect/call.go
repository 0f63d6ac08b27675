package effect

import (
	"net/netip"
	"time"

	"comfreypulley/core/model"
)

// Forward sends a caller's request to an upstream as it came. Its end comes
// back as event.Returned or event.Failed, exactly once, also after Cancel.
type Forward struct {
	Attempt  model.AttemptID
	Request  model.RequestID
	Upstream model.UpstreamID
	Addr     netip.AddrPort
	Timeout  time.Duration  // what is left of the caller's time
	Part     bool           // only the receipt and the body of the answer are needed
	Keep     time.Duration  // longest idle time of the connection afterwards; 0 for what the front end keeps by itself
	Fresh    bool           // use no connection that was idle for long: the request must not run twice
	Portion  *model.Portion // the upstream is another VM that gathers these shards; the end is event.Gathered or event.Failed
}

// Deliver answers a caller with the reply of one upstream.
type Deliver struct {
	Request model.RequestID
	Reply   model.Reply
}

// Merge answers a caller with records of several shards.
type Merge struct {
	Request model.RequestID
	Merged  model.Merged
}

// Gather answers another VM with pieces of its portion.
type Gather struct {
	Request model.RequestID
	Pieces  []model.Piece
	Records []byte // highest of the parts of these pieces, highest first
	More    bool   // further pieces follow
}

// Forget closes the idle connections to an upstream that is gone.
type Forget struct{ Upstream model.UpstreamID }

// Trace tells what became of a routed request, for logs.
type Trace struct {
	Tag      string
	Route    string
	Outcome  string // served, partial, refused, failed or left; gathered or incomplete for a portion
	Allowed  int    // attempts that the route allows for each leg; 1 when it must not run twice
	Reason   model.Refusal
	Took     time.Duration
	Version  uint64        // of the document that was used
	Roster   time.Duration // age of the list of upstreams at the request's arrival
	Legs     []model.Leg
	Included int // shards in the answer
}

func (Forward) effect() {}
func (Deliver) effect() {}
func (Merge) effect()   {}
func (Gather) effect()  {}
func (Forget) effect()  {}
func (Trace) effect()   {}
