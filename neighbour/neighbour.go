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
	heard           time.Duration // last message received from it directly, 0 for none
	mergedHeartbeat int64         // heartbeat of the last full row that was merged
	activeSince     time.Duration // when it entered the active view
	departed        bool          // it has announced that it leaves
}

// Owner holds one node's view of the fleet and decides with whom it gossips.
type Owner struct {
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
func New(self contract.Member, seeds []string, bounds env.Bounds, random *rand.Rand) *Owner {
	self.Incarnation = 1
	return &Owner{bounds: bounds, self: self, seeds: seeds, table: map[string]*memberRecord{}, random: random}
}

// Self returns this node's own row.
func (owner *Owner) Self() contract.Member { return owner.self }

// SetState sets what the others are told of this node: its position and view, and whether it can serve in the core.
func (owner *Owner) SetState(position contract.Position, view int64, core bool) {
	owner.self.Position, owner.self.View, owner.self.Core = position, view, core
	owner.liveMembers = nil
}

// SetIdentity sets the identity of this node's data folder, which the others are told.
func (owner *Owner) SetIdentity(coreID string) {
	owner.self.CoreID, owner.liveMembers = coreID, nil
}

// Seeds is an event that replaces the addresses that this node was started with.
type Seeds struct{ Addresses []string }

// Handle processes ticks, messages of the gossip and new Seeds.
func (owner *Owner) Handle(now time.Duration, event contract.Event) []contract.Command {
	switch event := event.(type) {
	case Seeds:
		owner.seeds = event.Addresses
	case contract.Tick:
		return owner.tick(now)
	case contract.Message:
		switch event.Kind {
		case MessageShuffle:
			var shuffle Shuffle
			if json.Unmarshal(event.Body, &shuffle) != nil {
				return []contract.Command{contract.AddCounter{Name: "messages_broken", Delta: 1}}
			}
			return owner.handleShuffle(now, event.From, shuffle)
		case MessageLeave:
			var leave Leave
			if json.Unmarshal(event.Body, &leave) == nil {
				if record, found := owner.table[leave.Name]; found && record.member.Boot == leave.Boot {
					record.departed, owner.liveMembers = true, nil
					record.member.Heartbeat = max(record.member.Heartbeat, leave.Heartbeat)
					record.mergedHeartbeat = record.member.Heartbeat
				}
			}
		}
	}
	return nil
}

// ResumeAfterFreeze extends the members' heartbeats by the gap in which this process was frozen and could not hear them.
func (owner *Owner) ResumeAfterFreeze(now, gap time.Duration) {
	for _, record := range owner.table {
		if now-record.heartbeatAt < owner.bounds.SuspicionTimeout()+gap {
			record.heartbeatAt = now
		}
	}
	owner.self.Incarnation++
	owner.liveMembers = nil
}

// AnnounceLeave tells all members that this node stops; from then on it gossips no more.
func (owner *Owner) AnnounceLeave() []contract.Command {
	commands := []contract.Command{}
	owner.hasLeft = true
	for _, name := range owner.names() {
		commands = append(commands, contract.Send{To: owner.table[name].member.Address, Kind: MessageLeave, Body: Leave{owner.self.Name, owner.self.Boot, owner.self.Heartbeat}})
	}
	return commands
}

func (owner *Owner) tick(now time.Duration) []contract.Command {
	if now < owner.nextGossip || owner.hasLeft {
		return nil
	}
	owner.nextGossip = now + owner.bounds.GossipInterval()
	owner.self.Heartbeat++
	owner.forgetExpired(now)
	owner.refreshActive(now)
	targets := map[string]bool{}
	for index := 0; index < 2 && len(owner.active) > 0; index++ {
		name := owner.pickGossipTarget()
		targets[owner.table[name].member.Address] = true
	}
	if len(owner.active) < activeSize || owner.random.IntN(owner.healOdds()) == 0 {
		if len(owner.seeds) > 0 {
			targets[owner.seeds[owner.random.IntN(len(owner.seeds))]] = true
		}
	}
	isolated := now-owner.outsideHeardAt > owner.bounds.SuspicionTimeout()/4
	if names := owner.names(); len(names) > 0 && (isolated || owner.random.IntN(owner.healOdds()) == 0) {
		targets[owner.table[names[owner.random.IntN(len(names))]].member.Address] = true
	}
	if isolated {
		for _, name := range owner.mostRecentlyHeard(activeSize) {
			targets[owner.table[name].member.Address] = true
		}
	}
	delete(targets, owner.self.Address)
	addresses := make([]string, 0, len(targets))
	for address := range targets {
		addresses = append(addresses, address)
	}
	sort.Strings(addresses)
	commands := []contract.Command{}
	for _, address := range addresses {
		commands = append(commands, contract.Send{To: address, Kind: MessageShuffle, Body: owner.sample(now, false)})
	}
	return commands
}

func (owner *Owner) forgetExpired(now time.Duration) {
	for name, record := range owner.table {
		if now-record.heartbeatAt > owner.bounds.MemberExpiry() {
			delete(owner.table, name)
			owner.sortedNames = nil
		}
	}
}

func (owner *Owner) refreshActive(now time.Duration) {
	kept := owner.active[:0]
	for _, name := range owner.active {
		if record := owner.table[name]; owner.Alive(now, name) && now-max(record.heard, record.activeSince) < owner.bounds.SuspicionTimeout() {
			kept = append(kept, name)
		}
	}
	owner.active = kept
	if len(owner.active) == activeSize && owner.random.IntN(renewOdds) == 0 {
		position := owner.random.IntN(len(owner.active))
		owner.active = append(owner.active[:position], owner.active[position+1:]...)
	}
	passive := []string{}
	for _, name := range owner.names() {
		if owner.Alive(now, name) && !slices.Contains(owner.active, name) {
			passive = append(passive, name)
		}
	}
	for len(owner.active) < activeSize && len(passive) > 0 {
		chosen := owner.chooseActive(now, passive)
		passive = slices.DeleteFunc(passive, func(name string) bool { return name == chosen })
		owner.active = append(owner.active, chosen)
		owner.table[chosen].activeSince = now
	}
}

// sample returns a random part of the live members; a newcomer gets full rows only.
func (owner *Owner) sample(now time.Duration, newcomer bool) Shuffle {
	shuffle := Shuffle{Members: []contract.Member{owner.self}}
	names, heartbeats := []string{}, []string{}
	for _, name := range owner.names() {
		if owner.Alive(now, name) {
			names = append(names, name)
		}
	}
	owner.random.Shuffle(len(names), func(left, right int) { names[left], names[right] = names[right], names[left] })
	if len(names) > shuffleSize {
		names = owner.controlsFirst(names)[:shuffleSize]
	}
	for position, name := range names {
		record := owner.table[name]
		samePosition, recent := record.member.Position == owner.self.Position, owner.bounds.SuspicionTimeout()/2
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

func (owner *Owner) handleShuffle(now time.Duration, from string, shuffle Shuffle) []contract.Command {
	address, boot, newcomer, senderPosition := "", "", true, contract.Position{}
	if record, found := owner.table[from]; found {
		newcomer = now-record.changedAt < owner.bounds.SuspicionTimeout()
	}
	for index, member := range shuffle.Members {
		if index > shuffleSize {
			break
		}
		if member.Name == from {
			address, boot, senderPosition = member.Address, member.Boot, member.Position
		}
		owner.mergeMember(now, member)
	}
	if record, found := owner.table[from]; found {
		record.heard = now
		if record.member.Zone != owner.self.Zone || contract.MachineOf(from) != contract.MachineOf(owner.self.Name) {
			owner.outsideHeardAt = now
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
		owner.heartbeatUpdate(now, heartbeatUpdate, position)
	}
	if shuffle.IsReply || address == "" || owner.hasLeft {
		return nil
	}
	answer := owner.sample(now, newcomer)
	answer.IsReply = true
	if record, found := owner.table[from]; found && record.member.Boot != boot {
		answer.Members = append(answer.Members, record.member)
	}
	return []contract.Command{contract.Send{To: address, Kind: MessageShuffle, Body: answer}}
}

// heartbeatUpdate advances a member's heartbeat and position. It ignores other incarnations, which must come as full rows first.
func (owner *Owner) heartbeatUpdate(now time.Duration, text string, position contract.Position) {
	name, counts, _ := strings.Cut(text, " ")
	incarnationText, heartbeatText, _ := strings.Cut(counts, " ")
	incarnation, err := strconv.ParseInt(incarnationText, 10, 64)
	heartbeat, heartbeatErr := strconv.ParseInt(heartbeatText, 10, 64)
	record, found := owner.table[name]
	if err != nil || heartbeatErr != nil || !found || record.member.Incarnation != incarnation {
		return
	}
	if record.member.Position.Revision < position.Revision {
		record.member.Position, record.positionAt, owner.liveMembers = position, now, nil
	}
	if heartbeat <= record.member.Heartbeat {
		return
	}
	record.member.Heartbeat, record.heartbeatAt, record.departed = heartbeat, now, false
	owner.liveMembers = nil
}

func (owner *Owner) mergeMember(now time.Duration, member contract.Member) {
	if member.Name == owner.self.Name {
		if member.Boot != owner.self.Boot && member.Incarnation >= owner.self.Incarnation {
			owner.self.Incarnation = member.Incarnation + 1
		}
		return
	}
	record, found := owner.table[member.Name]
	if !found {
		if len(owner.table) < owner.capacityFor(member) && member.Name != "" && member.Address != "" {
			owner.table[member.Name] = &memberRecord{member: member, heartbeatAt: now, changedAt: now, mergedHeartbeat: member.Heartbeat}
			owner.liveMembers, owner.sortedNames = nil, nil
		}
		return
	}
	same := member.Incarnation == record.member.Incarnation
	if member.Incarnation < record.member.Incarnation || same && member.Heartbeat <= record.mergedHeartbeat {
		return
	}
	record.mergedHeartbeat = member.Heartbeat
	if !same || member.Heartbeat > record.member.Heartbeat {
		record.heartbeatAt, record.departed = now, false
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
	record.member, owner.liveMembers = member, nil
}

// Alive reports whether a member's heartbeat advanced within the suspicion time.
func (owner *Owner) Alive(now time.Duration, name string) bool {
	if name == owner.self.Name {
		return true
	}
	record, found := owner.table[name]
	return found && !record.departed && now-record.heartbeatAt < owner.bounds.SuspicionTimeout()
}

// Members returns the live members including this node, in the order of their names.
func (owner *Owner) Members(now time.Duration) []contract.Member {
	if owner.liveMembers != nil && owner.cachedAt == now {
		return owner.liveMembers
	}
	members, placed := make([]contract.Member, 0, len(owner.table)+1), false
	for _, name := range owner.names() {
		if !placed && owner.self.Name < name {
			members, placed = append(members, owner.self), true
		}
		if owner.Alive(now, name) {
			members = append(members, owner.table[name].member)
		}
	}
	if !placed {
		members = append(members, owner.self)
	}
	owner.liveMembers, owner.cachedAt = members, now
	return members
}

// Live returns the live members that fit a condition.
func (owner *Owner) Live(now time.Duration, fits func(contract.Member) bool) []contract.Member {
	members := []contract.Member{}
	for _, member := range owner.Members(now) {
		if fits(member) {
			members = append(members, member)
		}
	}
	return members
}

// names returns the names of all members in the table, sorted.
func (owner *Owner) names() []string {
	if owner.sortedNames == nil {
		owner.sortedNames = manifest.SortedKeys(owner.table)
	}
	return owner.sortedNames
}
