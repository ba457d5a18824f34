package modelcheck

import (
	"fmt"
	"slices"

	"github.com/cedarreel/cedarreel/chain"
)

// Move is one step of the systematic search: something that happens at one place, with all that follows from it until nothing is under
// way or a fixed time is over. Moves are larger than actions, so that few of them make a view, a loss and a recovery.
type Move int

const (
	// WriteThrough orders a write and lets it be acknowledged; WriteLost orders one that only the head's disk gets; WriteHeld one whose messages
	// stay under way.
	WriteThrough Move = iota
	WriteLost
	WriteHeld
	// WriteMany orders more writes than a proposal of a view carries.
	WriteMany
	// ReadFirst and ReadLast begin a read at the first or the last member that believes itself to be the tail.
	ReadFirst
	ReadLast
	// Exchange lets disks write and messages arrive, the oldest or the newest first, while no clock moves.
	Exchange
	ExchangeReversed
	// Pass lets time pass for all.
	Pass
	// Cut isolates a member by its place in the chain and lets time pass; Join ends that without time, Heal with time.
	CutHead
	CutMiddle
	CutTail
	// Freeze cuts a member off whose own clock stands still.
	FreezeHead
	FreezeMiddle
	FreezeTail
	Join
	HealAll
	// Restart ends and starts a member, Power with the loss of what was not synced, Empty with that of its disk; Replace puts another one in
	// its place.
	RestartHead
	RestartMiddle
	RestartTail
	PowerHead
	PowerMiddle
	PowerTail
	EmptyHead
	EmptyTail
	ReplaceHead
	ReplaceTail
	moves
)

var moveNames = [...]string{"write", "write that only the head's disk gets", "write whose messages stay under way", "many writes", "read at the first tail", "read at the last tail",
	"exchange", "exchange reversed", "time passes", "cut the head off", "cut the middle off", "cut the tail off", "freeze the head", "freeze the middle", "freeze the tail", "join without time", "heal", "restart the head",
	"restart the middle", "restart the tail", "power loss at the head", "power loss at the middle", "power loss at the tail", "head comes with an empty disk",
	"tail comes with an empty disk", "replace the head", "replace the tail"}

func (move Move) String() string { return moveNames[move] }

// budget is the kind of a move, of which a trace has a bounded number.
type budget int

const (
	budgetWrites budget = iota
	budgetMany
	budgetReads
	budgetExchanges
	budgetTime
	budgetCuts
	budgetHeals
	budgetCrashes
	budgetReplacements
	budgets
)

// budgetOf gives the kind of each move.
var budgetOf = [moves]budget{WriteThrough: budgetWrites, WriteLost: budgetWrites, WriteHeld: budgetWrites, WriteMany: budgetMany, ReadFirst: budgetReads, ReadLast: budgetReads,
	Exchange: budgetExchanges, ExchangeReversed: budgetExchanges, Pass: budgetTime, CutHead: budgetCuts, CutMiddle: budgetCuts, CutTail: budgetCuts,
	FreezeHead: budgetCuts, FreezeMiddle: budgetCuts, FreezeTail: budgetCuts, Join: budgetHeals,
	HealAll: budgetHeals, RestartHead: budgetCrashes, RestartMiddle: budgetCrashes, RestartTail: budgetCrashes, PowerHead: budgetCrashes, PowerMiddle: budgetCrashes,
	PowerTail: budgetCrashes, EmptyHead: budgetCrashes, EmptyTail: budgetCrashes, ReplaceHead: budgetReplacements, ReplaceTail: budgetReplacements}

// Bounds of a trace: how many moves of each kind it has at most.
type Bounds [budgets]int

// DefaultBounds are two writes, one read, one crash, one replacement, one cut, and what lets them take effect.
func DefaultBounds() Bounds {
	return Bounds{budgetWrites: 2, budgetMany: 1, budgetReads: 1, budgetExchanges: 1, budgetTime: 1, budgetCuts: 1, budgetHeals: 1, budgetCrashes: 1, budgetReplacements: 1}
}

const (
	// passRounds ticks of passTicks each are longer than a suspicion and a change of view.
	passRounds    = 24
	passTicks     = 4
	exchangeTimes = 6
	manyWrites    = 40
)

// Play carries a move out. It tells whether the move meant anything.
func (cluster *Cluster) Play(move Move) bool {
	switch move {
	case WriteThrough, WriteLost, WriteHeld, WriteMany:
		return cluster.playWrite(move)
	case ReadFirst, ReadLast:
		return cluster.playRead(move)
	case Exchange:
		cluster.exchangeAll(false)
	case ExchangeReversed:
		cluster.exchangeAll(true)
	case Pass:
		cluster.pass()
	case Join, HealAll:
		if len(cluster.blocked) == 0 {
			return false
		}
		cluster.heal()
		if move == HealAll {
			cluster.pass()
		}
	case CutHead, CutMiddle, CutTail:
		return cluster.playCut(int(move-CutHead), false)
	case FreezeHead, FreezeMiddle, FreezeTail:
		return cluster.playCut(int(move-FreezeHead), true)
	default:
		return cluster.playCrash(move)
	}
	return true
}

