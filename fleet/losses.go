package fleet

import (
	"time"
)

// loseServers crashes the matching servers at once and replaces them by cold ones after the span.
func (fleet *Fleet) loseServers(matches func(*Server) bool, span time.Duration) {
	lost := []*Server{}
	for _, server := range fleet.Servers {
		if matches(server) {
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

// loseZone loses the machines and servers of a random zone.
func loseZone(fleet *Fleet, span time.Duration) {
	zone := randomItem(fleet, fleet.zones())
	fleet.KillFor(fleet.InZone(zone), span)
	fleet.loseServers(func(server *Server) bool { return server.Zone == zone }, span)
}

// loseRegion loses the machines and servers of a random region.
func loseRegion(fleet *Fleet, span time.Duration) {
	region := randomItem(fleet, fleet.Site.Regions())
	fleet.KillRegion(region, span)
	fleet.loseServers(func(server *Server) bool { return server.Region == region }, span)
}

// cutZones cuts the machines of two zones of a region from each other; both can still communicate with the rest.
func cutZones(fleet *Fleet, span time.Duration) {
	zones := map[string][]*Machine{}
	region := randomItem(fleet, fleet.Site.Regions())
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
		cutZones(fleet, span)
		return
	}
	fleet.World.After(span, fleet.World.CutBoth(Names(zones[names[0]]), Names(zones[names[1]])))
}

// crashServers crashes up to five random servers at once.
func crashServers(fleet *Fleet, span time.Duration) {
	chosen := map[*Server]bool{}
	for range 2 + fleet.World.Random.IntN(4) {
		chosen[randomItem(fleet, fleet.Servers)] = true
	}
	fleet.loseServers(func(server *Server) bool { return chosen[server] }, span)
}

// silenceServers makes all servers of a random zone stop answering.
func silenceServers(fleet *Fleet, span time.Duration) {
	zone := randomItem(fleet, fleet.zones())
	for _, server := range fleet.Servers {
		if server.Zone == zone {
			overlayField(fleet, &server.FaultMode, "dark", span, nil)
		}
	}
}

// replaceRandomServers replaces servers instantly: they are cold, and no listing ever showed them missing.
func (fleet *Fleet) replaceRandomServers(count int) {
	for range count {
		randomItem(fleet, fleet.Servers).Replace()
	}
}

// reclaimServers marks servers as leaving one after the other, each with a shorter notice than the one before.
func reclaimServers(fleet *Fleet, span time.Duration) {
	for index := range 5 {
		fleet.World.After(span*time.Duration(index)/5, func() {
			server := randomItem(fleet, fleet.Servers)
			if !server.leaving && !server.gone {
				server.MarkLeaving(2 * time.Second / time.Duration(index+1))
				fleet.World.After(span, server.Replace)
			}
		})
	}
}
