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

// Site describes a deployment: its zones, machines, services, callers, and the bounds that the rules check.
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
	// Tenants is the number of tenants in the configuration; with 0, calls need no key.
	Tenants int `json:"tenants,omitempty"`
	// ControlOnCore runs control processes on core machines only; otherwise each machine has one.
	ControlOnCore bool `json:"controlOnCore,omitempty"`
}

// Zone is a failure domain in a region.
type Zone struct {
	Name   string `json:"name"`
	Region string `json:"region"`
}

// Group is a number of equal machines or servers in a zone.
type Group struct {
	Zone  string `json:"zone"`
	Count int    `json:"count"`
	Core  bool   `json:"core,omitempty"`
}

// Service is a set of servers; those with an Engine work in batches. ColdPerS is the rate that a server can take during its first
// ColdS seconds.
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

// Engine describes the timing of a batching server. Tokens is its memory, Chunk the prompt tokens read in a step, Stride the tokens
// in a piece, LateMs the lag of its load figures.
type Engine struct {
	StepMs        float64 `json:"stepMs"`
	PerRunningMs  float64 `json:"perRunningMs"`
	ContextMsPerK float64 `json:"contextMsPerK"`
	TokensPerMs   float64 `json:"tokensPerMs"`
	// PairsMsPerM is the attention cost: the time for a million pairs of a token that is read and one before it.
	PairsMsPerM float64 `json:"pairsMsPerM,omitempty"`
	FirstMs     float64 `json:"firstMs"`
	Stride      int     `json:"stride"`
	Chunk       int64   `json:"chunk"`
	Tokens      int64   `json:"tokens"`
	LateMs      float64 `json:"lateMs"`
}

// Spread is a log-normal distribution by mean and relative standard deviation, cut off at Most if that is above 0.
type Spread struct {
	Mean   float64 `json:"mean"`
	Spread float64 `json:"spread,omitempty"`
	Most   float64 `json:"most,omitempty"`
}

// Part is a shared part of prompts: its length, and how many variants there are.
type Part struct {
	Tokens Spread `json:"tokens"`
	Kinds  int    `json:"kinds"`
}

// Class is a kind of call. AimMs is its target for the time until the first piece, GapMs the bound on pauses between pieces.
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

// Source is the traffic of a zone: PerS calls a second from a number of callers, with a sine of period PeriodS and relative
// amplitude Swing.
type Source struct {
	Zone    string  `json:"zone"`
	PerS    float64 `json:"perS"`
	Callers int     `json:"callers"`
	Swing   float64 `json:"swing"`
	PeriodS float64 `json:"periodS"`
	Phase   float64 `json:"phase"`
	// Clump is the mean number of calls that come at once; 0 and 1 mean single calls.
	Clump float64 `json:"clump,omitempty"`
}

// Bounds are the limits that the rules check and that the product's settings are derived from.
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

// Net gives one-way delays within a zone, between zones, between regions, and the addition for callers.
type Net struct {
	ZoneMs    float64 `json:"zoneMs"`
	ZonesMs   float64 `json:"zonesMs"`
	RegionsMs float64 `json:"regionsMs"`
	CallerMs  float64 `json:"callerMs"`
}

// List is the behaviour of the list of servers: its lag, the requests per second that it accepts, and its page size.
type List struct {
	LagMs float64 `json:"lagMs"`
	PerS  float64 `json:"perS"`
	Page  int     `json:"page"`
}

// Trouble is a trouble to draw from or to begin: its kind, its variant (How), its start and duration in seconds, and how many or
// which share of machines or servers it affects. The meaning of X depends on the kind.
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

// LoadSite reads a site from a file.
func LoadSite(path string) (Site, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return Site{}, eris.Wrap(err, "site")
	}
	return ReadSite(content)
}

// ReadSite parses a site and rejects unknown fields and sites without zones, machines, services or classes.
func ReadSite(content []byte) (Site, error) {
	var read Site
	decoder := json.NewDecoder(bytes.NewReader(content))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&read); err != nil {
		return Site{}, eris.Wrap(err, "site")
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

// Scaled gives the site with a part of its traffic and another length of the day.
func (site Site) Scaled(part float64, day time.Duration) Site {
	sources := []Source{}
	for _, source := range site.Traffic {
		source.PerS *= part
		sources = append(sources, source)
	}
	site.Traffic, site.DayS = sources, day.Seconds()
	return site
}

// TrafficDuration is the length of a day's traffic.
func (site Site) TrafficDuration() time.Duration { return seconds(site.DayS) }

// TroublesNamed gives the site's troubles of a kind, or of a kind and variant as "kind/how", spread over the day. Cache troubles are
// the same at all sites and begin only by name.
func (site Site) TroublesNamed(name string) []Trouble {
	kind, how, varied := strings.Cut(name, "/")
	troubles := []Trouble{}
	for _, one := range slices.Concat(site.Troubles, cacheTroubles) {
		if one.Kind == kind && (!varied || one.How == how) {
			if one.AtS == 0 {
				one.AtS = firstTroubleSeconds + float64(len(troubles))*defaultTroubleSeconds
			}
			troubles = append(troubles, one)
		}
	}
	return troubles
}
