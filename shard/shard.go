// Package shard manages the shards that a control node owns: it polls the platform and server reports and grants server lists as leases under an epoch.
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
	MessageServerNotices = "server-notices"  // servers that are leaving: contract.DepartureNotice
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
	index            int
	isOwner          bool
	preferredSince   time.Duration  // since when this node is the preferred owner, -1 if it is not
	epoch            contract.Epoch // epoch of the leases granted here
	highestEpoch     contract.Epoch // highest epoch that any node has reported
	takenAt          time.Duration  // last take-over
	listNumber       int64          // version of the list within the epoch
	fingerprint      string         // servers on the list and their condition
	listRows         []contract.ListedServer
	listVersion      int64                        // Manager.stateVersion when the list was computed
	nodeAcks         map[string]retire.NodeStatus // by node: the list that it last confirmed
	callsByNode      map[string]map[string]int64  // by node and server: running calls
	lingeringByNode  map[string]map[string]int64  // by node and server: abandoned calls that the server may still run
	rampShares       map[string]map[string]int64  // by server and node: calls granted during the ramp
	retirements      map[string]*retire.Retirement
	releasedServers  map[string]string // by server: the incarnation whose retirement ended in release
	abortedScales    map[string]int64  // by server: the pool's scale when its retirement was aborted
	tallies          map[string]map[string]contract.CallTally
	serverHealth     map[string]*healthRecord
	observations     observations
	nextEvaluation   time.Duration
	endedRetirements []RetirementStatus // the latest ended retirements
}

// Manager is the state machine for the shards that a control node owns: it handles events and returns commands, and does no I/O itself.
type Manager struct {
	self               contract.Member
	bounds             env.Bounds
	clusterState       ClusterState
	shardStates        map[int]*shardState
	listing            contract.Listing
	hasListing         bool
	listedAt           time.Duration
	pollPending        bool // a listing is being read
	nextPoll           time.Duration
	servers            map[string]*serverState
	withdrawnZones     map[string]time.Duration // by zone: until when its servers stay off the lists
	readableSince      time.Duration            // since when listings arrive again
	platformUnreadable bool                     // the platform cannot be read from this node
	nextPeer           int
	rampStarts         map[string]time.Duration // by incarnationKey: ramp starts learned from peers
	nextRampRequest    time.Duration
	shardCount         int
	stateVersion       int64 // counts events that may change a list
	startedAt          time.Duration
	hasStarted         bool
	advisoryLeases     bool
	out                []contract.Command
}

// New returns the manager of the control node self, which owns no shard yet.
func New(self contract.Member, bounds env.Bounds) *Manager {
	return &Manager{self: self, bounds: bounds, shardStates: map[int]*shardState{}, servers: map[string]*serverState{}, withdrawnZones: map[string]time.Duration{}, rampStarts: map[string]time.Duration{}}
}

// SetAdvisoryLeases is set where data nodes use their last list even after its lease expires: a take-over then need not wait for old leases.
func (manager *Manager) SetAdvisoryLeases(enabled bool) { manager.advisoryLeases = enabled }

// Handle processes one event at the time now, on this node's monotonic clock, and returns the resulting commands.
func (manager *Manager) Handle(now time.Duration, event contract.Event) []contract.Command {
	if !manager.hasStarted {
		manager.hasStarted, manager.startedAt = true, now
	}
	manager.out = nil
	if message, ok := event.(contract.Message); !ok || message.Kind != MessageLeaseRequest {
		manager.stateVersion++
	}
	switch event := event.(type) {
	case ClusterState:
		manager.clusterState = event
		manager.tick(now)
	case ListingResult:
		manager.handleListing(now, event)
	case ReportResult:
		manager.handleReport(now, event)
	case OrderResult:
		if event.Error != "" {
			manager.emit(contract.AddCounter{Name: "orders_refused", Delta: 1})
		}
	case contract.Message:
		manager.handleMessage(now, event)
	}
	out := manager.out
	manager.out = nil
	return out
}

func (manager *Manager) emit(added ...contract.Command) { manager.out = append(manager.out, added...) }

