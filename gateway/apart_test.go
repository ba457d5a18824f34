package gateway

import (
	"fmt"
	"time"

	"github.com/cedarreel/cedarreel/contract"
	"github.com/cedarreel/cedarreel/engine"
	"github.com/cedarreel/cedarreel/index"
	"github.com/cedarreel/cedarreel/manifest"
	. "github.com/onsi/gomega"
)

// shortPromptFor returns a prompt whose shared part is too short for a place in the index.
func shortPromptFor(own string) engine.Prompt {
	return engine.Prompt{Model: "m", Input: 300, Output: 50, Parts: []engine.Part{{ID: "hello", Tokens: 90}, {ID: own, Tokens: 210}}}
}

// twoRegions returns the router of a node in the east with the given numbers of servers in both regions. Short prompts go to the east, and to the
// west too if shortWest is set.
func twoRegions(east, west int, shortWest bool) *testRouter {
	GinkgoHelper()
	eastern, western := ServersListed{Region: "east"}, ServersListed{Region: "west"}
	for number := range east {
		eastern.Servers = append(eastern.Servers, candidate(fmt.Sprintf("e%02d", number), "east-a"))
	}
	for number := range west {
		western.Servers = append(western.Servers, candidate(fmt.Sprintf("w%02d", number), "west-a"))
	}
	router := startedRouter(withEngines, eastern, western)
	router.Handle(router.now, IndexReachability{OwnerKnown: true})
	router.recordPromptSize(router.now, &callState{service: "s"}, "east", false)
	if shortWest {
		router.recordPromptSize(router.now, &callState{service: "s"}, "west", false)
	}
	return router
}

func offeredCandidates(router *testRouter) (own, others []string) {
	GinkgoHelper()
	ask := expectPlaceQuery(router.sendLongPrompt("one"))
	for _, name := range ask.Ask.Candidates {
		if name[0] == 'e' {
			Expect(others).To(BeEmpty(), "the own region comes first")
			own = append(own, name)
		} else {
			others = append(others, name)
		}
	}
	return own, others
}

