package chain

import (
	"slices"
	"time"

	"github.com/cedarreel/cedarreel/contract"
)

// Heartbeat goes from each member of the core to each other one. Heard names the members whose own heartbeats came lately, so that both
// ends of a link know when it works one way only.
//
// Membership alone does not tell whether members reach each other: a member that is cut off from its peers and not from other nodes is
// still told to be alive by those, while no version passes through it.
type Heartbeat struct {
	From  contract.CoreNode `json:"from"`
	View  int64             `json:"view"`
	Heard []string          `json:"heard"`
}

// contact is what is known of the direct links to a member.
type peerState struct {
	lastHeartbeat time.Duration
	hears         []string
	// fresh holds until the first heartbeat: nothing is known of what the other hears.
	awaitingFirst bool
}

// tickHeartbeat sends heartbeats, and begins anew with all members after a pause of this process.
func (owner *Replica) tickHeartbeat(now time.Duration) {
	if now-owner.lastTick > owner.bounds.Freeze() {
		owner.peers = map[string]peerState{}
	}
	if now-owner.lastTick > owner.bounds.Round()/probesPerRound {
		owner.ResetProbes()
	}
	owner.lastTick = now
	for _, node := range owner.view.Core {
		if _, known := owner.peers[node.Identity()]; !known {
			owner.peers[node.Identity()] = peerState{lastHeartbeat: now, awaitingFirst: true}
		}
	}
	if owner.view.Number == 0 || now-owner.lastHeartbeat < owner.bounds.Round() {
		return
	}
	owner.lastHeartbeat = now
	heard := []string{}
	for _, node := range owner.view.Core {
		if owner.hears(node.Identity()) {
			heard = append(heard, node.Identity())
		}
	}
	for _, node := range owner.view.Core {
		if node.Identity() != owner.self.Identity() && owner.isAlive(node) {
			owner.send(node, MessageHeartbeat, Heartbeat{From: owner.self, View: owner.view.Number, Heard: heard})
		}
	}
}

func (owner *Replica) handleHeartbeat(now time.Duration, beat Heartbeat) {
	owner.peers[beat.From.Identity()] = peerState{lastHeartbeat: now, hears: beat.Heard}
	if beat.View < owner.view.Number {
		owner.send(beat.From, MessageNewView, owner.view)
	}
}

// hears tells whether a member's own heartbeats come.
func (owner *Replica) hears(identity string) bool {
	return identity == owner.self.Identity() || owner.lastTick-owner.peers[identity].lastHeartbeat <= owner.bounds.SuspicionTimeout()
}

// direct tells whether messages pass both ways between this member and another one, by their heartbeats.
func (owner *Replica) linkedBothWays(identity string) bool {
	known := owner.peers[identity]
	return owner.hears(identity) && (known.awaitingFirst || slices.Contains(known.hears, owner.self.Identity()))
}

// reaches tells whether another member is alive and linked with this one.
func (owner *Replica) reaches(node contract.CoreNode) bool {
	return node.Identity() == owner.self.Identity() || owner.isAlive(node) && owner.linkedBothWays(node.Identity())
}

// linked tells whether a member and all of a chain reach each other, by what they say: a link that is cut would hold every version up.
func (owner *Replica) connectedToAll(chain []string, identity string) bool {
	return !slices.ContainsFunc(chain, func(other string) bool { return !owner.connected(other, identity) })
}

func (owner *Replica) connected(one, other string) bool {
	if one == owner.self.Identity() {
		one, other = other, one
	}
	if other == owner.self.Identity() {
		_, told := owner.peers[one]
		return !told || owner.linkedBothWays(one)
	}
	return owner.reportsHearing(one, other) && owner.reportsHearing(other, one)
}

// says tells whether a member hears another one, by its own last heartbeat; one that said nothing yet is believed to.
func (owner *Replica) reportsHearing(one, other string) bool {
	known, told := owner.peers[one]
	return !told || known.awaitingFirst || slices.Contains(known.hears, other)
}
