package control

import (
	"time"

	"github.com/cedarreel/cedarreel/contract"
	"github.com/cedarreel/cedarreel/manifest"
	"github.com/cedarreel/cedarreel/shard"
)

// allShards returns the shards of this node's own region first, then those of the other regions by name.
func (controller *Controller) allShards() []*shard.Manager {
	all := []*shard.Manager{controller.ownShards}
	for _, region := range manifest.SortedKeys(controller.standInShards) {
		all = append(all, controller.standInShards[region])
	}
	return all
}

func (controller *Controller) resumeShards(now time.Duration) {
	for _, shards := range controller.allShards() {
		shards.ResumeAfterFreeze(now)
	}
}

// tickShards updates the shards to the regions of the manifest. All of them share one read of the listing.
func (controller *Controller) tickShards(now time.Duration, view shard.ClusterState) []contract.Command {
	if controller.allRegions {
		self := controller.Self()
		for _, region := range manifest.SortedKeys(view.Manifest.Regions) {
			if _, found := controller.standInShards[region]; !found && region != controller.Self().Region {
				self.Region = region
				controller.standInShards[region] = shard.New(self, controller.Bounds)
				controller.standInShards[region].SetAdvisoryLeases(true)
			}
		}
		for region := range controller.standInShards {
			if _, found := view.Manifest.Regions[region]; !found {
				delete(controller.standInShards, region)
			}
		}
	}
	commands := []contract.Command{}
	for _, shards := range controller.allShards() {
		commands = append(commands, shards.Handle(now, view)...)
	}
	return controller.mergeListingReads(now, commands)
}

// mergeListingReads replaces the reads of single regions by one read of the whole listing per poll interval.
func (controller *Controller) mergeListingReads(now time.Duration, commands []contract.Command) []contract.Command {
	if !controller.allRegions {
		return commands
	}
	kept := commands[:0]
	for _, command := range commands {
		if _, isRead := command.(shard.ReadPlatform); isRead {
			if now-controller.listingReadAt < controller.Bounds.PlatformPoll()*3/4 {
				continue
			}
			controller.listingReadAt, command = now, shard.ReadPlatform{}
		}
		kept = append(kept, command)
	}
	return kept
}

// shardEvent passes an event to the shards that it concerns. Relayed messages and reads on behalf of other nodes are handled only once.
func (controller *Controller) shardEvent(now time.Duration, event contract.Event) []contract.Command {
	if message, ok := event.(contract.Message); ok && message.Kind != shard.MessageLeaseRequest && message.Kind != shard.MessageZoneWithdraw && message.Kind != shard.MessageRampReply {
		return controller.ownShards.Handle(now, event)
	}
	if result, ok := event.(shard.ReportResult); ok && result.Request.ReplyTo != "" {
		return controller.ownShards.Handle(now, event)
	}
	commands := []contract.Command{}
	for index, shards := range controller.allShards() {
		scoped := event
		if result, ok := event.(shard.ListingResult); ok && controller.allRegions {
			scoped = controller.listingForRegion(result, index)
		}
		commands = append(commands, shards.Handle(now, scoped)...)
	}
	return controller.mergeListingReads(now, commands)
}

// listingForRegion returns the part of a listing that belongs to the shards with an index in allShards.
func (controller *Controller) listingForRegion(result shard.ListingResult, index int) shard.ListingResult {
	region := controller.Self().Region
	if index > 0 {
		region = manifest.SortedKeys(controller.standInShards)[index-1]
	}
	scoped := shard.ListingResult{Region: region, StartedAt: result.StartedAt, Error: result.Error, Listing: contract.Listing{Region: region}}
	for _, server := range result.Listing.Servers {
		if server.Region == region {
			scoped.Listing.Servers = append(scoped.Listing.Servers, server)
		}
	}
	return scoped
}

func (controller *Controller) shardStatus(now time.Duration) []shard.Status {
	statuses := []shard.Status{}
	for _, shards := range controller.allShards() {
		statuses = append(statuses, shards.Status(now)...)
	}
	return statuses
}
