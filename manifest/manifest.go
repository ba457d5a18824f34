package manifest

import (
	"time"

	"github.com/cedarreel/cedarreel/document"
)

const (
	ClassLong   = "long"
	ClassShort  = "short"
	ClassLookup = "lookup"
)

type Region struct {
	Shards   int
	Machines []string
}

type Zone struct {
	Region  string
	Drained bool
}

type Pool struct {
	Region string
	Slots  int64
	Scale  int64
}

type Route struct {
	Class    string
	Deadline time.Duration
	Line     int64
	Tokens   int64
	Pools    map[string]string
}

type Retirement struct {
	Window     time.Duration
	Poll       time.Duration
	Hold       time.Duration
	Drain      time.Duration
	Evacuation time.Duration
	Ramp       time.Duration
}

type Manifest struct {
	Regions      map[string]Region
	Zones        map[string]Zone
	Pools        map[string]Pool
	Routes       map[string]Route
	Homes        map[string]string
	Retirement   Retirement
	RepeatShare  int64
	RepeatAtOnce int64
	Gateway      Gateway
}

// Read reads a whole manifest; see FromDocument.
func Read(content []byte) (Manifest, error) {
	tree, err := Tree(content)
	if err != nil {
		return Manifest{}, err
	}
	return FromTree(tree)
}

// FromTree checks the whole tree and gives every error at once.
func FromTree(tree map[string]any) (Manifest, error) {
	content, failure := document.FromTree(tree)
	if failure != nil {
		return Manifest{}, failure
	}
	return FromDocument(content)
}

// readHead reads all but the gateway's routes.
func (reader *Reader) readHead() Manifest {
	reader.Only("", "regions", "zones", "pools", "routes", "homes", "retirement", "repeats", "gateway")
	read := Manifest{Regions: map[string]Region{}, Zones: map[string]Zone{}, Pools: map[string]Pool{}, Routes: map[string]Route{}, Homes: map[string]string{}}
	reader.Must("regions")
	reader.Must("zones")
	for _, name := range reader.Keys("regions") {
		path := "regions." + name
		reader.Only(path, "shards", "machines")
		reader.Must(path + ".machines")
		read.Regions[name] = Region{Shards: int(reader.Number(path+".shards", 1, 1, 64)), Machines: reader.Texts(path + ".machines")}
	}
	for _, name := range reader.Keys("zones") {
		path := "zones." + name
		reader.Only(path, "region", "drained")
		reader.Must(path + ".region")
		read.Zones[name] = Zone{Region: reader.regionAt(path+".region", read), Drained: reader.Truth(path + ".drained")}
	}
	for _, name := range reader.Keys("pools") {
		path := "pools." + name
		reader.Only(path, "region", "slots", "scale")
		reader.Must(path + ".region")
		read.Pools[name] = Pool{Region: reader.regionAt(path+".region", read), Slots: reader.Number(path+".slots", 4, 1, 4096), Scale: reader.Number(path+".scale", -1, 0, 100000)}
	}
	for _, name := range reader.Keys("routes") {
		read.Routes[name] = reader.route("routes."+name, read)
	}
	for _, name := range reader.Keys("homes") {
		read.Homes[name] = reader.regionAt("homes."+name, read)
	}
	reader.Only("repeats", "share", "atOnce")
	read.RepeatShare = reader.Number("repeats.share", 5, 0, 20)
	read.RepeatAtOnce = reader.Number("repeats.atOnce", 10, 0, 1000)
	read.Retirement = reader.retirement()
	read.Gateway = reader.gateway()
	return read
}

func (reader *Reader) regionAt(path string, read Manifest) string {
	name := reader.Text(path, "")
	if _, there := read.Regions[name]; !there {
		reader.Wrong(path, "no such region %q", name)
	}
	return name
}

func (reader *Reader) route(path string, read Manifest) Route {
	reader.Only(path, "class", "deadlineMs", "line", "tokens", "pools")
	reader.Must(path + ".pools")
	route := Route{Class: reader.Text(path+".class", ClassShort), Pools: map[string]string{},
		Deadline: reader.span(path+".deadlineMs", 30000, 100, 3600000),
		Line:     reader.Number(path+".line", 64, 1, 100000), Tokens: reader.Number(path+".tokens", 256, 1, 1000000)}
	if route.Class != ClassLong && route.Class != ClassShort && route.Class != ClassLookup {
		reader.Wrong(path+".class", "want long, short or lookup, got %q", route.Class)
	}
	for _, region := range reader.Keys(path + ".pools") {
		name := reader.Text(path+".pools."+region, "")
		pool, there := read.Pools[name]
		if !there {
			reader.Wrong(path+".pools."+region, "no such pool %q", name)
		} else if pool.Region != region {
			reader.Wrong(path+".pools."+region, "pool %q is in region %q", name, pool.Region)
		}
		route.Pools[region] = name
	}
	return route
}

func (reader *Reader) span(path string, fallback, least, most int64) time.Duration {
	return time.Duration(reader.Number(path, fallback, least, most)) * time.Millisecond
}

func (reader *Reader) retirement() Retirement {
	reader.Only("retirement", "windowMs", "pollMs", "holdMs", "drainMs", "evacuationMs", "rampMs")
	return Retirement{
		Window:     reader.span("retirement.windowMs", 5000, 2000, 600000),
		Poll:       reader.span("retirement.pollMs", 1000, 100, 60000),
		Hold:       reader.span("retirement.holdMs", 30000, 1000, 3600000),
		Drain:      reader.span("retirement.drainMs", 8000, 100, 600000),
		Evacuation: reader.span("retirement.evacuationMs", 5000, 1000, 600000),
		Ramp:       reader.span("retirement.rampMs", 8000, 100, 600000),
	}
}

func (read Manifest) Drained(zone string) bool { return read.Zones[zone].Drained }

// Home tells where a call is bound: the caller's home if the manifest names one, else what it asked for, else here.
func (read Manifest) Home(caller, asked, here string) (string, bool) {
	bound, there := read.Homes[caller]
	if there {
		return bound, asked == "" || asked == bound
	}
	if asked == "" {
		return here, true
	}
	_, there = read.Regions[asked]
	return asked, there
}
