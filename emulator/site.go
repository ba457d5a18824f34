package emulator

import (
	"bytes"
	"encoding/json"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

// Site describes a deployment: its places, machines, services, callers and the bounds that are judged.
type Site struct {
	Name     string    `json:"name"`
	LeadS    float64   `json:"leadS"`
	DayS     float64   `json:"dayS"`
	Zones    []Zone    `json:"zones"`
	Machines []Group   `json:"machines"`
	Services []Service `json:"services"`
	Classes  []Class   `json:"classes"`
	Traffic  []Source  `json:"traffic"`
	Bounds   Bounds    `json:"bounds"`
	Net      Net       `json:"net"`
	List     List      `json:"list"`
	Spare    int       `json:"spareRoutes"`
	Troubles []Trouble `json:"troubles"`
	// Tenants is how many organisations the configuration names; without any, calls need no key.
	Tenants int `json:"tenants,omitempty"`
	// ControlOnCore tells that control processes run on core machines alone; otherwise each machine has one.
	ControlOnCore bool `json:"controlOnCore,omitempty"`
}

type Zone struct {
	Name   string `json:"name"`
	Region string `json:"region"`
}

type Group struct {
	Zone  string `json:"zone"`
	Count int    `json:"count"`
	Core  bool   `json:"core,omitempty"`
}

// Service is a set of servers; those with an engine work in batches.
type Service struct {
	Name        string    `json:"name"`
	Servers     []Group   `json:"servers"`
	Slots       int       `json:"slots"`
	Queue       int       `json:"queue"`
	Connections int       `json:"connections"`
	SetUpMs     float64   `json:"setUpMs"`
	ColdS       float64   `json:"coldS,omitempty"`
	ColdPerS    float64   `json:"coldPerS,omitempty"`
	Speeds      []float64 `json:"speeds,omitempty"`
	Engine      *Engine   `json:"engine,omitempty"`
}

// Engine gives the times of a batching server.
type Engine struct {
	StepMs        float64 `json:"stepMs"`
	PerRunningMs  float64 `json:"perRunningMs"`
	ContextMsPerK float64 `json:"contextMsPerK"`
	TokensPerMs   float64 `json:"tokensPerMs"`
	// PairsMsPerM is the time for a million pairs of a token that is read and one that stands before it.
	PairsMsPerM float64 `json:"pairsMsPerM,omitempty"`
	FirstMs     float64 `json:"firstMs"`
	Stride      int     `json:"stride"`
	Chunk       int64   `json:"chunk"`
	Tokens      int64   `json:"tokens"`
	LateMs      float64 `json:"lateMs"`
}

type Spread struct {
	Mean   float64 `json:"mean"`
	Spread float64 `json:"spread,omitempty"`
	Most   float64 `json:"most,omitempty"`
}

type Part struct {
	Tokens Spread `json:"tokens"`
	Kinds  int    `json:"kinds"`
}

// Class is a kind of call.
type Class struct {
	Name       string   `json:"name"`
	Service    string   `json:"service"`
	Kind       string   `json:"kind"`
	Weight     float64  `json:"weight"`
	AimMs      float64  `json:"aimMs"`
	DeadlineMs float64  `json:"deadlineMs"`
	GapMs      float64  `json:"gapMs,omitempty"`
	Rank       int      `json:"rank"`
	Tries      int      `json:"tries"`
	Attempts   int      `json:"attempts"`
	Resumable  bool     `json:"resumable,omitempty"`
	Regions    []string `json:"regions,omitempty"`
	Bytes      int64    `json:"bytes"`
	WorkMs     Spread   `json:"workMs,omitempty"`
	Tokens     Spread   `json:"tokens,omitempty"`
	Pieces     Spread   `json:"pieces,omitempty"`
	Parts      []Part   `json:"parts,omitempty"`
}

// Source is the traffic of a zone.
type Source struct {
	Zone    string  `json:"zone"`
	PerS    float64 `json:"perS"`
	Callers int     `json:"callers"`
	Swing   float64 `json:"swing"`
	PeriodS float64 `json:"periodS"`
	Phase   float64 `json:"phase"`
	// Clump is how many calls come at once, on average; 0 and 1 mean that each comes by itself.
	Clump float64 `json:"clump,omitempty"`
}

type Bounds struct {
	SeedDelayS        float64 `json:"seedDelayS"`
	ReuseS            float64 `json:"reuseS"`
	ContactMs         int64   `json:"contactMs"`
	AckMs             int64   `json:"ackMs"`
	DrainMs           int64   `json:"drainMs"`
	GraceS            float64 `json:"graceS"`
	LossMs            int64   `json:"lossMs"`
	PropagateMs       int64   `json:"propagateMs"`
	RevertMs          int64   `json:"revertMs"`
	RetryRatio        float64 `json:"retryRatio"`
	RetryWindowS      float64 `json:"retryWindowS"`
	RetryAllowance    float64 `json:"retryAllowance"`
	WarmupOverage     float64 `json:"warmupOverage"`
	WarmupAllowance   float64 `json:"warmupAllowance"`
	EvacuateMs        int64   `json:"evacuateMs"`
	RecoverS          float64 `json:"recoverS"`
	LookupLifeS       float64 `json:"lookupLifeS"`
	ToleratedMachines int     `json:"toleratedMachines"`
}

// Net gives one-way delays.
type Net struct {
	ZoneMs    float64 `json:"zoneMs"`
	ZonesMs   float64 `json:"zonesMs"`
	RegionsMs float64 `json:"regionsMs"`
	CallerMs  float64 `json:"callerMs"`
}

// List is how the list of servers behaves.
type List struct {
	LagMs float64 `json:"lagMs"`
	PerS  float64 `json:"perS"`
	Page  int     `json:"page"`
}

// Trouble is one that may be drawn, or has been: its kind, its variant, and how many, how long, how strong.
type Trouble struct {
	Kind    string  `json:"kind"`
	How     string  `json:"how,omitempty"`
	AtS     float64 `json:"atS,omitempty"`
	ForS    float64 `json:"forS,omitempty"`
	GapS    float64 `json:"gapS,omitempty"`
	Count   int     `json:"count,omitempty"`
	Share   float64 `json:"share,omitempty"`
	X       float64 `json:"x,omitempty"`
	Core    bool    `json:"core,omitempty"`
	Zone    string  `json:"zone,omitempty"`
	Service string  `json:"service,omitempty"`
	Class   string  `json:"class,omitempty"`
}

func LoadSite(path string) (Site, error) {
	content, failure := os.ReadFile(path)
	if failure != nil {
		return Site{}, eris.Wrap(failure, "site")
	}
	return ReadSite(content)
}

func ReadSite(content []byte) (Site, error) {
	var read Site
	decoder := json.NewDecoder(bytes.NewReader(content))
	decoder.DisallowUnknownFields()
	if failure := decoder.Decode(&read); failure != nil {
		return Site{}, eris.Wrap(failure, "site")
	}
	if len(read.Zones) == 0 || len(read.Machines) == 0 || len(read.Services) == 0 || len(read.Classes) == 0 {
		return Site{}, eris.New("site: zones, machines, services and classes are needed")
	}
	return read, nil
}

func (site Site) region(zone string) string {
	for _, one := range site.Zones {
		if one.Name == zone {
			return one.Region
		}
	}
	return ""
}

func (site Site) service(name string) Service {
	for _, one := range site.Services {
		if one.Name == name {
			return one
		}
	}
	return Service{}
}

// Scaled gives the site with a part of its traffic and another length.
func (site Site) Scaled(part float64, day time.Duration) Site {
	sources := []Source{}
	for _, source := range site.Traffic {
		source.PerS *= part
		sources = append(sources, source)
	}
	site.Traffic, site.DayS = sources, day.Seconds()
	return site
}

// Length of the traffic of a day.
func (site Site) Length() time.Duration { return seconds(site.DayS) }

// Named gives the site's troubles of a kind, or of a kind and variant as "kind/how", each at a moment of its own; those of caches are the
// same at all sites and are played by name only.
func (site Site) Named(name string) []Trouble {
	kind, how, varied := strings.Cut(name, "/")
	troubles := []Trouble{}
	for _, one := range slices.Concat(site.Troubles, cacheTroubles) {
		if one.Kind == kind && (!varied || one.How == how) {
			if one.AtS == 0 {
				one.AtS = earliest + float64(len(troubles))*usualSpan
			}
			troubles = append(troubles, one)
		}
	}
	return troubles
}
