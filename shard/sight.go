package shard

import (
	"encoding/json"
	"time"

	"github.com/cedarreel/cedarreel/contract"
	"github.com/cedarreel/cedarreel/retire"
)

// First gives the control node of a region that owns a shard: the first live one in the agreed order. Those that say of
// themselves that they cannot see come after all that can.
func First(members []contract.Member, region string, index int) string {
	seeing, all := []string{}, []string{}
	for _, member := range members {
		if member.Kind == contract.KindControl && member.Region == region {
			all = append(all, member.Name)
			if !member.Blind {
				seeing = append(seeing, member.Name)
			}
		}
	}
	if len(seeing) > 0 {
		all = seeing
	}
	for _, member := range members {
		if len(all) == 0 && member.Kind == contract.KindControl {
			return First(members, nearest(members, region), index)
		}
	}
	if len(all) == 0 {
		return ""
	}
	return contract.Ordered(Subject(region, index), all)[0]
}

// nearest gives the region that stands in for one without control nodes: the first in the agreed order.
func nearest(members []contract.Member, region string) string {
	regions := []string{}
	for _, member := range members {
		if member.Kind == contract.KindControl {
			regions = append(regions, member.Region)
		}
	}
	return contract.Ordered("stand-in/"+region, regions)[0]
}

// idleTimes is how much more seldom than an owner of shards a prompt node without any reads the platform: each reading has its price, and
// a take-over needs one that is younger than the grace.
const idleTimes = 3

func (owner *Owner) pollEvery() time.Duration {
	if !owner.prompt {
		return owner.bounds.PlatformPoll()
	}
	for index, held := range owner.duties {
		if held.owning || owner.first(index) == owner.self.Name {
			return owner.bounds.PlatformPoll()
		}
	}
	return idleTimes * owner.bounds.PlatformPoll()
}

// hurried tells whether a shard is about to be taken over with a listing that an idle node read too long ago.
func (owner *Owner) hurried(now time.Duration) bool {
	return owner.pollEvery() == owner.bounds.PlatformPoll() && (!owner.listed || now-owner.listedAt > 2*owner.bounds.PlatformPoll()) &&
		owner.nextPoll-now > owner.bounds.PlatformPoll()
}

// watchSight makes a node blind after a lease's time without a good listing, and lets it see again only after a longer time
// with them, so that duties do not flap.
func (owner *Owner) watchSight(now time.Duration) {
	late := now - max(owner.listedAt, owner.started)
	switch {
	case !owner.blind && late > owner.bounds.Lease()+owner.pollEvery()-owner.bounds.PlatformPoll():
		owner.blind, owner.sighted = true, now
		owner.emit(contract.Count{Name: "blind", By: 1}, contract.Say{What: "the platform cannot be read here"})
	case owner.blind && owner.fresh(now) && now-owner.sighted > owner.bounds.RecoveryDelay():
		owner.blind = false
		owner.emit(contract.Say{What: "the platform can be read here again"})
	}
}

func (owner *Owner) Blind() bool { return owner.blind }

// divide follows a change of the number of shards: every duty begins anew under a higher epoch, and its retirements with it.
func (owner *Owner) divide(now time.Duration, shards int) {
	for index := range owner.duties {
		if index >= shards {
			delete(owner.duties, index)
		}
	}
	if owner.shards > 0 {
		for _, index := range manifestOrder(owner.duties) {
			if held := owner.duties[index]; held.owning {
				owner.takeOver(now, held)
			}
		}
	}
	owner.shards = shards
}

// ReadTold is what a peer read for an owner that could not.
type ReadTold struct {
	Server string          `json:"server"`
	Asked  time.Duration   `json:"asked"`
	Report contract.Report `json:"report"`
	Error  string          `json:"error,omitempty"`
}

// readAround asks a peer of the region to read a report that this node could not read, in turn; it tells whether it could ask.
func (owner *Owner) readAround(now time.Duration, server string) bool {
	peers := []contract.Member{}
	for _, member := range owner.seen.Members {
		if member.Kind == contract.KindControl && member.Region == owner.self.Region && member.Name != owner.self.Name {
			peers = append(peers, member)
		}
	}
	if len(peers) == 0 {
		return false
	}
	address := ""
	for _, row := range owner.listing.Servers {
		if row.Name == server {
			address = row.Address
		}
	}
	known := owner.servers[server]
	known.failures++
	owner.turn++
	owner.emit(contract.Count{Name: "reports_asked_around", By: 1}, contract.Send{To: peers[owner.turn%len(peers)].Address, Kind: MessageReadAsk,
		Body: ReadReport{Server: server, Address: address, Back: owner.self.Address, Asked: now}})
	return true
}

func (owner *Owner) readFor(now time.Duration, message contract.Message) {
	if message.Kind == MessageReadAsk {
		var ask ReadReport
		if json.Unmarshal(message.Body, &ask) == nil && ask.Back != "" {
			owner.emit(ask)
		}
		return
	}
	var told ReadTold
	if json.Unmarshal(message.Body, &told) == nil {
		owner.reportRead(now, ReportRead{Server: told.Server, Around: true, Outcome: retire.Outcome{Began: told.Asked, Report: told.Report, Error: told.Error}})
	}
}
