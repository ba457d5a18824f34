package fleet

import (
	"time"
)

// loseServers crashes servers and puts fresh ones in their place later, all at one moment.
func (fleet *Fleet) loseServers(fits func(*Server) bool, span time.Duration) {
	lost := []*Server{}
	for _, server := range fleet.Servers {
		if fits(server) {
			server.Crash()
			lost = append(lost, server)
		}
	}
	fleet.World.After(span, func() {
		for _, server := range lost {
			server.Replace()
		}
	})
}

// loseZone loses all that stands in a zone: machines and servers.
func loseZone(fleet *Fleet, span time.Duration) {
	zone := one(fleet, fleet.zones())
	fleet.KillFor(fleet.InZone(zone), span)
	fleet.loseServers(func(server *Server) bool { return server.Zone == zone }, span)
}

func loseRegion(fleet *Fleet, span time.Duration) {
	region := one(fleet, fleet.Site.Regions())
	fleet.KillRegion(region, span)
	fleet.loseServers(func(server *Server) bool { return server.Region == region }, span)
}

// zonesApart cuts the machines of two zones of one region from each other, while both hear of each other from elsewhere.
func zonesApart(fleet *Fleet, span time.Duration) {
	zones := map[string][]*Machine{}
	region := one(fleet, fleet.Site.Regions())
	for _, machine := range fleet.InRegion(region) {
		zones[machine.Zone] = append(zones[machine.Zone], machine)
	}
	names := []string{}
	for _, zone := range fleet.zones() {
		if len(zones[zone]) > 0 {
			names = append(names, zone)
		}
	}
	if len(names) < 2 {
		zonesApart(fleet, span)
		return
	}
	fleet.World.After(span, fleet.World.CutBoth(Names(zones[names[0]]), Names(zones[names[1]])))
}

func serversCrash(fleet *Fleet, span time.Duration) {
	chosen := map[*Server]bool{}
	for range 2 + fleet.World.Random.IntN(4) {
		chosen[one(fleet, fleet.Servers)] = true
	}
	fleet.loseServers(func(server *Server) bool { return chosen[server] }, span)
}

func serversDark(fleet *Fleet, span time.Duration) {
	zone := one(fleet, fleet.zones())
	for _, server := range fleet.Servers {
		if server.Zone == zone {
			overlap(fleet, &server.Mode, "dark", span, nil)
		}
	}
}

// replaceSome replaces servers within the same moment: they are cold, and nobody saw them gone.
func (fleet *Fleet) replaceSome(most int) {
	for range most {
		one(fleet, fleet.Servers).Replace()
	}
}

// manyReclaims marks servers one after the other, each with less time than the one before.
func manyReclaims(fleet *Fleet, span time.Duration) {
	for index := range 5 {
		fleet.World.After(span*time.Duration(index)/5, func() {
			server := one(fleet, fleet.Servers)
			if !server.leaving && !server.gone {
				server.Mark(2 * time.Second / time.Duration(index+1))
				fleet.World.After(span, server.Replace)
			}
		})
	}
}
