package shard

import (
	"encoding/json"
	"time"

	"github.com/cedarreel/cedarreel/contract"
	"github.com/cedarreel/cedarreel/manifest"
)

const (
	// MessageRampRequest asks a peer for its RampAges, MessageRampReply carries them.
	MessageRampRequest = "ages-ask"
	MessageRampReply   = "ages-told"
)

// RampAges tells which servers returned recently. A control node that has just started asks its peers for it; otherwise it would
// take a cold server that has already served a few calls for a warm one.
type RampAges struct {
	Address string                   `json:"address,omitempty"` // address for the reply, set in a request
	Elapsed map[string]time.Duration `json:"since,omitempty"`   // by incarnationKey: time since the ramp began, set in a reply
}

// incarnationKey identifies one incarnation of a server.
func incarnationKey(name, incarnation string) string { return name + "@" + incarnation }

// requestRampAges asks the region's other control nodes for ramp ages after a start and around a take-over.
func (owner *Owner) requestRampAges(now time.Duration) {
	if now-owner.startedAt > owner.bounds.Deliver() && !owner.takingOver(now) || now < owner.nextRampRequest {
		return
	}
	owner.nextRampRequest = now + owner.bounds.Round()/2
	for _, member := range owner.seen.Members {
		if member.Kind == contract.KindControl && member.Region == owner.self.Region && member.Name != owner.self.Name {
			owner.emit(contract.Send{To: member.Address, Kind: MessageRampRequest, Body: RampAges{Address: owner.self.Address}})
		}
	}
}

// takingOver reports whether this node is about to take over a shard or has just done so.
func (owner *Owner) takingOver(now time.Duration) bool {
	for _, shard := range owner.shardStates {
		if shard.preferredSince >= 0 && (!shard.isOwner || now-shard.takenAt < owner.bounds.Lease()) {
			return true
		}
	}
	return false
}

// handleRampAges answers a peer's request for ramp ages, or applies a peer's reply.
func (owner *Owner) handleRampAges(now time.Duration, message contract.Message) {
	var rampStarts RampAges
	if json.Unmarshal(message.Body, &rampStarts) != nil {
		return
	}
	ramp := owner.seen.Manifest.Retirement.Ramp
	if message.Kind == MessageRampRequest {
		reply := RampAges{Elapsed: map[string]time.Duration{}}
		for name, server := range owner.servers {
			start := server.listedSince
			if server.ramping {
				start = max(start, server.rampStart)
			}
			if start >= 0 && now-start < ramp {
				reply.Elapsed[incarnationKey(name, server.incarnation)] = now - start
			}
		}
		owner.emit(contract.Send{To: rampStarts.Address, Kind: MessageRampReply, Body: reply})
		return
	}
	for _, key := range manifest.SortedKeys(rampStarts.Elapsed) {
		owner.rampStarts[key] = max(owner.rampStarts[key], now-rampStarts.Elapsed[key])
	}
	for name := range owner.servers {
		owner.applyPeerRampStart(now, name)
	}
}

// applyPeerRampStart puts a server on the ramp that a peer saw it begin.
func (owner *Owner) applyPeerRampStart(now time.Duration, name string) {
	server := owner.servers[name]
	start, found := owner.rampStarts[incarnationKey(name, server.incarnation)]
	if !found || now-start >= owner.seen.Manifest.Retirement.Ramp || server.listedSince >= start {
		return
	}
	server.listedSince = start
	if server.reported && !server.ramping {
		server.ramping, server.rampStart = true, start
	}
}
