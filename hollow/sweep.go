package hollow

import (
	"fmt"
	"math"
	"slices"

	"github.com/cedarreel/cedarreel/manifest"
	"github.com/rotisserie/eris"
	"gonum.org/v1/gonum/stat"
)

// Varied names what a sweep varies; the first stands for all in the plan's proportions.
var Varied = []string{"plan", "nodes", "controls", "regions", "servers", "routes", "changes", "calls"}

// planned gives the plan's number of what a sweep varies; none for open calls, which the plan does not tell.
var planned = map[string]float64{"plan": PlannedNodes, "nodes": PlannedNodes, "controls": PlannedControls, "regions": PlannedRegions, "servers": PlannedServers,
	"routes": PlannedTenants, "changes": PlannedChanges}

// Base is the fleet of which a sweep varies one thing.
func Base() Plan {
	plan := Proportional(48)
	plan.Controls, plan.Regions, plan.Zones, plan.Servers = 4, 4, 16, 400
	return plan
}

// Vary gives a plan with another value of one thing; changes are counted by the hundred seconds.
func Vary(plan Plan, name string, value int) (Plan, error) {
	switch name {
	case "plan":
		scaled := Proportional(value)
		plan.Nodes, plan.Controls, plan.Regions, plan.Zones, plan.Servers = scaled.Nodes, scaled.Controls, scaled.Regions, scaled.Zones, scaled.Servers
	case "nodes":
		plan.Nodes = value
	case "controls":
		plan.Controls = max(plan.Core, value)
	case "regions":
		plan.Regions, plan.Zones = value, 4*value
	case "servers":
		plan.Servers = value
	case "routes":
		plan.Routes = value
	case "changes":
		plan.Changes = float64(value) / 100
	case "calls":
		plan.Calls = value
	default:
		return plan, eris.Errorf("vary: want one of %v, got %q", Varied, name)
	}
	return plan, nil
}

// Fit is a straight line through a figure of all runs, the spread of the lines of each seed, and the exponent of a power through it.
type Fit struct {
	Figure   string  `json:"figure"`
	Slope    float64 `json:"slope"`
	Least    float64 `json:"leastSlope"`
	Most     float64 `json:"mostSlope"`
	Base     float64 `json:"base"`
	Share    float64 `json:"rSquared"`
	Exponent float64 `json:"exponent"`
	AtPlan   float64 `json:"atPlan,omitempty"`
	Points   int     `json:"points"`
}

// Sweep is what was played, what it showed, and the lines through it.
type Sweep struct {
	Vary    string    `json:"vary"`
	Scene   string    `json:"scene"`
	Warmup  bool      `json:"warmup"`
	Command string    `json:"command"`
	Fits    []Fit     `json:"fits"`
	Results []Result  `json:"results"`
	Values  []float64 `json:"values"`
}

// Figures gives every figure of a run by name.
func (result Result) Figures() map[string]float64 {
	figures := map[string]float64{"configuration.bytes": float64(result.Document), "fleet.network": result.Network, "fleet.longestWithoutList": result.Gap,
		"fleet.membersKnown": result.KnownMean, "fleet.shardsTaken": result.TakeOvers, "fleet.wholeLists": result.Whole}
	put := func(name string, rate Rate) {
		figures[name+".bytesOut"], figures[name+".bytesIn"] = rate.BytesOut, rate.BytesIn
		figures[name+".lettersOut"], figures[name+".lettersIn"] = rate.LettersOut, rate.LettersIn
		figures[name+".handle"], figures[name+".link"] = rate.Handle, rate.Link
		figures[name+".bytesZone"], figures[name+".bytesRegion"] = rate.Zone, rate.Region
	}
	for name, role := range result.Roles {
		put(name, role.Mean)
		figures[name+".heap"], figures[name+".worst.bytesOut"], figures[name+".worst.handle"] = role.Heap, role.Worst.BytesOut, role.Worst.Handle
		for kind, rate := range role.Kinds {
			put(name+"/"+kind, rate)
		}
	}
	for name, value := range map[string]float64{"fleet.converged": result.Converged, "fleet.listsWhole": result.Listed} {
		if value >= 0 {
			figures[name] = value
		}
	}
	if len(result.Force) > 0 {
		figures["fleet.inForce"], figures["fleet.committed"] = slices.Max(result.Force), slices.Max(result.Committed)
	}
	return figures
}

