package manifest

import (
	"strings"

	"github.com/benbjohnson/immutable"
)

// Routes is a gateway's set of routes, indexed by name and by host and prefix. It is immutable: With and Without return another set that
// shares the routes that both have. The zero value is the empty set.
type Routes struct {
	byName     *immutable.SortedMap[string, *GatewayRoute]
	byMatchKey *immutable.SortedMap[string, *GatewayRoute]
}

// hostSeparator separates host and prefix in a match key.
const hostSeparator = "\x00"

// emptyRoutes is the index of the zero value.
var emptyRoutes = immutable.NewSortedMap[string, *GatewayRoute](nil)

// trees returns both indexes, which the zero value lacks.
func (routes Routes) trees() (byName, byMatchKey *immutable.SortedMap[string, *GatewayRoute]) {
	if routes.byName == nil {
		return emptyRoutes, emptyRoutes
	}
	return routes.byName, routes.byMatchKey
}

// matchKey is the key of a route in the index by host and prefix.
func (route GatewayRoute) matchKey() string { return route.Host + hostSeparator + route.Prefix }

// Len returns the number of routes.
func (routes Routes) Len() int {
	byName, _ := routes.trees()
	return byName.Len()
}

// Get returns the route with a name.
func (routes Routes) Get(name string) (GatewayRoute, bool) {
	byName, _ := routes.trees()
	if route, found := byName.Get(name); found {
		return *route, true
	}
	return GatewayRoute{}, false
}

// All calls visit for each route in the order of names, until visit returns true.
func (routes Routes) All(visit func(route GatewayRoute) bool) {
	byName, _ := routes.trees()
	for iterator := byName.Iterator(); !iterator.Done(); {
		if _, route, _ := iterator.Next(); visit(*route) {
			return
		}
	}
}

// With returns the set with a route added, in place of one of the same name.
func (routes Routes) With(route GatewayRoute) Routes {
	routes = routes.Without(route.Name)
	byName, byMatchKey := routes.trees()
	return Routes{byName: byName.Set(route.Name, &route), byMatchKey: byMatchKey.Set(route.matchKey(), &route)}
}

// Without returns the set without the route of a name.
func (routes Routes) Without(name string) Routes {
	byName, byMatchKey := routes.trees()
	former, found := byName.Get(name)
	if !found {
		return routes
	}
	if holder, _ := byMatchKey.Get(former.matchKey()); holder == former {
		byMatchKey = byMatchKey.Delete(former.matchKey())
	}
	return Routes{byName: byName.Delete(name), byMatchKey: byMatchKey}
}

// matchConflict returns the name of another route that has the host and prefix of a route.
func (routes Routes) matchConflict(route GatewayRoute) (string, bool) {
	_, byMatchKey := routes.trees()
	holder, found := byMatchKey.Get(route.matchKey())
	if !found || holder.Name == route.Name {
		return "", false
	}
	return holder.Name, true
}

// Find returns the route of a host with the longest prefix of a path. The host may carry a port, as callers send it: routes that are
// configured with that port win over those of the bare host. The path is without its query.
func (routes Routes) Find(host, path string) (GatewayRoute, bool) {
	_, byMatchKey := routes.trees()
	host = strings.ToLower(host)
	route, found := longestPrefix(byMatchKey, host, path)
	if bareHost, _ := SplitAddress(host); !found && bareHost != host && !hasHost(byMatchKey, host) {
		route, found = longestPrefix(byMatchKey, bareHost, path)
	}
	if !found {
		return GatewayRoute{}, false
	}
	return *route, true
}

// longestPrefix tries each prefix of a path that ends with a slash, the longest first.
func longestPrefix(byMatchKey *immutable.SortedMap[string, *GatewayRoute], host, path string) (*GatewayRoute, bool) {
	key := host + hostSeparator + path
	first := len(host) + len(hostSeparator)
	for end := strings.LastIndexByte(key, '/'); end >= first; end = strings.LastIndexByte(key[:end], '/') {
		if route, found := byMatchKey.Get(key[:end+1]); found {
			return route, true
		}
	}
	return nil, false
}

// hasHost reports whether any route has a host.
func hasHost(byMatchKey *immutable.SortedMap[string, *GatewayRoute], host string) bool {
	if byMatchKey.Len() == 0 {
		return false
	}
	iterator := byMatchKey.Iterator()
	iterator.Seek(host + hostSeparator)
	key, _, found := iterator.Next()
	return found && strings.HasPrefix(key, host+hostSeparator)
}

// SplitAddress splits an address into host and port, which is empty if there is none. An IPv6 address loses its brackets.
func SplitAddress(address string) (host, port string) {
	colon := strings.LastIndexByte(address, ':')
	if colon < 0 || strings.HasSuffix(address, "]") {
		return strings.Trim(address, "[]"), ""
	}
	return strings.Trim(address[:colon], "[]"), address[colon+1:]
}
