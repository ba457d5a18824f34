// Package modelcheck tests the replicated core of the control plane: it drives the production chain.Replica through message reorderings and
// losses, crashes, partitions and replacements of members, and checks safety after each step and liveness at the end.
//
// A Cluster holds the members with their disks and the messages in flight. An Action is a single event. Random walks (Walk, Explore) draw
// actions; the systematic search (Enumerate) tries all sequences of the coarser Moves up to a depth.
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

// member is a machine of the core: at most one running process, and a disk that survives it.
type member struct {
	name        string
	disk        *disk
	replica     *chain.Replica
	incarnation int
	removed     bool
	// clock is the member's own monotonic clock; it stops while the member is frozen or down.
	clock time.Duration
	// pendingWrite is the write that the disk has not finished, or nil.
	pendingWrite *chain.Persist
	// unacknowledged holds the operations submitted to this incarnation and not yet acknowledged.
	unacknowledged map[string]bool
	// reads holds the pending reads by token.
	reads     map[int64]*pendingRead
	lastToken int64
	// refusedWrites is how many further writes fail because the disk is full.
	refusedWrites int
	// misjudged holds the names of members whose liveness this member's failure detector reports wrongly.
	misjudged map[string]bool
}

// pendingRead is a read that waits for a quorum to confirm the tail. minRevision is the newest revision acknowledged when it began, and
// startedAt the step at which it began.
type pendingRead struct {
	minRevision int64
	startedAt   int64
}

func (member *member) isUp() bool { return member.replica != nil }

// message is in flight between two members.
type message struct {
	from, to string
	kind     string
	body     json.RawMessage
}

// Cluster is the state of the model: members, messages in flight and blocked links.
type Cluster struct {
	seed     uint64
	size     int
	random   *rand.Rand
	bounds   env.Bounds
	members  []*member
	messages []message
	// blockedLinks drop all messages from the first named member to the second.
	blockedLinks  map[[2]string]bool
	checker       *checker
	fault         Fault
	submitted     int
	steps         int
	newestVersion contract.Version
	newestView    contract.View
	// founders are the names of the members that found the first view; empty if all members do. lost are those of them that a walk of the
	// founding has taken out of their first life.
	founders []string
	lost     map[string]bool
	// deterministicGossip makes members learn the newest view and version at every tick instead of at random, for the systematic search.
	deterministicGossip bool
}

// New returns a cluster of size members that start with empty disks. The seed determines all random draws.
func New(seed uint64, size int, fault Fault) *Cluster { return newCluster(seed, size, fault, nil) }

func newCluster(seed uint64, size int, fault Fault, founders []string) *Cluster {
	cluster := &Cluster{founders: founders, lost: map[string]bool{}, seed: seed, size: size, random: rand.New(rand.NewPCG(seed, 7)), bounds: env.DefaultBounds(), blockedLinks: map[[2]string]bool{}, checker: newChecker(), fault: fault}
	for number := range size {
		cluster.members = append(cluster.members, &member{name: fmt.Sprintf("m%d", number), disk: newDisk()})
		cluster.members[number].disk.ignoresRemove = fault == FaultStaleVersionKept
	}
	for _, member := range cluster.members {
		cluster.start(member, true)
	}
	return cluster
}

func (cluster *Cluster) start(member *member, bootstrap bool) {
	recovered, err := image.Load(member.disk)
	if err != nil {
		panic(err)
	}
	if cluster.fault == FaultPromiseForgotten {
		recovered.Member.Promised, recovered.Member.Accepted = chain.Ballot{}, nil
	}
	if cluster.fault == FaultFounderForgets {
		recovered.Member.BootstrapPromised, recovered.Member.Bootstrapping = chain.Ballot{}, nil
	}
	member.incarnation++
	start := fmt.Sprintf("s%d", member.incarnation)
	if cluster.fault == FaultSameIncarnation {
		start = "s1"
	}
	random := rand.New(rand.NewPCG(cluster.seed, uint64(member.incarnation)<<8|uint64(len(member.name))))
	self := contract.CoreNode{Name: member.name, ID: start, Address: member.name}
	member.replica = chain.New(self, start, cluster.size, cluster.bounds, recovered, random)
	member.replica.AllowBootstrap(bootstrap || cluster.fault == FaultAmnesiacFounds)
	member.replica.SetFounders(cluster.founders)
	member.pendingWrite, member.unacknowledged, member.reads, member.misjudged = nil, map[string]bool{}, map[int64]*pendingRead{}, map[string]bool{}
	if cluster.fault != FaultSameIncarnation {
		member.lastToken = int64(member.incarnation) * 1000
	}
	member.disk.remainingOperations, member.refusedWrites, member.clock = -1, 0, 0
}

func (cluster *Cluster) member(name string) *member {
	for _, member := range cluster.members {
		if member.name == name {
			return member
		}
	}
	return nil
}

// handle passes an event to a member and executes the resulting commands.
func (cluster *Cluster) handle(member *member, event contract.Event) {
	cluster.execute(member, member.replica.Handle(member.clock, event))
}

func (cluster *Cluster) execute(member *member, commands []contract.Command) {
	for _, command := range commands {
		switch command := command.(type) {
		case contract.Send:
			cluster.send(member, command)
		case chain.Persist:
			cluster.persist(member, command)
		case chain.Committed:
			cluster.recordCommitted(member, command.Version)
		case chain.ViewInstalled:
			cluster.checker.checkView(member.name, command.View)
			if command.View.Number > cluster.newestView.Number {
				cluster.newestView = command.View
			}
		case chain.Confirmed:
			cluster.readConfirmed(member, command)
		case contract.AddCounter:
			if command.Name == "committed_conflicts" {
				cluster.checker.fail("%s: reported a conflict with a committed version", member.name)
			}
		}
	}
}

