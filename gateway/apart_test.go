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

// homely is a prompt without a shared part that is worth a place.
func homely(own string) engine.Prompt {
	return engine.Prompt{Model: "m", Input: 300, Output: 50, Parts: []engine.Part{{ID: "hello", Tokens: 90}, {ID: own, Tokens: 210}}}
}

// twoRegions is a node of the east with so many servers in the east and in the west; short prompts go to both, or to the east alone.
func twoRegions(east, west int, shortWest bool) *bench {
	GinkgoHelper()
	eastern, western := Listed{Region: "east"}, Listed{Region: "west"}
	for place := range east {
		eastern.Servers = append(eastern.Servers, candidate(fmt.Sprintf("e%02d", place), "east-a"))
	}
	for place := range west {
		western.Servers = append(western.Servers, candidate(fmt.Sprintf("w%02d", place), "west-a"))
	}
	bench := started(engines, eastern, western)
	bench.Handle(bench.now, Indexed{Known: true})
	bench.note(bench.now, &job{service: "s"}, "east", false)
	if shortWest {
		bench.note(bench.now, &job{service: "s"}, "west", false)
	}
	return bench
}

func offered(bench *bench) (own, others []string) {
	GinkgoHelper()
	ask := askedFor(bench.long("one"))
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

var _ = Describe("where long prompts may be placed", func() {
	told := func(bench *bench, running int64) {
		for _, server := range bench.services["s"] {
			server.told(&Load{Running: running, Slots: 16})
		}
	}

	It("given a region that only long prompts go to, when a prompt is new in the other one, then some servers of its own region come before them", func() {
		bench := twoRegions(12, 12, false)
		told(bench, 6)
		own, others := offered(bench)
		Expect(own).To(HaveLen(4), "a third of the own region")
		Expect(others).To(HaveLen(12))
		for _, name := range own {
			Expect(bench.servers[name].forLong(true)).To(BeTrue())
		}
	})

	DescribeTable("given a region that only long prompts go to, when a prompt is new in the other one and that is pressed, then its servers are left to short ones", func(press func(*bench)) {
		bench := twoRegions(12, 12, false)
		told(bench, 6)
		press(bench)
		own, others := offered(bench)
		Expect(own).To(BeEmpty())
		Expect(others).To(HaveLen(12))
	},
		Entry("many calls", func(bench *bench) { told(bench, 7) }),
		Entry("loads not known", func(bench *bench) {
			for _, server := range bench.services["s"] {
				server.load = Load{}
			}
		}),
		Entry("cold servers", func(bench *bench) {
			for place := range 4 {
				bench.servers[fmt.Sprintf("e%02d", place)].ramp.until = bench.now + time.Second
			}
		}),
		Entry("a drained zone", func(bench *bench) {
			zone := bench.read.Zones["east-b"]
			zone.Drained = true
			bench.read.Zones["east-b"] = zone
			for place := range 4 {
				bench.servers[fmt.Sprintf("e%02d", place)].Zone = "east-b"
			}
		}),
	)

	// bearing has short calls of the east bear no longer pause than a gap.
	bearing := func(bench *bench, gap time.Duration) {
		bench.note(bench.now, &job{service: "s", route: manifest.GatewayRoute{LatencyTarget: 800 * time.Millisecond, TokenGap: gap}}, "east", false)
	}

	DescribeTable("given short calls that bear a pause, when a prompt that takes 280 ms to read is new beside them, then it goes to the region without short ones unless they bear it", func(gap time.Duration, own int) {
		bench := twoRegions(12, 12, false)
		told(bench, 6)
		bearing(bench, gap)
		got, others := offered(bench)
		Expect(got).To(HaveLen(own))
		Expect(others).To(HaveLen(12))
	},
		Entry("a gap of 400 ms", 400*time.Millisecond, 0),
		Entry("a gap of 600 ms", 600*time.Millisecond, 4),
		Entry("no gap, an aim of 800 ms", time.Duration(0), 4),
	)

	It("given short calls with different gaps, when a long prompt is new beside them, then the least that any bears decides, until none of those came for a while", func() {
		bench := twoRegions(12, 12, false)
		told(bench, 6)
		bearing(bench, 400*time.Millisecond)
		bearing(bench, 600*time.Millisecond)
		own, _ := offered(bench)
		Expect(own).To(BeEmpty())
		bench.now += bench.terms.RepeatWindow - time.Millisecond
		bearing(bench, 600*time.Millisecond)
		own, _ = offered(bench)
		Expect(own).To(BeEmpty())
		bench.now += time.Millisecond
		bearing(bench, 600*time.Millisecond)
		own, _ = offered(bench)
		Expect(own).To(HaveLen(4))
	})

	It("given short calls that bear a short pause, when the region without short ones has too few servers, then long prompts are read beside them all the same", func() {
		bench := twoRegions(12, 3, false)
		told(bench, 6)
		bearing(bench, 400*time.Millisecond)
		own, others := offered(bench)
		Expect(own).To(HaveLen(8))
		Expect(others).To(HaveLen(3))
	})

	It("given short calls that bear a short pause, when a long prompt may not leave their region, then it goes to the servers that are meant for long ones", func() {
		bench := twoRegions(12, 12, false)
		told(bench, 6)
		bearing(bench, 400*time.Millisecond)
		bench.Handle(bench.now, config(func(read *manifest.Manifest) {
			engines(read)
			changeRoute("stream", func(route *manifest.GatewayRoute) { route.AllowedRegions = []string{"east"} })(read)
		}))
		own, others := offered(bench)
		Expect(own).To(HaveLen(4))
		Expect(others).To(BeEmpty())
	})

	It("given a region that only long prompts go to, when it has too few servers, then two thirds of the others take long ones too, pressed or not", func() {
		bench := twoRegions(12, 3, false)
		told(bench, 16)
		own, others := offered(bench)
		Expect(own).To(HaveLen(8))
		Expect(others).To(HaveLen(3))
	})

	It("given a region that takes most long prompts, when its servers fall away, then that is seen after a moment, and at once when a list tells it", func() {
		bench := twoRegions(12, 12, false)
		Expect(bench.relieved(bench.now, "s")).To(BeTrue())
		for place := range 10 {
			bench.servers[fmt.Sprintf("w%02d", place)].moved = true
		}
		bench.now += bench.terms.Contact/reliefPart - 1
		Expect(bench.relieved(bench.now, "s")).To(BeTrue())
		bench.now++
		Expect(bench.relieved(bench.now, "s")).To(BeFalse())
		bench.Handle(bench.now, listOf("east", candidate("e00", "east-a")))
		Expect(bench.relieved(bench.now, "s")).To(BeTrue())
	})

	DescribeTable("given servers in two regions, when a prompt is new, then the own ones come first and some of the others follow", func(east, west, own, others int) {
		got, away := offered(twoRegions(east, west, true))
		Expect(got).To(HaveLen(own))
		Expect(away).To(HaveLen(others))
		Expect(len(got) + len(away)).To(BeNumerically("<=", index.MaxCandidates))
	},
		Entry("many in both", 36, 36, 12, 4),
		Entry("few here", 6, 36, 4, 12),
		Entry("few there", 36, 6, 12, 4),
		Entry("hardly any there", 36, 2, 16, 0),
		Entry("none here", 0, 36, 0, 16),
		Entry("few in both", 6, 6, 4, 4),
	)

	It("given no server that is meant for long prompts, when a prompt is new, then all are offered", func() {
		own, others := offered(twoRegions(2, 2, true))
		Expect(own).To(HaveLen(2))
		Expect(others).To(HaveLen(2))
	})

	It("given two nodes of a region, when they ask for the same prompt, then they offer the same in the same order", func() {
		first, second := askedFor(twoRegions(36, 36, true).long("one")), askedFor(twoRegions(36, 36, true).long("two"))
		Expect(first.Ask.Candidates).To(Equal(second.Ask.Candidates))
	})

	It("given nobody who answers, when calls come, then long ones go to servers that are meant for them, and short ones stay in their region", func() {
		bench := twoRegions(12, 12, true)
		bench.Handle(bench.now, Indexed{})
		Expect(bench.servers[bench.promptly("/stream/x", contractText("one")).Server.Name].forLong(false)).To(BeTrue())
		for place := range 64 {
			Expect(bench.promptly("/stream/x", homely(fmt.Sprint(place))).Server.Name).To(HavePrefix("e"))
		}
	})
})

var _ = Describe("where short prompts of other nodes go", func() {
	It("given a node that sends no short prompts itself, when all nodes' are told, then their region is mixed, and free again once they are told no more", func() {
		bench := twoRegions(12, 12, false)
		west := bench.servers["w00"]
		Expect(bench.mixed(bench.now, west)).To(BeFalse())
		bench.Handle(bench.now, Observed{Region: "west", CallObservations: contract.CallObservations{ShortPromptGapMs: map[string]int64{"s": 400}}})
		Expect(bench.mixed(bench.now, west)).To(BeTrue())
		Expect(bench.relieved(bench.now, "s")).To(BeFalse())
		Expect(west.sizes.least()).To(Equal(400 * time.Millisecond))
		Expect(west.lostBeside()).To(BeNumerically("~", 400*time.Millisecond/6, time.Millisecond))
		bench.Handle(bench.now, Observed{Region: "west"})
		Expect(bench.mixed(bench.now, west)).To(BeFalse())
		Expect(bench.relieved(bench.now, "s")).To(BeTrue())
	})

	It("given what other nodes send, when this node tells of its own calls, then only those are told, for as long as they are recent", func() {
		bench := twoRegions(4, 4, false)
		bench.Handle(bench.now, Observed{Region: "west", CallObservations: contract.CallObservations{ShortPromptGapMs: map[string]int64{"s": 400}}})
		Expect(bench.Observed(bench.now, "west").ShortPromptGapMs).To(BeEmpty())
		Expect(bench.Observed(bench.now, "east").ShortPromptGapMs).To(Equal(map[string]int64{"s": 1}))
		Expect(bench.Observed(bench.now+bench.terms.RepeatWindow, "east").ShortPromptGapMs).To(BeEmpty())
	})

	It("given the first calls of a service, when nobody can know yet where short ones go, then all regions count as mixed for a moment", func() {
		bench := twoRegions(4, 4, false)
		bench.firstCalls = map[string]time.Duration{}
		west := bench.servers["w00"]
		Expect(bench.mixed(bench.now, west)).To(BeTrue())
		bench.long("one")
		Expect(bench.mixed(bench.now+bench.terms.Contact/acquaintedPart-1, west)).To(BeTrue())
		Expect(bench.mixed(bench.now+bench.terms.Contact/acquaintedPart, west)).To(BeFalse())
	})

	It("given pauses of both, when the least is asked for, then neither hides the shorter one, and a call never leaves its region for it", func() {
		for _, known := range []struct{ own, shared, least time.Duration }{{0, 0, 0}, {0, 5, 5}, {7, 0, 7}, {7, 5, 5}, {5, 7, 5}} {
			Expect((&seen{pause: known.own, shared: known.shared}).least()).To(Equal(known.least))
		}
		Expect((&server{sizes: &seen{pause: time.Hour}}).lostBeside()).To(BeNumerically("<", farRegion))
		Expect((&server{sizes: &seen{}}).lostBeside()).To(Equal(usualBeside))
	})
})
