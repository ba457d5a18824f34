// Package listing parses what other systems report: the platform's listing of servers and the servers' load reports.
package listing

import (
	"encoding/json"

	"github.com/cedarreel/cedarreel/contract"
	"github.com/cedarreel/cedarreel/manifest"
	"github.com/rotisserie/eris"
)

// maxServers bounds the servers of a listing; a longer one is refused.
const maxServers = 4096

// maxPrefixes bounds the cached prefixes of a report; further ones are left out.
const maxPrefixes = 256

// ParseListing parses the listing of a region. Anything that is not complete and well-formed is an error, so that a broken listing is never
// taken for an empty one.
func ParseListing(content []byte, region string) (contract.Listing, error) {
	listing := contract.Listing{}
	tree, err := manifest.ParseObject(content)
	if err != nil {
		return listing, eris.Wrap(err, "listing")
	}
	items, ok := tree["servers"].([]any)
	if complete, _ := tree["complete"].(bool); !ok || !complete || tree["region"] != region || len(items) > maxServers {
		return listing, eris.New("listing: not a complete listing of this region")
	}
	listing.Region = region
	names := map[string]bool{}
	for _, item := range items {
		row, ok := item.(map[string]any)
		if !ok {
			return listing, eris.New("listing: a server is not an object")
		}
		reader := manifest.NewReader(row)
		for _, field := range []string{"name", "address", "zone", "pool", "incarnation"} {
			reader.Require(field)
		}
		server := contract.ListedServer{Name: reader.Text("name", ""), Address: reader.Text("address", ""), Region: region,
			Zone: reader.Text("zone", ""), Pool: reader.Text("pool", ""), Incarnation: reader.Text("incarnation", ""),
			Leaving: reader.Bool("leaving"), Unloaded: reader.Bool("unloaded"), RemainingMs: reader.Integer("remainingMs", 0, 0, 1<<40)}
		if names[server.Name] || server.Name == "" {
			reader.Errorf("name", "%q is empty or listed twice", server.Name)
		}
		names[server.Name] = true
		if err := reader.Err(); err != nil {
			return listing, eris.Wrap(err, "listing")
		}
		listing.Servers = append(listing.Servers, server)
	}
	return listing, nil
}

// ParseReport parses the load report of a server. A report that lacks a figure is returned as not complete.
func ParseReport(content []byte, server string) (contract.LoadReport, error) {
	report := contract.LoadReport{Server: server}
	tree, err := manifest.ParseObject(content)
	if err != nil {
		return report, eris.Wrap(err, "report")
	}
	reader := manifest.NewReader(tree)
	reader.Require("incarnation")
	report.Incarnation = reader.Text("incarnation", "")
	report.Number = reader.Integer("number", 0, 0, 1<<60)
	report.Running = reader.Integer("running", 0, 0, 1<<30)
	report.Waiting = reader.Integer("waiting", 0, 0, 1<<30)
	report.AgeMs = reader.Integer("ageMs", 0, 0, 1<<40)
	report.Prefixes = reader.Texts("prefixes")
	if len(report.Prefixes) > maxPrefixes {
		report.Prefixes = report.Prefixes[:maxPrefixes]
	}
	report.Complete = reader.Bool("complete")
	for _, field := range []string{"number", "running", "waiting", "ageMs"} {
		if _, found := tree[field].(json.Number); !found {
			report.Complete = false
		}
	}
	if tree["server"] != server {
		reader.Errorf("server", "another server's report")
	}
	return report, reader.Err()
}