const maxMessages = 200

func (cluster *Cluster) send(member *member, command contract.Send) {
	if cluster.blockedLinks[[2]string{member.name, command.To}] || len(cluster.messages) >= maxMessages {
		return
	}
	body, err := json.Marshal(cluster.fault.rewrite(cluster, member, command.Body))
	if err != nil {
		panic(err)
	}
	cluster.messages = append(cluster.messages, message{from: member.name, to: command.To, kind: command.Kind, body: body})
}

func (cluster *Cluster) persist(member *member, work chain.Persist) {
	member.pendingWrite = &work
	if cluster.fault == FaultVersionNotSynced && work.Member == nil || cluster.fault == FaultVoteNotSynced && work.Member != nil && work.Member.Promised.Round > 0 {
		member.pendingWrite = nil
		cluster.handle(member, chain.Persisted{Token: work.Token})
	}
	if cluster.fault == FaultAcknowledgedByHead && member.isUp() && member.replica.IsHead() {
		for _, write := range work.Writes {
			cluster.recordCommitted(member, write.Version)
		}
	}
}

// finishWrite completes the pending write of a member's disk, or fails it if the disk is full.
func (cluster *Cluster) finishWrite(member *member) {
	work := *member.pendingWrite
	member.pendingWrite = nil
	if member.refusedWrites > 0 {
		member.refusedWrites--
		cluster.handle(member, chain.Persisted{Token: work.Token, Error: "no space left"})
		return
	}
	if err := image.Save(member.disk, work); err != nil {
		panic(err)
	}
	cluster.handle(member, chain.Persisted{Token: work.Token})
}

func (cluster *Cluster) recordCommitted(member *member, version contract.Version) {
	cluster.checker.checkCommitted(member.name, version)
	if cluster.newestVersion.Position.Revision < version.Position.Revision {
		cluster.newestVersion = version
	}
	if member.unacknowledged[version.Operation] {
		delete(member.unacknowledged, version.Operation)
		cluster.checker.recordAcknowledged(version, int64(cluster.steps))
	}
}

// submit has a client submit a write to a member, if the member accepts writes.
func (cluster *Cluster) submit(member *member) {
	if !member.replica.AcceptsWrites() {
		return
	}
	cluster.submitted++
	operation := fmt.Sprintf("o%d", cluster.submitted)
	member.unacknowledged[operation] = true
	cluster.checker.recordSubmitted(operation, int64(cluster.steps))
	change := document.Change{}
	change.SetPart("/order", fmt.Sprint(cluster.submitted))
	_, commands := member.replica.Submit(member.clock, operation, change)
	cluster.execute(member, commands)
}

// read has a client read the newest version from a member, if the member believes that it is the tail.
func (cluster *Cluster) read(member *member) {
	if !member.replica.IsTail() {
		return
	}
	member.lastToken++
	member.reads[member.lastToken] = &pendingRead{minRevision: cluster.checker.newestAcked, startedAt: int64(cluster.steps)}
	if cluster.fault == FaultReadWithoutQuorum {
		cluster.readConfirmed(member, chain.Confirmed{Token: member.lastToken, Granted: true})
		return
	}
	cluster.execute(member, member.replica.ConfirmTail(member.clock, member.lastToken))
}

func (cluster *Cluster) readConfirmed(member *member, confirmed chain.Confirmed) {
	read, found := member.reads[confirmed.Token]
	delete(member.reads, confirmed.Token)
	if found && confirmed.Granted {
		version, _ := member.replica.CommittedVersion(member.replica.Committed())
		cluster.checker.checkRead(member.name, *read, member.replica.Committed(), version, int64(cluster.steps))
	}
}

// gossipOneIn is the average number of ticks between gossip of views and versions from other members.
const gossipOneIn = 16

// detectorReport returns the membership that a member's failure detector reports, with the errors that the walk injected.
func (cluster *Cluster) detectorReport(observer *member) chain.Membership {
	membership := chain.Membership{}
	if cluster.deterministicGossip {
		membership.View, membership.NewestVersion = cluster.newestKnownTo(observer)
	} else if source := cluster.members[cluster.random.IntN(len(cluster.members))]; source.isUp() && !cluster.blockedLinks[[2]string{source.name, observer.name}] && cluster.random.IntN(gossipOneIn) == 0 {
		membership.View = source.replica.View()
		membership.NewestVersion = cluster.newestVersion
	}
	for _, other := range cluster.members {
		alive := other.isUp() && !cluster.blockedLinks[[2]string{other.name, observer.name}]
		if observer.misjudged[other.name] {
			alive = !alive && other.replica != nil
		}
		if alive || other == observer {
			membership.Members = append(membership.Members, cluster.memberEntry(other))
		}
	}
	return membership
}

// newestKnownTo returns the newest view and committed version among the members that the observer can hear.
func (cluster *Cluster) newestKnownTo(observer *member) (contract.View, contract.Version) {
	view, newest := contract.View{}, contract.Version{}
	for _, source := range cluster.members {
		if !source.isUp() || cluster.blockedLinks[[2]string{source.name, observer.name}] {
			continue
		}
		if source.replica.View().Number > view.Number {
			view = source.replica.View()
		}
		if version, found := source.replica.CommittedVersion(source.replica.Committed()); found && version.Position.Revision > newest.Position.Revision {
			newest = version
		}
	}
	return view, newest
}

func (cluster *Cluster) memberEntry(member *member) contract.Member {
	self := member.replica.Self()
	return contract.Member{Name: member.name, CoreID: self.ID, Kind: contract.KindControl, Core: member.replica.DiskHealthy(), Address: member.name, View: member.replica.View().Number}
}
