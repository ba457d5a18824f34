// Package neighbour keeps partial views of the fleet, shuffled between neighbours, and each member's condition.
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
	activeSize  = 4
	shuffleSize = 48
	wholeRows   = 1
	tableSize   = 1024
	leastOdds   = 6
	renewOdds   = 8
)

type row struct {
	member   contract.Member
	advanced time.Duration
	changed  time.Duration
	moved    time.Duration
	heard    time.Duration
	told     int64
	joined   time.Duration
	gone     bool
}

type Owner struct {
	bounds   env.Bounds
	self     contract.Member
	seeds    []string
	table    map[string]*row
	active   []string
	random   *rand.Rand
	next     time.Duration
	cached   []contract.Member
	cachedAt time.Duration
	ordered  []string
	spoken   time.Duration
	left     bool
}

// Shuffle carries whole rows of members that are new or changed lately and a few others, and beats of the rest. Here has the bits of
// the beats whose members are at the sender's own place.
type Shuffle struct {
	Members []contract.Member `json:"members"`
	Beats   string            `json:"beats,omitempty"`
	Here    uint64            `json:"here,omitempty"`
	Answer  bool              `json:"answer,omitempty"`
}

// Bye carries the last beat, so that older news of the member don't bring it back.
type Bye struct {
	Name      string `json:"name"`
	Boot      string `json:"boot"`
	Heartbeat int64  `json:"heartbeat"`
}

const (
	MessageShuffle = "shuffle"
	MessageBye     = "bye"
)

func New(self contract.Member, seeds []string, bounds env.Bounds, random *rand.Rand) *Owner {
	self.Incarnation = 1
	return &Owner{bounds: bounds, self: self, seeds: seeds, table: map[string]*row{}, random: random}
}

func (owner *Owner) Self() contract.Member { return owner.self }

func (owner *Owner) Hold(place contract.Position, view int64, core bool) {
	owner.self.Position, owner.self.View, owner.self.Core = place, view, core
	owner.cached = nil
}

// Identify sets the identity of this node's data folder, which the others are told.
func (owner *Owner) Identify(coreID string) {
	owner.self.CoreID, owner.cached = coreID, nil
}

// Seeds are other addresses to start from than those that this node was started with.
type Seeds struct{ Addresses []string }

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
			return owner.shuffled(now, event.From, shuffle)
		case MessageBye:
			var bye Bye
			if json.Unmarshal(event.Body, &bye) == nil {
				if known, there := owner.table[bye.Name]; there && known.member.Boot == bye.Boot {
					known.gone, owner.cached = true, nil
					known.member.Heartbeat = max(known.member.Heartbeat, bye.Heartbeat)
					known.told = known.member.Heartbeat
				}
			}
		}
	}
	return nil
}

// Woke forgives the silence that a freeze of this process made of everybody else.
func (owner *Owner) Woke(now, gap time.Duration) {
	for _, known := range owner.table {
		if now-known.advanced < owner.bounds.SuspicionTimeout()+gap {
			known.advanced = now
		}
	}
	owner.self.Incarnation++
	owner.cached = nil
}

func (owner *Owner) Farewell() []contract.Command {
	commands := []contract.Command{}
	owner.left = true
	for _, name := range owner.names() {
		commands = append(commands, contract.Send{To: owner.table[name].member.Address, Kind: MessageBye, Body: Bye{owner.self.Name, owner.self.Boot, owner.self.Heartbeat}})
	}
	return commands
}

