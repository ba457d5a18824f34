package modelcheck

import (
	"fmt"
	"time"

	"github.com/cedarreel/cedarreel/chain"
	"github.com/cedarreel/cedarreel/contract"
	"github.com/cedarreel/cedarreel/image"
)

// Kind names what an action does.
type Kind int

const (
	// Deliver hands over the message at a place among those under way; Duplicate hands it over and keeps it; Drop loses it.
	Deliver Kind = iota
	Duplicate
	Drop
	// Tick moves one member's clock by a tick, Jump by a freeze. Err makes one
	// member's failure detector wrong about another, until the next one.
	Tick
	Jump
	Err
	// Write finishes the write that a disk has under way; Refuse lets the disk be full for some writes.
	Write
	Refuse
	// Kill ends a process, TearWrite in the middle of a write; PowerOff takes what was not synced too; Wipe takes the whole disk.
	Kill
	TearWrite
	PowerOff
	Wipe
	Start
	// Replace removes a member for good and starts an empty one under another name.
	Replace
	// Block cuts one link one way, Isolate cuts a member off, Heal joins everything.
	Block
	Isolate
	Heal
	// Submit orders a write at a member that takes writes, Read reads the newest version at one that believes itself to be the tail.
	Submit
	Read
	kinds
)

var kindNames = [...]string{"deliver", "duplicate", "drop", "tick", "jump", "err", "write", "refuse", "kill", "tear-write", "power-off", "wipe", "start", "replace", "block", "isolate", "heal", "submit", "read"}

func (kind Kind) String() string { return kindNames[kind] }

// Action is one thing that happens. Its numbers pick a member, a message or a link by their places, modulo how many there are, so that
// an action still means something when others before it are left out.
type Action struct {
	Kind          Kind
	First, Second int
}

func (action Action) String() string {
	return fmt.Sprintf("%s %d %d", action.Kind, action.First, action.Second)
}

// freeze is how long a Jump lasts, and ticksMost how many ticks may come at once.
const (
	freeze    = 3 * time.Second
	ticksMost = 8
)

// Apply carries an action out; one that means nothing now does nothing.
func (cluster *Cluster) Apply(action Action) {
	cluster.steps++
	if action.Kind <= Drop {
		cluster.message(action)
		return
	}
	member := cluster.members[action.First%len(cluster.members)]
	other := cluster.members[action.Second%len(cluster.members)]
	if member.up() {
		cluster.running(member, other, action)
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

func (cluster *Cluster) message(action Action) {
	if len(cluster.messages) == 0 {
		return
	}
	place := action.First % len(cluster.messages)
	taken := cluster.messages[place]
	if action.Kind != Duplicate {
		cluster.messages = append(cluster.messages[:place:place], cluster.messages[place+1:]...)
	}
	target := cluster.member(taken.to)
	if action.Kind != Drop && target != nil && target.up() {
		cluster.handle(target, contract.Message{Kind: taken.kind, From: taken.from, Body: taken.body})
	}
}

func (cluster *Cluster) running(member, other *member, action Action) {
	switch action.Kind {
	case Tick:
		cluster.tick(member, cluster.bounds.Tick()*time.Duration(1+action.Second%ticksMost))
	case Jump:
		cluster.tick(member, freeze)
	case Err:
		member.wrong[other.name] = !member.wrong[other.name]
	case Write:
		if member.pending != nil {
			cluster.finishWrite(member)
		}
	case Refuse:
		member.fullFor = action.Second % 4
	case Kill:
		member.owner, member.pending = nil, nil
	case TearWrite:
		cluster.tearWrite(member, action.Second)
	case PowerOff:
		cluster.powerOff(member)
	case Wipe:
		cluster.wipe(member)
	case Replace:
		cluster.replace(member)
	case Block:
		cluster.blocked[[2]string{member.name, other.name}] = member != other
	case Isolate:
		cluster.isolate(member)
	case Heal:
		cluster.heal()
	case Submit:
		if head := cluster.first(action.First, headOf); head != nil {
			cluster.submit(head)
		}
	case Read:
		if tail := cluster.first(action.First, tailOf); tail != nil {
			cluster.read(tail)
		}
	}
}

// headOf and tailOf find the members that take writes, and that believe themselves to be the tail.
var headOf, tailOf = (*chain.Replica).AcceptsWrites, (*chain.Replica).IsTail

// first gives the first member that fits, from a place on.
func (cluster *Cluster) first(place int, fits func(*chain.Replica) bool) *member {
	for offset := range cluster.members {
		if member := cluster.members[(place+offset)%len(cluster.members)]; member.up() && fits(member.owner) {
			return member
		}
	}
	return nil
}

func (cluster *Cluster) tick(observer *member, span time.Duration) {
	observer.clock += span
	cluster.handle(observer, cluster.seen(observer))
}

// coin falls one way or the other.
func (cluster *Cluster) coin() bool { return cluster.random.IntN(2) == 0 }

func (cluster *Cluster) powerOff(member *member) {
	member.owner, member.pending = nil, nil
	member.disk.LosePowerPartially(cluster.coin)
}

// tearWrite ends a process after so many operations of the write that its disk has under way, and takes the power too at odd places.
func (cluster *Cluster) tearWrite(member *member, place int) {
	if member.pending == nil {
		return
	}
	member.disk.budget = place % 8
	work := *member.pending
	member.owner, member.pending = nil, nil
	_ = image.Save(member.disk, work)
	member.disk.budget = -1
	if place%2 == 1 {
		member.disk.LosePowerPartially(cluster.coin)
	}
}

// whole tells whether every member of the newest view runs with its disk and holds everything, so that one disk may be lost.
func (cluster *Cluster) whole() bool {
	if cluster.view.Number == 0 || len(cluster.view.Chain) < cluster.size {
		return false
	}
	for _, node := range cluster.view.Core {
		member := cluster.member(node.Name)
		if member == nil || !member.up() || member.removed || member.owner.Self().Identity() != node.Identity() || member.owner.View().Number != cluster.view.Number {
			return false
		}
	}
	return true
}

// wipe takes a member's disk, no more often than the promises of the deployment allow: after a loss the core is whole again first.
func (cluster *Cluster) wipe(member *member) {
	if !cluster.whole() {
		return
	}
	kept := identityOf(member.disk)
	member.owner, member.pending = nil, nil
	member.disk.Wipe()
	if kept != nil && cluster.fault == FaultIdentityKept {
		_ = image.Save(member.disk, chain.Persist{Member: kept})
	}
}

func (cluster *Cluster) replace(old *member) {
	if !cluster.whole() {
		return
	}
	old.owner, old.pending, old.removed = nil, nil, true
	fresh := &member{name: fmt.Sprintf("m%d", len(cluster.members)), disk: newDisk()}
	fresh.disk.keepsRemoved = cluster.fault == FaultRemovalLost
	cluster.members = append(cluster.members, fresh)
	cluster.start(fresh, false)
}

func (cluster *Cluster) heal() {
	cluster.blocked = map[[2]string]bool{}
	for _, member := range cluster.members {
		member.wrong = map[string]bool{}
	}
}

func (cluster *Cluster) isolate(member *member) {
	for _, other := range cluster.members {
		if other != member {
			cluster.blocked[[2]string{member.name, other.name}] = true
			cluster.blocked[[2]string{other.name, member.name}] = true
		}
	}
}
