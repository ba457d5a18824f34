package modelcheck

import (
	"fmt"
	"time"

	"github.com/cedarreel/cedarreel/chain"
	"github.com/cedarreel/cedarreel/contract"
	"github.com/cedarreel/cedarreel/image"
)

// Kind is the kind of an Action. Replays print it by its String name.
type Kind int

const (
	// Deliver delivers the message at an index among those in flight; Duplicate delivers it and keeps a copy; Drop loses it.
	Deliver Kind = iota
	Duplicate
	Drop
	// Tick advances one member's clock by up to maxTicks ticks, ClockJump by jumpDuration. MisjudgePeer (printed as "err") toggles whether
	// one member's failure detector is wrong about another.
	Tick
	ClockJump
	MisjudgePeer
	// FinishWrite ("write") completes a disk's pending write; FillDisk ("refuse") makes up to three writes fail.
	FinishWrite
	FillDisk
	// Kill ends a process, TearWrite ends it during a write; PowerOff also loses unsynced data; Wipe also loses the whole disk.
	Kill
	TearWrite
	PowerOff
	Wipe
	// Start starts a process on a member that is down.
	Start
	// Replace removes a member permanently and starts an empty one under another name.
	Replace
	// Block blocks one link in one direction, Isolate all links of a member; Heal unblocks all links and corrects the failure detectors.
	Block
	Isolate
	Heal
	// Submit submits a write to a member that accepts writes; Read reads from a member that believes that it is the tail.
	Submit
	Read
	kindCount
)

var kindNames = [...]string{"deliver", "duplicate", "drop", "tick", "jump", "err", "write", "refuse", "kill", "tear-write", "power-off", "wipe", "start", "replace", "block", "isolate", "heal", "submit", "read"}

// String returns the name that replays print.
func (kind Kind) String() string { return kindNames[kind] }

// Action is a single event. First and Second select members, a message or an amount, modulo the number of choices, so that an action stays
// meaningful when Shrink removes others before it.
type Action struct {
	Kind          Kind
	First, Second int
}

// String returns the line of the action in a replay.
func (action Action) String() string {
	return fmt.Sprintf("%s %d %d", action.Kind, action.First, action.Second)
}

// jumpDuration is how far a ClockJump moves a clock; maxTicks is the most ticks that one Tick advances.
const (
	jumpDuration = 3 * time.Second
	maxTicks     = 8
)

// Apply executes an action. An action that is not applicable in the current state does nothing.
func (cluster *Cluster) Apply(action Action) {
	cluster.steps++
	if action.Kind <= Drop {
		cluster.applyToMessage(action)
		return
	}
	member := cluster.members[action.First%len(cluster.members)]
	other := cluster.members[action.Second%len(cluster.members)]
	if member.isUp() {
		cluster.applyToRunning(member, other, action)
		return
	}
	if member.removed {
		return
	}
	switch action.Kind {
	case Start:
		cluster.start(member, false)
	case Wipe:
		cluster.wipe(member)
	case Heal:
		cluster.heal()
	}
}

func (cluster *Cluster) applyToMessage(action Action) {
	if len(cluster.messages) == 0 {
		return
	}
	index := action.First % len(cluster.messages)
	taken := cluster.messages[index]
	if action.Kind != Duplicate {
		cluster.messages = append(cluster.messages[:index:index], cluster.messages[index+1:]...)
	}
	target := cluster.member(taken.to)
	if action.Kind != Drop && target != nil && target.isUp() {
		cluster.handle(target, contract.Message{Kind: taken.kind, From: taken.from, Body: taken.body})
	}
}

func (cluster *Cluster) applyToRunning(member, other *member, action Action) {
	switch action.Kind {
	case Tick:
		cluster.tick(member, cluster.bounds.Tick()*time.Duration(1+action.Second%maxTicks))
	case ClockJump:
		cluster.tick(member, jumpDuration)
	case MisjudgePeer:
		member.misjudged[other.name] = !member.misjudged[other.name]
	case FinishWrite:
		if member.pendingWrite != nil {
			cluster.finishWrite(member)
		}
	case FillDisk:
		member.refusedWrites = action.Second % 4
	case Kill:
		member.replica, member.pendingWrite = nil, nil
	case TearWrite:
		cluster.tearWrite(member, action.Second)
	case PowerOff:
		cluster.powerOff(member)
	case Wipe:
		cluster.wipe(member)
	case Replace:
		cluster.replace(member)
	case Block:
		cluster.blockedLinks[[2]string{member.name, other.name}] = member != other
	case Isolate:
		cluster.isolate(member)
	case Heal:
		cluster.heal()
	case Submit:
		if head := cluster.firstMember(action.First, acceptsWrites); head != nil {
			cluster.submit(head)
		}
	case Read:
		if tail := cluster.firstMember(action.First, believesTail); tail != nil {
			cluster.read(tail)
		}
	}
}

