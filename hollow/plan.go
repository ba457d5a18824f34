// Package hollow plays the owners of thousands of nodes in one process, in virtual time, and measures what each role costs.
package hollow

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/cedarreel/cedarreel/contract"
	"github.com/cedarreel/cedarreel/env"
	"github.com/cedarreel/cedarreel/manifest"
)

// The size that is planned for.
const (
	PlannedNodes    = 1400
	PlannedControls = 50
	PlannedServers  = 10000
	PlannedRegions  = 52
	PlannedZones    = 206
	PlannedModels   = 8
	PlannedTenants  = 11000
	PlannedChanges  = 19000.0 / 86400
	PlannedRequests = 66000
	boundPercent    = 27
	historyKept     = 32
)

// Plan is one run: how large the fleet is and what happens to it.
type Plan struct {
	Nodes    int           `json:"nodes"`
	Controls int           `json:"controls"`
	Core     int           `json:"core"`
	Regions  int           `json:"regions"`
	Zones    int           `json:"zones"`
	Servers  int           `json:"servers"`
	Routes   int           `json:"routes"`
	Calls    int           `json:"calls"`
	Changes  float64       `json:"changesPerSecond"`
	Warmup   bool          `json:"warmup"`
	Loss     float64       `json:"loss"`
	Start    time.Duration `json:"start"`
	Span     time.Duration `json:"span"`
	Scene    string        `json:"scene"`
	Seed     uint64        `json:"seed"`
	Workers  int           `json:"-"`
}

func part(planned, nodes, least int) int {
	return max(least, (planned*nodes+PlannedNodes/2)/PlannedNodes)
}

// Proportional gives a fleet of so many data nodes with everything but the routes in the plan's proportions.
func Proportional(nodes int) Plan {
	return Plan{Nodes: nodes, Controls: part(PlannedControls, nodes, 3), Core: 3, Regions: part(PlannedRegions, nodes, 2),
		Zones: part(PlannedZones, nodes, 4), Servers: part(PlannedServers, nodes, PlannedModels), Routes: 2 * PlannedModels,
		Changes: PlannedChanges, Loss: 0.001, Start: 8 * time.Second, Span: 20 * time.Second, Scene: Calm, Workers: 3}
}

func (plan Plan) bounds() env.Bounds {
	bounds := env.DefaultBounds()
	bounds.DeliverMs, bounds.History = 5000, historyKept
	return bounds
}

func (plan Plan) region(index int) string { return fmt.Sprintf("region-%02d", index%plan.Regions) }

// zone gives the zone of something in its region: zones are dealt out to regions in turn.
func (plan Plan) zone(index int) string {
	region, count := index%plan.Regions, 0
	for zone := region; zone < max(plan.Zones, plan.Regions); zone += plan.Regions {
		count++
	}
	return fmt.Sprintf("zone-%03d", region+(index/plan.Regions%count)*plan.Regions)
}

func modelName(index int) string { return fmt.Sprintf("model-%d", index%PlannedModels) }

func (plan Plan) servers() []contract.ServerRow {
	rows := make([]contract.ServerRow, plan.Servers)
	for index := range rows {
		name := fmt.Sprintf("server-%05d", index)
		rows[index] = contract.ServerRow{Name: name, Incarnation: name, Address: fmt.Sprintf("10.%d.%d.%d:8000", 100+index>>16, index>>8&255, index&255),
			Region: plan.region(index), Hall: plan.zone(index), Pool: modelName(index / plan.Regions), Unmeasured: true}
	}
	return rows
}

func (plan Plan) route(index int, rank int64) map[string]any {
	route := map[string]any{"host": fmt.Sprintf("tenant-%05d.example.com", index), "prefix": "/v1/", "kind": manifest.KindStreaming, "timeoutMs": 60000,
		"aimMs": 1400, "gapMs": 71, "rank": rank, "attempts": 2, "resumable": true, "affinity": true, "service": modelName(index), "place": index}
	if index%100 < boundPercent {
		route["regions"] = []string{plan.region(index)}
	}
	return route
}

func routeName(index int) string { return fmt.Sprintf("tenant-%05d", index) }

// Configuration is the first change of the fleet: its regions, zones, services and routes.
func (plan Plan) Configuration() []byte {
	regions, zones, services, routes := map[string]any{}, map[string]any{}, map[string]any{}, map[string]any{}
	for index := range plan.Regions {
		regions[plan.region(index)] = map[string]any{"shards": 1, "machines": []any{}}
	}
	for index := range max(plan.Zones, plan.Regions) {
		zones[fmt.Sprintf("zone-%03d", index)] = map[string]any{"region": plan.region(index)}
	}
	for index := range PlannedModels {
		service := map[string]any{"healthPath": "/health", "engine": map[string]any{"slots": 64, "tokens": 2000000, "stride": 8}}
		if plan.Warmup {
			service["warmupS"], service["warmupPerS"] = 30, 20
		}
		services[modelName(index)] = service
	}
	for index := range plan.Routes {
		routes[routeName(index)] = plan.route(index, 1)
	}
	content, failure := json.Marshal(map[string]any{"regions": regions, "halls": zones,
		"gateway": map[string]any{"revision": 1, "services": services, "routes": routes}})
	if failure != nil {
		panic(failure)
	}
	return content
}

// change gives one route another rank.
func (plan Plan) change(revision int64) []byte {
	index := int(revision) % plan.Routes
	content, failure := json.Marshal(map[string]any{"gateway": map[string]any{"revision": revision, "remove": map[string]any{},
		"upsert": map[string]any{"routes": map[string]any{routeName(index): plan.route(index, revision%1000)}}}})
	if failure != nil {
		panic(failure)
	}
	return content
}
