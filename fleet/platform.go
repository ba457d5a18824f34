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

// Platform stands in for the outside platform.
type Platform struct {
	fleet  *Fleet
	epochs map[string]contract.Epoch
	Broken bool
	Down   bool
	Orders []string
	Stale  int
}

func (platform *Platform) listing(region string) []byte {
	rows := []any{}
	for _, server := range platform.fleet.Servers {
		if server.Region != region || server.gone {
			continue
		}
		row := map[string]any{"name": server.Name, "address": server.Name, "zone": server.Zone, "pool": server.Pool,
			"incarnation": fmt.Sprint(server.incarnation), "leaving": server.leaving, "unloaded": server.unloaded}
		if server.leaving && server.ends > 0 {
			row["remainingMs"] = max(1, (server.ends - platform.fleet.World.Now).Milliseconds())
		}
		rows = append(rows, row)
	}
	content, _ := json.Marshal(map[string]any{"region": region, "complete": !platform.Broken, "servers": rows})
	return content
}

func (platform *Platform) order(order shard.Order, region string) bool {
	subject := fmt.Sprintf("%s/%d", region, order.Shard)
	if order.Epoch.Before(platform.epochs[subject]) {
		platform.Stale++
		return false
	}
	platform.epochs[subject] = order.Epoch
	server := platform.fleet.Server(order.Server)
	verb := "unload"
	if order.Load {
		verb = "load"
	}
	platform.Orders = append(platform.Orders, verb+" "+order.Server)
	if server.unloaded != order.Load {
		return true
	}
	server.unloaded = !order.Load
	if order.Load {
		server.Return()
	} else {
		server.Crash()
	}
	return true
}

// outside carries out what a control process asks of the platform and of the servers' reports.
func (process *Process) outside(command contract.Command) {
	fleet, here := process.machine.fleet, process.machine.place()
	world, began, limit := fleet.World, process.now(), process.machine.env.Bounds.PlatformPoll()
	switch command := command.(type) {
	case shard.ReadPlatform:
		there := place{"platform-" + command.Region, "", command.Region}
		fleet.question(process, there, limit, func() []byte {
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
		fleet.question(process, server.place(), limit, server.report, func(content []byte) {
			read := shard.ReportResult{Server: command.Server, Request: command, ReadResult: retire.ReadResult{StartedAt: began}}
			var err error
			if read.Report, err = listing.ParseReport(content, command.Server); err != nil {
				read.Error = err.Error()
			}
			process.handle(read)
		})
	case shard.Order:
		world.travel(here, place{"platform-" + process.machine.Region, "", process.machine.Region}, false, func() {
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

// question asks something outside and takes its answer, or nothing when the limit is over.
func (fleet *Fleet) question(process *Process, there place, limit time.Duration, look func() []byte, take func([]byte)) {
	world, here, done := fleet.World, process.machine.place(), false
	end := func(content []byte) {
		if !done {
			done = true
			process.Run(func() { take(content) })
		}
	}
	process.after(limit, func() { end(nil) })
	world.travel(here, there, false, func() {
		content := look()
		if content == nil {
			return
		}
		world.travel(there, here, false, func() { end(content) })
	})
}
