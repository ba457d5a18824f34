package hollow

import (
	"runtime"
	"time"

	"github.com/cedarreel/cedarreel/virtual"
)

// Rate is what one node of a role does a second; processor time is a part of a core.
type Rate struct {
	LettersOut float64 `json:"lettersOut"`
	BytesOut   float64 `json:"bytesOut"`
	LettersIn  float64 `json:"lettersIn"`
	BytesIn    float64 `json:"bytesIn"`
	Handle     float64 `json:"handleCores"`
	Link       float64 `json:"linkCores"`
	Zone       float64 `json:"bytesToOtherZones"`
	Region     float64 `json:"bytesToOtherRegions"`
}

// Role sums up the nodes of one role: means, the worst node, and the parts by kind of event.
type Role struct {
	Count int             `json:"count"`
	Mean  Rate            `json:"mean"`
	Worst Rate            `json:"worst"`
	Kinds map[string]Rate `json:"kinds"`
	Heap  float64         `json:"heapBytes"`
	Reads float64         `json:"listReadsPerSecond"`
}

// Result is what one run showed; times are virtual seconds, below zero when it did not happen before the run's limit.
type Result struct {
	Plan       Plan            `json:"plan"`
	Roles      map[string]Role `json:"roles"`
	Measured   float64         `json:"measuredSeconds"`
	Document   int             `json:"configurationBytes"`
	Converged  float64         `json:"membersKnownSeconds"`
	KnownMean  float64         `json:"membersKnownMean"`
	KnownLeast float64         `json:"membersKnownLeast"`
	Configured float64         `json:"firstInForceSeconds"`
	Listed     float64         `json:"listsWholeSeconds"`
	Committed  []float64       `json:"committedSeconds"`
	Force      []float64       `json:"inForceSeconds"`
	Lacking    []int           `json:"nodesLacking"`
	Refused    int             `json:"changesRefused"`
	Gap        float64         `json:"longestWithoutListSeconds"`
	Network    float64         `json:"networkBytesPerSecond"`
	TakeOvers  float64         `json:"shardsTakenPerSecond"`
	Whole      float64         `json:"wholeListsPerSecond"`
	Event      *Event          `json:"event,omitempty"`
	Wall       float64         `json:"wallSeconds"`
	HeapPeak   uint64          `json:"processHeapPeakBytes"`
	Stopped    string          `json:"stopped,omitempty"`
}

// Event tells how the fleet took what a scene did to it.
type Event struct {
	Name        string  `json:"name"`
	Nodes       int     `json:"nodes"`
	Gap         float64 `json:"longestWithoutListSeconds"`
	View        float64 `json:"nextViewSeconds"`
	Noticed     float64 `json:"goneForAllSeconds"`
	Force       float64 `json:"changeInForceSeconds"`
	Lacking     int     `json:"nodesLacking"`
	KnownAgain  float64 `json:"membersKnownAgainSeconds"`
	Writes      int     `json:"writes,omitempty"`
	WritesPerS  float64 `json:"writesPerSecond,omitempty"`
	InsideLists float64 `json:"insideLongestWithoutListSeconds,omitempty"`
}

func rate(use Use, span time.Duration) Rate {
	seconds := span.Seconds()
	return Rate{float64(use.LettersOut) / seconds, float64(use.BytesOut) / seconds, float64(use.LettersIn) / seconds, float64(use.BytesIn) / seconds,
		use.Handle.Seconds() / seconds, use.Link.Seconds() / seconds, float64(use.BytesZone) / seconds, float64(use.BytesRegion) / seconds}
}

func (rate Rate) scaled(part float64) Rate {
	return Rate{rate.LettersOut * part, rate.BytesOut * part, rate.LettersIn * part, rate.BytesIn * part, rate.Handle * part, rate.Link * part,
		rate.Zone * part, rate.Region * part}
}

func (rate Rate) worse(other Rate) Rate {
	return Rate{max(rate.LettersOut, other.LettersOut), max(rate.BytesOut, other.BytesOut), max(rate.LettersIn, other.LettersIn),
		max(rate.BytesIn, other.BytesIn), max(rate.Handle, other.Handle), max(rate.Link, other.Link),
		max(rate.Zone, other.Zone), max(rate.Region, other.Region)}
}

func roles(processes []*Process, span time.Duration) (map[string]Role, float64) {
	sums, kinds, summed, network := map[string]*Use{}, map[string]map[string]*Use{}, map[string]Role{}, 0.0
	for _, process := range processes {
		if sums[process.role] == nil {
			sums[process.role], kinds[process.role] = &Use{}, map[string]*Use{}
		}
		own := Use{}
		for kind, use := range process.uses {
			own.add(*use)
			if kinds[process.role][kind] == nil {
				kinds[process.role][kind] = &Use{}
			}
			kinds[process.role][kind].add(*use)
		}
		sums[process.role].add(own)
		role := summed[process.role]
		role.Count++
		role.Worst = role.Worst.worse(rate(own, span))
		role.Reads += float64(process.reads) / span.Seconds()
		summed[process.role] = role
	}
	for name, role := range summed {
		part := 1 / float64(role.Count)
		network += rate(*sums[name], span).BytesOut
		role.Mean, role.Kinds, role.Reads = rate(*sums[name], span).scaled(part), map[string]Rate{}, role.Reads*part
		for kind, use := range kinds[name] {
			role.Kinds[kind] = rate(*use, span).scaled(part)
		}
		summed[name] = role
	}
	return summed, network
}

func held() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// weigh lets the nodes of one role after the other go and gives what each of them held.
func weigh(world *World) map[string]float64 {
	world.queue, world.active = virtual.Queue[*delivery]{}, nil
	for _, process := range world.processes {
		process.inbox, process.outbox, process.uses = nil, nil, nil
	}
	before, sizes := held(), map[string]float64{}
	for _, role := range []string{RoleData, RoleControl, RoleCore} {
		count := 0
		for _, process := range world.processes {
			if process.role == role {
				process.owner, process.node, process.traffic, process.up = nil, nil, nil, false
				count++
			}
		}
		after := held()
		if count > 0 {
			sizes[role] = float64(int64(before)-int64(after)) / float64(count)
		}
		before = after
	}
	return sizes
}
