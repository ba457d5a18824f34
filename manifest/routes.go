package manifest

import (
	"strings"

	"github.com/benbjohnson/immutable"
)

// Routes are a gateway's routes, by name and by host and prefix. They are immutable: With and Without give other ones that share all
// routes they have in common. The zero value holds none.
type Routes struct {
	byName  *immutable.SortedMap[string, *GatewayRoute]
	byPlace *immutable.SortedMap[string, *GatewayRoute]
}

// hostEnd parts host and prefix in the key of a place.
const hostEnd = "\x00"

var noRoutes = immutable.NewSortedMap[string, *GatewayRoute](nil)

func (routes Routes) trees() (byName, byPlace *immutable.SortedMap[string, *GatewayRoute]) {
	if routes.byName == nil {
		return noRoutes, noRoutes
	}
	return routes.byName, routes.byPlace
}

func (route GatewayRoute) place() string { return route.Host + hostEnd + route.Prefix }

// Len is how many routes there are.
func (routes Routes) Len() int {
	byName, _ := routes.trees()
	return byName.Len()
}

// Get gives the route of a name.
func (routes Routes) Get(name string) (GatewayRoute, bool) {
	byName, _ := routes.trees()
	if route, there := byName.Get(name); there {
		return *route, true
	}
	return GatewayRoute{}, false
}

// All calls visit for each route, in the order of names, until visit returns true.
func (routes Routes) All(visit func(route GatewayRoute) bool) {
	byName, _ := routes.trees()
	for iterator := byName.Iterator(); !iterator.Done(); {
		if _, route, _ := iterator.Next(); visit(*route) {
			return
		}
	}
}

// With gives routes with another one, in the place of one of the same name.
func (routes Routes) With(route GatewayRoute) Routes {
	routes = routes.Without(route.Name)
	byName, byPlace := routes.trees()
	return Routes{byName: byName.Set(route.Name, &route), byPlace: byPlace.Set(route.place(), &route)}
}

// Without gives routes without one.
func (routes Routes) Without(name string) Routes {
	byName, byPlace := routes.trees()
	former, there := byName.Get(name)
	if !there {
		return routes
	}
	if held, _ := byPlace.Get(former.place()); held == former {
		byPlace = byPlace.Delete(former.place())
	}
	return Routes{byName: byName.Delete(name), byPlace: byPlace}
}

// taken gives the name of another route that has the host and prefix of a route.
func (routes Routes) taken(route GatewayRoute) (string, bool) {
	_, byPlace := routes.trees()
	held, there := byPlace.Get(route.place())
	if !there || held.Name == route.Name {
		return "", false
	}
	return held.Name, true
}

// Find gives the route of a host with the longest prefix of a path. The host may carry a port, as callers send it; the path is without
// its query.
func (routes Routes) Find(host, path string) (GatewayRoute, bool) {
	_, byPlace := routes.trees()
	host = strings.ToLower(host)
	route, there := longestPrefix(byPlace, host, path)
	if bare, _ := SplitAddress(host); !there && bare != host && !knowsHost(byPlace, host) {
		route, there = longestPrefix(byPlace, bare, path)
	}
	if !there {
		return GatewayRoute{}, false
	}
	return *route, true
}

func longestPrefix(byPlace *immutable.SortedMap[string, *GatewayRoute], host, path string) (*GatewayRoute, bool) {
	key := host + hostEnd + path
	first := len(host) + len(hostEnd)
	for end := strings.LastIndexByte(key, '/'); end >= first; end = strings.LastIndexByte(key[:end], '/') {
		if route, there := byPlace.Get(key[:end+1]); there {
			return route, true
		}
	}
	return nil, false
}

func knowsHost(byPlace *immutable.SortedMap[string, *GatewayRoute], host string) bool {
	if byPlace.Len() == 0 {
		return false
	}
	iterator := byPlace.Iterator()
	iterator.Seek(host + hostEnd)
	place, _, there := iterator.Next()
	return there && strings.HasPrefix(place, host+hostEnd)
}

// SplitAddress gives host and port of an address; an address in brackets loses them.
func SplitAddress(address string) (host, port string) {
	place := strings.LastIndexByte(address, ':')
	if place < 0 || strings.HasSuffix(address, "]") {
		return strings.Trim(address, "[]"), ""
	}
	return strings.Trim(address[:place], "[]"), address[place+1:]
}
