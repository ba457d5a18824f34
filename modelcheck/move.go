package modelcheck

import (
	"fmt"
	"slices"

	"github.com/cedarreel/cedarreel/chain"
)

// Move is one step of the systematic search: an event together with its consequences, until the messages are exchanged or a fixed time has
// passed. Moves are coarser than actions, so that few of them cover a view change, a failure and a recovery.
type Move int

const (
	// WriteCommitted submits a write and lets it be acknowledged; WriteLost submits one that reaches only the head's disk; WriteInFlight one
	// whose messages stay in flight.
	WriteCommitted Move = iota
	WriteLost
	WriteInFlight
	// WriteMany submits more writes than a proposal for a view carries.
	WriteMany
	// ReadFirst and ReadLast begin a read at the first or the last member that believes that it is the tail.
	ReadFirst
	ReadLast
	// Exchange completes disk writes and delivers messages, oldest first, while no clock advances; ExchangeReversed delivers newest first.
	Exchange
	ExchangeReversed
	// PassTime advances the clocks of all members past a suspicion timeout and a view change.
	PassTime
	// IsolateHead, IsolateMiddle and IsolateTail isolate a member by its position in the chain and let time pass.
	IsolateHead
	IsolateMiddle
	IsolateTail
	// FreezeHead, FreezeMiddle and FreezeTail do the same while the isolated member's own clock stops.
	FreezeHead
	FreezeMiddle
	FreezeTail
	// Reconnect unblocks all links without letting time pass, HealAll lets time pass afterwards.
	Reconnect
	HealAll
	// RestartHead and the following restart a member: cleanly, with the loss of unsynced data (PowerLoss), or with the loss of its disk (Wipe).
	// ReplaceHead and ReplaceTail replace a member by an empty one under another name.
	RestartHead
	RestartMiddle
	RestartTail
	PowerLossHead
	PowerLossMiddle
	PowerLossTail
	WipeHead
	WipeTail
	ReplaceHead
	ReplaceTail
	moveCount
)

var moveNames = [...]string{"write", "write that only the head's disk gets", "write whose messages stay under way", "many writes", "read at the first tail", "read at the last tail",
	"exchange", "exchange reversed", "time passes", "cut the head off", "cut the middle off", "cut the tail off", "freeze the head", "freeze the middle", "freeze the tail", "join without time", "heal", "restart the head",
	"restart the middle", "restart the tail", "power loss at the head", "power loss at the middle", "power loss at the tail", "head comes with an empty disk",
	"tail comes with an empty disk", "replace the head", "replace the tail"}

// String returns the name of the move as traces print it.
func (move Move) String() string { return moveNames[move] }

// moveCategory groups moves that share a bound on their number in a trace.
type moveCategory int

const (
	categoryWrites moveCategory = iota
	categoryWriteMany
	categoryReads
	categoryExchanges
	categoryTime
	categoryPartitions
	categoryHeals
	categoryCrashes
	categoryReplacements
	categoryCount
)

// categoryOf maps each move to its category.
var categoryOf = [moveCount]moveCategory{WriteCommitted: categoryWrites, WriteLost: categoryWrites, WriteInFlight: categoryWrites, WriteMany: categoryWriteMany, ReadFirst: categoryReads, ReadLast: categoryReads,
	Exchange: categoryExchanges, ExchangeReversed: categoryExchanges, PassTime: categoryTime, IsolateHead: categoryPartitions, IsolateMiddle: categoryPartitions, IsolateTail: categoryPartitions,
	FreezeHead: categoryPartitions, FreezeMiddle: categoryPartitions, FreezeTail: categoryPartitions, Reconnect: categoryHeals,
	HealAll: categoryHeals, RestartHead: categoryCrashes, RestartMiddle: categoryCrashes, RestartTail: categoryCrashes, PowerLossHead: categoryCrashes, PowerLossMiddle: categoryCrashes,
	PowerLossTail: categoryCrashes, WipeHead: categoryCrashes, WipeTail: categoryCrashes, ReplaceHead: categoryReplacements, ReplaceTail: categoryReplacements}

// Bounds is the maximum number of moves of each category in a trace.
type Bounds [categoryCount]int

// DefaultBounds allows two writes and one move of each other category.
func DefaultBounds() Bounds {
	return Bounds{categoryWrites: 2, categoryWriteMany: 1, categoryReads: 1, categoryExchanges: 1, categoryTime: 1, categoryPartitions: 1, categoryHeals: 1, categoryCrashes: 1, categoryReplacements: 1}
}

const (
	// passRounds rounds of passTicks ticks each last longer than a suspicion timeout and a view change.
	passRounds     = 24
	passTicks      = 4
	exchangeRounds = 6
	bulkWriteCount = 40
)

