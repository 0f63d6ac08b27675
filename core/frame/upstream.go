package frame

import (
	"time"

	"comfreypulley/core/model"
)

// CrashReport shares a fingerprint whose requests were followed by upstream
// crashes.
type CrashReport struct {
	Fingerprint model.Fingerprint
	Upstreams   []model.UpstreamID      // names of the crashes, see model.CrashNames
	Quarantine  time.Duration           // time left during which such requests are refused; 0 when they are not
	Relay       bool                    `msgpack:"Pass"`       // the receiver forwards the report to the other VMs of its zone
	Answered    []model.AnsweredCrashes `msgpack:",omitempty"` // in a report of its own: the other fields but Relay are empty, which an earlier build skips
}

// UpstreamList sends the platform's list of upstreams, or only its checksum while
// it is unchanged.
type UpstreamList struct {
	Checksum     uint64        `msgpack:"Stamp"`  // of the upstreams, also when they are left out
	ReadSeq      uint64        `msgpack:"Serial"` // sequence number of the read; the list with the higher one is newer
	Age          time.Duration // time since the list was read from the platform
	EntryVMCount int           `msgpack:"Fleet"` // entry VMs in the fleet; 0 when unknown
	Isolated     bool          // the sender receives messages from no VM of another zone
	Complete     bool          `msgpack:"Whole"` // Upstreams is filled in
	Upstreams    []model.Upstream
	Totals       []model.LimitReport `msgpack:",omitempty"` // to another disk VM: the demand of the sender's followers for upstreams that state a limit
	Shares       []model.LimitShare  `msgpack:",omitempty"` // to a follower: its shares of the limits that upstreams state
	Issuers      []model.VMID        `msgpack:",omitempty"` // to a follower: the disk VMs that issue tokens of customers' limits
}

// UpstreamListRequest requests an UpstreamList with the upstreams.
type UpstreamListRequest struct{}

// EntryVMs lists entry VMs: to a disk VM those that are children of the
// sender, and to an entry VM all of the fleet.
type EntryVMs struct {
	VMs    []model.EntryVM `msgpack:"Daemons"`
	Issues bool            `msgpack:",omitempty"` // the sender understands TokenRequest and TokenExchange, unlike earlier builds
}

// Kind returns KindEntryVMs.
func (EntryVMs) Kind() Kind { return KindEntryVMs }

// UpstreamWarning carries an event.UpstreamWarning to the other VMs of a zone.
type UpstreamWarning struct {
	Upstream     model.UpstreamID
	Unreachable  bool          `msgpack:"Sure"`
	ExtraLatency time.Duration `msgpack:"Held"`
}

// Kind returns KindUpstreamWarning.
func (UpstreamWarning) Kind() Kind { return KindUpstreamWarning }

// Kind returns KindUpstreamList.
func (UpstreamList) Kind() Kind { return KindUpstreamList }

// Kind returns KindUpstreamListRequest.
func (UpstreamListRequest) Kind() Kind { return KindUpstreamListRequest }

// Kind returns KindCrashReport.
func (CrashReport) Kind() Kind { return KindCrashReport }
