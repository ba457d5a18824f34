package contract

import (
	"fmt"
	"time"
)

// Epoch is one term of a node as the owner of a shard. Incarnation tells a restarted owner from its earlier run, whose list numbers mean
// nothing to it; it does not take part in the order of epochs.
type Epoch struct {
	Number      int64  `json:"number"`
	Node        string `json:"node"`
	Incarnation string `json:"life,omitempty"`
}

// Before reports whether the epoch is older than the other one. The node name breaks ties between owners that took over concurrently.
func (epoch Epoch) Before(other Epoch) bool {
	if epoch.Number != other.Number {
		return epoch.Number < other.Number
	}
	return epoch.Node < other.Node
}

// String returns the number, the owner and its incarnation, for logs.
func (epoch Epoch) String() string {
	return fmt.Sprintf("%d/%s/%s", epoch.Number, epoch.Node, epoch.Incarnation)
}

// ListedServer is a model server in the platform's listing.
type ListedServer struct {
	Name        string `json:"name"`
	Address     string `json:"address"`
	Region      string `json:"region"`
	Zone        string `json:"zone"`
	Pool        string `json:"pool"`
	Incarnation string `json:"incarnation"`
	// Leaving is set when the platform has announced that it will stop the server, in RemainingMs.
	Leaving     bool  `json:"leaving"`
	RemainingMs int64 `json:"remainingMs"`
	// Unloaded is set while the server has no model loaded.
	Unloaded bool `json:"unloaded,omitempty"`
	// WarmupMs is how much longer a server that has just started is slow. AssumedReady servers are used without a load report.
	WarmupMs     int64 `json:"warmMs,omitempty"`
	AssumedReady bool  `json:"unmeasured,omitempty"`
}

// Listing is the platform's list of the servers of a region.
type Listing struct {
	Region  string         `json:"region"`
	Servers []ListedServer `json:"servers"`
}

// LoadReport is a model server's report of its own load. Number rises with each report of one incarnation. A report that is not Complete
// was cut short or lacks fields. Prefixes are the prompt prefixes that the server keeps in its cache.
type LoadReport struct {
	Server      string   `json:"server"`
	Incarnation string   `json:"incarnation"`
	Number      int64    `json:"number"`
	Running     int64    `json:"running"`
	Waiting     int64    `json:"waiting"`
	Prefixes    []string `json:"prefixes"`
	Complete    bool     `json:"complete"`
	AgeMs       int64    `json:"ageMs"`
}

// Idle reports whether the server neither runs a call nor has one in its queue.
func (report LoadReport) Idle() bool { return report.Running == 0 && report.Waiting == 0 }

// Candidate is a server that a data node may send calls to, as the owner of its shard lists it.
type Candidate struct {
	Name        string `json:"name"`
	Address     string `json:"address"`
	Zone        string `json:"zone"`
	Pool        string `json:"pool"`
	Incarnation string `json:"incarnation"`
	// Slots is how many calls the server runs at once. Share is how many of these this data node may run while the server's traffic is
	// ramped up, or -1 for no limit.
	Slots int64 `json:"slots"`
	Share int64 `json:"share,omitempty"`
	// Running and Waiting are from the load report with ReportNumber.
	Running      int64    `json:"running,omitempty"`
	Waiting      int64    `json:"waiting,omitempty"`
	ReportNumber int64    `json:"report,omitempty"`
	Prefixes     []string `json:"prefixes,omitempty"`
	WarmupMs     int64    `json:"warmMs,omitempty"`
	// CacheResets counts how often the index of the server's cache was found wrong and thrown away.
	CacheResets int64 `json:"cache,omitempty"`
	// HealthTracked is set on servers whose call results the data nodes report to the owner. Suspected servers may have restarted with an
	// empty cache. RecoverySteps is the number of steps until a failing server gets calls again, and 0 for a server in service.
	HealthTracked bool  `json:"watched,omitempty"`
	Suspected     bool  `json:"suspected,omitempty"`
	RecoverySteps int64 `json:"ill,omitempty"`
}

