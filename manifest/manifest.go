package manifest

import (
	"time"

	"github.com/cedarreel/cedarreel/document"
)

// Classes of routes of completion calls, as they are written in the manifest.
const (
	ClassLong   = "long"
	ClassShort  = "short"
	ClassLookup = "lookup"
)

// Region is a region of the fleet. Its servers are divided into shards, each of which is owned by one of its machines.
type Region struct {
	Shards   int
	Machines []string
}

// Zone is a failure domain of a region. A drained zone takes no new calls.
type Zone struct {
	Region  string
	Drained bool
}

// Pool is a group of servers of a region that serve the same routes.
type Pool struct {
	Region string
	// Slots is how many calls one server runs at a time.
	Slots int64
	// Scale is how many servers the pool should have; -1 means all that the platform lists.
	Scale int64
}

// Route is a kind of completion calls or lookups.
type Route struct {
	// Class is one of ClassLong, ClassShort and ClassLookup.
	Class string
	// Deadline is the time limit of calls that name none.
	Deadline time.Duration
	// QueueLimit is how many calls may wait for a server at one node.
	QueueLimit int64
	// EstimatedTokens is the estimated size of a call that tells no size.
	EstimatedTokens int64
	// Pools is the pool that serves the route, by region.
	Pools map[string]string
}

// Retirement bounds the removal of a server from service: traffic is withdrawn, running calls finish or are cut, and the server is released.
type Retirement struct {
	// SettleTime is the least time after the withdrawal before reports of an idle server count.
	SettleTime time.Duration
	// ReportInterval is the time between two reads of the server's report.
	ReportInterval time.Duration
	// ScaleDownTimeout is how long a scale-down waits for the server to become idle.
	ScaleDownTimeout time.Duration
	// ReclaimTimeout is how long calls may run on a server that the platform reclaims.
	ReclaimTimeout time.Duration
	// EvacuationTimeout is how long calls may run on a server of a drained zone before they are no longer waited for.
	EvacuationTimeout time.Duration
	// RampDuration is how long a server that is new, or back in service, takes a growing share of the calls.
	RampDuration time.Duration
}

// Manifest is the operators' validated configuration. It is immutable; all maps are shared and must not be changed.
type Manifest struct {
	Regions map[string]Region
	Zones   map[string]Zone
	Pools   map[string]Pool
	Routes  map[string]Route
	// Homes is the region that a caller is bound to, by caller.
	Homes      map[string]string
	Retirement Retirement
	// RepeatPercent of the recent calls, and RepeatAllowance calls in addition, may be sent to a second server.
	RepeatPercent   int64
	RepeatAllowance int64
	Gateway         Gateway
}

// Parse reads and validates a whole manifest; see FromDocument.
func Parse(content []byte) (Manifest, error) {
	tree, err := ParseObject(content)
	if err != nil {
		return Manifest{}, err
	}
	return FromObject(tree)
}

// FromObject validates a manifest that ParseObject has read; see FromDocument.
func FromObject(tree map[string]any) (Manifest, error) {
	content, err := document.FromObject(tree)
	if err != nil {
		return Manifest{}, err
	}
	return FromDocument(content)
}

