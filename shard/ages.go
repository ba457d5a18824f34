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
func (manager *Manager) requestRampAges(now time.Duration) {
	if now-manager.startedAt > manager.bounds.Deliver() && !manager.isTakingOver(now) || now < manager.nextRampRequest {
		return
	}
	manager.nextRampRequest = now + manager.bounds.Round()/2
	for _, member := range manager.clusterState.Members {
		if member.Kind == contract.KindControl && member.Region == manager.self.Region && member.Name != manager.self.Name {
			manager.emit(contract.Send{To: member.Address, Kind: MessageRampRequest, Body: RampAges{Address: manager.self.Address}})
		}
	}
}

// isTakingOver reports whether this node is about to take over a shard or has just done so.
func (manager *Manager) isTakingOver(now time.Duration) bool {
	for _, shard := range manager.shardStates {
		if shard.preferredSince >= 0 && (!shard.isOwner || now-shard.takenAt < manager.bounds.Lease()) {
			return true
		}
	}
	return false
}

// handleRampAges answers a peer's request for ramp ages, or applies a peer's reply.
func (manager *Manager) handleRampAges(now time.Duration, message contract.Message) {
	var rampStarts RampAges
	if json.Unmarshal(message.Body, &rampStarts) != nil {
		return
	}
	ramp := manager.clusterState.Manifest.Retirement.RampDuration
	if message.Kind == MessageRampRequest {
		reply := RampAges{Elapsed: map[string]time.Duration{}}
		for name, server := range manager.servers {
			start := server.listedSince
			if server.ramping {
				start = max(start, server.rampStart)
			}
			if start >= 0 && now-start < ramp {
				reply.Elapsed[incarnationKey(name, server.incarnation)] = now - start
			}
		}
		manager.emit(contract.Send{To: rampStarts.Address, Kind: MessageRampReply, Body: reply})
		return
	}
	for _, key := range manifest.SortedKeys(rampStarts.Elapsed) {
		manager.rampStarts[key] = max(manager.rampStarts[key], now-rampStarts.Elapsed[key])
	}
	for name := range manager.servers {
		manager.applyPeerRampStart(now, name)
	}
}

// applyPeerRampStart puts a server on the ramp that a peer saw it begin.
func (manager *Manager) applyPeerRampStart(now time.Duration, name string) {
	server := manager.servers[name]
	start, found := manager.rampStarts[incarnationKey(name, server.incarnation)]
	if !found || now-start >= manager.clusterState.Manifest.Retirement.RampDuration || server.listedSince >= start {
		return
	}
	server.listedSince = start
	if server.reported && !server.ramping {
		server.ramping, server.rampStart = true, start
	}
}
