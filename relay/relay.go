// Package relay carries a message to a member of the fleet by way of another member, for when the link between the two is cut while
// others reach both. What is reached so is what membership tells of: gossip also travels by way of others, so that a member which is
// alive in everybody's eyes may be out of reach of some.
package relay

import (
	"encoding/json"
	"strings"

	"github.com/cedarreel/cedarreel/contract"
)

const (
	// MessageForward asks a relay to pass an envelope on, MessageDeliver brings it to its target.
	MessageForward = kindPrefix + "forward"
	MessageDeliver = kindPrefix + "deliver"
	kindPrefix     = "relay-"
)

// Envelope is a message on its way by a relay. Addresses are those that members listen at for messages.
type Envelope struct {
	// To is the target's address, Via the relay's; the relay writes it down, for the answer goes back the same way.
	To  string `json:"to"`
	Via string `json:"via,omitempty"`
	// From, Boot and Address are the sender's.
	From    string          `json:"from"`
	Boot    string          `json:"boot"`
	Address string          `json:"address"`
	Kind    string          `json:"kind"`
	Body    json.RawMessage `json:"body"`
}

// By gives the message that has a relay carry another one; a body that cannot be written gives none.
func By(via string, self contract.Member, send contract.Send) []contract.Command {
	body, failure := json.Marshal(send.Body)
	if failure != nil || isRelayed(send.Kind) {
		return []contract.Command{contract.Count{Name: "relays_refused", By: 1}}
	}
	envelope := Envelope{To: send.To, From: self.Name, Boot: self.Boot, Address: self.Address, Kind: send.Kind, Body: body}
	return []contract.Command{contract.Send{To: via, Kind: MessageForward, Body: envelope}}
}

// Forward passes an envelope on, once, and only to a member that is known here.
func Forward(self contract.Member, message contract.Message, knows func(address string) bool) []contract.Command {
	envelope, fine := read(message)
	if !fine || !knows(envelope.To) {
		return []contract.Command{contract.Count{Name: "relays_refused", By: 1}}
	}
	envelope.Via = self.Address
	return []contract.Command{contract.Count{Name: "relays_forwarded", By: 1}, contract.Send{To: envelope.To, Kind: MessageDeliver, Body: envelope}}
}

// Open gives the message in a delivered envelope, and the envelope for the way back.
func Open(message contract.Message) (contract.Message, Envelope, bool) {
	envelope, fine := read(message)
	if !fine {
		return contract.Message{}, Envelope{}, false
	}
	return contract.Message{Kind: envelope.Kind, From: envelope.From, Boot: envelope.Boot, Body: envelope.Body, Via: envelope.Via}, envelope, true
}

// Back sends those of the commands that answer an envelope's sender by way of its relay.
func Back(self contract.Member, envelope Envelope, commands []contract.Command) []contract.Command {
	routed := make([]contract.Command, 0, len(commands))
	for _, command := range commands {
		send, fine := command.(contract.Send)
		if !fine || send.To != envelope.Address {
			routed = append(routed, command)
			continue
		}
		routed = append(routed, By(envelope.Via, self, send)...)
	}
	return routed
}

func read(message contract.Message) (Envelope, bool) {
	var envelope Envelope
	failure := json.Unmarshal(message.Body, &envelope)
	return envelope, failure == nil && envelope.To != "" && envelope.Address != "" && !isRelayed(envelope.Kind)
}

// isRelayed tells whether a message is of a relay's own kinds: those are never carried by a relay, so that none travels in circles.
func isRelayed(kind string) bool { return strings.HasPrefix(kind, kindPrefix) }
