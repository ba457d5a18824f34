// Package neighbour is the gossip membership: each node shuffles samples of the live members with a few neighbours.
package neighbour

import (
	"encoding/json"
	"math/rand/v2"
	"slices"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/cedarreel/cedarreel/contract"
	"github.com/cedarreel/cedarreel/env"
	"github.com/cedarreel/cedarreel/manifest"
)

const (
	activeSize  = 4    // members in the active view, with which a node gossips
	shuffleSize = 48   // members in one shuffle
	fullRows    = 1    // members of a shuffle that are sent in full though unchanged
	tableSize   = 1024 // members that a node remembers
	minHealOdds = 6    // see healOdds
	renewOdds   = 8    // one gossip in renewOdds replaces a neighbour of a full active view
)

type memberRecord struct {
	member          contract.Member
	heartbeatAt     time.Duration // when its heartbeat last advanced
	changedAt       time.Duration // when anything but heartbeat and position last changed
	positionAt      time.Duration // when its position last changed
	heardAt         time.Duration // last message received from it directly, 0 for none
	mergedHeartbeat int64         // heartbeat of the last full row that was merged
	activeSince     time.Duration // when it entered the active view
	hasLeft         bool          // it has announced that it leaves
}

// Membership holds one node's view of the fleet and decides with whom it gossips.
type Membership struct {
	bounds         env.Bounds
	self           contract.Member
	seeds          []string
	table          map[string]*memberRecord
	active         []string // names of the members in the active view
	random         *rand.Rand
	nextGossip     time.Duration
	liveMembers    []contract.Member // cache of Members as of cachedAt
	cachedAt       time.Duration
	sortedNames    []string      // cache of the table's names, nil if outdated
	outsideHeardAt time.Duration // last message from a node on another machine
	hasLeft        bool          // this node has announced that it leaves
}

// Shuffle carries full rows of new or recently changed members and a few others, and only heartbeats of the rest, as "name incarnation
// heartbeat" joined by semicolons. Bit i of SamePosition is set if the i-th of these has the sender's own position.
type Shuffle struct {
	Members      []contract.Member `json:"members"`
	Heartbeats   string            `json:"beats,omitempty"` // the outer word beats means heartbeats
	SamePosition uint64            `json:"here,omitempty"`  // the outer word here means at the sender's position
	IsReply      bool              `json:"answer,omitempty"`
}

// Leave announces that a node stops. It has its last heartbeat, so that older news of the member don't restore it.
type Leave struct {
	Name      string `json:"name"`
	Boot      string `json:"boot"`
	Heartbeat int64  `json:"heartbeat"`
}

const (
	// MessageShuffle exchanges members in both directions (Shuffle), MessageLeave ends a membership (Leave).
	MessageShuffle = "shuffle"
	MessageLeave   = "bye"
)

// New returns the membership of the node self, which first contacts the seed addresses.
func New(self contract.Member, seeds []string, bounds env.Bounds, random *rand.Rand) *Membership {
	self.Incarnation = 1
	return &Membership{bounds: bounds, self: self, seeds: seeds, table: map[string]*memberRecord{}, random: random}
}

// Self returns this node's own row.
func (membership *Membership) Self() contract.Member { return membership.self }

// SetState sets what the others are told of this node: its position and view, and whether it can serve in the core.
func (membership *Membership) SetState(position contract.Position, view int64, core bool) {
	membership.self.Position, membership.self.View, membership.self.Core = position, view, core
	membership.liveMembers = nil
}

// SetIdentity sets the identity of this node's data folder, which the others are told.
func (membership *Membership) SetIdentity(coreID string) {
	membership.self.CoreID, membership.liveMembers = coreID, nil
}

// Seeds is an event that replaces the addresses that this node was started with.
type Seeds struct{ Addresses []string }