var _ = Describe("placement of long prompts", func() {
	reportLoad := func(router *testRouter, running int64) {
		for _, server := range router.serversByService["s"] {
			server.updateLoad(&Load{Running: running, Slots: 16})
		}
	}

	It("given a region that gets only long prompts, when a prompt is new in the other region, then some servers of its own region come before those of the former", func() {
		router := twoRegions(12, 12, false)
		reportLoad(router, 6)
		own, others := offeredCandidates(router)
		Expect(own).To(HaveLen(4), "a third of the own region")
		Expect(others).To(HaveLen(12))
		for _, name := range own {
			Expect(router.servers[name].meantForLong(true)).To(BeTrue())
		}
	})

	DescribeTable("given a region that gets only long prompts, when a prompt is new in the other region and that is short of capacity, then its servers are left to short prompts", func(addLoad func(*testRouter)) {
		router := twoRegions(12, 12, false)
		reportLoad(router, 6)
		addLoad(router)
		own, others := offeredCandidates(router)
		Expect(own).To(BeEmpty())
		Expect(others).To(HaveLen(12))
	},
		Entry("many calls", func(router *testRouter) { reportLoad(router, 7) }),
		Entry("loads unknown", func(router *testRouter) {
			for _, server := range router.serversByService["s"] {
				server.load = Load{}
			}
		}),
		Entry("cold servers", func(router *testRouter) {
			for number := range 4 {
				router.servers[fmt.Sprintf("e%02d", number)].ramp.coldUntil = router.now + time.Second
			}
		}),
		Entry("a drained zone", func(router *testRouter) {
			zone := router.manifest.Zones["east-b"]
			zone.Drained = true
			router.manifest.Zones["east-b"] = zone
			for number := range 4 {
				router.servers[fmt.Sprintf("e%02d", number)].Zone = "east-b"
			}
		}),
	)

	// sendTolerating sends a short call to the east that tolerates no longer pause than the gap.
	sendTolerating := func(router *testRouter, gap time.Duration) {
		router.recordPromptSize(router.now, &callState{service: "s", route: manifest.GatewayRoute{LatencyTarget: 800 * time.Millisecond, TokenGap: gap}}, "east", false)
	}

	DescribeTable("given short calls that tolerate a pause, when a prompt that takes 280 ms to read is new there, then it goes to the region without short ones unless they tolerate it", func(gap time.Duration, own int) {
		router := twoRegions(12, 12, false)
		reportLoad(router, 6)
		sendTolerating(router, gap)
		offered, others := offeredCandidates(router)
		Expect(offered).To(HaveLen(own))
		Expect(others).To(HaveLen(12))
	},
		Entry("a gap of 400 ms", 400*time.Millisecond, 0),
		Entry("a gap of 600 ms", 600*time.Millisecond, 4),
		Entry("no gap, an aim of 800 ms", time.Duration(0), 4),
	)

	It("given short calls with different gaps, when a long prompt is new there, then the shortest gap decides, until no such call has come for a while", func() {
		router := twoRegions(12, 12, false)
		reportLoad(router, 6)
		sendTolerating(router, 400*time.Millisecond)
		sendTolerating(router, 600*time.Millisecond)
		own, _ := offeredCandidates(router)
		Expect(own).To(BeEmpty())
		router.now += router.policy.RepeatWindow - time.Millisecond
		sendTolerating(router, 600*time.Millisecond)
		own, _ = offeredCandidates(router)
		Expect(own).To(BeEmpty())
		router.now += time.Millisecond
		sendTolerating(router, 600*time.Millisecond)
		own, _ = offeredCandidates(router)
		Expect(own).To(HaveLen(4))
	})

	It("given short calls that tolerate a short pause, when the region without short ones has too few servers, then long prompts still go beside them", func() {
		router := twoRegions(12, 3, false)
		reportLoad(router, 6)
		sendTolerating(router, 400*time.Millisecond)
		own, others := offeredCandidates(router)
		Expect(own).To(HaveLen(8))
		Expect(others).To(HaveLen(3))
	})

	It("given short calls that tolerate a short pause, when a long prompt may not leave their region, then it goes to the servers meant for long ones", func() {
		router := twoRegions(12, 12, false)
		reportLoad(router, 6)
		sendTolerating(router, 400*time.Millisecond)
		router.Handle(router.now, configuration(func(read *manifest.Manifest) {
			withEngines(read)
			changeRoute("stream", func(route *manifest.GatewayRoute) { route.AllowedRegions = []string{"east"} })(read)
		}))
		own, others := offeredCandidates(router)
		Expect(own).To(HaveLen(4))
		Expect(others).To(BeEmpty())
	})

	It("given a region that gets only long prompts, when it has too few servers, then two thirds of the others take long ones too, whatever their load", func() {
		router := twoRegions(12, 3, false)
		reportLoad(router, 16)
		own, others := offeredCandidates(router)
		Expect(own).To(HaveLen(8))
		Expect(others).To(HaveLen(3))
	})

	It("given a region that takes most long prompts, when its servers become unusable, then that is noticed after a moment, and at once when a list arrives", func() {
		router := twoRegions(12, 12, false)
		Expect(router.longPromptsRelieved(router.now, "s")).To(BeTrue())
		for number := range 10 {
			router.servers[fmt.Sprintf("w%02d", number)].wrongServer = true
		}
		router.now += router.policy.Contact/reliefMemoryDivisor - 1
		Expect(router.longPromptsRelieved(router.now, "s")).To(BeTrue())
		router.now++
		Expect(router.longPromptsRelieved(router.now, "s")).To(BeFalse())
		router.Handle(router.now, listOf("east", candidate("e00", "east-a")))
		Expect(router.longPromptsRelieved(router.now, "s")).To(BeTrue())
	})

	DescribeTable("given servers in two regions, when a prompt is new, then those of the own region come first and some of the others follow", func(east, west, own, others int) {
		nearby, distant := offeredCandidates(twoRegions(east, west, true))
		Expect(nearby).To(HaveLen(own))
		Expect(distant).To(HaveLen(others))
		Expect(len(nearby) + len(distant)).To(BeNumerically("<=", index.MaxCandidates))
	},
		Entry("many in both", 36, 36, 12, 4),
		Entry("few here", 6, 36, 4, 12),
		Entry("few there", 36, 6, 12, 4),
		Entry("hardly any there", 36, 2, 16, 0),
		Entry("none here", 0, 36, 0, 16),
		Entry("few in both", 6, 6, 4, 4),
	)

	It("given no server that is meant for long prompts, when a prompt is new, then all are offered", func() {
		own, others := offeredCandidates(twoRegions(2, 2, true))
		Expect(own).To(HaveLen(2))
		Expect(others).To(HaveLen(2))
	})

	It("given two nodes of a region, when they ask for the same prompt, then they offer the same candidates in the same order", func() {
		first, second := expectPlaceQuery(twoRegions(36, 36, true).sendLongPrompt("one")), expectPlaceQuery(twoRegions(36, 36, true).sendLongPrompt("two"))
		Expect(first.Ask.Candidates).To(Equal(second.Ask.Candidates))
	})

	It("given no answer, when calls arrive, then long prompts go to servers meant for them, and short ones stay in their region", func() {
		router := twoRegions(12, 12, true)
		router.Handle(router.now, IndexReachability{})
		Expect(router.servers[router.dispatchPrompt("/stream/x", longPrompt("one")).Server.Name].meantForLong(false)).To(BeTrue())
		for number := range 64 {
			Expect(router.dispatchPrompt("/stream/x", shortPromptFor(fmt.Sprint(number))).Server.Name).To(HavePrefix("e"))
		}
	})
})

