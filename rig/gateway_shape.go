package rig

import (
	"cmp"
	"time"

	"github.com/cedarreel/cedarreel/emulator"
)

// gatewayShape is what a fleet of gateways consists of: its zones, machines, services and kinds of calls, and the platform's bounds.
type gatewayShape struct {
	zones    []gatewayZone
	machines []gatewayPlace
	services []gatewayService
	kinds    []callKind
	// contact, propagate, drain and grace are bounds of the platform. listLag is how far its list of servers is behind, maxTTL the longest life
	// of a look-up.
	contact, propagate, drain, grace, listLag, maxTTL time.Duration
	// recovery is how long after a trouble the whole fleet may need until all machines are ready.
	recovery time.Duration
}

// gatewayZone is a zone with its region.
type gatewayZone struct{ name, region string }

// gatewayPlace is where a machine stands, and whether it belongs to the core.
type gatewayPlace struct {
	zone gatewayZone
	core bool
}

// gatewayService is a service of a fleet: model servers, or servers of short answers.
type gatewayService struct {
	name    string
	isModel bool
	// slots and connections are what each server takes at once, cacheTokens its memory.
	slots, connections int
	cacheTokens        int64
	// serverZones has one entry for each server.
	serverZones []string
}

// configuration returns the service as the operator's configuration has it.
func (service gatewayService) configuration() map[string]any {
	fields := map[string]any{"name": service.name, "healthCheckPath": "/healthz", "maxConnections": service.connections, "protocol": "h1", "tlsEnabled": false, "warmupS": 0, "warmupPerS": 0}
	if service.isModel {
		fields["runtime"] = map[string]any{"capacity": service.slots, "cacheTokens": service.cacheTokens, "stride": tokensPerPiece, "models": []any{map[string]any{"name": "m"}}}
	}
	return fields
}

const (
	gatewayLossSlack  = 200 * time.Millisecond
	gatewayLookupLife = time.Second
)

// usualZones are the zones of a fleet without a site.
var usualZones = []gatewayZone{{"hall-a", "central"}, {"hall-b", "central"}, {"hall-c", "coast"}}

// usualShape returns the shape of a fleet without a site: machines spread over three zones, the first of each zone in the core.
func usualShape(machines int) gatewayShape {
	model := gatewayService{name: "model", isModel: true, slots: 48, connections: 330, cacheTokens: 318206}
	sync := gatewayService{name: "sync", slots: 64, connections: 330}
	for _, zone := range usualZones {
		model.serverZones = append(model.serverZones, zone.name, zone.name, zone.name)
		sync.serverZones = append(sync.serverZones, zone.name)
	}
	shape := gatewayShape{zones: usualZones, services: []gatewayService{model, sync}, contact: 4 * time.Second, propagate: 3 * time.Second, drain: 4 * time.Second, grace: 8 * time.Second,
		listLag: 400 * time.Millisecond, maxTTL: 5 * time.Second, recovery: startBound, kinds: []callKind{
			{name: "check", service: model.name, weight: 2, prefix: "/check/", stream: true, timeout: 8 * time.Second, bodyBytes: 34000, leastPieces: 8, mostPieces: 60, leastGap: 20 * time.Millisecond, mostGap: 80 * time.Millisecond},
			{name: "draft", service: model.name, weight: 14, prefix: "/draft/", stream: true, repeatable: true, timeout: 5 * time.Second, bodyBytes: 770, leastPieces: 3, mostPieces: 36, leastGap: 5 * time.Millisecond, mostGap: 50 * time.Millisecond},
			{name: "ping", service: sync.name, weight: 4, prefix: "/ping/", repeatable: true, timeout: 2500 * time.Millisecond, bodyBytes: 600, leastGap: 20 * time.Millisecond, mostGap: 300 * time.Millisecond},
		}}
	for index := range machines {
		shape.machines = append(shape.machines, gatewayPlace{usualZones[index%len(usualZones)], index < len(usualZones)})
	}
	return shape
}

// shapeOfSite returns the shape of a site.
func shapeOfSite(site emulator.Site) gatewayShape {
	bounds := site.Bounds
	shape := gatewayShape{contact: millis(bounds.ContactMs), propagate: millis(bounds.PropagateMs), drain: millis(bounds.DrainMs), grace: inSeconds(bounds.GraceS),
		listLag: time.Duration(site.List.LagMs * float64(time.Millisecond)), maxTTL: inSeconds(cmp.Or(bounds.LookupLifeS, 5)), recovery: inSeconds(bounds.RecoverS)}
	zones := map[string]gatewayZone{}
	for _, zone := range site.Zones {
		zones[zone.Name] = gatewayZone{zone.Name, zone.Region}
		shape.zones = append(shape.zones, zones[zone.Name])
	}
	for _, group := range site.Machines {
		for range group.Count {
			shape.machines = append(shape.machines, gatewayPlace{zones[group.Zone], group.Core})
		}
	}
	strides := map[string]int{}
	for _, service := range site.Services {
		taken := gatewayService{name: service.Name, slots: service.Slots, connections: service.Connections}
		if service.Engine != nil {
			taken.isModel, taken.cacheTokens = true, service.Engine.Tokens
			strides[service.Name] = service.Engine.Stride
		}
		for _, group := range service.Servers {
			for range group.Count {
				taken.serverZones = append(taken.serverZones, group.Zone)
			}
		}
		shape.services = append(shape.services, taken)
	}
	for _, class := range site.Classes {
		shape.kinds = append(shape.kinds, kindOfClass(class))
	}
	return shape
}

const (
	// weightScale turns the weights of a site's classes into whole numbers.
	weightScale = 100
	// Gaps between the pieces of a stream, as a batch of a few dozen calls has them.
	leastSiteGap = 20 * time.Millisecond
	mostSiteGap  = 60 * time.Millisecond
)

// kindOfClass returns the kind of calls of a site's class.
func kindOfClass(class emulator.Class) callKind {
	kind := callKind{name: class.Name, service: class.Service, weight: max(1, int(class.Weight*weightScale)), prefix: "/" + class.Name + "/", stream: class.Kind == "streaming",
		timeout: time.Duration(class.DeadlineMs * float64(time.Millisecond)), bodyBytes: int(class.Bytes), regions: class.Regions}
	kind.repeatable = class.Resumable || !kind.stream
	if kind.stream {
		kind.leastPieces, kind.mostPieces = 1, max(2, int(class.Pieces.Most))
		kind.leastGap, kind.mostGap = leastSiteGap, mostSiteGap
		return kind
	}
	kind.leastGap = time.Duration(class.WorkMs.Mean / 2 * float64(time.Millisecond))
	kind.mostGap = max(kind.leastGap+time.Millisecond, time.Duration(class.WorkMs.Most*float64(time.Millisecond)))
	return kind
}

func millis(count int64) time.Duration { return time.Duration(count) * time.Millisecond }

func inSeconds(count float64) time.Duration { return time.Duration(count * float64(time.Second)) }