// ResumeAfterFreeze gives up all shards after this process was frozen, since another node may have taken them over.
func (manager *Manager) ResumeAfterFreeze(now time.Duration) {
	for _, shard := range manager.shardStates {
		shard.isOwner, shard.preferredSince = false, -1
	}
	manager.hasListing, manager.pollPending = false, false
	for _, server := range manager.servers {
		server.readPending = false
	}
}

func (manager *Manager) handleMessage(now time.Duration, message contract.Message) {
	switch message.Kind {
	case MessageLeaseRequest:
		var leaseRequest contract.LeaseRequest
		if json.Unmarshal(message.Body, &leaseRequest) == nil && leaseRequest.Region == manager.self.Region {
			manager.handleLeaseRequest(now, leaseRequest)
		}
	case MessageRampRequest, MessageRampReply:
		manager.handleRampAges(now, message)
	case MessageReportRequest, MessageReportReply:
		manager.handleReportExchange(now, message)
	case MessageZoneWithdraw:
		var order ZoneWithdraw
		if json.Unmarshal(message.Body, &order) == nil {
			manager.withdrawZone(now, order)
		}
	}
}

func (manager *Manager) preferredOwner(index int) string {
	return PreferredOwner(manager.clusterState.Members, manager.self.Region, index)
}

// HashKey is the key under which a shard ranks the control nodes by rendezvous hashing.
func HashKey(region string, index int) string { return fmt.Sprintf("shard/%s/%d", region, index) }

func (manager *Manager) tick(now time.Duration) {
	shardCount := manager.clusterState.Manifest.Regions[manager.self.Region].Shards
	for index := 0; index < shardCount; index++ {
		if _, found := manager.shardStates[index]; !found {
			manager.shardStates[index] = &shardState{index: index, preferredSince: -1, nodeAcks: map[string]retire.NodeStatus{}, callsByNode: map[string]map[string]int64{}, lingeringByNode: map[string]map[string]int64{},
				retirements: map[string]*retire.Retirement{}, releasedServers: map[string]string{}, abortedScales: map[string]int64{},
				tallies: map[string]map[string]contract.CallTally{}, serverHealth: map[string]*healthRecord{}}
		}
	}
	if manager.shardCount != shardCount {
		manager.changeShardCount(now, shardCount)
	}
	manager.updatePlatformReadable(now)
	manager.requestRampAges(now)
	for zone, until := range manager.withdrawnZones {
		if now > until {
			delete(manager.withdrawnZones, zone)
		}
	}
	manager.pollPlatform(now)
	owned := int64(0)
	for index := 0; index < shardCount; index++ {
		manager.tickShard(now, manager.shardStates[index])
		if manager.shardStates[index].isOwner {
			owned++
		}
	}
	manager.emit(contract.SetGauge{Name: "shards_owned", Value: owned})
}

func (manager *Manager) pollPlatform(now time.Duration) {
	if len(manager.shardStates) == 0 || manager.pollPending && now < manager.nextPoll+manager.bounds.PlatformPoll() || now < manager.nextPoll && !manager.pollOverdue(now) {
		return
	}
	manager.pollPending, manager.nextPoll = true, now+manager.pollInterval()
	manager.emit(ReadPlatform{Region: manager.self.Region})
}

func (manager *Manager) handleListing(now time.Duration, event ListingResult) {
	if event.Region != "" && event.Region != manager.self.Region {
		return
	}
	manager.pollPending = false
	if event.Error != "" {
		manager.nextPoll = min(manager.nextPoll, now+manager.bounds.PlatformPoll())
		manager.emit(contract.AddCounter{Name: "listings_broken", Delta: 1})
		return
	}
	if manager.hasListing && event.StartedAt < manager.listedAt {
		return
	}
	hadListing := manager.hasListing
	if !manager.listingFresh(event.StartedAt) {
		manager.readableSince = event.StartedAt
	}
	manager.listing, manager.listedAt = event.Listing, event.StartedAt
	manager.hasListing = true
	present := map[string]bool{}
	for _, row := range event.Listing.Servers {
		present[row.Name] = true
		server, found := manager.servers[row.Name]
		if !found {
			server = &serverState{incarnation: row.Incarnation, orderedAt: -manager.bounds.Return(), listedSince: -1}
			if hadListing {
				server.listedSince = now
			}
			manager.servers[row.Name] = server
		}
		if server.incarnation != row.Incarnation {
			server.incarnation, server.reported, server.ramping, server.failures = row.Incarnation, false, false, 0
			server.listedSince = now
		}
		server.warmUntil = event.StartedAt + time.Duration(row.WarmupMs)*time.Millisecond
		manager.applyPeerRampStart(now, row.Name)
	}
	for name := range manager.servers {
		if !present[name] {
			delete(manager.servers, name)
		}
	}
}

