package nodecheck

import (
	"encoding/json"

	"github.com/cedarreel/cedarreel/chain"
	"github.com/cedarreel/cedarreel/contract"
	"github.com/cedarreel/cedarreel/document"
	"github.com/cedarreel/cedarreel/feed"
)

// Fault is a defect that is planted at the seams of the owners, to show that a walk would find one like it.
type Fault string

// The faults that can be planted.
const (
	NoFault Fault = ""
	// FaultOperationForgotten takes away which operations made the versions of a folder, when a member starts.
	FaultOperationForgotten Fault = "an operation is forgotten at a restart"
	// FaultWrongChange alters changes on their way to nodes, with a digest that fits.
	FaultWrongChange Fault = "a change is applied to the wrong base at a node, and the digest is not compared"
	// FaultWrongPass does the same to those that pass along the chain.
	FaultWrongPass Fault = "a change is applied to the wrong base at a member, and the digest is not compared"
	// FaultNoQuorum answers questions for a quorum though nobody was asked.
	FaultNoQuorum Fault = "a refusal or a read is given without the quorum"
	// FaultToldEarly tells nodes of versions that are passed along the chain and not committed.
	FaultToldEarly Fault = "a node is told a version before its commit"
	// FaultFormerAnswer answers a read with the answer to a former one.
	FaultFormerAnswer Fault = "an answer from before a change is given again"
	// FaultAcknowledgedEarly has the head take its own word for the tail's.
	FaultAcknowledgedEarly Fault = "an order is acknowledged before the chain has it"
)

// Faults are all that can be planted.
func Faults() []Fault {
	return []Fault{FaultOperationForgotten, FaultWrongChange, FaultWrongPass, FaultNoQuorum, FaultToldEarly, FaultFormerAnswer, FaultAcknowledgedEarly}
}

// recovered changes what a member finds in its folder.
func (fault Fault) recovered(found *chain.Recovered) {
	if fault != FaultOperationForgotten {
		return
	}
	for place := range found.Versions {
		found.Versions[place].Operation = ""
	}
	found.PastOperations = nil
}

// rewrite changes what a node sends, or adds to it.
func (fault Fault) rewrite(world *world, sender *node, command contract.Send) any {
	switch body := command.Body.(type) {
	case feed.Delivery:
		if fault == FaultWrongChange {
			body.Records = world.altered(body.Records)
		}
		return body
	case chain.Replicate:
		switch fault {
		case FaultWrongPass:
			body.Records = world.altered(body.Records)
		case FaultToldEarly:
			world.tellEarly(sender, body)
		case FaultAcknowledgedEarly:
			world.acknowledgeEarly(sender, body)
		}
		return body
	case chain.ViewCheck:
		if fault == FaultNoQuorum && !body.Current {
			world.vouchFor(sender, body)
		}
	}
	return command.Body
}

// altered gives records of which one lacks a part of its change, with the digest of what it makes then: as if it were put on another base
// and no digest were compared.
func (world *world) altered(records []contract.Record) []contract.Record {
	changed := []contract.Record{}
	for _, record := range records {
		if record.Base != nil && len(record.Change.Set) > 1 {
			if base, there := world.judge.versions[*record.Base]; there {
				change := without(*record.Change)
				record.Change, record.Digest = &change, base.Next(record.Position, record.Operation, change).Digest
			}
		}
		changed = append(changed, record)
	}
	return changed
}

// without gives a change that lacks a part, but for the revision.
func without(change document.Change) document.Change {
	left, skipped := document.Change{Remove: change.Remove}, false
	for pointer, value := range change.Set {
		if !skipped && pointer != "/gateway/revision" {
			skipped = true
			continue
		}
		left.SetPart(pointer, string(value))
	}
	return left
}

// tellEarly tells a node without a folder of versions that are still under way along the chain.
func (world *world) tellEarly(sender *node, pass chain.Replicate) {
	if len(pass.Records) == 0 {
		return
	}
	body, failure := json.Marshal(feed.Delivery{Records: pass.Records})
	if failure != nil {
		panic(failure)
	}
	for _, target := range world.nodes {
		if !target.core() {
			world.carry(sender.address, target.address, func() { target.handle(target.life, contract.Message{Kind: feed.MessageDelivery, Body: body}) })
		}
	}
}

// acknowledgeEarly has a sender hear that the whole chain has what it passes.
func (world *world) acknowledgeEarly(sender *node, pass chain.Replicate) {
	if len(pass.Records) == 0 {
		return
	}
	body, failure := json.Marshal(chain.CommitNotice{View: pass.View, Position: pass.Records[len(pass.Records)-1].Position})
	if failure != nil {
		panic(failure)
	}
	life := sender.life
	world.after(0, func() { sender.handle(life, contract.Message{Kind: chain.MessageCommitNotice, Body: body}) })
}

// vouchFor answers a question for a quorum in the name of a member that was not asked.
func (world *world) vouchFor(sender *node, check chain.ViewCheck) {
	life := sender.life
	for _, member := range sender.owner.Feed.View().Core {
		check.Current, check.Responder = true, member
		body, failure := json.Marshal(check)
		if failure != nil {
			panic(failure)
		}
		world.after(0, func() { sender.handle(life, contract.Message{Kind: chain.MessageViewCheckReply, Body: body}) })
	}
}
