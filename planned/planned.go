// Package planned holds the size that cedarreel is designed for, and makes a configuration of it for benchmarks.
package planned

import (
	"encoding/json"
	"fmt"

	"github.com/cedarreel/cedarreel/manifest"
)

// The size that is planned for.
const (
	Nodes    = 1400
	Controls = 50
	Servers  = 10000
	Regions  = 52
	Zones    = 206
	Models   = 8
	Tenants  = 11000
	// boundPercent of the routes are bound to a home.
	boundPercent = 27
)

// Fleet is what a configuration is made for.
type Fleet struct {
	Routes int
	// Warmup bounds what a cold server takes.
	Warmup bool
}

func region(index int) string    { return fmt.Sprintf("region-%02d", index%Regions) }
func modelName(index int) string { return fmt.Sprintf("model-%d", index%Models) }

func route(index int) map[string]any {
	made := map[string]any{"host": fmt.Sprintf("tenant-%05d.example.com", index), "prefix": "/v1/", "kind": manifest.KindStreaming, "timeoutMs": 60000,
		"aimMs": 1400, "gapMs": 71, "rank": 1, "attempts": 2, "resumable": true, "affinity": true, "service": modelName(index), "place": index}
	if index%100 < boundPercent {
		made["regions"] = []string{region(index)}
	}
	return made
}

// Configuration gives the manifest of all planned regions, zones and services, with the fleet's routes.
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
		routes[fmt.Sprintf("tenant-%05d", index)] = route(index)
	}
	content, err := json.Marshal(map[string]any{"regions": regions, "zones": zones,
		"gateway": map[string]any{"revision": 1, "services": services, "routes": routes}})
	if err != nil {
		panic(err)
	}
	return content
}
