// Package site reads the description of a deployment that the test fleets play.
package site

import (
	"fmt"
	"os"
	"path/filepath"

	"github.com/cedarreel/cedarreel/manifest"
	"github.com/rotisserie/eris"
)

type Machine struct {
	Name, Zone, Region string
	Core               bool
}

type Server struct {
	Name, Zone, Region, Pool, Kind string
	Slots                          int64
}

type Caller struct {
	Route, Class, Kind string
	PerSecond          int64
	Pieces             int64
	Tokens             int64
	Prefixes           int64
	DeadlineMs         int64
	Unary              bool
}

type Site struct {
	Name     string
	GapMs    int64
	Machines []Machine
	Servers  []Server
	Callers  []Caller
	Manifest []byte
}

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
	read := Site{Name: reader.Text("name", ""), GapMs: reader.Number("regionGapMs", 10, 0, 1000)}
	each(tree["machines"], func(row *manifest.Reader) {
		read.Machines = append(read.Machines, Machine{row.Text("name", ""), row.Text("zone", ""), row.Text("region", ""), row.Bool("core")})
	})
	each(tree["servers"], func(row *manifest.Reader) {
		zones, pool := row.Texts("zones"), row.Text("pool", "")
		for index := int64(0); index < row.Number("count", 1, 1, 1000) && len(zones) > 0; index++ {
			read.Servers = append(read.Servers, Server{Name: fmt.Sprintf("%s-%02d", pool, index+1), Zone: zones[index%int64(len(zones))],
				Region: row.Text("region", ""), Pool: pool, Kind: row.Text("kind", "model"), Slots: row.Number("slots", 4, 1, 1000)})
		}
	})
	each(tree["callers"], func(row *manifest.Reader) {
		read.Callers = append(read.Callers, Caller{Route: row.Text("route", ""), Class: row.Text("class", ""), Kind: row.Text("kind", ""),
			PerSecond: row.Number("perSecond", 1, 0, 10000), Pieces: row.Number("pieces", 1, 1, 10000), Tokens: row.Number("tokens", 1, 1, 1000000),
			Prefixes: row.Number("prefixes", 0, 0, 1000), DeadlineMs: row.Number("deadlineMs", 10000, 1, 3600000), Unary: row.Bool("unary")})
	})
	if err = reader.Err(); err != nil {
		return Site{}, err
	}
	read.Manifest, err = os.ReadFile(filepath.Join(folder, "manifest.json"))
	return read, eris.Wrap(err, "site")
}

func each(value any, then func(*manifest.Reader)) {
	rows, _ := value.([]any)
	for _, row := range rows {
		if tree, fine := row.(map[string]any); fine {
			then(manifest.NewReader(tree))
		}
	}
}

// Regions in the order of their first machine.
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
