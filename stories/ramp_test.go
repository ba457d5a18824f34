package stories

import (
	"time"

	"github.com/cedarreel/cedarreel/fleet"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// returning gives the servers of a pool.
func returning(played *fleet.Fleet, pool string) []*fleet.Server {
	servers := []*fleet.Server{}
	for _, server := range played.Servers {
		if server.Pool == pool {
			servers = append(servers, server)
		}
	}
	return servers
}

var _ = Describe("a server that comes back cold", func() {
	for _, name := range sites {
		It("is not flooded in "+name+", by a crowd after a crash of half a pool", func() {
			played := given(name, 21)
			played.Traffic(40*time.Second, 1.5)
			played.Run(10 * time.Second)
			pool := returning(played, played.Servers[0].Pool)
			for _, server := range pool[:len(pool)/2] {
				server.Crash()
				played.World.After(5*time.Second, server.Replace)
			}
			played.Run(30 * time.Second)
			nothingWrong(played)
			Expect(played.Ledger.Figures.ColdShare).To(BeNumerically(">", 0), "cold servers were judged")
		})

		It("stays on its ramp in "+name+" when its shard changes owner in the middle", func() {
			played := given(name, 22)
			played.Traffic(40*time.Second, 2)
			played.Run(10 * time.Second)
			for _, server := range returning(played, played.Servers[0].Pool) {
				server.Replace()
			}
			played.Run(3 * time.Second)
			region := played.Servers[0].Region
			for _, machine := range played.InRegion(region)[:2] {
				machine.Freeze()
				played.World.After(10*time.Second, machine.Wake)
			}
			played.Run(25 * time.Second)
			nothingWrong(played)
		})
	}
})