func (owner *Owner) tick(now time.Duration) []contract.Command {
	if now < owner.next || owner.left {
		return nil
	}
	owner.next = now + owner.bounds.GossipInterval()
	owner.self.Heartbeat++
	owner.forget(now)
	owner.renewActive(now)
	targets := map[string]bool{}
	for index := 0; index < 2 && len(owner.active) > 0; index++ {
		name := owner.drawActive()
		targets[owner.table[name].member.Address] = true
	}
	if len(owner.active) < activeSize || owner.random.IntN(owner.healOdds()) == 0 {
		if len(owner.seeds) > 0 {
			targets[owner.seeds[owner.random.IntN(len(owner.seeds))]] = true
		}
	}
	lonely := now-owner.spoken > owner.bounds.SuspicionTimeout()/4
	if names := owner.names(); len(names) > 0 && (lonely || owner.random.IntN(owner.healOdds()) == 0) {
		targets[owner.table[names[owner.random.IntN(len(names))]].member.Address] = true
	}
	if lonely {
		for _, name := range owner.lastHeard(activeSize) {
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

func (owner *Owner) forget(now time.Duration) {
	for name, known := range owner.table {
		if now-known.advanced > owner.bounds.MemberExpiry() {
			delete(owner.table, name)
			owner.ordered = nil
		}
	}
}

func (owner *Owner) renewActive(now time.Duration) {
	kept := owner.active[:0]
	for _, name := range owner.active {
		if known := owner.table[name]; owner.Alive(now, name) && now-max(known.heard, known.joined) < owner.bounds.SuspicionTimeout() {
			kept = append(kept, name)
		}
	}
	owner.active = kept
	if len(owner.active) == activeSize && owner.random.IntN(renewOdds) == 0 {
		place := owner.random.IntN(len(owner.active))
		owner.active = append(owner.active[:place], owner.active[place+1:]...)
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
		owner.table[chosen].joined = now
	}
}

// sample is a shuffled part of the live members; a newcomer gets them whole.
func (owner *Owner) sample(now time.Duration, newcomer bool) Shuffle {
	shuffle := Shuffle{Members: []contract.Member{owner.self}}
	names, beats := []string{}, []string{}
	for _, name := range owner.names() {
		if owner.Alive(now, name) {
			names = append(names, name)
		}
	}
	owner.random.Shuffle(len(names), func(left, right int) { names[left], names[right] = names[right], names[left] })
	if len(names) > shuffleSize {
		names = owner.controlsFirst(names)[:shuffleSize]
	}
	for place, name := range names {
		known := owner.table[name]
		here, lately := known.member.Position == owner.self.Position, owner.bounds.SuspicionTimeout()/2
		if newcomer || place < wholeRows || now-known.changed < lately || now-known.moved < lately && !here {
			shuffle.Members = append(shuffle.Members, known.member)
			continue
		}
		if here {
			shuffle.Here |= 1 << len(beats)
		}
		beats = append(beats, name+" "+strconv.FormatInt(known.member.Incarnation, 10)+" "+strconv.FormatInt(known.member.Heartbeat, 10))
	}
	shuffle.Beats = strings.Join(beats, ";")
	return shuffle
}

func (owner *Owner) shuffled(now time.Duration, from string, shuffle Shuffle) []contract.Command {
	address, boot, newcomer, told := "", "", true, contract.Position{}
	if known, there := owner.table[from]; there {
		newcomer = now-known.changed < owner.bounds.SuspicionTimeout()
	}
	for index, member := range shuffle.Members {
		if index > shuffleSize {
			break
		}
		if member.Name == from {
			address, boot, told = member.Address, member.Boot, member.Position
		}
		owner.merge(now, member)
	}
	if known, there := owner.table[from]; there {
		known.heard = now
		if known.member.Zone != owner.self.Zone || contract.MachineOf(from) != contract.MachineOf(owner.self.Name) {
			owner.spoken = now
		}
	}
	for index, beat := range strings.Split(shuffle.Beats, ";") {
		if index > shuffleSize {
			break
		}
		place := contract.Position{}
		if shuffle.Here>>index&1 == 1 {
			place = told
		}
		owner.beat(now, beat, place)
	}
	if shuffle.Answer || address == "" || owner.left {
		return nil
	}
	answer := owner.sample(now, newcomer)
	answer.Answer = true
	if known, there := owner.table[from]; there && known.member.Boot != boot {
		answer.Members = append(answer.Members, known.member)
	}
	return []contract.Command{contract.Send{To: address, Kind: MessageShuffle, Body: answer}}
}

// beat moves a known member's heartbeat, and its place, which only goes forward within a life; whoever is not known by this incarnation
// waits for its whole row.
func (owner *Owner) beat(now time.Duration, text string, place contract.Position) {
	name, counts, _ := strings.Cut(text, " ")
	first, second, _ := strings.Cut(counts, " ")
	incarnation, err := strconv.ParseInt(first, 10, 64)
	heartbeat, other := strconv.ParseInt(second, 10, 64)
	known, there := owner.table[name]
	if err != nil || other != nil || !there || known.member.Incarnation != incarnation {
		return
	}
	if known.member.Position.Revision < place.Revision {
		known.member.Position, known.moved, owner.cached = place, now, nil
	}
	if heartbeat <= known.member.Heartbeat {
		return
	}
	known.member.Heartbeat, known.advanced, known.gone = heartbeat, now, false
	owner.cached = nil
}

func (owner *Owner) merge(now time.Duration, member contract.Member) {
	if member.Name == owner.self.Name {
		if member.Boot != owner.self.Boot && member.Incarnation >= owner.self.Incarnation {
			owner.self.Incarnation = member.Incarnation + 1
		}
		return
	}
	known, there := owner.table[member.Name]
	if !there {
		if len(owner.table) < owner.room(member) && member.Name != "" && member.Address != "" {
			owner.table[member.Name] = &row{member: member, advanced: now, changed: now, told: member.Heartbeat}
			owner.cached, owner.ordered = nil, nil
		}
		return
	}
	same := member.Incarnation == known.member.Incarnation
	if member.Incarnation < known.member.Incarnation || same && member.Heartbeat <= known.told {
		return
	}
	known.told = member.Heartbeat
	if !same || member.Heartbeat > known.member.Heartbeat {
		known.advanced, known.gone = now, false
	} else {
		member.Heartbeat = known.member.Heartbeat
	}
	former := known.member
	if same && member.Boot == former.Boot && member.Position.Revision < former.Position.Revision {
		member.Position = former.Position
	}
	if former.Position != member.Position {
		known.moved = now
	}
	former.Heartbeat, former.Position = member.Heartbeat, member.Position
	if former != member {
		known.changed = now
	}
	known.member, owner.cached = member, nil
}

func (owner *Owner) Alive(now time.Duration, name string) bool {
	if name == owner.self.Name {
		return true
	}
	known, there := owner.table[name]
	return there && !known.gone && now-known.advanced < owner.bounds.SuspicionTimeout()
}

// Members gives the live members, this node among them, in the order of their names.
func (owner *Owner) Members(now time.Duration) []contract.Member {
	if owner.cached != nil && owner.cachedAt == now {
		return owner.cached
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
	owner.cached, owner.cachedAt = members, now
	return members
}

func (owner *Owner) Live(now time.Duration, fits func(contract.Member) bool) []contract.Member {
	members := []contract.Member{}
	for _, member := range owner.Members(now) {
		if fits(member) {
			members = append(members, member)
		}
	}
	return members
}

// names gives all that are known, in order.
func (owner *Owner) names() []string {
	if owner.ordered == nil {
		owner.ordered = manifest.SortedKeys(owner.table)
	}
	return owner.ordered
}
