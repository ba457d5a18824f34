package fleet

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/cedarreel/cedarreel/contract"
	"github.com/cedarreel/cedarreel/listing"
	"github.com/cedarreel/cedarreel/retire"
	"github.com/cedarreel/cedarreel/shard"
)

// Platform simulates the cloud platform that lists the servers and carries out load and unload orders. Broken makes listings
// incomplete, Down makes them fail; StaleOrders counts orders refused because of an old epoch.
type Platform struct {
	fleet *Fleet
	// epochs holds the highest epoch of each shard's orders.
	epochs map[string]contract.Epoch
	Broken bool
	Down   bool
	// AcceptedOrders are the orders carried out, as "load NAME" or "unload NAME".
	AcceptedOrders []string
	StaleOrders    int
}

// listing encodes the servers of a region as the platform's API does.
func (platform *Platform) listing(region string) []byte {
	servers := []any{}
	for _, server := range platform.fleet.Servers {
		if server.Region != region || server.gone {
			continue
		}
		entry := map[string]any{"name": server.Name, "address": server.Name, "zone": server.Zone, "pool": server.Pool,
			"incarnation": fmt.Sprint(server.incarnation), "leaving": server.leaving, "unloaded": server.unloaded}
		if server.leaving && server.leavesAt > 0 {
			entry["remainingMs"] = max(1, (server.leavesAt - platform.fleet.World.Now).Milliseconds())
		}
		servers = append(servers, entry)
	}
	content, _ := json.Marshal(map[string]any{"region": region, "complete": !platform.Broken, "servers": servers})
	return content
}

// order carries an order out, and returns false if its epoch is older than one that the shard has used.
func (platform *Platform) order(order shard.Order, region string) bool {
	subject := fmt.Sprintf("%s/%d", region, order.Shard)
	if order.Epoch.Before(platform.epochs[subject]) {
		platform.StaleOrders++
		return false
	}
	platform.epochs[subject] = order.Epoch
	server := platform.fleet.Server(order.Server)
	verb := "unload"
	if order.Load {
		verb = "load"
	}
	platform.AcceptedOrders = append(platform.AcceptedOrders, verb+" "+order.Server)
	if server.unloaded != order.Load {
		return true
	}
	server.unloaded = !order.Load
	if order.Load {
		server.StartCold()
	} else {
		server.Crash()
	}
	return true
}

// callExternal executes the commands that read the platform or a server's report, or order a load or unload.
func (process *Process) callExternal(command contract.Command) {
	fleet, here := process.machine.fleet, process.machine.location()
	world, began, limit := fleet.World, process.now(), process.machine.env.Bounds.PlatformPoll()
	switch command := command.(type) {
	case shard.ReadPlatform:
		there := location{"platform-" + command.Region, "", command.Region}
		fleet.queryExternal(process, there, limit, func() []byte {
			if fleet.Platform.Down {
				return nil
			}
			return fleet.Platform.listing(command.Region)
		}, func(content []byte) {
			read := shard.ListingResult{StartedAt: began}
			var err error
			if read.Listing, err = listing.ParseListing(content, command.Region); err != nil {
				read.Error = err.Error()
			}
			process.handle(read)
		})
	case shard.ReadReport:
		server := fleet.Server(command.Server)
		fleet.queryExternal(process, server.location(), limit, server.report, func(content []byte) {
			read := shard.ReportResult{Server: command.Server, Request: command, ReadResult: retire.ReadResult{StartedAt: began}}
			var err error
			if read.Report, err = listing.ParseReport(content, command.Server); err != nil {
				read.Error = err.Error()
			}
			process.handle(read)
		})
	case shard.Order:
		world.deliver(here, location{"platform-" + process.machine.Region, "", process.machine.Region}, false, func() {
			err := ""
			if !fleet.Platform.order(command, process.machine.Region) {
				err = "stale epoch"
			}
			process.Event(shard.OrderResult{Server: command.Server, Load: command.Load, Error: err})
		})
	default:
		panic(fmt.Sprintf("a command that nobody carries out: %T", command))
	}
}

// queryExternal reads something over the network and passes on the content, or nil when the limit is over.
func (fleet *Fleet) queryExternal(process *Process, there location, limit time.Duration, read func() []byte, receive func([]byte)) {
	world, here, done := fleet.World, process.machine.location(), false
	finish := func(content []byte) {
		if !done {
			done = true
			process.Run(func() { receive(content) })
		}
	}
	process.after(limit, func() { finish(nil) })
	world.deliver(here, there, false, func() {
		content := read()
		if content == nil {
			return
		}
		world.deliver(there, here, false, func() { finish(content) })
	})
}
