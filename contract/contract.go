// Package contract defines the types shared by the parts of cedarreel: events, commands and messages between nodes, operator requests,
// versions of the manifest and views of the replication chain.
package contract

import (
	"cmp"
	"encoding/json"
	"strings"
	"time"
)

// Event is an input of a StateMachine, such as a Tick, a Message or the result of an earlier command.
type Event any

// Command is an output of a StateMachine that the process carries out, such as Send, Response or Log.
type Command any

// StateMachine is the deterministic core of a process. It does no I/O: Handle takes an event and the current monotonic time, and returns
// the commands to carry out in order. Calls of Handle do not overlap.
type StateMachine interface {
	Handle(now time.Duration, event Event) []Command
}

// Kinds of nodes. A node is named after its machine and its kind, separated by a hyphen.
const (
	KindControl = "control"
	KindData    = "data"
)

// Member describes a node to the other nodes of the fleet, through the membership protocol.
type Member struct {
	Name string `json:"name"`
	// Boot identifies the run of the process: a restarted process has another one.
	Boot string `json:"boot"`
	Kind string `json:"kind"`
	// Core is set on a control node with a data folder whose disk works: it can be a member of the core.
	Core bool `json:"core,omitempty"`
	// Impaired is set on a control node that cannot read the platform's listing of servers or hears no other member. It owns a shard only
	// where every other candidate is impaired too.
	Impaired bool   `json:"blind,omitempty"`
	Zone     string `json:"zone"`
	Region   string `json:"region"`
	Address  string `json:"address"`
	// Incarnation rises when the member refutes a report that it is dead, Heartbeat with each round of the membership protocol.
	Incarnation int64 `json:"incarnation"`
	Heartbeat   int64 `json:"heartbeat"`
	// Position is that of the newest version that the node holds, View the number of the newest view that it knows.
	Position Position `json:"place"`
	View     int64    `json:"view"`
	// CoreID is the identity of a core member's data folder. It is empty on nodes without one.
	CoreID string `json:"coreId,omitempty"`
}

// CoreNode returns the identity under which the node can be a member of the core.
func (member Member) CoreNode() CoreNode {
	return CoreNode{Name: member.Name, ID: member.CoreID, Address: member.Address}
}

// MachineOf returns the name of the machine that runs the node of the given name.
func MachineOf(name string) string {
	machine, _, _ := strings.Cut(name, "-"+KindControl)
	machine, _, _ = strings.Cut(machine, "-"+KindData)
	return machine
}

// Position is the position of a version in the replicated log: the number of the view whose head assigned the revision, and the revision.
// The zero value stands for no version.
type Position struct {
	View     int64 `json:"view"`
	Revision int64 `json:"revision"`
}

// Before reports whether the position is older than the other one: by view, then by revision.
func (position Position) Before(other Position) bool {
	if position.View != other.View {
		return position.View < other.View
	}
	return position.Revision < other.Revision
}

// OperationID returns the identifier of an operation in a version: the idempotency key that the client chose and a fingerprint of the
// request. The fingerprint shows when a key is used again for a different request.
func OperationID(key, fingerprint string) string { return key + "/" + fingerprint }

// OperationKey returns the idempotency key of an operation identifier.
func OperationKey(operation string) string {
	if separator := strings.LastIndex(operation, "/"); separator >= 0 {
		return operation[:separator]
	}
	return operation
}

// Compare orders positions by revision, then by view.
func (position Position) Compare(other Position) int {
	if order := cmp.Compare(position.Revision, other.Revision); order != 0 {
		return order
	}
	return cmp.Compare(position.View, other.View)
}

// Tick is the event that a process sends to its state machine periodically.
type Tick struct{}

// Message is a message from another member. The receiver gets it as an event.
type Message struct {
	Kind string `json:"kind"`
	// From is the name of the sender, Boot its Member.Boot.
	From string          `json:"from"`
	Boot string          `json:"boot"`
	Body json.RawMessage `json:"body"`
	// ReturnRoute is the route back through the relays that forwarded the message. It is empty for a message that came directly.
	ReturnRoute string `json:"-"`
}

// Send is the command to send a message to the node at the address To. Delivery is not guaranteed.
type Send struct {
	To   string
	Kind string
	Body any
}

// Response is the command to answer the request of an operator or a caller that the process gave to its state machine under Token. Status
// is an HTTP status. RetryAfter is the advised delay before a retry, 0 for no advice.
type Response struct {
	Token      int64
	Status     int
	Body       any
	RetryAfter time.Duration
}

// AddCounter is the command to add Delta to the counter metric Name.
type AddCounter struct {
	Name  string
	Delta int64
}

// SetGauge is the command to set the gauge metric Name.
type SetGauge struct {
	Name  string
	Value int64
}

// ObserveDuration is the command to record a duration in the histogram metric Name, labelled with Class.
type ObserveDuration struct {
	Name     string
	Class    string
	Duration time.Duration
}

// Log is the command to write a log line. Attributes alternates keys and values.
type Log struct {
	Message    string
	Attributes []any
}

// VersionAdopted is the command that tells the process that another version of the manifest is in force on this node.
type VersionAdopted struct{ Version Version }
