package contract

import "time"

// Epoch is one turn of an owner. Life tells a restarted owner from its former self, whose numbers mean nothing to it; it does not order.
type Epoch struct {
	Number      int64  `json:"number"`
	Node        string `json:"node"`
	Incarnation string `json:"life,omitempty"`
}

func (epoch Epoch) Before(other Epoch) bool {
	if epoch.Number != other.Number {
		return epoch.Number < other.Number
	}
	return epoch.Node < other.Node
}

type ListedServer struct {
	Name        string `json:"name"`
	Address     string `json:"address"`
	Region      string `json:"region"`
	Zone        string `json:"zone"`
	Pool        string `json:"pool"`
	Incarnation string `json:"incarnation"`
	Leaving     bool   `json:"leaving"`
	RemainingMs int64  `json:"remainingMs"`
	Unloaded    bool   `json:"unloaded,omitempty"`
	// WarmMs is how much longer a server that has just started is slow; Unmeasured servers are believed ready without a report.
	WarmupMs     int64 `json:"warmMs,omitempty"`
	AssumedReady bool  `json:"unmeasured,omitempty"`
}

type Listing struct {
	Region  string         `json:"region"`
	Servers []ListedServer `json:"servers"`
}

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

func (report LoadReport) Idle() bool { return report.Running == 0 && report.Waiting == 0 }

type Candidate struct {
	Name         string   `json:"name"`
	Address      string   `json:"address"`
	Zone         string   `json:"zone"`
	Pool         string   `json:"pool"`
	Incarnation  string   `json:"incarnation"`
	Slots        int64    `json:"slots"`
	Share        int64    `json:"share,omitempty"`
	Running      int64    `json:"running,omitempty"`
	Waiting      int64    `json:"waiting,omitempty"`
	ReportNumber int64    `json:"report,omitempty"`
	Prefixes     []string `json:"prefixes,omitempty"`
	WarmupMs     int64    `json:"warmMs,omitempty"`
	// Cache counts how often the index of what the server keeps was found wrong and thrown away.
	CacheResets int64 `json:"cache,omitempty"`
	// Nodes tell how calls fare at Watched servers. Suspected ones may come back cold. Ill ones rest, and have so many steps to go until
	// they serve again.
	HealthTracked bool  `json:"watched,omitempty"`
	Suspected     bool  `json:"suspected,omitempty"`
	RecoverySteps int64 `json:"ill,omitempty"`
}

// Observed is what a data node sees of the calls that it sends, by service, and what the owner of a shard makes of it for all nodes.
type CallObservations struct {
	// Short tells that calls with short prompts went to the region lately, and the least pause in milliseconds that these bear.
	ShortPromptGapMs map[string]int64 `json:"short,omitempty"`
	// Read is how long engines take to read a thousand tokens of a prompt, in microseconds.
	PrefillUsPerK map[string]int64 `json:"read,omitempty"`
}

// LeaseRequest is sent by a data node; Asked is its own monotonic time and comes back unchanged. Shards is the division that it
// knows: owner and node must know the same one. In questions and answers a field that is zero isn't written.
type LeaseRequest struct {
	Node         string           `json:"node"`
	Address      string           `json:"address"`
	Region       string           `json:"region"`
	Shard        int              `json:"shard,omitempty"`
	SentAt       time.Duration    `json:"asked"`
	HighestEpoch Epoch            `json:"highest,omitzero"`
	Number       int64            `json:"number,omitempty"`
	Calls        map[string]int64 `json:"calls,omitempty"`
	// Lingering counts calls that were given up there and that a server may still be at.
	Abandoned  map[string]int64 `json:"lingering,omitempty"`
	ShardCount int              `json:"shards"`
	// Stale names servers whose index of kept prompts was found wrong by this node, with the count that it was found wrong in.
	StaleIndexes map[string]int64 `json:"stale,omitempty"`
	// Brief asks for the servers only when the list is another than the one that the asker holds.
	OmitUnchanged bool `json:"brief,omitempty"`
	// Tallies tells of servers where calls failed lately, and of those that the list calls suspected.
	Tallies map[string]CallTally `json:"tallies,omitempty"`
	CallObservations
	// Interim asks a control node that is not the owner for a list of what it sees itself, until the owner's comes.
	Interim bool `json:"interim,omitempty"`
	// Notices asks a control node that is not the owner which servers its own listing shows as leaving.
	DeparturesOnly bool `json:"notices,omitempty"`
}

// Notices names the servers of a shard that the listing of a control node shows as leaving, whoever owns the shard. A server that leaves
// never comes back under its name, so that notices may be used in any order and beside any list.
type DepartureNotice struct {
	Region  string   `json:"region"`
	Shard   int      `json:"shard,omitempty"`
	Leaving []string `json:"leaving"`
}

type Lease struct {
	Region        string        `json:"region"`
	Shard         int           `json:"shard,omitempty"`
	RequestSentAt time.Duration `json:"asked"`
	Epoch         Epoch         `json:"epoch"`
	Number        int64         `json:"number,omitempty"`
	Duration      time.Duration `json:"life"`
	Servers       []Candidate   `json:"servers,omitempty"`
	Withdraw      []string      `json:"withdraw,omitempty"`
	Recall        []string      `json:"recall,omitempty"`
	Revision      int64         `json:"revision,omitempty"`
	Unchanged     bool          `json:"same,omitempty"`
	ShardCount    int           `json:"shards"`
	// Observed is what all nodes tell: one of a large fleet sends too few calls to see it by itself.
	CallObservations
	// Interim marks a list without an epoch, of a node that is not the owner: for who has none.
	Interim bool `json:"interim,omitempty"`
}

type NotOwner struct {
	Region string `json:"region"`
	Shard  int    `json:"shard,omitempty"`
	Owner  string `json:"owner,omitempty"`
}