// leastMeasured seconds make a run count, also one that was stopped later.
const leastMeasured = 3

// Fitted draws lines through every figure that at least three runs have.
func (sweep *Sweep) Fitted() {
	type point struct {
		value, figure float64
		seed          uint64
	}
	points := map[string][]point{}
	for place, result := range sweep.Results {
		if result.Measured < leastMeasured {
			continue
		}
		for name, figure := range result.Figures() {
			points[name] = append(points[name], point{sweep.Values[place], figure, result.Plan.Seed})
		}
	}
	sweep.Fits = nil
	for _, name := range manifest.SortedKeys(points) {
		values, figures, seeds := []float64{}, []float64{}, map[uint64][][2]float64{}
		for _, one := range points[name] {
			values, figures = append(values, one.value), append(figures, one.figure)
			seeds[one.seed] = append(seeds[one.seed], [2]float64{one.value, one.figure})
		}
		if len(slices.Compact(slices.Sorted(slices.Values(values)))) < 3 {
			continue
		}
		fit := line(values, figures)
		fit.Figure, fit.Least, fit.Most = name, fit.Slope, fit.Slope
		for _, pairs := range seeds {
			own, heights := []float64{}, []float64{}
			for _, pair := range pairs {
				own, heights = append(own, pair[0]), append(heights, pair[1])
			}
			if len(own) > 2 {
				slope := line(own, heights).Slope
				fit.Least, fit.Most = min(fit.Least, slope), max(fit.Most, slope)
			}
		}
		if number, there := planned[sweep.Vary]; there {
			if sweep.Vary == "changes" {
				number *= 100
			}
			fit.AtPlan = fit.Base + fit.Slope*number
		}
		sweep.Fits = append(sweep.Fits, fit)
	}
}

func line(values, figures []float64) Fit {
	base, slope := stat.LinearRegression(values, figures, nil, false)
	fit := Fit{Slope: slope, Base: base, Points: len(values), Share: stat.RSquared(values, figures, nil, base, slope)}
	if math.IsNaN(fit.Share) || math.IsInf(fit.Share, 0) {
		fit.Share = 1
	}
	logs, heights := []float64{}, []float64{}
	for place, figure := range figures {
		if figure > 0 && values[place] > 0 {
			logs, heights = append(logs, math.Log(values[place])), append(heights, math.Log(figure))
		}
	}
	if len(logs) > 2 {
		_, fit.Exponent = stat.LinearRegression(logs, heights, nil, false)
	}
	return fit
}

// Text tells one run in a line.
func (result Result) Text() string {
	text := fmt.Sprintf("nodes %d controls %d regions %d servers %d routes %d seed %d: known after %.1f s (then mean %.3f least %.3f), lists whole after %.1f s, in force %.2f s lacking %v, without a list %.2f s, shards taken %.1f and whole lists %.0f a second, %.0f s of wall time, heap %d MB %s",
		result.Plan.Nodes, result.Plan.Controls, result.Plan.Regions, result.Plan.Servers, result.Plan.Routes, result.Plan.Seed, result.Converged, result.KnownMean, result.KnownLeast,
		result.Listed, result.Force, result.Lacking, result.Gap, result.TakeOvers, result.Whole, result.Wall, result.HeapPeak>>20, result.Stopped)
	for _, name := range []string{RoleData, RoleControl, RoleCore} {
		if role, there := result.Roles[name]; there {
			text += fmt.Sprintf("\n  %-8s out %.0f letters %.1f KB/s (to other zones %.1f, to other regions %.1f), in %.0f letters %.1f KB/s, owner %.2f%%, link %.2f%% of a core, heap %.2f MB", name, role.Mean.LettersOut, role.Mean.BytesOut/1e3, role.Mean.Zone/1e3, role.Mean.Region/1e3,
				role.Mean.LettersIn, role.Mean.BytesIn/1e3, role.Mean.Handle*100, role.Mean.Link*100, role.Heap/1e6)
		}
	}
	if result.Event != nil {
		text += fmt.Sprintf("\n  %+v", *result.Event)
	}
	return text
}
