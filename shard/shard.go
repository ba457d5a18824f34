// Package shard runs the owner of a shard: it polls the platform and server reports and grants server lists as leases under an epoch.
package shard

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/cedarreel/cedarreel/contract"
	"github.com/cedarreel/cedarreel/env"
	"github.com/cedarreel/cedarreel/manifest"
	"github.com/cedarreel/cedarreel/retire"
)

const (
	MessageLeaseRequest  = "lease-request"   // a data node asks for a list: contract.LeaseRequest
	MessageLease         = "lease"           // the list that answers it: contract.Lease
	MessageNotOwner      = "lease-not-owner" // the node asked does not own the shard: contract.NotOwner
	MessageServerNotices = "server-notices"  // servers that are leaving: contract.Notices
	MessageReportRequest = "report-ask"      // ask a peer to read a server's report: ReadReport
	MessageReportReply   = "report-told"     // what the peer read: ReportReply
	MessageZoneWithdraw  = "zone-withdraw"   // take a zone's servers off the lists: ZoneWithdraw
	MessageZoneWithdrawn = "zone-withdrawn"  // confirmation per shard: ZoneWithdrawn
)

// ReadPlatform is a command to read the platform's listing of a region; a ListingResult answers it.
type ReadPlatform struct{ Region string }

// ListingResult is the outcome of a ReadPlatform. Only owners of its Region use it; an empty Region is for any owner.
type ListingResult struct {
	Region    string
	StartedAt time.Duration
	Listing   contract.Listing
	Error     string
}

// ReadReport is a command to read a server's report. If ReplyTo is set, the report is read for the owner at that address.
type ReadReport struct {
	Server      string        `json:"server"`
	Address     string        `json:"address"`
	ReplyTo     string        `json:"back"`  // address of the peer that asked; empty for this node's own reads
	RequestedAt time.Duration `json:"asked"` // time of the request on the asking peer's clock
}

// ReportResult is the outcome of a ReadReport; its embedded ReadResult has the report or the error.
type ReportResult struct {
	Server  string
	Request ReadReport // the command that it answers
	ViaPeer bool       // a peer read the report
	retire.ReadResult
}

// Order is a command to the platform to load or unload a server, under the epoch of the shard's owner.
type Order struct {
	Server string
	Shard  int
	Load   bool
	Epoch  contract.Epoch
}

// OrderResult is the outcome of an Order; Error is empty if the platform accepted it.
type OrderResult struct {
	Server string
	Load   bool
	Error  string
}

// ClusterState is the control node's current view of live members and of the manifest in force at Revision.
type ClusterState struct {
	Members  []contract.Member
	Manifest manifest.Manifest
	Revision int64
}

// ZoneWithdraw asks the owners of a region to stop listing a zone's servers before the manifest that drains it is committed.
type ZoneWithdraw struct {
	Zone    string `json:"zone"`
	Region  string `json:"region"`
	Token   int64  `json:"token"`
	Address string `json:"address"` // where the ZoneWithdrawn goes
}

// ZoneWithdrawn confirms a ZoneWithdraw for the shards that the sender owns.
type ZoneWithdrawn struct {
	Token  int64 `json:"token"`
	Shards []int `json:"shards"`
}

type serverState struct {
	report             contract.LoadReport // last report that was read
	reported           bool                // a report of this incarnation was read
	sampledAt          time.Duration       // when the server took the last report
	readPending        bool
	failures           int // consecutive failed reads
	incarnation        string
	listedSince        time.Duration // first listing of this incarnation, -1 if it was listed when this node started
	rampStart          time.Duration // start of the ramp, while ramping
	ramping            bool          // the server is cold and gets a growing number of calls
	nextRead           time.Duration
	orderedAt          time.Duration // last order to the platform
	warmUntil          time.Duration // end of the warm-up that the platform reports
	cacheGeneration    int64         // raised when nodes must discard their cache index of the server
	cacheInvalidatedAt time.Duration
}