// CallObservations are what a data node measures of its calls, by service, and what the owner of a shard merges from all data nodes.
type CallObservations struct {
	// ShortPromptGapMs has an entry for each service that recently sent calls with short prompts to the region: the shortest gap between
	// tokens that these calls tolerate, in milliseconds.
	ShortPromptGapMs map[string]int64 `json:"short,omitempty"`
	// PrefillUsPerK is how long engines take to process a thousand tokens of a prompt, in microseconds.
	PrefillUsPerK map[string]int64 `json:"read,omitempty"`
}

// LeaseRequest is a data node's request for the list of servers of a shard, with a lease on it. SentAt is the sender's monotonic time and
// is returned unchanged, so that clocks are never compared. ShardCount is the number of shards that the sender knows; owner and data node
// must agree on it. Zero fields of requests and leases are not encoded.
type LeaseRequest struct {
	Node         string           `json:"node"`
	Address      string           `json:"address"`
	Region       string           `json:"region"`
	Shard        int              `json:"shard,omitempty"`
	SentAt       time.Duration    `json:"asked"`
	HighestEpoch Epoch            `json:"highest,omitzero"`
	Number       int64            `json:"number,omitempty"`
	Calls        map[string]int64 `json:"calls,omitempty"`
	// Abandoned counts, by server, the calls that this node gave up and that the server may still be running.
	Abandoned  map[string]int64 `json:"lingering,omitempty"`
	ShardCount int              `json:"shards"`
	// StaleIndexes names the servers whose cache index this node found wrong, with the CacheResets at which it was found wrong.
	StaleIndexes map[string]int64 `json:"stale,omitempty"`
	// OmitUnchanged asks for the servers only if the list differs from the one that the sender holds.
	OmitUnchanged bool `json:"brief,omitempty"`
	// Tallies counts recent results at servers where calls failed, and at those that the list marks as suspected.
	Tallies map[string]CallTally `json:"tallies,omitempty"`
	CallObservations
	// Interim asks a control node that is not the owner for a list from its own view of the platform, until the owner's list arrives.
	Interim bool `json:"interim,omitempty"`
	// DeparturesOnly asks a control node that is not the owner for a DepartureNotice.
	DeparturesOnly bool `json:"notices,omitempty"`
}

// DepartureNotice names the servers of a shard that the listing of a control node shows as leaving, whether or not that node owns the
// shard. A server that leaves never returns under the same name, so notices can be applied in any order and next to any list.
type DepartureNotice struct {
	Region  string   `json:"region"`
	Shard   int      `json:"shard,omitempty"`
	Leaving []string `json:"leaving"`
}

// Lease is the owner's answer to a LeaseRequest: the servers of the shard, which the data node may use for Duration after it sent the
// request. Number is the number of the list within the epoch.
type Lease struct {
	Region        string        `json:"region"`
	Shard         int           `json:"shard,omitempty"`
	RequestSentAt time.Duration `json:"asked"`
	Epoch         Epoch         `json:"epoch"`
	Number        int64         `json:"number,omitempty"`
	Duration      time.Duration `json:"life"`
	Servers       []Candidate   `json:"servers,omitempty"`
	// Withdraw names servers that get no new calls because they are being retired. Calls that were sent to a server of Recall and have
	// not started there are recalled.
	Withdraw   []string `json:"withdraw,omitempty"`
	Recall     []string `json:"recall,omitempty"`
	Revision   int64    `json:"revision,omitempty"`
	Unchanged  bool     `json:"same,omitempty"`
	ShardCount int      `json:"shards"`
	// CallObservations are merged from all data nodes: in a large fleet one node sends too few calls to measure them alone.
	CallObservations
	// Interim marks a list without an epoch from a node that is not the owner. Only a data node that has no list uses it.
	Interim bool `json:"interim,omitempty"`
}

// NotOwner refuses a LeaseRequest that was sent to a node that does not own the shard. Owner is the name of the owner, if it is known.
type NotOwner struct {
	Region string `json:"region"`
	Shard  int    `json:"shard,omitempty"`
	Owner  string `json:"owner,omitempty"`
}
