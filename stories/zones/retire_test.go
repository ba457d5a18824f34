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

// listRetirements returns the retirements that a control node reports to operators.
func listRetirements(testFleet *fleet.Fleet) []shard.RetirementStatus {
	answer := testFleet.Operate(testFleet.Machines[2], contract.OperatorRequest{Verb: contract.VerbRetirements})
	body, _ := answer.Body.(map[string]any)
	rows, _ := body["retirements"].([]shard.RetirementStatus)
	return rows
}

// hasRetirement reports whether the server's retirement is listed with the state.
func hasRetirement(testFleet *fleet.Fleet, server string, state retire.State) bool {
	return slices.ContainsFunc(listRetirements(testFleet), func(row shard.RetirementStatus) bool { return row.Server == server && row.State == state })
}

// scalePool scales the first pool to the given number of servers and waits for the result.
func scalePool(testFleet *fleet.Fleet, count string) fleet.WriteRecord {
	return testFleet.WriteAndWait(testFleet.Machines[5], contract.OperatorRequest{Verb: contract.VerbScale, Subject: testFleet.Servers[0].Pool, Body: []byte(count)})
}

// longReply makes a reply long enough that the call still runs when its server is retired.
func longReply(caller *site.Caller) { caller.Pieces = 600 }

var _ = Describe("scale-down", func() {
	for _, name := range harness.SiteNames {
		It("withdraws, waits, reads and unloads in "+name+", and scaling up loads again", func() {
			testFleet := harness.StartReadyFleet(name, 61)
			servers := harness.ModelServers(testFleet)
			testFleet.Traffic(40*time.Second, 0.5)
			testFleet.Run(5 * time.Second)
			Expect(scalePool(testFleet, "3").Status).To(Equal(200))
			testFleet.Run(5 * time.Second)
			Expect(harness.CountUnloaded(servers)).To(BeZero(), "the window is not over")
			testFleet.Run(10 * time.Second)
			Expect(harness.CountUnloaded(servers)).To(Equal(len(servers) - 3))
			Expect(scalePool(testFleet, "5").Status).To(Equal(200))
			testFleet.Run(5 * time.Second)
			Expect(harness.CountUnloaded(servers)).To(Equal(len(servers) - 5))
			harness.ExpectNoBreaches(testFleet)
		})
	}

	It("never unloads under a late prompt that the idle reports miss", func() {
		testFleet := harness.StartReadyFleet("brazos", 62)
		servers := harness.ModelServers(testFleet)
		for _, server := range servers {
			server.ReportLag = 20 * time.Second
		}
		testFleet.Run(10 * time.Second)
		probes := []*fleet.Probe{}
		for index := range 12 {
			probes = append(probes, testFleet.Probe("short", harness.HomeRegion(testFleet)).WithProfile(longReply).Send(testFleet.InRegion(harness.HomeRegion(testFleet))[index%8]))
		}
		Expect(scalePool(testFleet, "1").Status).To(Equal(200))
		testFleet.Run(20 * time.Second)
		for _, probe := range probes {
			Expect(probe.Outcome(30 * time.Second)).To(Equal("done"))
		}
		harness.ExpectNoBreaches(testFleet)
	})

	It("holds a busy server and ends Aborted, counted and picked again", func() {
		testFleet := harness.StartReadyFleet("brazos", 63)
		servers := harness.ModelServers(testFleet)
		for _, server := range servers {
			server.FaultMode = "partial"
		}
		Expect(scalePool(testFleet, "9").Status).To(Equal(200))
		lastServer := servers[len(servers)-1]
		testFleet.Run(20 * time.Second)
		Expect(hasRetirement(testFleet, lastServer.Name, retire.Held)).To(BeTrue())
		testFleet.Run(20 * time.Second)
		Expect(hasRetirement(testFleet, lastServer.Name, retire.Aborted)).To(BeTrue())
		Expect(lastServer.Unloaded()).To(BeFalse())
		Expect(listedByShards(testFleet, lastServer.Name)).To(BeTrue(), "it is back in the picks")
		harness.ExpectNoBreaches(testFleet)
	})

	It("to zero holds what is not shown empty, and never picks it again", func() {
		testFleet := harness.StartReadyFleet("brazos", 64)
		servers := harness.ModelServers(testFleet)
		servers[0].FaultMode = "partial"
		Expect(scalePool(testFleet, "0").Status).To(Equal(200))
		testFleet.Run(70 * time.Second)
		Expect(harness.CountUnloaded(servers)).To(Equal(len(servers) - 1))
		Expect(hasRetirement(testFleet, servers[0].Name, retire.Held)).To(BeTrue())
		Expect(listedByShards(testFleet, servers[0].Name)).To(BeFalse())
		servers[0].FaultMode = ""
		testFleet.Run(20 * time.Second)
		Expect(harness.CountUnloaded(servers)).To(Equal(len(servers)))
		harness.ExpectNoBreaches(testFleet)
	})

	It("goes on under a successor, which starts the window again", func() {
		testFleet := harness.StartReadyFleet("brazos", 65)
		servers := harness.ModelServers(testFleet)
		Expect(scalePool(testFleet, "9").Status).To(Equal(200))
		lastServer := servers[len(servers)-1]
		region := harness.HomeRegion(testFleet)
		owner := testFleet.Owner(region, contract.ShardOf(lastServer.Name, 2))
		testFleet.Run(4 * time.Second)
		owner.Freeze()
		frozenAt := testFleet.World.Now
		Expect(testFleet.RunUntil(30*time.Second, lastServer.Unloaded)).To(BeTrue())
		Expect(testFleet.World.Now - frozenAt).To(BeNumerically(">=", 7*time.Second))
		owner.Wake()
		testFleet.Run(5 * time.Second)
		Expect(testFleet.Platform.StaleOrders).To(BeZero())
		harness.ExpectNoBreaches(testFleet)
	})
})

