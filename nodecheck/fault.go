package nodecheck

import (
	"encoding/json"

	"github.com/cedarreel/cedarreel/chain"
	"github.com/cedarreel/cedarreel/contract"
	"github.com/cedarreel/cedarreel/document"
	"github.com/cedarreel/cedarreel/feed"
)

// Fault is a defect injected at the boundary of the controllers (messages, answers, recovered state), to show that a walk would detect a
// defect of that kind. Its text is the name that commands accept and print.
type Fault string

// The faults that can be planted.
const (
	NoFault Fault = ""
	// FaultOperationForgotten erases, when a member starts, which operations created the recovered versions.
	FaultOperationForgotten Fault = "an operation is forgotten at a restart"
	// FaultWrongChange alters changes in deliveries to nodes, with a matching digest.
	FaultWrongChange Fault = "a change is applied to the wrong base at a node, and the digest is not compared"
	// FaultWrongReplicate does the same to changes replicated along the chain.
	FaultWrongReplicate Fault = "a change is applied to the wrong base at a member, and the digest is not compared"
	// FaultNoQuorum answers quorum checks in the name of members that were not asked.
	FaultNoQuorum Fault = "a refusal or a read is given without the quorum"
	// FaultEarlyDelivery delivers versions to nodes before they are committed.
	FaultEarlyDelivery Fault = "a node is told a version before its commit"
	// FaultStaleAnswer answers a read with the answer to an earlier one.
	FaultStaleAnswer Fault = "an answer from before a change is given again"
	// FaultEarlyAcknowledgement makes the sender of a version treat it as committed by the tail at once.
	FaultEarlyAcknowledgement Fault = "an order is acknowledged before the chain has it"
)

// Faults returns all faults that can be planted.
func Faults() []Fault {
	return []Fault{FaultOperationForgotten, FaultWrongChange, FaultWrongReplicate, FaultNoQuorum, FaultEarlyDelivery, FaultStaleAnswer, FaultEarlyAcknowledgement}
}

// recovered alters what a member recovers from its folder, for FaultOperationForgotten.
func (fault Fault) recovered(recovered *chain.Recovered) {
	if fault != FaultOperationForgotten {
		return
	}
	for index := range recovered.Versions {
		recovered.Versions[index].Operation = ""
	}
	recovered.PastOperations = nil
}

// rewrite alters a message that a node sends, or schedules forged messages in addition, for the faults that show in messages.
func (fault Fault) rewrite(simulation *simulation, sender *node, command contract.Send) any {
	switch body := command.Body.(type) {
	case feed.Delivery:
		if fault == FaultWrongChange {
			body.Records = simulation.withWrongChange(body.Records)
		}
		return body
	case chain.Replicate:
		switch fault {
		case FaultWrongReplicate:
			body.Records = simulation.withWrongChange(body.Records)
		case FaultEarlyDelivery:
			simulation.deliverEarly(sender, body)
		case FaultEarlyAcknowledgement:
			simulation.confirmEarly(sender, body)
		}
		return body
	case chain.ViewCheck:
		if fault == FaultNoQuorum && !body.Current {
			simulation.forgeViewChecks(sender, body)
		}
	}
	return command.Body
}

// withWrongChange returns records whose changes lack a part, with the digest of the resulting content: as if a change had been applied to
// the wrong base and no digest compared.
func (simulation *simulation) withWrongChange(records []contract.Record) []contract.Record {
	changed := []contract.Record{}
	for _, record := range records {
		if record.Base != nil && len(record.Change.Set) > 1 {
			if base, found := simulation.checker.versions[*record.Base]; found {
				altered := withoutOnePart(*record.Change)
				record.Change, record.Digest = &altered, base.Next(record.Position, record.Operation, altered).Digest
			}
		}
		changed = append(changed, record)
	}
	return changed
}

// withoutOnePart returns the change without one of its parts; the revision is always kept.
func withoutOnePart(change document.Change) document.Change {
	kept, skipped := document.Change{Remove: change.Remove}, false
	for pointer, value := range change.Set {
		if !skipped && pointer != "/gateway/revision" {
			skipped = true
			continue
		}
		kept.SetPart(pointer, string(value))
	}
	return kept
}

// deliverEarly delivers versions that are still being replicated to the nodes outside the core.
func (simulation *simulation) deliverEarly(sender *node, replicate chain.Replicate) {
	if len(replicate.Records) == 0 {
		return
	}
	body, err := json.Marshal(feed.Delivery{Records: replicate.Records})
	if err != nil {
		panic(err)
	}
	for _, target := range simulation.nodes {
		if !target.isCore() {
			simulation.transmit(sender.address, target.address, func() { target.handle(target.incarnation, contract.Message{Kind: feed.MessageDelivery, Body: body}) })
		}
	}
}

// confirmEarly sends the sender a commit notice for what it is still replicating.
func (simulation *simulation) confirmEarly(sender *node, replicate chain.Replicate) {
	if len(replicate.Records) == 0 {
		return
	}
	body, err := json.Marshal(chain.CommitNotice{View: replicate.View, Position: replicate.Records[len(replicate.Records)-1].Position})
	if err != nil {
		panic(err)
	}
	incarnation := sender.incarnation
	simulation.schedule(0, func() { sender.handle(incarnation, contract.Message{Kind: chain.MessageCommitNotice, Body: body}) })
}

// forgeViewChecks answers a quorum check in the name of every core member without asking them.
func (simulation *simulation) forgeViewChecks(sender *node, check chain.ViewCheck) {
	incarnation := sender.incarnation
	for _, member := range sender.controller.Feed.View().Core {
		check.Current, check.Responder = true, member
		body, err := json.Marshal(check)
		if err != nil {
			panic(err)
		}
		simulation.schedule(0, func() { sender.handle(incarnation, contract.Message{Kind: chain.MessageViewCheckReply, Body: body}) })
	}
}