// acceptsWrites and believesTail select the members that accept writes and those that believe that they are the tail.
var acceptsWrites, believesTail = (*chain.Replica).AcceptsWrites, (*chain.Replica).IsTail

// firstMember returns the first running member that matches, searching from index and wrapping around, or nil.
func (cluster *Cluster) firstMember(index int, matches func(*chain.Replica) bool) *member {
	for offset := range cluster.members {
		if member := cluster.members[(index+offset)%len(cluster.members)]; member.isUp() && matches(member.replica) {
			return member
		}
	}
	return nil
}

func (cluster *Cluster) tick(observer *member, duration time.Duration) {
	observer.clock += duration
	cluster.handle(observer, cluster.detectorReport(observer))
}

// randomBool returns true or false with equal probability.
func (cluster *Cluster) randomBool() bool { return cluster.random.IntN(2) == 0 }

func (cluster *Cluster) powerOff(member *member) {
	member.replica, member.pendingWrite = nil, nil
	member.disk.LosePowerPartially(cluster.randomBool)
}

// tearWrite crashes a member after index modulo 8 operations of its pending write; at odd values, power loss also drops unsynced data.
func (cluster *Cluster) tearWrite(member *member, index int) {
	if member.pendingWrite == nil {
		return
	}
	member.disk.remainingOperations = index % 8
	work := *member.pendingWrite
	member.replica, member.pendingWrite = nil, nil
	_ = image.Save(member.disk, work)
	member.disk.remainingOperations = -1
	if index%2 == 1 {
		member.disk.LosePowerPartially(cluster.randomBool)
	}
}

// fullyReplicated reports whether every core member of the newest view runs with its original disk and has installed that view with a full
// chain, so that one disk may be lost without losing data.
func (cluster *Cluster) fullyReplicated() bool {
	if cluster.newestView.Number == 0 || len(cluster.newestView.Chain) < cluster.size {
		return false
	}
	for _, node := range cluster.newestView.Core {
		member := cluster.member(node.Name)
		if member == nil || !member.isUp() || member.removed || member.replica.Self().Identity() != node.Identity() || member.replica.View().Number != cluster.newestView.Number {
			return false
		}
	}
	return true
}

// wipe loses a member's disk. It does nothing unless the core is fully replicated: the system tolerates the loss of one disk at a time only.
func (cluster *Cluster) wipe(member *member) {
	if !cluster.fullyReplicated() {
		return
	}
	record := retainedIdentity(member.disk)
	member.replica, member.pendingWrite = nil, nil
	member.disk.Wipe()
	if record != nil && cluster.fault == FaultIdentityKeptAfterWipe {
		_ = image.Save(member.disk, chain.Persist{Member: record})
	}
}

// replace removes a member permanently and starts a new one with an empty disk, under the same condition as wipe.
func (cluster *Cluster) replace(old *member) {
	if !cluster.fullyReplicated() {
		return
	}
	old.replica, old.pendingWrite, old.removed = nil, nil, true
	replacement := &member{name: fmt.Sprintf("m%d", len(cluster.members)), disk: newDisk()}
	replacement.disk.ignoresRemove = cluster.fault == FaultStaleVersionKept
	cluster.members = append(cluster.members, replacement)
	cluster.start(replacement, false)
}

func (cluster *Cluster) heal() {
	cluster.blockedLinks = map[[2]string]bool{}
	for _, member := range cluster.members {
		member.misjudged = map[string]bool{}
	}
}

func (cluster *Cluster) isolate(member *member) {
	for _, other := range cluster.members {
		if other != member {
			cluster.blockedLinks[[2]string{member.name, other.name}] = true
			cluster.blockedLinks[[2]string{other.name, member.name}] = true
		}
	}
}