func (manager *Manager) listingFresh(now time.Duration) bool {
	return manager.hasListing && now-manager.listedAt < manager.bounds.PlatformGrace()
}

func (manager *Manager) tickShard(now time.Duration, shard *shardState) {
	if manager.preferredOwner(shard.index) != manager.self.Name {
		if shard.isOwner {
			manager.emit(contract.Log{Message: "shard ownership released", Attributes: []any{"shard", shard.index}})
		}
		shard.isOwner, shard.preferredSince = false, -1
		return
	}
	if shard.preferredSince < 0 {
		shard.preferredSince = now
	}
	if !shard.isOwner {
		waitedLongEnough := now-manager.startedAt >= manager.bounds.Lease() && now-shard.preferredSince >= manager.bounds.Round()
		if manager.advisoryLeases {
			waitedLongEnough = now-shard.preferredSince >= manager.takeOverDelay(now)
		}
		ready := waitedLongEnough && manager.listingFresh(now)
		if !ready {
			return
		}
		manager.takeOver(now, shard)
	}
	manager.requestReports(now, shard)
	if manager.hasListing {
		manager.updateRetirements(now, shard)
	}
	manager.evaluateHealth(now, shard)
	manager.refreshList(now, shard)
}

// takeOverDelay is the wait for reports of a former owner's epoch under advisory leases; it is short while the whole fleet starts.
func (manager *Manager) takeOverDelay(now time.Duration) time.Duration {
	if now-manager.startedAt < 2*manager.bounds.Round() {
		return manager.bounds.Round() / 5
	}
	return manager.bounds.Round()
}

func (manager *Manager) takeOver(now time.Duration, shard *shardState) {
	shard.isOwner, shard.takenAt = true, now
	shard.epoch = contract.Epoch{Number: shard.highestEpoch.Number + 1, Node: manager.self.Name, Incarnation: manager.self.Boot}
	shard.highestEpoch, shard.listNumber, shard.fingerprint = shard.epoch, 0, ""
	shard.nodeAcks, shard.callsByNode, shard.lingeringByNode = map[string]retire.NodeStatus{}, map[string]map[string]int64{}, map[string]map[string]int64{}
	shard.tallies, shard.serverHealth = map[string]map[string]contract.CallTally{}, map[string]*healthRecord{}
	shard.rampShares = map[string]map[string]int64{}
	shard.retirements, shard.releasedServers = map[string]*retire.Retirement{}, map[string]string{}
	manager.emit(contract.AddCounter{Name: "take_overs", Delta: 1}, contract.Log{Message: "shard ownership acquired", Attributes: []any{"shard", shard.index, "epoch", shard.epoch.Number}})
}

func (manager *Manager) shardServers(shard *shardState) []contract.ListedServer {
	rows := []contract.ListedServer{}
	for _, row := range manager.listing.Servers {
		if contract.ShardOf(row.Name, manager.shardCount) == shard.index {
			rows = append(rows, row)
		}
	}
	return rows
}

func (manager *Manager) requestReports(now time.Duration, shard *shardState) {
	for _, row := range manager.shardServers(shard) {
		server := manager.servers[row.Name]
		_, retiring := shard.retirements[row.Name]
		if row.Unloaded || row.AssumedReady && !retiring || now < server.nextRead || server.readPending && now < server.nextRead+manager.bounds.Lease() {
			continue
		}
		server.readPending, server.nextRead = true, now+manager.bounds.PlatformPoll()
		manager.emit(ReadReport{Server: row.Name, Address: row.Address})
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