// Play executes a move. It returns false if the move was not applicable in the current state.
func (cluster *Cluster) Play(move Move) bool {
	switch move {
	case WriteCommitted, WriteLost, WriteInFlight, WriteMany:
		return cluster.playWrite(move)
	case ReadFirst, ReadLast:
		return cluster.playRead(move)
	case Exchange:
		cluster.exchangeAll(false)
	case ExchangeReversed:
		cluster.exchangeAll(true)
	case PassTime:
		cluster.passTime()
	case Reconnect, HealAll:
		if len(cluster.blockedLinks) == 0 {
			return false
		}
		cluster.heal()
		if move == HealAll {
			cluster.passTime()
		}
	case IsolateHead, IsolateMiddle, IsolateTail:
		return cluster.playIsolate(int(move-IsolateHead), false)
	case FreezeHead, FreezeMiddle, FreezeTail:
		return cluster.playIsolate(int(move-FreezeHead), true)
	default:
		return cluster.playCrash(move)
	}
	return true
}

func (cluster *Cluster) playWrite(move Move) bool {
	head := cluster.firstMember(0, acceptsWrites)
	if head == nil {
		return false
	}
	switch move {
	case WriteCommitted:
		cluster.steps++
		cluster.submit(head)
		cluster.exchangeAll(false)
	case WriteLost:
		cluster.exchangeAll(false)
		cluster.submit(head)
		for head.pendingWrite != nil {
			cluster.finishWrite(head)
		}
		cluster.messages = nil
	case WriteInFlight:
		cluster.submit(head)
	case WriteMany:
		for range bulkWriteCount {
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
		if member.isUp() && believesTail(member.replica) {
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

// playIsolate isolates the member at an index of the chain and lets time pass; a frozen member's clock stops meanwhile.
func (cluster *Cluster) playIsolate(index int, frozen bool) bool {
	member := cluster.chainMember(index)
	if member == nil {
		return false
	}
	cluster.isolate(member)
	if frozen {
		cluster.passTime(member)
	} else {
		cluster.passTime()
	}
	return true
}

func (cluster *Cluster) playCrash(move Move) bool {
	places := map[Move]int{RestartHead: 0, RestartMiddle: 1, RestartTail: 2, PowerLossHead: 0, PowerLossMiddle: 1, PowerLossTail: 2, WipeHead: 0, WipeTail: 2, ReplaceHead: 0, ReplaceTail: 2}
	member := cluster.chainMember(places[move])
	if member == nil {
		return false
	}
	switch move {
	case RestartHead, RestartMiddle, RestartTail:
		member.replica, member.pendingWrite = nil, nil
	case PowerLossHead, PowerLossMiddle, PowerLossTail:
		member.replica, member.pendingWrite = nil, nil
		member.disk.LosePowerPartially(func() bool { return false })
	case WipeHead, WipeTail:
		cluster.wipe(member)
	case ReplaceHead, ReplaceTail:
		before := len(cluster.members)
		cluster.replace(member)
		return len(cluster.members) > before
	}
	if member.isUp() {
		return false
	}
	cluster.start(member, false)
	return true
}

// chainMember returns the running member at an index of the newest view's chain, or nil.
func (cluster *Cluster) chainMember(index int) *member {
	if index >= len(cluster.newestView.Chain) {
		return nil
	}
	node, _ := cluster.newestView.Node(cluster.newestView.Chain[index])
	member := cluster.member(node.Name)
	if member == nil || !member.isUp() {
		return nil
	}
	return member
}

// passTime runs passRounds rounds in which every disk write completes, every clock advances and every message is delivered. Frozen members
// neither write nor advance their clocks.
func (cluster *Cluster) passTime(frozen ...*member) {
	for range passRounds {
		for _, member := range cluster.members {
			if !member.isUp() || slices.Contains(frozen, member) {
				continue
			}
			for member.pendingWrite != nil {
				cluster.finishWrite(member)
			}
			cluster.tick(member, passTicks*cluster.bounds.Tick())
		}
		cluster.deliverAll()
	}
}

// exchangeAll completes disk writes and delivers messages while no clock advances; reversed delivers the newest message first.
func (cluster *Cluster) exchangeAll(reversed bool) {
	for range exchangeRounds {
		for _, member := range cluster.members {
			for member.isUp() && member.pendingWrite != nil {
				cluster.finishWrite(member)
			}
		}
		for count := len(cluster.messages); count > 0 && len(cluster.messages) > 0; count-- {
			index := 0
			if reversed {
				index = len(cluster.messages) - 1
			}
			cluster.Apply(Action{Kind: Deliver, First: index})
		}
	}
}

// findMissingWrite describes a member of the newest view's chain that lacks an acknowledged write; it returns "" if there is none.
func (cluster *Cluster) findMissingWrite() string {
	for _, identity := range cluster.newestView.Chain {
		node, _ := cluster.newestView.Node(identity)
		member := cluster.member(node.Name)
		if member == nil || !member.isUp() || member.replica.Self().Identity() != identity || member.replica.View().Number != cluster.newestView.Number {
			continue
		}
		if operation, missing := firstMissing(member.replica, cluster.checker.acked); missing {
			return fmt.Sprintf("%s is in the chain of view %d and lacks %s, which was acknowledged", identity, cluster.newestView.Number, operation)
		}
	}
	return ""
}

func firstMissing(replica *chain.Replica, acked map[string]int64) (string, bool) {
	for operation := range acked {
		if _, found := replica.Operation(operation); !found {
			return operation, true
		}
	}
	return "", false
}
