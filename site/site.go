// Package site reads the description of a deployment that test fleets simulate: its machines, model servers and callers.
package site

import (
	"fmt"
	"os"
	"path/filepath"

	"github.com/cedarreel/cedarreel/manifest"
	"github.com/rotisserie/eris"
)

// Machine is a machine of the fleet. Core marks a member of the control plane's replicated core.
type Machine struct {
	Name, Zone, Region string
	Core               bool
}

// Server is a simulated server of a pool. Kind tells what it runs, "model" or a kind of lookup; Slots is how many calls it runs at a time.
type Server struct {
	Name, Zone, Region, Pool, Kind string
	Slots                          int64
}

// Caller is a kind of simulated callers that all send calls of one route.
type Caller struct {
	Route, Class, Kind string
	// PerSecond is the rate of calls.
	PerSecond int64
	// Pieces is how many pieces an answer is streamed in, Tokens the length of a prompt.
	Pieces int64
	Tokens int64
	// Prefixes is how many different prompt prefixes the calls share; 0 means that they share none.
	Prefixes   int64
	DeadlineMs int64
	// Unary calls ask for one whole answer instead of a stream.
	Unary bool
}

// Site is a deployment.
type Site struct {
	Name string
	// RegionLatencyMs is the latency of messages between regions.
	RegionLatencyMs int64
	Machines        []Machine
	Servers         []Server
	Callers         []Caller
	// Manifest is the JSON text of the first manifest.
	Manifest []byte
}

// Load reads site.json and manifest.json from a folder.
func Load(folder string) (Site, error) {
	content, err := os.ReadFile(filepath.Join(folder, "site.json"))
	if err != nil {
		return Site{}, eris.Wrap(err, "site")
	}
	tree, err := manifest.ParseObject(content)
	if err != nil {
		return Site{}, eris.Wrap(err, "site")
	}
	reader := manifest.NewReader(tree)
	reader.AllowOnly("", "name", "regionGapMs", "machines", "servers", "callers")
	site := Site{Name: reader.Text("name", ""), RegionLatencyMs: reader.Integer("regionGapMs", 10, 0, 1000)}
	forEachObject(tree["machines"], func(row *manifest.Reader) {
		site.Machines = append(site.Machines, Machine{row.Text("name", ""), row.Text("zone", ""), row.Text("region", ""), row.Bool("core")})
	})
	forEachObject(tree["servers"], func(row *manifest.Reader) {
		zones, pool := row.Texts("zones"), row.Text("pool", "")
		for index := int64(0); index < row.Integer("count", 1, 1, 1000) && len(zones) > 0; index++ {
			site.Servers = append(site.Servers, Server{Name: fmt.Sprintf("%s-%02d", pool, index+1), Zone: zones[index%int64(len(zones))],
				Region: row.Text("region", ""), Pool: pool, Kind: row.Text("kind", "model"), Slots: row.Integer("slots", 4, 1, 1000)})
		}
	})
	forEachObject(tree["callers"], func(row *manifest.Reader) {
		site.Callers = append(site.Callers, Caller{Route: row.Text("route", ""), Class: row.Text("class", ""), Kind: row.Text("kind", ""),
			PerSecond: row.Integer("perSecond", 1, 0, 10000), Pieces: row.Integer("pieces", 1, 1, 10000), Tokens: row.Integer("tokens", 1, 1, 1000000),
			Prefixes: row.Integer("prefixes", 0, 0, 1000), DeadlineMs: row.Integer("deadlineMs", 10000, 1, 3600000), Unary: row.Bool("unary")})
	})
	if err = reader.Err(); err != nil {
		return Site{}, err
	}
	site.Manifest, err = os.ReadFile(filepath.Join(folder, "manifest.json"))
	return site, eris.Wrap(err, "site")
}

// forEachObject calls visit for each object of a list and ignores anything else.
func forEachObject(value any, visit func(*manifest.Reader)) {
	rows, _ := value.([]any)
	for _, row := range rows {
		if tree, ok := row.(map[string]any); ok {
			visit(manifest.NewReader(tree))
		}
	}
}

// Regions returns the names of the regions in the order of their first machine.
func (site Site) Regions() []string {
	regions, known := []string{}, map[string]bool{}
	for _, machine := range site.Machines {
		if !known[machine.Region] {
			known[machine.Region] = true
			regions = append(regions, machine.Region)
		}
	}
	return regions
}