func (cluster *Cluster) playWrite(move Move) bool {
	head := cluster.first(0, headOf)
	if head == nil {
		return false
	}
	switch move {
	case WriteThrough:
		cluster.steps++
		cluster.submit(head)
		cluster.exchangeAll(false)
	case WriteLost:
		cluster.exchangeAll(false)
		cluster.submit(head)
		for head.pending != nil {
			cluster.finishWrite(head)
		}
		cluster.messages = nil
	case WriteHeld:
		cluster.submit(head)
	case WriteMany:
		for range manyWrites {
			cluster.steps++
			cluster.submit(head)
			cluster.exchangeAll(false)
		}
	}
	return true
}

func (cluster *Cluster) playRead(move Move) bool {
	tails := []*member{}
	for _, member := range cluster.members {
		if member.up() && tailOf(member.owner) {
			tails = append(tails, member)
		}
	}
	if len(tails) == 0 || move == ReadLast && len(tails) < 2 {
		return false
	}
	if move == ReadFirst {
		cluster.read(tails[0])
		return true
	}
	cluster.read(tails[len(tails)-1])
	return true
}

// playCut isolates the member of a place in the chain and lets time pass, for the others alone if it is frozen.
func (cluster *Cluster) playCut(place int, frozen bool) bool {
	member := cluster.ranked(place)
	if member == nil {
		return false
	}
	cluster.isolate(member)
	if frozen {
		cluster.pass(member)
	} else {
		cluster.pass()
	}
	return true
}

func (cluster *Cluster) playCrash(move Move) bool {
	places := map[Move]int{RestartHead: 0, RestartMiddle: 1, RestartTail: 2, PowerHead: 0, PowerMiddle: 1, PowerTail: 2, EmptyHead: 0, EmptyTail: 2, ReplaceHead: 0, ReplaceTail: 2}
	member := cluster.ranked(places[move])
	if member == nil {
		return false
	}
	switch move {
	case RestartHead, RestartMiddle, RestartTail:
		member.owner, member.pending = nil, nil
	case PowerHead, PowerMiddle, PowerTail:
		member.owner, member.pending = nil, nil
		member.disk.LosePowerPartially(func() bool { return false })
	case EmptyHead, EmptyTail:
		cluster.wipe(member)
	case ReplaceHead, ReplaceTail:
		before := len(cluster.members)
		cluster.replace(member)
		return len(cluster.members) > before
	}
	if member.up() {
		return false
	}
	cluster.start(member, false)
	return true
}

// ranked gives the running member of a place in the newest chain.
func (cluster *Cluster) ranked(place int) *member {
	if place >= len(cluster.view.Chain) {
		return nil
	}
	node, _ := cluster.view.Node(cluster.view.Chain[place])
	member := cluster.member(node.Name)
	if member == nil || !member.up() {
		return nil
	}
	return member
}

// pass lets time pass, longer than a suspicion and a change of view, while every disk writes and every message arrives; some stand still.
func (cluster *Cluster) pass(frozen ...*member) {
	for range passRounds {
		for _, member := range cluster.members {
			if !member.up() || slices.Contains(frozen, member) {
				continue
			}
			for member.pending != nil {
				cluster.finishWrite(member)
			}
			cluster.tick(member, passTicks*cluster.bounds.Tick())
		}
		cluster.deliverAll()
	}
}

// exchangeAll lets disks write and messages arrive while no clock moves.
func (cluster *Cluster) exchangeAll(reversed bool) {
	for range exchangeTimes {
		for _, member := range cluster.members {
			for member.up() && member.pending != nil {
				cluster.finishWrite(member)
			}
		}
		for count := len(cluster.messages); count > 0 && len(cluster.messages) > 0; count-- {
			place := 0
			if reversed {
				place = len(cluster.messages) - 1
			}
			cluster.Apply(Action{Kind: Deliver, First: place})
		}
	}
}

// lacksAcknowledged names a member of the newest chain that lacks a write which was acknowledged, or nothing.
func (cluster *Cluster) lacksAcknowledged() string {
	for _, identity := range cluster.view.Chain {
		node, _ := cluster.view.Node(identity)
		member := cluster.member(node.Name)
		if member == nil || !member.up() || member.owner.Self().Identity() != identity || member.owner.View().Number != cluster.view.Number {
			continue
		}
		if operation, lacks := lackedBy(member.owner, cluster.checker.acked); lacks {
			return fmt.Sprintf("%s is in the chain of view %d and lacks %s, which was acknowledged", identity, cluster.view.Number, operation)
		}
	}
	return ""
}

func lackedBy(owner *chain.Replica, acked map[string]int64) (string, bool) {
	for operation := range acked {
		if _, there := owner.Operation(operation); !there {
			return operation, true
		}
	}
	return "", false
}