type shardState struct {
	index           int
	isOwner         bool
	preferredSince  time.Duration  // since when this node is the preferred owner, -1 if it is not
	epoch           contract.Epoch // epoch of the leases granted here
	highestEpoch    contract.Epoch // highest epoch that any node has reported
	takenAt         time.Duration  // last take-over
	listNumber      int64          // version of the list within the epoch
	fingerprint     string         // servers on the list and their condition
	listRows        []contract.ListedServer
	listVersion     int64                        // Owner.stateVersion when the list was computed
	nodeAcks        map[string]retire.NodeStatus // by node: the list that it last confirmed
	callsByNode     map[string]map[string]int64  // by node and server: running calls
	lingeringByNode map[string]map[string]int64  // by node and server: abandoned calls that the server may still run
	rampShares      map[string]map[string]int64  // by server and node: calls granted during the ramp
	retirements     map[string]*retire.Retirement
	released        map[string]string // by server: the incarnation whose retirement ended in release
	abortedScales   map[string]int64  // by server: the pool's scale when its retirement was aborted
	tallies         map[string]map[string]contract.CallTally
	serverHealth    map[string]*healthRecord
	observations    observations
	nextEvaluation  time.Duration
	finished        []Retired // the latest ended retirements
}

// Owner is the control node's part for the shards of its region: it handles events and returns commands, and does no I/O itself.
type Owner struct {
	self            contract.Member
	bounds          env.Bounds
	seen            ClusterState
	shardStates     map[int]*shardState
	listing         contract.Listing
	hasListing      bool
	listedAt        time.Duration
	pollPending     bool // a listing is being read
	nextPoll        time.Duration
	servers         map[string]*serverState
	withdrawnZones  map[string]time.Duration // by zone: until when its servers stay off the lists
	visibleSince    time.Duration            // since when listings arrive again
	blind           bool                     // the platform cannot be read from this node
	nextPeer        int
	rampStarts      map[string]time.Duration // by incarnationKey: ramp starts learned from peers
	nextRampRequest time.Duration
	shardCount      int
	stateVersion    int64 // counts events that may change a list
	startedAt       time.Duration
	hasStarted      bool
	advisoryLeases  bool
	out             []contract.Command
}

// New returns an owner for the control node self that owns no shard yet.
func New(self contract.Member, bounds env.Bounds) *Owner {
	return &Owner{self: self, bounds: bounds, shardStates: map[int]*shardState{}, servers: map[string]*serverState{}, withdrawnZones: map[string]time.Duration{}, rampStarts: map[string]time.Duration{}}
}

// SetAdvisoryLeases is set where data nodes use their last list even after its lease expires: a take-over then need not wait for old leases.
func (owner *Owner) SetAdvisoryLeases(advisoryLeases bool) { owner.advisoryLeases = advisoryLeases }

// Handle processes one event at the time now, on this node's monotonic clock, and returns the resulting commands.
func (owner *Owner) Handle(now time.Duration, event contract.Event) []contract.Command {
	if !owner.hasStarted {
		owner.hasStarted, owner.startedAt = true, now
	}
	owner.out = nil
	if message, ok := event.(contract.Message); !ok || message.Kind != MessageLeaseRequest {
		owner.stateVersion++
	}
	switch event := event.(type) {
	case ClusterState:
		owner.seen = event
		owner.tick(now)
	case ListingResult:
		owner.handleListing(now, event)
	case ReportResult:
		owner.handleReport(now, event)
	case OrderResult:
		if event.Error != "" {
			owner.emit(contract.AddCounter{Name: "orders_refused", Delta: 1})
		}
	case contract.Message:
		owner.message(now, event)
	}
	out := owner.out
	owner.out = nil
	return out
}

func (owner *Owner) emit(commands ...contract.Command) { owner.out = append(owner.out, commands...) }

// ResumeAfterFreeze gives up all shards after this process was frozen, since another node may have taken them over.
func (owner *Owner) ResumeAfterFreeze(now time.Duration) {
	for _, shard := range owner.shardStates {
		shard.isOwner, shard.preferredSince = false, -1
	}
	owner.hasListing, owner.pollPending = false, false
	for _, server := range owner.servers {
		server.readPending = false
	}
}

