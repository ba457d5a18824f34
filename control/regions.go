package control

import (
	"time"

	"github.com/cedarreel/cedarreel/contract"
	"github.com/cedarreel/cedarreel/manifest"
	"github.com/cedarreel/cedarreel/shard"
)

// shardsOf gives this node's own region's shards first, then those of the regions that it stands in for.
func (owner *Owner) shardsOf() []*shard.Owner {
	all := []*shard.Owner{owner.shard}
	for _, region := range manifest.SortedKeys(owner.others) {
		all = append(all, owner.others[region])
	}
	return all
}

func (owner *Owner) shardsWoke(now time.Duration) {
	for _, shards := range owner.shardsOf() {
		shards.ResumeAfterFreeze(now)
	}
}

// tickShards follows the regions of the configuration; every shard owner of this node reads the same listing.
func (owner *Owner) tickShards(now time.Duration, seen shard.ClusterState) []contract.Command {
	if owner.wide {
		self := owner.Self()
		for _, region := range manifest.SortedKeys(seen.Manifest.Regions) {
			if _, there := owner.others[region]; !there && region != owner.Self().Region {
				self.Region = region
				owner.others[region] = shard.New(self, owner.Bounds)
				owner.others[region].SetAdvisoryLeases(true)
			}
		}
		for region := range owner.others {
			if _, there := seen.Manifest.Regions[region]; !there {
				delete(owner.others, region)
			}
		}
	}
	commands := []contract.Command{}
	for _, shards := range owner.shardsOf() {
		commands = append(commands, shards.Handle(now, seen)...)
	}
	return owner.oneListing(now, commands)
}

// oneListing turns the reads of all regions into one of the whole list.
func (owner *Owner) oneListing(now time.Duration, commands []contract.Command) []contract.Command {
	if !owner.wide {
		return commands
	}
	kept := commands[:0]
	for _, command := range commands {
		if _, reads := command.(shard.ReadPlatform); reads {
			if now-owner.listed < owner.Bounds.PlatformPoll()*3/4 {
				continue
			}
			owner.listed, command = now, shard.ReadPlatform{}
		}
		kept = append(kept, command)
	}
	return kept
}

// shardEvent brings an event to the shards that it concerns: what is carried around or read for others is done once.
func (owner *Owner) shardEvent(now time.Duration, event contract.Event) []contract.Command {
	if message, fine := event.(contract.Message); fine && message.Kind != shard.MessageLeaseRequest && message.Kind != shard.MessageZoneWithdraw && message.Kind != shard.MessageRampReply {
		return owner.shard.Handle(now, event)
	}
	if read, fine := event.(shard.ReportResult); fine && read.Request.ReplyTo != "" {
		return owner.shard.Handle(now, event)
	}
	commands := []contract.Command{}
	for index, shards := range owner.shardsOf() {
		part := event
		if read, fine := event.(shard.ListingResult); fine && owner.wide {
			part = owner.partOf(read, index)
		}
		commands = append(commands, shards.Handle(now, part)...)
	}
	return owner.oneListing(now, commands)
}

func (owner *Owner) partOf(read shard.ListingResult, index int) shard.ListingResult {
	region := owner.Self().Region
	if index > 0 {
		region = manifest.SortedKeys(owner.others)[index-1]
	}
	part := shard.ListingResult{Region: region, StartedAt: read.StartedAt, Error: read.Error, Listing: contract.Listing{Region: region}}
	for _, row := range read.Listing.Servers {
		if row.Region == region {
			part.Listing.Servers = append(part.Listing.Servers, row)
		}
	}
	return part
}

func (owner *Owner) status(now time.Duration) []shard.Status {
	statuses := []shard.Status{}
	for _, shards := range owner.shardsOf() {
		statuses = append(statuses, shards.Status(now)...)
	}
	return statuses
}
