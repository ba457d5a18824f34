package zones

import (
	"slices"
	"strings"
	"time"

	"github.com/cedarreel/cedarreel/contract"
	"github.com/cedarreel/cedarreel/fleet"
	"github.com/cedarreel/cedarreel/retire"
	"github.com/cedarreel/cedarreel/shard"
	"github.com/cedarreel/cedarreel/site"
	"github.com/cedarreel/cedarreel/stories/harness"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func retirements(played *fleet.Fleet) []shard.Retired {
	answer := played.Operate(played.Machines[2], contract.OperatorRequest{Verb: contract.VerbRetirements})
	body, _ := answer.Body.(map[string]any)
	rows, _ := body["retirements"].([]shard.Retired)
	return rows
}

func retired(played *fleet.Fleet, server string, state retire.State) bool {
	return slices.ContainsFunc(retirements(played), func(row shard.Retired) bool { return row.Server == server && row.State == state })
}

func scaled(played *fleet.Fleet, count string) fleet.Written {
	return played.Do(played.Machines[5], contract.OperatorRequest{Verb: contract.VerbScale, Subject: played.Servers[0].Pool, Body: []byte(count)})
}

func longRuns(kind *site.Caller) { kind.Pieces = 600 }

var _ = Describe("scale-down", func() {
	for _, name := range harness.SiteNames {
		It("withdraws, waits, reads and unloads in "+name+", and scaling up loads again", func() {
			played := harness.StartReadyFleet(name, 61)
			pool := harness.ModelServers(played)
			played.Traffic(40*time.Second, 0.5)
			played.Run(5 * time.Second)
			Expect(scaled(played, "3").Status).To(Equal(200))
			played.Run(5 * time.Second)
			Expect(harness.CountUnloaded(pool)).To(BeZero(), "the window is not over")
			played.Run(10 * time.Second)
			Expect(harness.CountUnloaded(pool)).To(Equal(len(pool) - 3))
			Expect(scaled(played, "5").Status).To(Equal(200))
			played.Run(5 * time.Second)
			Expect(harness.CountUnloaded(pool)).To(Equal(len(pool) - 5))
			harness.ExpectNoBreaches(played)
		})
	}

	It("never unloads under a late prompt that the idle reports miss", func() {
		played := harness.StartReadyFleet("brazos", 62)
		pool := harness.ModelServers(played)
		for _, server := range pool {
			server.ReportLag = 20 * time.Second
		}
		played.Run(10 * time.Second)
		probes := []*fleet.Probe{}
		for index := range 12 {
			probes = append(probes, played.Probe("short", harness.HomeRegion(played)).With(longRuns).Send(played.InRegion(harness.HomeRegion(played))[index%8]))
		}
		Expect(scaled(played, "1").Status).To(Equal(200))
		played.Run(20 * time.Second)
		for _, probe := range probes {
			Expect(probe.Outcome(30 * time.Second)).To(Equal("done"))
		}
		harness.ExpectNoBreaches(played)
	})

	It("holds a busy server and ends Aborted, counted and picked again", func() {
		played := harness.StartReadyFleet("brazos", 63)
		pool := harness.ModelServers(played)
		for _, server := range pool {
			server.Mode = "partial"
		}
		Expect(scaled(played, "9").Status).To(Equal(200))
		last := pool[len(pool)-1]
		played.Run(20 * time.Second)
		Expect(retired(played, last.Name, retire.Held)).To(BeTrue())
		played.Run(20 * time.Second)
		Expect(retired(played, last.Name, retire.Aborted)).To(BeTrue())
		Expect(last.Unloaded()).To(BeFalse())
		Expect(listed(played, last.Name)).To(BeTrue(), "it is back in the picks")
		harness.ExpectNoBreaches(played)
	})

	It("to zero holds what is not shown empty, and never picks it again", func() {
		played := harness.StartReadyFleet("brazos", 64)
		pool := harness.ModelServers(played)
		pool[0].Mode = "partial"
		Expect(scaled(played, "0").Status).To(Equal(200))
		played.Run(70 * time.Second)
		Expect(harness.CountUnloaded(pool)).To(Equal(len(pool) - 1))
		Expect(retired(played, pool[0].Name, retire.Held)).To(BeTrue())
		Expect(listed(played, pool[0].Name)).To(BeFalse())
		pool[0].Mode = ""
		played.Run(20 * time.Second)
		Expect(harness.CountUnloaded(pool)).To(Equal(len(pool)))
		harness.ExpectNoBreaches(played)
	})

	It("goes on under a successor, which starts the window again", func() {
		played := harness.StartReadyFleet("brazos", 65)
		pool := harness.ModelServers(played)
		Expect(scaled(played, "9").Status).To(Equal(200))
		last := pool[len(pool)-1]
		region := harness.HomeRegion(played)
		owner := played.Owner(region, contract.ShardOf(last.Name, 2))
		played.Run(4 * time.Second)
		owner.Freeze()
		taken := played.World.Now
		Expect(played.Until(30*time.Second, last.Unloaded)).To(BeTrue())
		Expect(played.World.Now - taken).To(BeNumerically(">=", 7*time.Second))
		owner.Wake()
		played.Run(5 * time.Second)
		Expect(played.Platform.Stale).To(BeZero())
		harness.ExpectNoBreaches(played)
	})
})

var _ = Describe("a server that runs and holds calls when it is retired", func() {
	It("is let go once they have ended, within its budget, whatever was given up there", func() {
		for _, cause := range []string{"scale-down", "scale-to-zero"} {
			retired := fleet.Retire(harness.LoadSite("brazos"), 1, cause)
			Expect(retired.Released).To(BeTrue(), "%s: %+v", cause, retired)
			Expect(retired.Breaches).To(BeZero())
		}
	})
})

func listed(played *fleet.Fleet, server string) bool {
	answer := played.Operate(played.Machines[3], contract.OperatorRequest{Verb: contract.VerbShards})
	return strings.Contains(strings.ReplaceAll(string(harness.EncodeJSON(answer.Body)), `"server":"`+server, ""), `"`+server+`"`)
}

var _ = Describe("a server marked as leaving", func() {
	for _, name := range harness.SiteNames {
		It("gets no new work in "+name+" soon after, whoever is frozen or cut off", func() {
			for seed := uint64(70); seed < 76; seed++ {
				played := harness.StartReadyFleet(name, seed)
				played.Traffic(40*time.Second, 1)
				played.Run(8 * time.Second)
				server := harness.ModelServers(played)[int(seed)%3]
				owner := played.Owner(server.Region, contract.ShardOf(server.Name, 2))
				inside := played.InRegion(server.Region)
				switch seed % 3 {
				case 0:
					owner.Freeze()
					played.World.After(9*time.Second, owner.Wake)
				case 1:
					played.World.CutBoth([]string{owner.Name}, fleet.Names(inside[:len(inside)/2]))
				case 2:
					played.CutFor([]string{owner.Name}, 9*time.Second, false)
				}
				server.Mark(20 * time.Second)
				played.Run(15 * time.Second)
				played.World.Heal()
				played.World.After(20*time.Second, server.Replace)
				harness.ExpectNoBreaches(played)
				Expect(played.Ledger.Stats.LatePick).To(BeNumerically("<", 4*time.Second))
			}
		})
	}

	It("is left by its sessions at once and cut at the platform's time; the next turn lands elsewhere", func() {
		played := harness.StartReadyFleet("seri", 77)
		played.Run(10 * time.Second)
		node := played.InRegion(harness.HomeRegion(played))[0]
		probe := played.Probe("short", harness.HomeRegion(played)).With(longRuns).Send(node)
		played.Run(time.Second)
		server := played.Running()[0]
		server.Mark(4 * time.Second)
		Expect(probe.Outcome(10 * time.Second)).To(Equal("interrupted"))
		next := played.Probe("short", harness.HomeRegion(played)).Send(node)
		Expect(next.Outcome(10 * time.Second)).To(Equal("done"))
		harness.ExpectNoBreaches(played)
	})

	It("gives back the calls that it never started, and they run once, elsewhere", func() {
		played := harness.StartReadyFleet("brazos", 78)
		played.Run(10 * time.Second)
		node := played.InRegion(harness.HomeRegion(played))[0]
		pool := harness.ModelServers(played)
		for _, server := range pool[1:] {
			server.Crash()
		}
		played.Run(3 * time.Second)
		probes := []*fleet.Probe{}
		for _, at := range played.InRegion(harness.HomeRegion(played)) {
			for range 3 {
				probes = append(probes, played.Probe("short", harness.HomeRegion(played)).With(longRuns).Send(at))
			}
		}
		played.Run(time.Second)
		for _, server := range pool[1:] {
			server.Replace()
		}
		played.Run(4 * time.Second)
		pool[0].Mark(6 * time.Second)
		done := 0
		for _, probe := range probes {
			if probe.Outcome(60*time.Second) == "done" {
				done++
			}
		}
		Expect(node).NotTo(BeNil())
		Expect(done).To(BeNumerically(">", 4))
		harness.ExpectNoBreaches(played)
	})
})

var _ = Describe("a broken platform listing", func() {
	It("is not an empty one, and stops the picks only after its grace", func() {
		played := harness.StartReadyFleet("brazos", 79)
		played.Traffic(20*time.Second, 0.5)
		played.Run(5 * time.Second)
		played.Platform.Broken = true
		played.Run(1500 * time.Millisecond)
		Expect(played.Serves()).To(BeTrue())
		played.Run(4 * time.Second)
		Expect(played.Serves()).To(BeFalse(), "a server could be leaving and nobody would know")
		played.Platform.Broken = false
		Expect(played.Until(3*time.Second, played.Serves)).To(BeTrue())
		harness.ExpectNoBreaches(played)
	})
})