func (owner *Owner) message(now time.Duration, message contract.Message) {
	switch message.Kind {
	case MessageLeaseRequest:
		var leaseRequest contract.LeaseRequest
		if json.Unmarshal(message.Body, &leaseRequest) == nil && leaseRequest.Region == owner.self.Region {
			owner.leaseRequest(now, leaseRequest)
		}
	case MessageRampRequest, MessageRampReply:
		owner.handleRampAges(now, message)
	case MessageReportRequest, MessageReportReply:
		owner.handleReportExchange(now, message)
	case MessageZoneWithdraw:
		var order ZoneWithdraw
		if json.Unmarshal(message.Body, &order) == nil {
			owner.withdrawZone(now, order)
		}
	}
}

func (owner *Owner) preferredOwner(index int) string {
	return PreferredOwner(owner.seen.Members, owner.self.Region, index)
}

// HashKey is the key under which a shard ranks the control nodes by rendezvous hashing.
func HashKey(region string, index int) string { return fmt.Sprintf("shard/%s/%d", region, index) }

func (owner *Owner) tick(now time.Duration) {
	shardCount := owner.seen.Manifest.Regions[owner.self.Region].Shards
	for index := 0; index < shardCount; index++ {
		if _, found := owner.shardStates[index]; !found {
			owner.shardStates[index] = &shardState{index: index, preferredSince: -1, nodeAcks: map[string]retire.NodeStatus{}, callsByNode: map[string]map[string]int64{}, lingeringByNode: map[string]map[string]int64{},
				retirements: map[string]*retire.Retirement{}, released: map[string]string{}, abortedScales: map[string]int64{},
				tallies: map[string]map[string]contract.CallTally{}, serverHealth: map[string]*healthRecord{}}
		}
	}
	if owner.shardCount != shardCount {
		owner.changeShardCount(now, shardCount)
	}
	owner.updateVisibility(now)
	owner.requestRampAges(now)
	for zone, until := range owner.withdrawnZones {
		if now > until {
			delete(owner.withdrawnZones, zone)
		}
	}
	owner.pollPlatform(now)
	owned := int64(0)
	for index := 0; index < shardCount; index++ {
		owner.tickShard(now, owner.shardStates[index])
		if owner.shardStates[index].isOwner {
			owned++
		}
	}
	owner.emit(contract.SetGauge{Name: "shards_owned", Value: owned})
}

func (owner *Owner) pollPlatform(now time.Duration) {
	if len(owner.shardStates) == 0 || owner.pollPending && now < owner.nextPoll+owner.bounds.PlatformPoll() || now < owner.nextPoll && !owner.pollOverdue(now) {
		return
	}
	owner.pollPending, owner.nextPoll = true, now+owner.pollInterval()
	owner.emit(ReadPlatform{Region: owner.self.Region})
}

func (owner *Owner) handleListing(now time.Duration, event ListingResult) {
	if event.Region != "" && event.Region != owner.self.Region {
		return
	}
	owner.pollPending = false
	if event.Error != "" {
		owner.nextPoll = min(owner.nextPoll, now+owner.bounds.PlatformPoll())
		owner.emit(contract.AddCounter{Name: "listings_broken", Delta: 1})
		return
	}
	if owner.hasListing && event.StartedAt < owner.listedAt {
		return
	}
	hadListing := owner.hasListing
	if !owner.listingFresh(event.StartedAt) {
		owner.visibleSince = event.StartedAt
	}
	owner.listing, owner.listedAt = event.Listing, event.StartedAt
	owner.hasListing = true
	present := map[string]bool{}
	for _, row := range event.Listing.Servers {
		present[row.Name] = true
		server, found := owner.servers[row.Name]
		if !found {
			server = &serverState{incarnation: row.Incarnation, orderedAt: -owner.bounds.Return(), listedSince: -1}
			if hadListing {
				server.listedSince = now
			}
			owner.servers[row.Name] = server
		}
		if server.incarnation != row.Incarnation {
			server.incarnation, server.reported, server.ramping, server.failures = row.Incarnation, false, false, 0
			server.listedSince = now
		}
		server.warmUntil = event.StartedAt + time.Duration(row.WarmupMs)*time.Millisecond
		owner.applyPeerRampStart(now, row.Name)
	}
	for name := range owner.servers {
		if !present[name] {
			delete(owner.servers, name)
		}
	}
}

