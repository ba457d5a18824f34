package hollow

import (
	"encoding/json"
	"fmt"
	"io/fs"
	"math"
	"os"
	"path/filepath"
	"strings"

	"github.com/cedarreel/cedarreel/manifest"
	"github.com/rotisserie/eris"
	"gonum.org/v1/gonum/mat"
)

// term is one cause of a cost, and its size in a plan.
type term struct {
	name string
	size func(plan Plan, versions float64) float64
}

var (
	whole   = term{"1", func(Plan, float64) float64 { return 1 }}
	members = term{"member", func(plan Plan, _ float64) float64 {
		return min(float64(plan.Nodes+plan.Controls), tableMost+float64(plan.Controls))
	}}
	regions      = term{"region", func(plan Plan, _ float64) float64 { return float64(plan.Regions) }}
	servers      = term{"server", func(plan Plan, _ float64) float64 { return float64(plan.Servers) }}
	perRegion    = term{"server of a region", func(plan Plan, _ float64) float64 { return float64(plan.Servers) / float64(plan.Regions) }}
	searched     = term{"region and member", func(plan Plan, _ float64) float64 { return float64(plan.Regions) * members.size(plan, 0) }}
	sorted       = term{"region and server", func(plan Plan, _ float64) float64 { return float64(plan.Regions * plan.Servers) }}
	routes       = term{"route", func(plan Plan, _ float64) float64 { return float64(plan.Routes) }}
	keptVersions = term{"byte of kept versions", func(plan Plan, versions float64) float64 {
		return versions * float64(len(plan.Configuration()))
	}}
	changed = term{"byte of configuration and change", func(plan Plan, _ float64) float64 {
		return plan.Changes * float64(len(plan.Configuration()))
	}}
	asked = term{"node and region of an owner", func(plan Plan, _ float64) float64 {
		return float64(plan.Nodes*plan.Regions) / float64(plan.Controls)
	}}
	changing = term{"change a second", func(plan Plan, _ float64) float64 { return plan.Changes }}
)

// tableMost is how many data nodes a node knows, as the neighbours bound it; control nodes have room beside them.
const tableMost = 1024

// model explains one figure of a run by terms.
type model struct {
	name, unit string
	part       float64
	terms      []term
	figure     func(result Result) (float64, bool)
}

func kind(role, name string, figure func(Rate) float64) func(Result) (float64, bool) {
	return func(result Result) (float64, bool) {
		rate, there := result.Roles[role].Kinds[name]
		return figure(rate), there
	}
}

func each(role, name string, figure func(Rate) float64) func(Result) (float64, bool) {
	return func(result Result) (float64, bool) {
		rate, there := result.Roles[role].Kinds[name]
		letters := max(rate.LettersIn, rate.LettersOut)
		return figure(rate) / max(letters, 1e-9), there && letters > 0
	}
}

func handled(rate Rate) float64 { return rate.Handle }
func out(rate Rate) float64     { return rate.BytesOut }
func in(rate Rate) float64      { return rate.BytesIn }

var models = []model{
	{"data: tick", "% of a core", 100, []term{whole, members, searched, sorted}, kind(RoleData, "tick", handled)},
	{"data: questions for lists, out", "B/s", 1, []term{whole, regions}, kind(RoleData, "licence-ask", out)},
	{"data: lists, in", "B/s", 1, []term{whole, regions}, kind(RoleData, "licence", in)},
	{"data: changes, in", "B/s", 1, []term{whole, changed}, kind(RoleData, "feed-change", in)},
	{"data: changes, owner", "% of a core", 100, []term{whole, changed}, kind(RoleData, "feed-change", handled)},
	{"data: calls configured", "% of a core", 100, []term{whole, changed, servers}, kind(RoleData, "calls configured", handled)},
	{"data: heap", "MB", 1e-6, []term{whole, members, servers, routes, keptVersions}, func(result Result) (float64, bool) {
		return result.Roles[RoleData].Heap, result.Roles[RoleData].Heap > 0
	}},
	{"owner: questions for lists", "a second", 1, []term{asked}, kind(RoleControl, "licence-ask", func(rate Rate) float64 { return rate.LettersIn })},
	{"owner: one question for a list", "µs", 1e6, []term{whole, regions, perRegion}, each(RoleControl, "licence-ask", handled)},
	{"owner: tick", "% of a core", 100, []term{whole, members, searched, servers}, kind(RoleControl, "tick", handled)},
	{"owner: reading of the list", "% of a core", 100, []term{whole, servers, sorted}, kind(RoleControl, "listing", handled)},
	{"owner: heap", "MB", 1e-6, []term{whole, members, servers, routes, keptVersions}, func(result Result) (float64, bool) {
		return result.Roles[RoleControl].Heap, result.Roles[RoleControl].Heap > 0
	}},
	{"shuffle: one letter", "B", 1, []term{whole, changing}, each(RoleData, "shuffle", out)},
}

