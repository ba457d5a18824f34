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

type Owner interface {
	Handle(now time.Duration, event Event) []Command
}

const (
	KindControl = "control"
	KindData    = "data"
)

type Member struct {
	Name        string `json:"name"`
	Boot        string `json:"boot"`
	Kind        string `json:"kind"`
	Core        bool   `json:"core,omitempty"`
	Blind       bool   `json:"blind,omitempty"`
	Zone        string `json:"zone"`
	Region      string `json:"region"`
	Address     string `json:"address"`
	Incarnation int64  `json:"incarnation"`
	Heartbeat   int64  `json:"heartbeat"`
	Place       Place  `json:"place"`
	View        int64  `json:"view"`
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
type Place struct {
	View     int64 `json:"view"`
	Revision int64 `json:"revision"`
}

func (place Place) Before(other Place) bool {
	if place.View != other.View {
		return place.View < other.View
	}
	return place.Revision < other.Revision
}

// OperationOf names an operation in a version: the key that its sender chose, and the fingerprint of what was ordered under it.
func OperationOf(key, fingerprint string) string { return key + "/" + fingerprint }

// OperationKey gives the key that an operation was sent under.
func OperationKey(operation string) string {
	if place := strings.LastIndex(operation, "/"); place >= 0 {
		return operation[:place]
	}
	return operation
}

// Compare orders places by revision, then by view.
func (place Place) Compare(other Place) int {
	if order := cmp.Compare(place.Revision, other.Revision); order != 0 {
		return order
	}
	return cmp.Compare(place.View, other.View)
}

type Tick struct{}

// Message is what one member tells another.
type Message struct {
	Kind string          `json:"kind"`
	From string          `json:"from"`
	Boot string          `json:"boot"`
	Body json.RawMessage `json:"body"`
	// Via is the route back by the relays that brought it, empty for one that came directly.
	Via string `json:"-"`
}

type Send struct {
	To   string
	Kind string
	Body any
}

// Answer ends an operator's or a caller's question that a process asked its owner.
type Answer struct {
	Token  int64
	Status int
	Body   any
	After  time.Duration
}

type Count struct {
	Name string
	By   int64
}

type Gauge struct {
	Name  string
	Value int64
}

// Took tells how long something took.
type Took struct {
	What  string
	Class string
	Span  time.Duration
}

type Say struct {
	What   string
	Detail []any
}

// Adopted tells that another version is in force on this node.
type Adopted struct{ Version Version }