func (owner *Owner) listingFresh(now time.Duration) bool {
	return owner.hasListing && now-owner.listedAt < owner.bounds.PlatformGrace()
}

func (owner *Owner) tickShard(now time.Duration, shard *shardState) {
	if owner.preferredOwner(shard.index) != owner.self.Name {
		if shard.isOwner {
			owner.emit(contract.Log{Message: "shard ownership released", Attributes: []any{"shard", shard.index}})
		}
		shard.isOwner, shard.preferredSince = false, -1
		return
	}
	if shard.preferredSince < 0 {
		shard.preferredSince = now
	}
	if !shard.isOwner {
		waitedLongEnough := now-owner.startedAt >= owner.bounds.Lease() && now-shard.preferredSince >= owner.bounds.Round()
		if owner.advisoryLeases {
			waitedLongEnough = now-shard.preferredSince >= owner.takeOverDelay(now)
		}
		ready := waitedLongEnough && owner.listingFresh(now)
		if !ready {
			return
		}
		owner.takeOver(now, shard)
	}
	owner.requestReports(now, shard)
	if owner.hasListing {
		owner.updateRetirements(now, shard)
	}
	owner.evaluateHealth(now, shard)
	owner.refreshList(now, shard)
}

// takeOverDelay is the wait for reports of a former owner's epoch under advisory leases; it is short while the whole fleet starts.
func (owner *Owner) takeOverDelay(now time.Duration) time.Duration {
	if now-owner.startedAt < 2*owner.bounds.Round() {
		return owner.bounds.Round() / 5
	}
	return owner.bounds.Round()
}

func (owner *Owner) takeOver(now time.Duration, shard *shardState) {
	shard.isOwner, shard.takenAt = true, now
	shard.epoch = contract.Epoch{Number: shard.highestEpoch.Number + 1, Node: owner.self.Name, Incarnation: owner.self.Boot}
	shard.highestEpoch, shard.listNumber, shard.fingerprint = shard.epoch, 0, ""
	shard.nodeAcks, shard.callsByNode, shard.lingeringByNode = map[string]retire.NodeStatus{}, map[string]map[string]int64{}, map[string]map[string]int64{}
	shard.tallies, shard.serverHealth = map[string]map[string]contract.CallTally{}, map[string]*healthRecord{}
	shard.rampShares = map[string]map[string]int64{}
	shard.retirements, shard.released = map[string]*retire.Retirement{}, map[string]string{}
	owner.emit(contract.AddCounter{Name: "take_overs", Delta: 1}, contract.Log{Message: "shard ownership acquired", Attributes: []any{"shard", shard.index, "epoch", shard.epoch.Number}})
}

func (owner *Owner) shardServers(shard *shardState) []contract.ListedServer {
	rows := []contract.ListedServer{}
	for _, row := range owner.listing.Servers {
		if contract.ShardOf(row.Name, owner.shardCount) == shard.index {
			rows = append(rows, row)
		}
	}
	return rows
}

func (owner *Owner) requestReports(now time.Duration, shard *shardState) {
	for _, row := range owner.shardServers(shard) {
		server := owner.servers[row.Name]
		_, retiring := shard.retirements[row.Name]
		if row.Unloaded || row.AssumedReady && !retiring || now < server.nextRead || server.readPending && now < server.nextRead+owner.bounds.Lease() {
			continue
		}
		server.readPending, server.nextRead = true, now+owner.bounds.PlatformPoll()
		owner.emit(ReadReport{Server: row.Name, Address: row.Address})
	}
}

const unreachableFailures = 2 // consecutive failed reads after which a server is taken off the list

func sortedIndexes(states map[int]*shardState) []int {
	indexes := []int{}
	for index := 0; len(indexes) < len(states); index++ {
		if _, found := states[index]; found {
			indexes = append(indexes, index)
		}
	}
	return indexes
}