// Explained is a model through the runs of a folder, and what it gives at the plan.
type Explained struct {
	Name   string             `json:"name"`
	Unit   string             `json:"unit"`
	Slopes map[string]float64 `json:"slopes"`
	Error  float64            `json:"rootMeanSquareError"`
	Mean   float64            `json:"mean"`
	AtPlan float64            `json:"atPlan"`
	Runs   int                `json:"runs"`
}

// Load gives the runs of every sweep in a folder and below it.
func Load(folder string) ([]Result, error) {
	results := []Result{}
	failure := filepath.WalkDir(folder, func(path string, entry fs.DirEntry, failure error) error {
		if failure != nil || entry.IsDir() || !strings.HasSuffix(path, ".json") || entry.Name() == explainedName+".json" {
			return failure
		}
		content, failure := os.ReadFile(path)
		if failure != nil {
			return failure
		}
		var sweep Sweep
		if failure = json.Unmarshal(content, &sweep); failure != nil {
			return failure
		}
		for _, result := range sweep.Results {
			if result.Measured >= leastMeasured && !sweep.Warmup {
				results = append(results, result)
			}
		}
		return nil
	})
	return results, eris.Wrap(failure, "capacity")
}

const explainedName = "model"

// Explain fits every model to runs by least squares.
func Explain(results []Result, planned Plan) []Explained {
	all := []Explained{}
	for _, model := range models {
		if explained, fine := model.explain(results, planned); fine {
			all = append(all, explained)
		}
	}
	return all
}

func (model model) explain(results []Result, planned Plan) (Explained, bool) {
	rows, heights := []float64{}, []float64{}
	for _, result := range results {
		figure, there := model.figure(result)
		if !there || result.Plan.Calls > 0 {
			continue
		}
		for _, term := range model.terms {
			rows = append(rows, term.size(result.Plan, float64(1+len(result.Force))))
		}
		heights = append(heights, figure*model.part)
	}
	count, width := len(heights), len(model.terms)
	if count <= width {
		return Explained{}, false
	}
	scales := make([]float64, width)
	for place, value := range rows {
		scales[place%width] = max(scales[place%width], math.Abs(value))
	}
	for place := range rows {
		rows[place] /= max(scales[place%width], 1e-300)
	}
	causes, slopes := mat.NewDense(count, width, rows), mat.NewDense(width, 1, nil)
	if failure := slopes.Solve(causes, mat.NewDense(count, 1, heights)); failure != nil {
		return Explained{}, false
	}
	explained := Explained{Name: model.name, Unit: model.unit, Slopes: map[string]float64{}, Runs: count}
	var fitted mat.Dense
	fitted.Mul(causes, slopes)
	for place, height := range heights {
		explained.Error += (height - fitted.At(place, 0)) * (height - fitted.At(place, 0)) / float64(count)
		explained.Mean += height / float64(count)
	}
	explained.Error = math.Sqrt(explained.Error)
	for place, term := range model.terms {
		slope := slopes.At(place, 0) / max(scales[place], 1e-300)
		explained.Slopes[term.name] = slope
		explained.AtPlan += slope * term.size(planned, historyKept)
	}
	return explained, true
}

// Text tells a model in a line.
func (explained Explained) Text() string {
	text := fmt.Sprintf("%-32s %10.4g %-12s at plan; mean %.4g, error %.2g, %d runs;", explained.Name, explained.AtPlan, explained.Unit, explained.Mean, explained.Error, explained.Runs)
	for _, name := range manifest.SortedKeys(explained.Slopes) {
		text += fmt.Sprintf(" %.4g per %s", explained.Slopes[name], name)
	}
	return text
}

// Model fits the models to the runs of a folder and keeps them beside the runs.
func Model(folder string, routes int) ([]Explained, error) {
	results, failure := Load(folder)
	if failure != nil {
		return nil, failure
	}
	planned := Proportional(PlannedNodes)
	planned.Routes = routes
	explained := Explain(results, planned)
	content, failure := json.MarshalIndent(explained, "", " ")
	if failure != nil {
		return nil, eris.Wrap(failure, "capacity")
	}
	return explained, eris.Wrap(os.WriteFile(filepath.Join(folder, explainedName+".json"), append(content, '\n'), 0o644), "capacity")
}
