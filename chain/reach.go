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
type contact struct {
	at    time.Duration
	heard []string
	// fresh holds until the first heartbeat: nothing is known of what the other hears.
	fresh bool
}

// tickHeartbeat sends heartbeats, and begins anew with all members after a pause of this process.
func (owner *Owner) tickHeartbeat(now time.Duration) {
	if now-owner.ticked > owner.bounds.Freeze() {
		owner.contacts = map[string]contact{}
	}
	if now-owner.ticked > owner.bounds.Round()/probeParts {
		owner.ForgetContact()
	}
	owner.ticked = now
	for _, node := range owner.view.Core {
		if _, known := owner.contacts[node.Identity()]; !known {
			owner.contacts[node.Identity()] = contact{at: now, fresh: true}
		}
	}
	if owner.view.Number == 0 || now-owner.beaten < owner.bounds.Round() {
		return
	}
	owner.beaten = now
	heard := []string{}
	for _, node := range owner.view.Core {
		if owner.hears(node.Identity()) {
			heard = append(heard, node.Identity())
		}
	}
	for _, node := range owner.view.Core {
		if node.Identity() != owner.self.Identity() && owner.aliveCore(node) {
			owner.send(node, MessageHeartbeat, Heartbeat{From: owner.self, View: owner.view.Number, Heard: heard})
		}
	}
}

func (owner *Owner) heartbeat(now time.Duration, beat Heartbeat) {
	owner.contacts[beat.From.Identity()] = contact{at: now, heard: beat.Heard}
	if beat.View < owner.view.Number {
		owner.send(beat.From, MessageNews, owner.view)
	}
}

// hears tells whether a member's own heartbeats come.
func (owner *Owner) hears(identity string) bool {
	return identity == owner.self.Identity() || owner.ticked-owner.contacts[identity].at <= owner.bounds.SuspicionTimeout()
}

// direct tells whether messages pass both ways between this member and another one, by their heartbeats.
func (owner *Owner) direct(identity string) bool {
	known := owner.contacts[identity]
	return owner.hears(identity) && (known.fresh || slices.Contains(known.heard, owner.self.Identity()))
}

// reaches tells whether another member is alive and linked with this one.
func (owner *Owner) reaches(node contract.CoreNode) bool {
	return node.Identity() == owner.self.Identity() || owner.aliveCore(node) && owner.direct(node.Identity())
}

// linked tells whether a member and all of a chain reach each other, by what they say: a link that is cut would hold every version up.
func (owner *Owner) linked(chain []string, identity string) bool {
	return !slices.ContainsFunc(chain, func(other string) bool { return !owner.link(other, identity) })
}

func (owner *Owner) link(one, other string) bool {
	if one == owner.self.Identity() {
		one, other = other, one
	}
	if other == owner.self.Identity() {
		_, told := owner.contacts[one]
		return !told || owner.direct(one)
	}
	return owner.says(one, other) && owner.says(other, one)
}

// says tells whether a member hears another one, by its own last heartbeat; one that said nothing yet is believed to.
func (owner *Owner) says(one, other string) bool {
	known, told := owner.contacts[one]
	return !told || known.fresh || slices.Contains(known.heard, other)
}
