// Package planned holds the deployment size that cedarreel is designed for, and generates a manifest of that size for benchmarks.
package planned

import (
	"encoding/json"
	"fmt"

	"github.com/cedarreel/cedarreel/manifest"
)

// The deployment size that cedarreel is designed for. Nodes counts all nodes, ControlNodes those that run the control plane, Servers the
// model servers, Models the distinct models, Tenants the tenants, each with one route.
const (
	Nodes        = 1400
	ControlNodes = 50
	Servers      = 10000
	Regions      = 52
	Zones        = 206
	Models       = 8
	Tenants      = 11000
	// homeBoundPercent is the share of routes that are restricted to one region.
	homeBoundPercent = 27
)

// Fleet selects what the generated manifest contains: the number of routes, and whether its services limit the load of cold servers.
type Fleet struct {
	Routes int
	// Warmup adds a warm-up period to each service, during which a cold server's load is limited.
	Warmup bool
}

func region(index int) string    { return fmt.Sprintf("region-%02d", index%Regions) }
func modelName(index int) string { return fmt.Sprintf("model-%d", index%Models) }

// planRoute returns the manifest fields of the route of the tenant at index.
func planRoute(index int) map[string]any {
	fields := map[string]any{"host": fmt.Sprintf("tenant-%05d.example.com", index), "prefix": "/v1/", "kind": manifest.KindStreaming, "timeoutMs": 60000,
		"aimMs": 1400, "gapMs": 71, "rank": 1, "attempts": 2, "resumable": true, "affinity": true, "service": modelName(index), "place": index}
	if index%100 < homeBoundPercent {
		fields["regions"] = []string{region(index)}
	}
	return fields
}

// Configuration returns the manifest, as JSON, with all regions, zones and services of the planned size and the fleet's routes.
func (fleet Fleet) Configuration() []byte {
	regions, zones, services, routes := map[string]any{}, map[string]any{}, map[string]any{}, map[string]any{}
	for index := range Regions {
		regions[region(index)] = map[string]any{"shards": 1, "machines": []any{}}
	}
	for index := range Zones {
		zones[fmt.Sprintf("zone-%03d", index)] = map[string]any{"region": region(index)}
	}
	for index := range Models {
		service := map[string]any{"healthPath": "/health", "engine": map[string]any{"slots": 64, "tokens": 2000000, "stride": 8}}
		if fleet.Warmup {
			service["warmupS"], service["warmupPerS"] = 30, 20
		}
		services[modelName(index)] = service
	}
	for index := range fleet.Routes {
		routes[fmt.Sprintf("tenant-%05d", index)] = planRoute(index)
	}
	content, err := json.Marshal(map[string]any{"regions": regions, "zones": zones,
		"gateway": map[string]any{"revision": 1, "services": services, "routes": routes}})
	if err != nil {
		panic(err)
	}
	return content
}
