// Package modelcheck explores the core of the control plane: it drives the shipped owners of the chain through orders of messages,
// losses, crashes, partitions and replacements that no single test would think of, and checks what must hold in every state.
//
// A Cluster holds the members with their disks and the messages under way. An Action is one thing that may happen next. Walks choose
// actions at random; the systematic search tries all of them, to a depth.
package modelcheck

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cedarreel/cedarreel/chain"
	"github.com/cedarreel/cedarreel/contract"
	"github.com/cedarreel/cedarreel/document"
	"github.com/cedarreel/cedarreel/env"
	"github.com/cedarreel/cedarreel/image"
)

// member is a machine of the core: at most one process at a time, and a disk that outlives it.
type member struct {
	name    string
	disk    *disk
	owner   *chain.Replica
	starts  int
	removed bool
	// clock is the member's own steady clock; it stands still while the member is frozen or down.
	clock time.Duration
	// pending is the write that the disk has not finished.
	pending *chain.Persist
	// orders are the writes that this start submitted and has not acknowledged, by operation.
	orders map[string]bool
	// reads are the reads under way, by token, with the newest revision that was acknowledged when they began.
	reads map[int64]*read
	token int64
	// fullFor counts the writes that the disk still refuses.
	fullFor int
	// wrong names the members about which this one's failure detector errs.
	wrong map[string]bool
}

type read struct {
	floor int64
	began int64
}

func (member *member) up() bool { return member.owner != nil }

// message is under way between members.
type message struct {
	from, to string
	kind     string
	body     json.RawMessage
}

// Cluster is the state of the model.
type Cluster struct {
	seed     uint64
	size     int
	random   *rand.Rand
	bounds   env.Bounds
	members  []*member
	messages []message
	// blocked links drop what is sent over them, from the first to the second.
	blocked map[[2]string]bool
	checker *checker
	fault   Fault
	orders  int
	steps   int
	held    contract.Version
	view    contract.View
	// newsAlways has members hear of views and versions with every tick, for a search that draws nothing.
	newsAlways bool
}

// New makes a cluster of members that start with empty disks.
func New(seed uint64, size int, fault Fault) *Cluster {
	cluster := &Cluster{seed: seed, size: size, random: rand.New(rand.NewPCG(seed, 7)), bounds: env.DefaultBounds(), blocked: map[[2]string]bool{}, checker: newChecker(), fault: fault}
	for number := range size {
		cluster.members = append(cluster.members, &member{name: fmt.Sprintf("m%d", number), disk: newDisk()})
		cluster.members[number].disk.keepsRemoved = fault == FaultRemovalLost
	}
	for _, member := range cluster.members {
		cluster.start(member, true)
	}
	return cluster
}

func (cluster *Cluster) start(member *member, bootstrap bool) {
	recovered, failure := image.Load(member.disk)
	if failure != nil {
		panic(failure)
	}
	if cluster.fault == FaultPromiseForgotten {
		recovered.Member.Promised, recovered.Member.Accepted = chain.Ballot{}, nil
	}
	member.starts++
	start := fmt.Sprintf("s%d", member.starts)
	if cluster.fault == FaultStartsAlike {
		start = "s1"
	}
	random := rand.New(rand.NewPCG(cluster.seed, uint64(member.starts)<<8|uint64(len(member.name))))
	self := contract.CoreNode{Name: member.name, ID: start, Address: member.name}
	member.owner = chain.New(self, start, cluster.size, cluster.bounds, recovered, random)
	member.owner.AllowBootstrap(bootstrap)
	member.pending, member.orders, member.reads, member.wrong = nil, map[string]bool{}, map[int64]*read{}, map[string]bool{}
	if cluster.fault != FaultStartsAlike {
		member.token = int64(member.starts) * 1000
	}
	member.disk.budget, member.fullFor, member.clock = -1, 0, 0
}

func (cluster *Cluster) member(name string) *member {
	for _, member := range cluster.members {
		if member.name == name {
			return member
		}
	}
	return nil
}

// handle gives an event to a member and carries out what it answers.
func (cluster *Cluster) handle(member *member, event contract.Event) {
	cluster.carryOut(member, member.owner.Handle(member.clock, event))
}

func (cluster *Cluster) carryOut(member *member, commands []contract.Command) {
	for _, command := range commands {
		switch command := command.(type) {
		case contract.Send:
			cluster.send(member, command)
		case chain.Persist:
			cluster.persist(member, command)
		case chain.Committed:
			cluster.committed(member, command.Version)
		case chain.ViewInstalled:
			cluster.checker.viewed(member.name, command.View)
			if command.View.Number > cluster.view.Number {
				cluster.view = command.View
			}
		case chain.Confirmed:
			cluster.vouched(member, command)
		case contract.AddCounter:
			if command.Name == "committed_conflicts" {
				cluster.checker.fail("%s: a committed version was contradicted", member.name)
			}
		}
	}
}

const messagesMost = 200

