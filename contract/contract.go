// Package contract holds what the parts of cedarreel say to each other.
package contract

import (
	"cmp"
	"encoding/json"
	"strings"
	"time"
)

type Event any

type Command any

type StateMachine interface {
	Handle(now time.Duration, event Event) []Command
}

const (
	KindControl = "control"
	KindData    = "data"
)

type Member struct {
	Name        string   `json:"name"`
	Boot        string   `json:"boot"`
	Kind        string   `json:"kind"`
	Core        bool     `json:"core,omitempty"`
	Impaired    bool     `json:"blind,omitempty"`
	Zone        string   `json:"zone"`
	Region      string   `json:"region"`
	Address     string   `json:"address"`
	Incarnation int64    `json:"incarnation"`
	Heartbeat   int64    `json:"heartbeat"`
	Position    Position `json:"place"`
	View        int64    `json:"view"`
	// CoreID is the identity of a core member's data folder; it is empty on nodes without one.
	CoreID string `json:"coreId,omitempty"`
}

// CoreNode gives the core member that a node with a data folder is.
func (member Member) CoreNode() CoreNode {
	return CoreNode{Name: member.Name, ID: member.CoreID, Address: member.Address}
}

// MachineOf gives the machine that a member of this name runs on.
func MachineOf(name string) string {
	machine, _, _ := strings.Cut(name, "-"+KindControl)
	machine, _, _ = strings.Cut(machine, "-"+KindData)
	return machine
}

// Place orders committed manifests: the view that numbered one, then its revision.
type Position struct {
	View     int64 `json:"view"`
	Revision int64 `json:"revision"`
}

func (position Position) Before(other Position) bool {
	if position.View != other.View {
		return position.View < other.View
	}
	return position.Revision < other.Revision
}

// OperationOf names an operation in a version: the key that its sender chose, and the fingerprint of what was ordered under it.
func OperationID(key, fingerprint string) string { return key + "/" + fingerprint }

// OperationKey gives the key that an operation was sent under.
func OperationKey(operation string) string {
	if separator := strings.LastIndex(operation, "/"); separator >= 0 {
		return operation[:separator]
	}
	return operation
}

// Compare orders places by revision, then by view.
func (position Position) Compare(other Position) int {
	if order := cmp.Compare(position.Revision, other.Revision); order != 0 {
		return order
	}
	return cmp.Compare(position.View, other.View)
}

type Tick struct{}

// Message is what one member tells another.
type Message struct {
	Kind string          `json:"kind"`
	From string          `json:"from"`
	Boot string          `json:"boot"`
	Body json.RawMessage `json:"body"`
	// Via is the route back by the relays that brought it, empty for one that came directly.
	ReturnRoute string `json:"-"`
}

type Send struct {
	To   string
	Kind string
	Body any
}

// Answer ends an operator's or a caller's question that a process asked its owner.
type Response struct {
	Token      int64
	Status     int
	Body       any
	RetryAfter time.Duration
}

type AddCounter struct {
	Name  string
	Delta int64
}

type SetGauge struct {
	Name  string
	Value int64
}

// Took tells how long something took.
type ObserveDuration struct {
	Name     string
	Class    string
	Duration time.Duration
}

type Log struct {
	Message    string
	Attributes []any
}

// Adopted tells that another version is in force on this node.
type VersionAdopted struct{ Version Version }
