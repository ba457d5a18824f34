package fleet

import (
	"time"

	"github.com/cedarreel/cedarreel/ledger"
	"github.com/cedarreel/cedarreel/site"
)

// scene is something that weighs on a fleet while its usual traffic runs.
type scene struct {
	name string
	play func(*Fleet)
}

const (
	sceneBegins = 8 * time.Second
	sceneLasts  = 16 * time.Second
	sceneEnds   = 16 * time.Second
)

var scenes = []scene{
	{"calm", func(*Fleet) {}},
	{"crowd", func(fleet *Fleet) { fleet.Traffic(sceneLasts, 12) }},
	{"swing", func(fleet *Fleet) {
		for index, class := range []string{"long", "short", "long", "short"} {
			fleet.World.After(sceneLasts*time.Duration(index)/4, func() { fleet.burst(class, sceneLasts/4, 120) })
		}
	}},
	{"zone drain", func(fleet *Fleet) {
		zone := fleet.Machines[0].Zone
		fleet.Write(fleet.Machines[3], fleet.drain(zone), nil)
		fleet.World.After(sceneLasts, func() { fleet.undrain(zone, 0) })
	}},
	{"zone lost", func(fleet *Fleet) {
		zone := fleet.Machines[0].Zone
		fleet.KillFor(fleet.InZone(zone), sceneLasts)
		fleet.loseServers(func(server *Server) bool { return server.Zone == zone }, sceneLasts)
	}},
	{"region return", func(fleet *Fleet) { fleet.KillRegion(fleet.Site.Regions()[0], sceneLasts/4) }},
	{"region return, all cold", func(fleet *Fleet) {
		region := fleet.Site.Regions()[0]
		fleet.KillRegion(region, sceneLasts/4)
		fleet.loseServers(func(server *Server) bool { return server.Region == region }, sceneLasts/4)
	}},
}

func SceneNames() []string {
	names := []string{}
	for _, scene := range scenes {
		names = append(names, scene.name)
	}
	return names
}

// Loaded is what one scene came to.
type Loaded struct {
	Figures     ledger.Stats
	Breaches    []ledger.Violation
	Hits, Asked int
	Turns, Kept int
}

// Load plays a scene over the site's full rates.
func Load(described site.Site, seed uint64, name string) Loaded {
	fleet := New(described, seed)
	if !fleet.Ready() {
		return Loaded{Breaches: []ledger.Violation{{Rule: ledger.SlowRecovery, Detail: "the fleet never served"}}}
	}
	fleet.Run(trafficStarts - fleet.World.Now)
	fleet.Traffic(sceneBegins+sceneLasts+sceneEnds, 1)
	fleet.Run(sceneBegins)
	for _, scene := range scenes {
		if scene.name == name {
			scene.play(fleet)
		}
	}
	fleet.Run(sceneLasts + sceneEnds)
	loaded := Loaded{Breaches: fleet.Close(), Figures: fleet.Ledger.Stats, Turns: fleet.Turns, Kept: fleet.Kept}
	for _, server := range fleet.Servers {
		loaded.Hits, loaded.Asked = loaded.Hits+server.PrefixHits, loaded.Asked+server.PrefixAsked
	}
	return loaded
}