// Handle processes ticks, messages of the gossip and new Seeds.
func (membership *Membership) Handle(now time.Duration, event contract.Event) []contract.Command {
	switch event := event.(type) {
	case Seeds:
		membership.seeds = event.Addresses
	case contract.Tick:
		return membership.tick(now)
	case contract.Message:
		switch event.Kind {
		case MessageShuffle:
			var shuffle Shuffle
			if json.Unmarshal(event.Body, &shuffle) != nil {
				return []contract.Command{contract.AddCounter{Name: "messages_broken", Delta: 1}}
			}
			return membership.handleShuffle(now, event.From, shuffle)
		case MessageLeave:
			var leave Leave
			if json.Unmarshal(event.Body, &leave) == nil {
				if record, found := membership.table[leave.Name]; found && record.member.Boot == leave.Boot {
					record.hasLeft, membership.liveMembers = true, nil
					record.member.Heartbeat = max(record.member.Heartbeat, leave.Heartbeat)
					record.mergedHeartbeat = record.member.Heartbeat
				}
			}
		}
	}
	return nil
}

// ResumeAfterFreeze extends the members' heartbeats by the gap in which this process was frozen and could not hear them.
func (membership *Membership) ResumeAfterFreeze(now, gap time.Duration) {
	for _, record := range membership.table {
		if now-record.heartbeatAt < membership.bounds.SuspicionTimeout()+gap {
			record.heartbeatAt = now
		}
	}
	membership.self.Incarnation++
	membership.liveMembers = nil
}

// AnnounceLeave tells all members that this node stops; from then on it gossips no more.
func (membership *Membership) AnnounceLeave() []contract.Command {
	commands := []contract.Command{}
	membership.hasLeft = true
	for _, name := range membership.names() {
		commands = append(commands, contract.Send{To: membership.table[name].member.Address, Kind: MessageLeave, Body: Leave{membership.self.Name, membership.self.Boot, membership.self.Heartbeat}})
	}
	return commands
}

func (membership *Membership) tick(now time.Duration) []contract.Command {
	if now < membership.nextGossip || membership.hasLeft {
		return nil
	}
	membership.nextGossip = now + membership.bounds.GossipInterval()
	membership.self.Heartbeat++
	membership.forgetExpired(now)
	membership.refreshActive(now)
	targets := map[string]bool{}
	for index := 0; index < 2 && len(membership.active) > 0; index++ {
		name := membership.pickGossipTarget()
		targets[membership.table[name].member.Address] = true
	}
	if len(membership.active) < activeSize || membership.random.IntN(membership.healOdds()) == 0 {
		if len(membership.seeds) > 0 {
			targets[membership.seeds[membership.random.IntN(len(membership.seeds))]] = true
		}
	}
	isolated := now-membership.outsideHeardAt > membership.bounds.SuspicionTimeout()/4
	if names := membership.names(); len(names) > 0 && (isolated || membership.random.IntN(membership.healOdds()) == 0) {
		targets[membership.table[names[membership.random.IntN(len(names))]].member.Address] = true
	}
	if isolated {
		for _, name := range membership.mostRecentlyHeard(activeSize) {
			targets[membership.table[name].member.Address] = true
		}
	}
	delete(targets, membership.self.Address)
	addresses := make([]string, 0, len(targets))
	for address := range targets {
		addresses = append(addresses, address)
	}
	sort.Strings(addresses)
	commands := []contract.Command{}
	for _, address := range addresses {
		commands = append(commands, contract.Send{To: address, Kind: MessageShuffle, Body: membership.sampleTable(now, false)})
	}
	return commands
}

func (membership *Membership) forgetExpired(now time.Duration) {
	for name, record := range membership.table {
		if now-record.heartbeatAt > membership.bounds.MemberExpiry() {
			delete(membership.table, name)
			membership.sortedNames = nil
		}
	}
}

