// Package relay carries a message to a member of the fleet by way of one or two other members, for when the link between the two is cut
// while others reach them. What is reached so is what membership tells of: gossip also travels by way of others, so that a member which is
// alive in everybody's eyes may be out of reach of some.
package relay

import (
	"encoding/json"
	"slices"
	"strings"

	"github.com/cedarreel/cedarreel/contract"
)

const (
	// MessageForward asks a relay to pass an envelope on, MessageDeliver brings it to its target.
	MessageForward = kindPrefix + "forward"
	MessageDeliver = kindPrefix + "deliver"
	kindPrefix     = "relay-"
	// hopsMost is how many relays carry one message.
	hopsMost = 2
	hopMark  = ","
)

// Route gives the way by some relays, the first one first, as it stands in a message.
func Route(relays ...string) string { return strings.Join(relays, hopMark) }

// back gives the route of the way back over relays that were passed.
func back(passed []string) string {
	returned := slices.Clone(passed)
	slices.Reverse(returned)
	return Route(returned...)
}

// Envelope is a message on its way by a relay. Addresses are those that members listen at for messages.
type Envelope struct {
	// To is the target's address. Ahead are the relays that are still to carry it, Passed those that have, each in order: a relay writes
	// itself down, for the answer goes back the same way.
	To     string   `json:"to"`
	Ahead  []string `json:"ahead,omitempty"`
	Passed []string `json:"passed,omitempty"`
	// From, Boot and Address are the sender's.
	From    string          `json:"from"`
	Boot    string          `json:"boot"`
	Address string          `json:"address"`
	Kind    string          `json:"kind"`
	Body    json.RawMessage `json:"body"`
}

// By gives the message that has the relays of a route carry another one; a body that cannot be written gives none.
func By(route string, self contract.Member, send contract.Send) []contract.Command {
	body, failure := json.Marshal(send.Body)
	if failure != nil || isRelayed(send.Kind) {
		return []contract.Command{contract.AddCounter{Name: "relays_refused", Delta: 1}}
	}
	relays := strings.Split(route, hopMark)
	envelope := Envelope{To: send.To, Ahead: relays[1:], From: self.Name, Boot: self.Boot, Address: self.Address, Kind: send.Kind, Body: body}
	return []contract.Command{contract.Send{To: relays[0], Kind: MessageForward, Body: envelope}}
}

// Forward passes an envelope on to the next relay or to its target, only to a member that is known here, and never over more relays than
// hopsMost.
func Forward(self contract.Member, message contract.Message, knows func(address string) bool) []contract.Command {
	envelope, fine := read(message)
	if !fine || len(envelope.Passed)+1+len(envelope.Ahead) > hopsMost {
		return []contract.Command{contract.AddCounter{Name: "relays_refused", Delta: 1}}
	}
	next, kind := envelope.To, MessageDeliver
	if len(envelope.Ahead) > 0 {
		next, kind = envelope.Ahead[0], MessageForward
		envelope.Ahead = envelope.Ahead[1:]
	}
	envelope.Passed = append(envelope.Passed, self.Address)
	if !knows(next) {
		return []contract.Command{contract.AddCounter{Name: "relays_refused", Delta: 1}}
	}
	return []contract.Command{contract.AddCounter{Name: "relays_forwarded", Delta: 1}, contract.Send{To: next, Kind: kind, Body: envelope}}
}

// Open gives the message in a delivered envelope, and the envelope for the way back.
func Open(message contract.Message) (contract.Message, Envelope, bool) {
	envelope, fine := read(message)
	if !fine {
		return contract.Message{}, Envelope{}, false
	}
	return contract.Message{Kind: envelope.Kind, From: envelope.From, Boot: envelope.Boot, Body: envelope.Body, ReturnRoute: back(envelope.Passed)}, envelope, true
}

// Back sends those of the commands that answer an envelope's sender by way of its relays.
func Back(self contract.Member, envelope Envelope, commands []contract.Command) []contract.Command {
	routed := make([]contract.Command, 0, len(commands))
	for _, command := range commands {
		send, fine := command.(contract.Send)
		if !fine || send.To != envelope.Address {
			routed = append(routed, command)
			continue
		}
		routed = append(routed, By(back(envelope.Passed), self, send)...)
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