// readBase reads everything but the gateway's routes and tenants.
func (reader *Reader) readBase() Manifest {
	reader.AllowOnly("", "regions", "zones", "pools", "routes", "homes", "retirement", "repeats", "gateway")
	manifest := Manifest{Regions: map[string]Region{}, Zones: map[string]Zone{}, Pools: map[string]Pool{}, Routes: map[string]Route{}, Homes: map[string]string{}}
	reader.Require("regions")
	reader.Require("zones")
	for _, name := range reader.Keys("regions") {
		path := "regions." + name
		reader.AllowOnly(path, "shards", "machines")
		reader.Require(path + ".machines")
		manifest.Regions[name] = Region{Shards: int(reader.Integer(path+".shards", 1, 1, 64)), Machines: reader.Texts(path + ".machines")}
	}
	for _, name := range reader.Keys("zones") {
		path := "zones." + name
		reader.AllowOnly(path, "region", "drained")
		reader.Require(path + ".region")
		manifest.Zones[name] = Zone{Region: reader.regionName(path+".region", manifest), Drained: reader.Bool(path + ".drained")}
	}
	for _, name := range reader.Keys("pools") {
		path := "pools." + name
		reader.AllowOnly(path, "region", "slots", "scale")
		reader.Require(path + ".region")
		manifest.Pools[name] = Pool{Region: reader.regionName(path+".region", manifest), Slots: reader.Integer(path+".slots", 4, 1, 4096), Scale: reader.Integer(path+".scale", -1, 0, 100000)}
	}
	for _, name := range reader.Keys("routes") {
		manifest.Routes[name] = reader.route("routes."+name, manifest)
	}
	for _, name := range reader.Keys("homes") {
		manifest.Homes[name] = reader.regionName("homes."+name, manifest)
	}
	reader.AllowOnly("repeats", "share", "atOnce")
	manifest.RepeatPercent = reader.Integer("repeats.share", 5, 0, 20)
	manifest.RepeatAllowance = reader.Integer("repeats.atOnce", 10, 0, 1000)
	manifest.Retirement = reader.retirement()
	manifest.Gateway = reader.gatewayBase()
	return manifest
}

// regionName reads the name of a region that must exist.
func (reader *Reader) regionName(path string, base Manifest) string {
	name := reader.Text(path, "")
	if _, found := base.Regions[name]; !found {
		reader.Errorf(path, "no such region %q", name)
	}
	return name
}

func (reader *Reader) route(path string, base Manifest) Route {
	reader.AllowOnly(path, "class", "deadlineMs", "line", "tokens", "pools")
	reader.Require(path + ".pools")
	route := Route{Class: reader.Text(path+".class", ClassShort), Pools: map[string]string{},
		Deadline:   reader.duration(path+".deadlineMs", 30000, 100, 3600000),
		QueueLimit: reader.Integer(path+".line", 64, 1, 100000), EstimatedTokens: reader.Integer(path+".tokens", 256, 1, 1000000)}
	if route.Class != ClassLong && route.Class != ClassShort && route.Class != ClassLookup {
		reader.Errorf(path+".class", "want long, short or lookup, got %q", route.Class)
	}
	for _, region := range reader.Keys(path + ".pools") {
		name := reader.Text(path+".pools."+region, "")
		pool, found := base.Pools[name]
		if !found {
			reader.Errorf(path+".pools."+region, "no such pool %q", name)
		} else if pool.Region != region {
			reader.Errorf(path+".pools."+region, "pool %q is in region %q", name, pool.Region)
		}
		route.Pools[region] = name
	}
	return route
}

// duration reads a whole number of milliseconds.
func (reader *Reader) duration(path string, fallback, minimum, maximum int64) time.Duration {
	return time.Duration(reader.Integer(path, fallback, minimum, maximum)) * time.Millisecond
}

func (reader *Reader) retirement() Retirement {
	reader.AllowOnly("retirement", "windowMs", "pollMs", "holdMs", "drainMs", "evacuationMs", "rampMs")
	return Retirement{
		SettleTime:        reader.duration("retirement.windowMs", 5000, 2000, 600000),
		ReportInterval:    reader.duration("retirement.pollMs", 1000, 100, 60000),
		ScaleDownTimeout:  reader.duration("retirement.holdMs", 30000, 1000, 3600000),
		ReclaimTimeout:    reader.duration("retirement.drainMs", 8000, 100, 600000),
		EvacuationTimeout: reader.duration("retirement.evacuationMs", 5000, 1000, 600000),
		RampDuration:      reader.duration("retirement.rampMs", 8000, 100, 600000),
	}
}

// Drained reports whether operators have taken a zone out of service. An unknown zone is not drained.
func (manifest Manifest) Drained(zone string) bool { return manifest.Zones[zone].Drained }

// Home returns the home region of a call: the caller's if the manifest binds it to one, else the requested one, else the local one. It
// returns false if the requested region is unknown or not the one that the caller is bound to.
func (manifest Manifest) Home(caller, requested, local string) (string, bool) {
	bound, found := manifest.Homes[caller]
	if found {
		return bound, requested == "" || requested == bound
	}
	if requested == "" {
		return local, true
	}
	_, found = manifest.Regions[requested]
	return requested, found
}