func (membership *Membership) refreshActive(now time.Duration) {
	remaining := membership.active[:0]
	for _, name := range membership.active {
		if record := membership.table[name]; membership.Alive(now, name) && now-max(record.heardAt, record.activeSince) < membership.bounds.SuspicionTimeout() {
			remaining = append(remaining, name)
		}
	}
	membership.active = remaining
	if len(membership.active) == activeSize && membership.random.IntN(renewOdds) == 0 {
		position := membership.random.IntN(len(membership.active))
		membership.active = append(membership.active[:position], membership.active[position+1:]...)
	}
	passive := []string{}
	for _, name := range membership.names() {
		if membership.Alive(now, name) && !slices.Contains(membership.active, name) {
			passive = append(passive, name)
		}
	}
	for len(membership.active) < activeSize && len(passive) > 0 {
		chosen := membership.chooseActive(now, passive)
		passive = slices.DeleteFunc(passive, func(name string) bool { return name == chosen })
		membership.active = append(membership.active, chosen)
		membership.table[chosen].activeSince = now
	}
}

// sampleTable returns a random part of the live members; a newcomer gets full rows only.
func (membership *Membership) sampleTable(now time.Duration, newcomer bool) Shuffle {
	shuffle := Shuffle{Members: []contract.Member{membership.self}}
	names, heartbeats := []string{}, []string{}
	for _, name := range membership.names() {
		if membership.Alive(now, name) {
			names = append(names, name)
		}
	}
	membership.random.Shuffle(len(names), func(left, right int) { names[left], names[right] = names[right], names[left] })
	if len(names) > shuffleSize {
		names = membership.controlsFirst(names)[:shuffleSize]
	}
	for position, name := range names {
		record := membership.table[name]
		samePosition, recent := record.member.Position == membership.self.Position, membership.bounds.SuspicionTimeout()/2
		if newcomer || position < fullRows || now-record.changedAt < recent || now-record.positionAt < recent && !samePosition {
			shuffle.Members = append(shuffle.Members, record.member)
			continue
		}
		if samePosition {
			shuffle.SamePosition |= 1 << len(heartbeats)
		}
		heartbeats = append(heartbeats, name+" "+strconv.FormatInt(record.member.Incarnation, 10)+" "+strconv.FormatInt(record.member.Heartbeat, 10))
	}
	shuffle.Heartbeats = strings.Join(heartbeats, ";")
	return shuffle
}

func (membership *Membership) handleShuffle(now time.Duration, from string, shuffle Shuffle) []contract.Command {
	address, boot, newcomer, senderPosition := "", "", true, contract.Position{}
	if record, found := membership.table[from]; found {
		newcomer = now-record.changedAt < membership.bounds.SuspicionTimeout()
	}
	for index, member := range shuffle.Members {
		if index > shuffleSize {
			break
		}
		if member.Name == from {
			address, boot, senderPosition = member.Address, member.Boot, member.Position
		}
		membership.mergeMember(now, member)
	}
	if record, found := membership.table[from]; found {
		record.heardAt = now
		if record.member.Zone != membership.self.Zone || contract.MachineOf(from) != contract.MachineOf(membership.self.Name) {
			membership.outsideHeardAt = now
		}
	}
	for index, heartbeatUpdate := range strings.Split(shuffle.Heartbeats, ";") {
		if index > shuffleSize {
			break
		}
		position := contract.Position{}
		if shuffle.SamePosition>>index&1 == 1 {
			position = senderPosition
		}
		membership.heartbeatUpdate(now, heartbeatUpdate, position)
	}
	if shuffle.IsReply || address == "" || membership.hasLeft {
		return nil
	}
	answer := membership.sampleTable(now, newcomer)
	answer.IsReply = true
	if record, found := membership.table[from]; found && record.member.Boot != boot {
		answer.Members = append(answer.Members, record.member)
	}
	return []contract.Command{contract.Send{To: address, Kind: MessageShuffle, Body: answer}}
}