var _ = Describe("short prompts of other nodes", func() {
	It("given a node that sends no short prompts itself, when other nodes report some, then their region is mixed, until none are reported", func() {
		router := twoRegions(12, 12, false)
		west := router.servers["w00"]
		Expect(router.isMixed(router.now, west)).To(BeFalse())
		router.Handle(router.now, ObservationsChanged{Region: "west", CallObservations: contract.CallObservations{ShortPromptGapMs: map[string]int64{"s": 400}}})
		Expect(router.isMixed(router.now, west)).To(BeTrue())
		Expect(router.longPromptsRelieved(router.now, "s")).To(BeFalse())
		Expect(west.promptSizes.shortestPause()).To(Equal(400 * time.Millisecond))
		Expect(west.interferenceCost()).To(BeNumerically("~", 400*time.Millisecond/6, time.Millisecond))
		router.Handle(router.now, ObservationsChanged{Region: "west"})
		Expect(router.isMixed(router.now, west)).To(BeFalse())
		Expect(router.longPromptsRelieved(router.now, "s")).To(BeTrue())
	})

	It("given observations of other nodes, when this node reports its own calls, then only those are reported, as long as they are recent", func() {
		router := twoRegions(4, 4, false)
		router.Handle(router.now, ObservationsChanged{Region: "west", CallObservations: contract.CallObservations{ShortPromptGapMs: map[string]int64{"s": 400}}})
		Expect(router.Observations(router.now, "west").ShortPromptGapMs).To(BeEmpty())
		Expect(router.Observations(router.now, "east").ShortPromptGapMs).To(Equal(map[string]int64{"s": 1}))
		Expect(router.Observations(router.now+router.policy.RepeatWindow, "east").ShortPromptGapMs).To(BeEmpty())
	})

	It("given the first calls of a service, when nobody can know yet where short prompts go, then all regions count as mixed for a moment", func() {
		router := twoRegions(4, 4, false)
		router.firstCalls = map[string]time.Duration{}
		west := router.servers["w00"]
		Expect(router.isMixed(router.now, west)).To(BeTrue())
		router.sendLongPrompt("one")
		Expect(router.isMixed(router.now+router.policy.Contact/settleDivisor-1, west)).To(BeTrue())
		Expect(router.isMixed(router.now+router.policy.Contact/settleDivisor, west)).To(BeFalse())
	})

	It("given pauses of this node and of the fleet, when the shortest is asked for, then the shorter one is returned, and its cost never drives a call out of its region", func() {
		for _, test := range []struct{ own, shared, least time.Duration }{{0, 0, 0}, {0, 5, 5}, {7, 0, 7}, {7, 5, 5}, {5, 7, 5}} {
			Expect((&sizeHistory{minPause: test.own, fleetMinPause: test.shared}).shortestPause()).To(Equal(test.least))
		}
		Expect((&serverState{promptSizes: &sizeHistory{minPause: time.Hour}}).interferenceCost()).To(BeNumerically("<", otherRegionCost))
		Expect((&serverState{promptSizes: &sizeHistory{}}).interferenceCost()).To(Equal(defaultInterference))
	})
})
