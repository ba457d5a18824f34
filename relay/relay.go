// Package relay sends messages between two members through one or two others, for when the direct link is broken. Membership does not
// show such a break: gossip travels through other members too, so a member that everyone considers alive may be unreachable for some.
package relay

import (
	"encoding/json"
	"slices"
	"strings"

	"github.com/cedarreel/cedarreel/contract"
)

const (
	// MessageForward asks a relay to pass an envelope on; MessageDeliver hands it to its target.
	MessageForward = kindPrefix + "forward"
	MessageDeliver = kindPrefix + "deliver"
	kindPrefix     = "relay-"
	// maxRelays is the largest number of relays on a message's way.
	maxRelays        = 2
	addressSeparator = ","
)

// Route joins the addresses of relays, in the order in which they carry a message, into the form that messages use.
func Route(relays ...string) string { return strings.Join(relays, addressSeparator) }

// reverseRoute returns the route back through the relays that a message passed.
func reverseRoute(passed []string) string {
	returned := slices.Clone(passed)
	slices.Reverse(returned)
	return Route(returned...)
}

// Envelope is a message that relays carry. Addresses are those at which members listen for messages.
type Envelope struct {
	// To is the target's address. RemainingRelays are the relays that are still to carry the message, and PassedRelays those that have,
	// in order. Each relay adds itself to the latter, since the answer takes the same way back.
	To              string   `json:"to"`
	RemainingRelays []string `json:"ahead,omitempty"`
	PassedRelays    []string `json:"passed,omitempty"`
	// From, Boot and Address are the name, the process start and the address of the sender.
	From    string          `json:"from"`
	Boot    string          `json:"boot"`
	Address string          `json:"address"`
	Kind    string          `json:"kind"`
	Body    json.RawMessage `json:"body"`
}

// Wrap returns the command that sends a message through the relays of a route. A body that can't be marshalled, and a message that is
// itself an envelope, are refused.
func Wrap(route string, self contract.Member, send contract.Send) []contract.Command {
	body, err := json.Marshal(send.Body)
	if err != nil || isRelayKind(send.Kind) {
		return []contract.Command{contract.AddCounter{Name: "relays_refused", Delta: 1}}
	}
	relays := strings.Split(route, addressSeparator)
	envelope := Envelope{To: send.To, RemainingRelays: relays[1:], From: self.Name, Boot: self.Boot, Address: self.Address, Kind: send.Kind, Body: body}
	return []contract.Command{contract.Send{To: relays[0], Kind: MessageForward, Body: envelope}}
}

// Forward passes an envelope on to the next relay or to its target. It refuses destinations that are not known members and routes with
// more than maxRelays relays.
func Forward(self contract.Member, message contract.Message, isKnown func(address string) bool) []contract.Command {
	envelope, ok := decode(message)
	if !ok || len(envelope.PassedRelays)+1+len(envelope.RemainingRelays) > maxRelays {
		return []contract.Command{contract.AddCounter{Name: "relays_refused", Delta: 1}}
	}
	next, kind := envelope.To, MessageDeliver
	if len(envelope.RemainingRelays) > 0 {
		next, kind = envelope.RemainingRelays[0], MessageForward
		envelope.RemainingRelays = envelope.RemainingRelays[1:]
	}
	envelope.PassedRelays = append(envelope.PassedRelays, self.Address)
	if !isKnown(next) {
		return []contract.Command{contract.AddCounter{Name: "relays_refused", Delta: 1}}
	}
	return []contract.Command{contract.AddCounter{Name: "relays_forwarded", Delta: 1}, contract.Send{To: next, Kind: kind, Body: envelope}}
}

// Unwrap returns the message in a delivered envelope, and the envelope itself for RouteReplies. It returns false for a malformed one.
func Unwrap(message contract.Message) (contract.Message, Envelope, bool) {
	envelope, ok := decode(message)
	if !ok {
		return contract.Message{}, Envelope{}, false
	}
	return contract.Message{Kind: envelope.Kind, From: envelope.From, Boot: envelope.Boot, Body: envelope.Body, ReturnRoute: reverseRoute(envelope.PassedRelays)}, envelope, true
}

// RouteReplies replaces those commands that send a message to the envelope's sender by ones that send it back through the relays.
func RouteReplies(self contract.Member, envelope Envelope, commands []contract.Command) []contract.Command {
	routed := make([]contract.Command, 0, len(commands))
	for _, command := range commands {
		send, ok := command.(contract.Send)
		if !ok || send.To != envelope.Address {
			routed = append(routed, command)
			continue
		}
		routed = append(routed, Wrap(reverseRoute(envelope.PassedRelays), self, send)...)
	}
	return routed
}

// decode unmarshals an envelope and reports whether it is valid.
func decode(message contract.Message) (Envelope, bool) {
	var envelope Envelope
	err := json.Unmarshal(message.Body, &envelope)
	return envelope, err == nil && envelope.To != "" && envelope.Address != "" && !isRelayKind(envelope.Kind)
}

// isRelayKind reports whether a message is of one of this package's kinds, which relays never carry, so that no message loops.
func isRelayKind(kind string) bool { return strings.HasPrefix(kind, kindPrefix) }