// heartbeatUpdate advances a member's heartbeat and position. It ignores other incarnations, which must come as full rows first.
func (membership *Membership) heartbeatUpdate(now time.Duration, text string, position contract.Position) {
	name, counts, _ := strings.Cut(text, " ")
	incarnationText, heartbeatText, _ := strings.Cut(counts, " ")
	incarnation, err := strconv.ParseInt(incarnationText, 10, 64)
	heartbeat, heartbeatErr := strconv.ParseInt(heartbeatText, 10, 64)
	record, found := membership.table[name]
	if err != nil || heartbeatErr != nil || !found || record.member.Incarnation != incarnation {
		return
	}
	if record.member.Position.Revision < position.Revision {
		record.member.Position, record.positionAt, membership.liveMembers = position, now, nil
	}
	if heartbeat <= record.member.Heartbeat {
		return
	}
	record.member.Heartbeat, record.heartbeatAt, record.hasLeft = heartbeat, now, false
	membership.liveMembers = nil
}

func (membership *Membership) mergeMember(now time.Duration, member contract.Member) {
	if member.Name == membership.self.Name {
		if member.Boot != membership.self.Boot && member.Incarnation >= membership.self.Incarnation {
			membership.self.Incarnation = member.Incarnation + 1
		}
		return
	}
	record, found := membership.table[member.Name]
	if !found {
		if len(membership.table) < membership.capacityFor(member) && member.Name != "" && member.Address != "" {
			membership.table[member.Name] = &memberRecord{member: member, heartbeatAt: now, changedAt: now, mergedHeartbeat: member.Heartbeat}
			membership.liveMembers, membership.sortedNames = nil, nil
		}
		return
	}
	same := member.Incarnation == record.member.Incarnation
	if member.Incarnation < record.member.Incarnation || same && member.Heartbeat <= record.mergedHeartbeat {
		return
	}
	record.mergedHeartbeat = member.Heartbeat
	if !same || member.Heartbeat > record.member.Heartbeat {
		record.heartbeatAt, record.hasLeft = now, false
	} else {
		member.Heartbeat = record.member.Heartbeat
	}
	previous := record.member
	if same && member.Boot == previous.Boot && member.Position.Revision < previous.Position.Revision {
		member.Position = previous.Position
	}
	if previous.Position != member.Position {
		record.positionAt = now
	}
	previous.Heartbeat, previous.Position = member.Heartbeat, member.Position
	if previous != member {
		record.changedAt = now
	}
	record.member, membership.liveMembers = member, nil
}

// Alive reports whether a member's heartbeat advanced within the suspicion time.
func (membership *Membership) Alive(now time.Duration, name string) bool {
	if name == membership.self.Name {
		return true
	}
	record, found := membership.table[name]
	return found && !record.hasLeft && now-record.heartbeatAt < membership.bounds.SuspicionTimeout()
}

// Members returns the live members including this node, in the order of their names.
func (membership *Membership) Members(now time.Duration) []contract.Member {
	if membership.liveMembers != nil && membership.cachedAt == now {
		return membership.liveMembers
	}
	members, placed := make([]contract.Member, 0, len(membership.table)+1), false
	for _, name := range membership.names() {
		if !placed && membership.self.Name < name {
			members, placed = append(members, membership.self), true
		}
		if membership.Alive(now, name) {
			members = append(members, membership.table[name].member)
		}
	}
	if !placed {
		members = append(members, membership.self)
	}
	membership.liveMembers, membership.cachedAt = members, now
	return members
}

// Live returns the live members that fit a condition.
func (membership *Membership) Live(now time.Duration, fits func(contract.Member) bool) []contract.Member {
	members := []contract.Member{}
	for _, member := range membership.Members(now) {
		if fits(member) {
			members = append(members, member)
		}
	}
	return members
}

// names returns the names of all members in the table, sorted.
func (membership *Membership) names() []string {
	if membership.sortedNames == nil {
		membership.sortedNames = manifest.SortedKeys(membership.table)
	}
	return membership.sortedNames
}