var _ = Describe("a server that runs and holds calls when it is retired", func() {
	It("is let go once they have ended, within its budget, whatever was given up there", func() {
		for _, cause := range []string{"scale-down", "scale-to-zero"} {
			result := fleet.Retire(harness.LoadSite("brazos"), 1, cause)
			Expect(result.Released).To(BeTrue(), "%s: %+v", cause, result)
			Expect(result.Violations).To(BeZero())
		}
	})
})

// listedByShards reports whether the operator's view of the shards offers the server for picks. A retirement also names the server, as the
// field "server"; that mention does not count.
func listedByShards(testFleet *fleet.Fleet, server string) bool {
	answer := testFleet.Operate(testFleet.Machines[3], contract.OperatorRequest{Verb: contract.VerbShards})
	return strings.Contains(strings.ReplaceAll(string(harness.EncodeJSON(answer.Body)), `"server":"`+server, ""), `"`+server+`"`)
}

var _ = Describe("a server marked as leaving", func() {
	for _, name := range harness.SiteNames {
		It("gets no new work in "+name+" soon after, whoever is frozen or cut off", func() {
			for seed := uint64(70); seed < 76; seed++ {
				testFleet := harness.StartReadyFleet(name, seed)
				testFleet.Traffic(40*time.Second, 1)
				testFleet.Run(8 * time.Second)
				server := harness.ModelServers(testFleet)[int(seed)%3]
				owner := testFleet.Owner(server.Region, contract.ShardOf(server.Name, 2))
				regionMachines := testFleet.InRegion(server.Region)
				switch seed % 3 {
				case 0:
					owner.Freeze()
					testFleet.World.After(9*time.Second, owner.Wake)
				case 1:
					testFleet.World.CutBoth([]string{owner.Name}, fleet.Names(regionMachines[:len(regionMachines)/2]))
				case 2:
					testFleet.CutFor([]string{owner.Name}, 9*time.Second, false)
				}
				server.MarkLeaving(20 * time.Second)
				testFleet.Run(15 * time.Second)
				testFleet.World.Heal()
				testFleet.World.After(20*time.Second, server.Replace)
				harness.ExpectNoBreaches(testFleet)
				Expect(testFleet.Ledger.Stats.LatePick).To(BeNumerically("<", 4*time.Second))
			}
		})
	}

	It("is left by its sessions at once and cut at the platform's time; the next turn lands elsewhere", func() {
		testFleet := harness.StartReadyFleet("seri", 77)
		testFleet.Run(10 * time.Second)
		node := testFleet.InRegion(harness.HomeRegion(testFleet))[0]
		probe := testFleet.Probe("short", harness.HomeRegion(testFleet)).WithProfile(longReply).Send(node)
		testFleet.Run(time.Second)
		server := testFleet.BusyServers()[0]
		server.MarkLeaving(4 * time.Second)
		Expect(probe.Outcome(10 * time.Second)).To(Equal("interrupted"))
		nextProbe := testFleet.Probe("short", harness.HomeRegion(testFleet)).Send(node)
		Expect(nextProbe.Outcome(10 * time.Second)).To(Equal("done"))
		harness.ExpectNoBreaches(testFleet)
	})

	It("gives back the calls that it never started, and they run once, elsewhere", func() {
		testFleet := harness.StartReadyFleet("brazos", 78)
		testFleet.Run(10 * time.Second)
		node := testFleet.InRegion(harness.HomeRegion(testFleet))[0]
		servers := harness.ModelServers(testFleet)
		for _, server := range servers[1:] {
			server.Crash()
		}
		testFleet.Run(3 * time.Second)
		probes := []*fleet.Probe{}
		for _, machine := range testFleet.InRegion(harness.HomeRegion(testFleet)) {
			for range 3 {
				probes = append(probes, testFleet.Probe("short", harness.HomeRegion(testFleet)).WithProfile(longReply).Send(machine))
			}
		}
		testFleet.Run(time.Second)
		for _, server := range servers[1:] {
			server.Replace()
		}
		testFleet.Run(4 * time.Second)
		servers[0].MarkLeaving(6 * time.Second)
		done := 0
		for _, probe := range probes {
			if probe.Outcome(60*time.Second) == "done" {
				done++
			}
		}
		Expect(node).NotTo(BeNil())
		Expect(done).To(BeNumerically(">", 4))
		harness.ExpectNoBreaches(testFleet)
	})
})

var _ = Describe("a broken platform listing", func() {
	It("is not an empty one, and stops the picks only after its grace", func() {
		testFleet := harness.StartReadyFleet("brazos", 79)
		testFleet.Traffic(20*time.Second, 0.5)
		testFleet.Run(5 * time.Second)
		testFleet.Platform.Broken = true
		testFleet.Run(1500 * time.Millisecond)
		Expect(testFleet.Serving()).To(BeTrue())
		testFleet.Run(4 * time.Second)
		Expect(testFleet.Serving()).To(BeFalse(), "a server could be leaving and nobody would know")
		testFleet.Platform.Broken = false
		Expect(testFleet.RunUntil(3*time.Second, testFleet.Serving)).To(BeTrue())
		harness.ExpectNoBreaches(testFleet)
	})
})
