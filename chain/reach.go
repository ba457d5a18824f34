package chain

import (
	"slices"
	"time"

	"github.com/cedarreel/cedarreel/contract"
)

// Heartbeat is sent by each member of the core to each other one. Heard names the members whose heartbeats arrived recently, so that both ends
// of a link know when it works in one direction only.
//
// The membership protocol does not show whether members reach each other: a member that is cut off from its peers but not from other nodes
// still counts as alive, while no version can be replicated through it.
type Heartbeat struct {
	From  contract.CoreNode `json:"from"`
	View  int64             `json:"view"`
	Heard []string          `json:"heard"`
}

// peerState is what is known of the direct link to a member. hears names the members that the peer hears, by its last heartbeat.
type peerState struct {
	lastHeartbeat time.Duration
	hears         []string
	// awaitingFirst is set until the first heartbeat. Until then it is unknown which members the peer hears.
	awaitingFirst bool
}

// tickHeartbeat sends heartbeats. After a pause of this process it forgets the state of all peers, which says nothing about them.
func (replica *Replica) tickHeartbeat(now time.Duration) {
	if now-replica.lastTick > replica.bounds.Freeze() {
		replica.peers = map[string]peerState{}
	}
	if now-replica.lastTick > replica.bounds.Round()/probesPerRound {
		replica.ResetProbes()
	}
	replica.lastTick = now
	for _, node := range replica.view.Core {
		if _, known := replica.peers[node.Identity()]; !known {
			replica.peers[node.Identity()] = peerState{lastHeartbeat: now, awaitingFirst: true}
		}
	}
	if replica.view.Number == 0 || now-replica.lastHeartbeat < replica.bounds.Round() {
		return
	}
	replica.lastHeartbeat = now
	heard := []string{}
	for _, node := range replica.view.Core {
		if replica.hears(node.Identity()) {
			heard = append(heard, node.Identity())
		}
	}
	for _, node := range replica.view.Core {
		if node.Identity() != replica.self.Identity() && replica.isAlive(node) {
			replica.send(node, MessageHeartbeat, Heartbeat{From: replica.self, View: replica.view.Number, Heard: heard})
		}
	}
}

func (replica *Replica) handleHeartbeat(now time.Duration, heartbeat Heartbeat) {
	replica.peers[heartbeat.From.Identity()] = peerState{lastHeartbeat: now, hears: heartbeat.Heard}
	if heartbeat.View < replica.view.Number {
		replica.send(heartbeat.From, MessageNewView, replica.view)
	}
}

// hears reports whether this member received a heartbeat of a member within the suspicion time.
func (replica *Replica) hears(identity string) bool {
	return identity == replica.self.Identity() || replica.lastTick-replica.peers[identity].lastHeartbeat <= replica.bounds.SuspicionTimeout()
}

// linkedBothWays reports whether messages pass in both directions between this member and another one, by their heartbeats.
func (replica *Replica) linkedBothWays(identity string) bool {
	peer := replica.peers[identity]
	return replica.hears(identity) && (peer.awaitingFirst || slices.Contains(peer.hears, replica.self.Identity()))
}

// reaches reports whether another member is alive and linked with this one.
func (replica *Replica) reaches(node contract.CoreNode) bool {
	return node.Identity() == replica.self.Identity() || replica.isAlive(node) && replica.linkedBothWays(node.Identity())
}

// connectedToAll reports whether a member and all members of a chain reach each other, by their heartbeats: a broken link within the chain
// would block every commit.
func (replica *Replica) connectedToAll(chain []string, identity string) bool {
	return !slices.ContainsFunc(chain, func(other string) bool { return !replica.connected(other, identity) })
}

// connected reports whether two members reach each other.
func (replica *Replica) connected(first, other string) bool {
	if first == replica.self.Identity() {
		first, other = other, first
	}
	if other == replica.self.Identity() {
		_, heard := replica.peers[first]
		return !heard || replica.linkedBothWays(first)
	}
	return replica.reportsHearing(first, other) && replica.reportsHearing(other, first)
}

// reportsHearing reports whether a member hears another one, by its last heartbeat. A member without a heartbeat is assumed to.
func (replica *Replica) reportsHearing(sender, other string) bool {
	peer, heard := replica.peers[sender]
	return !heard || peer.awaitingFirst || slices.Contains(peer.hears, other)
}
