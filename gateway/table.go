package gateway

import (
	"net"
	"strings"

	"github.com/cedarreel/cedarreel/manifest"
)

// Table finds a route by host and longest path prefix.
type Table struct {
	hosts map[string]map[string]manifest.GatewayRoute
}

func NewTable(read manifest.Gateway) *Table {
	table := &Table{hosts: map[string]map[string]manifest.GatewayRoute{}}
	for _, route := range read.Routes {
		prefixes, there := table.hosts[route.Host]
		if !there {
			prefixes = map[string]manifest.GatewayRoute{}
			table.hosts[route.Host] = prefixes
		}
		prefixes[route.Prefix] = route
	}
	return table
}

// Find takes the host as a caller sends it and the path without its query.
func (table *Table) Find(host, path string) (manifest.GatewayRoute, bool) {
	host = strings.ToLower(host)
	prefixes, there := table.hosts[host]
	if !there {
		if bare, _, failure := net.SplitHostPort(host); failure == nil {
			prefixes = table.hosts[bare]
		}
	}
	if len(prefixes) == 0 {
		return manifest.GatewayRoute{}, false
	}
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if route, there := prefixes[path[:end+1]]; there {
			return route, true
		}
	}
	return manifest.GatewayRoute{}, false
}