func (cluster *Cluster) send(member *member, command contract.Send) {
	if cluster.blocked[[2]string{member.name, command.To}] || len(cluster.messages) >= messagesMost {
		return
	}
	body, failure := json.Marshal(cluster.fault.rewrite(cluster, member, command.Body))
	if failure != nil {
		panic(failure)
	}
	cluster.messages = append(cluster.messages, message{from: member.name, to: command.To, kind: command.Kind, body: body})
}

func (cluster *Cluster) persist(member *member, work chain.Persist) {
	member.pending = &work
	if cluster.fault == FaultVersionNotSynced && work.Member == nil || cluster.fault == FaultVoteNotSynced && work.Member != nil && work.Member.Promised.Round > 0 {
		member.pending = nil
		cluster.handle(member, chain.Persisted{Token: work.Token})
	}
	if cluster.fault == FaultAckedAtHead && member.up() && member.owner.IsHead() {
		for _, write := range work.Writes {
			cluster.committed(member, write.Version)
		}
	}
}

// finishWrite lets a member's disk carry out the write that waits.
func (cluster *Cluster) finishWrite(member *member) {
	work := *member.pending
	member.pending = nil
	if member.fullFor > 0 {
		member.fullFor--
		cluster.handle(member, chain.Persisted{Token: work.Token, Error: "no space left"})
		return
	}
	if failure := image.Save(member.disk, work); failure != nil {
		panic(failure)
	}
	cluster.handle(member, chain.Persisted{Token: work.Token})
}

func (cluster *Cluster) committed(member *member, version contract.Version) {
	cluster.checker.committed(member.name, version)
	if cluster.held.Position.Revision < version.Position.Revision {
		cluster.held = version
	}
	if member.orders[version.Operation] {
		delete(member.orders, version.Operation)
		cluster.checker.acknowledged(version, int64(cluster.steps))
	}
}

// submit lets a client order a write at a member that takes writes.
func (cluster *Cluster) submit(member *member) {
	if !member.owner.AcceptsWrites() {
		return
	}
	cluster.orders++
	operation := fmt.Sprintf("o%d", cluster.orders)
	member.orders[operation] = true
	cluster.checker.submitted(operation, int64(cluster.steps))
	change := document.Change{}
	change.SetPart("/order", fmt.Sprint(cluster.orders))
	_, commands := member.owner.Submit(member.clock, operation, change)
	cluster.carryOut(member, commands)
}

// read lets a client read the newest version at a member that believes itself to be the tail.
func (cluster *Cluster) read(member *member) {
	if !member.owner.IsTail() {
		return
	}
	member.token++
	member.reads[member.token] = &read{floor: cluster.checker.newest, began: int64(cluster.steps)}
	if cluster.fault == FaultReadAlone {
		cluster.vouched(member, chain.Confirmed{Token: member.token, Granted: true})
		return
	}
	cluster.carryOut(member, member.owner.ConfirmTail(member.clock, member.token))
}

func (cluster *Cluster) vouched(member *member, vouched chain.Confirmed) {
	read, there := member.reads[vouched.Token]
	delete(member.reads, vouched.Token)
	if there && vouched.Granted {
		version, _ := member.owner.CommittedVersion(member.owner.Committed())
		cluster.checker.answered(member.name, *read, member.owner.Committed(), version, int64(cluster.steps))
	}
}

// newsOdds is how seldom, one tick in so many, the other nodes bring a member news of views and versions.
const newsOdds = 16

// seen is what a member's failure detector says; it errs as the walk wants it to.
func (cluster *Cluster) seen(observer *member) chain.Membership {
	seen := chain.Membership{}
	if cluster.newsAlways {
		seen.View, seen.NewestVersion = cluster.newsFor(observer)
	} else if teller := cluster.members[cluster.random.IntN(len(cluster.members))]; teller.up() && !cluster.blocked[[2]string{teller.name, observer.name}] && cluster.random.IntN(newsOdds) == 0 {
		seen.View = teller.owner.View()
		seen.NewestVersion = cluster.held
	}
	for _, other := range cluster.members {
		alive := other.up() && !cluster.blocked[[2]string{other.name, observer.name}]
		if observer.wrong[other.name] {
			alive = !alive && other.owner != nil
		}
		if alive || other == observer {
			seen.Members = append(seen.Members, cluster.row(other))
		}
	}
	return seen
}

// newsFor gives the newest view and version that a member in reach of another one has.
func (cluster *Cluster) newsFor(observer *member) (contract.View, contract.Version) {
	view, held := contract.View{}, contract.Version{}
	for _, teller := range cluster.members {
		if !teller.up() || cluster.blocked[[2]string{teller.name, observer.name}] {
			continue
		}
		if teller.owner.View().Number > view.Number {
			view = teller.owner.View()
		}
		if version, there := teller.owner.CommittedVersion(teller.owner.Committed()); there && version.Position.Revision > held.Position.Revision {
			held = version
		}
	}
	return view, held
}

func (cluster *Cluster) row(member *member) contract.Member {
	self := member.owner.Self()
	return contract.Member{Name: member.name, CoreID: self.ID, Kind: contract.KindControl, Core: member.owner.DiskHealthy(), Address: member.name, View: member.owner.View().Number}
}
