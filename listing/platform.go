// Package listing reads what outside systems tell: the listing of servers and the servers' reports.
package listing

import (
	"encoding/json"

	"github.com/cedarreel/cedarreel/contract"
	"github.com/cedarreel/cedarreel/manifest"
	"github.com/rotisserie/eris"
)

const mostServers = 4096
const mostPrefixes = 256

// ReadListing refuses whatever is not a whole, well-formed listing: a broken one is never an empty one.
func ReadListing(content []byte, region string) (contract.Listing, error) {
	listing := contract.Listing{}
	tree, err := manifest.ParseObject(content)
	if err != nil {
		return listing, eris.Wrap(err, "listing")
	}
	items, fine := tree["servers"].([]any)
	if complete, _ := tree["complete"].(bool); !fine || !complete || tree["region"] != region || len(items) > mostServers {
		return listing, eris.New("listing: not a complete listing of this region")
	}
	listing.Region = region
	names := map[string]bool{}
	for _, item := range items {
		row, fine := item.(map[string]any)
		if !fine {
			return listing, eris.New("listing: a server is not an object")
		}
		reader := manifest.NewReader(row)
		for _, must := range []string{"name", "address", "zone", "pool", "incarnation"} {
			reader.Require(must)
		}
		server := contract.ListedServer{Name: reader.Text("name", ""), Address: reader.Text("address", ""), Region: region,
			Zone: reader.Text("zone", ""), Pool: reader.Text("pool", ""), Incarnation: reader.Text("incarnation", ""),
			Leaving: reader.Bool("leaving"), Unloaded: reader.Bool("unloaded"), RemainingMs: reader.Number("remainingMs", 0, 0, 1<<40)}
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

// ReadReport gives a report only when every figure in it is there; a partial one comes back as not complete.
func ReadReport(content []byte, server string) (contract.LoadReport, error) {
	report := contract.LoadReport{Server: server}
	tree, err := manifest.ParseObject(content)
	if err != nil {
		return report, eris.Wrap(err, "report")
	}
	reader := manifest.NewReader(tree)
	reader.Require("incarnation")
	report.Incarnation = reader.Text("incarnation", "")
	report.Number = reader.Number("number", 0, 0, 1<<60)
	report.Running = reader.Number("running", 0, 0, 1<<30)
	report.Waiting = reader.Number("waiting", 0, 0, 1<<30)
	report.AgeMs = reader.Number("ageMs", 0, 0, 1<<40)
	report.Prefixes = reader.Texts("prefixes")
	if len(report.Prefixes) > mostPrefixes {
		report.Prefixes = report.Prefixes[:mostPrefixes]
	}
	report.Complete = reader.Bool("complete")
	for _, field := range []string{"number", "running", "waiting", "ageMs"} {
		if _, there := tree[field].(json.Number); !there {
			report.Complete = false
		}
	}
	if tree["server"] != server {
		reader.Errorf("server", "another server's report")
	}
	return report, reader.Err()
}
