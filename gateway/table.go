package gateway

import (
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
		bare, _ := splitAddress(host)
		prefixes = table.hosts[bare]
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

// splitAddress gives host and port of an address; an address in brackets loses them.
func splitAddress(address string) (host, port string) {
	place := strings.LastIndexByte(address, ':')
	if place < 0 || strings.HasSuffix(address, "]") {
		return strings.Trim(address, "[]"), ""
	}
	return strings.Trim(address[:place], "[]"), address[place+1:]
}
