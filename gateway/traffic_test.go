package gateway

import (
	"fmt"
	"time"

	"github.com/cedarreel/cedarreel/contract"
	"github.com/cedarreel/cedarreel/engine"
	"github.com/cedarreel/cedarreel/manifest"
	. "github.com/onsi/gomega"
)

var _ = Describe("admission", func() {
	It("given no configuration, when a call arrives, then it is refused with a time to come back, never with 404", func() {
		router := &testRouter{Router: NewRouter(settingsFor("node000"), seededRandom(1))}
		Expect(router.Ready(router.now)).To(BeFalse())
		refusal := expectRefusal(router.arrive("/none/x", nil))
		Expect(refusal.Status).To(Equal(503))
		Expect(refusal.RetryAfter).To(BeNumerically(">", 0))
		router.Handle(0, eastList("a"))
		Expect(expectRefusal(router.arrive("/none/x", nil)).Status).To(Equal(503))
	})

	It("given the list of one region of two, when a call arrives, then it waits for the other list, but not for long", func() {
		router := &testRouter{Router: NewRouter(settingsFor("node000"), seededRandom(1))}
		router.Handle(0, configuration(nil))
		Expect(len(router.manifest.Regions)).To(BeNumerically(">", 1))
		router.Handle(0, eastList("a"))
		Expect(router.Ready(0)).To(BeFalse())
		Expect(expectRefusal(router.arrive("/read/x", nil)).RetryAfter).To(BeNumerically(">", 0))
		Expect(router.Ready(router.policy.Contact)).To(BeTrue())
	})

	It("given a manifest without any routes yet, when a call arrives, then it is refused, not told that there is no route", func() {
		router := startedRouter(func(read *manifest.Manifest) { read.Gateway = manifest.Gateway{} }, eastList("a"))
		Expect(router.Ready(router.now)).To(BeFalse())
		Expect(expectRefusal(router.arrive("/read/x", nil)).Status).To(Equal(503))
	})

	It("given a configuration, when a call has no route, then it gets 404", func() {
		router := startedRouter(nil, eastList("a"))
		Expect(expectRefusal(router.arrive("/none/x", nil)).Status).To(Equal(404))
		Expect(expectRefusal(router.arrive("/read/x", func(arrive *CallArrived) { arrive.Host = "other.example" })).Status).To(Equal(404))
	})

	It("given a route that was removed or moved to another service, when the next call arrives, then only the new configuration holds", func() {
		router := startedRouter(nil, eastList("a"))
		router.endDispatch(router.dispatchCall("/read/x"), OutcomeComplete)
		router.Handle(router.now, configuration(func(read *manifest.Manifest) {
			read.Gateway.Revision = 2
			read.Gateway.Routes = read.Gateway.Routes.Without("read")
		}))
		Expect(expectRefusal(router.arrive("/read/x", nil)).Status).To(Equal(404))
		router.Handle(router.now, configuration(changeRoute("read", func(route *manifest.GatewayRoute) { route.Split[0].Service = "t" })))
		Expect(expectRefusal(router.arrive("/read/x", nil)).Status).To(Equal(503), "no server of that service is listed")
	})

	It("given no server of the service, when a call arrives, then it is refused with a time to come back", func() {
		refusal := expectRefusal(startedRouter(nil, eastList()).arrive("/write/x", nil))
		Expect(refusal.Status).To(Equal(503))
		Expect(refusal.RetryAfter).To(BeNumerically(">", 0))
	})

	It("given a caller that waits longer than the route allows, when the call is dispatched, then the shorter time holds", func() {
		router := startedRouter(changeRoute("read", func(route *manifest.GatewayRoute) { route.Timeout = 2 * time.Second }), eastList("a"))
		Expect(router.dispatchCall("/read/x").Timeout).To(Equal(2 * time.Second))
		Expect(expectDispatch(router.arrive("/read/x", func(arrive *CallArrived) { arrive.Timeout = 500 * time.Millisecond })).Timeout).To(Equal(500 * time.Millisecond))
		Expect(expectDispatch(router.arrive("/read/x", func(arrive *CallArrived) { arrive.Timeout = 0 })).Timeout).To(Equal(2 * time.Second))
	})

	It("given a split by weight, when many calls arrive, then each service gets its part and one of weight 0 gets none", func() {
		split := func(read *manifest.Manifest) {
			read.Gateway.Services["t"], read.Gateway.Services["u"] = manifest.Service{}, manifest.Service{}
			changeRoute("read", func(route *manifest.GatewayRoute) {
				route.Split = []manifest.WeightedService{{Service: "s", Weight: 75}, {Service: "t", Weight: 25}, {Service: "u", Weight: 0}}
			})(read)
		}
		servers := []contract.Candidate{}
		for _, service := range []string{"s", "t", "u"} {
			one := candidate("server-"+service, "east-a")
			one.Pool = service
			servers = append(servers, one)
		}
		router, counts := startedRouter(split, listOf("east", servers...)), map[string]int{}
		for range 2000 {
			dispatch := router.dispatchCall("/read/x")
			counts[dispatch.Server.Pool]++
			router.endDispatch(dispatch, OutcomeComplete)
		}
		Expect(counts).NotTo(HaveKey("u"))
		Expect(counts["s"]).To(BeNumerically("~", 1500, 100))
	})
})

var _ = Describe("the pick of a server", func() {
	engines := func(read *manifest.Manifest) {
		read.Gateway.Services["s"] = manifest.Service{Engine: &manifest.Engine{Slots: 16, TokenCapacity: 200000, TokensPerStep: 1}}
	}
	west := listOf("west", candidate("w1", "west-a"), candidate("w2", "west-a"))

	It("given a route with home regions, when no server there can take the call, then it is refused rather than sent to another region", func() {
		router := startedRouter(changeRoute("read", func(route *manifest.GatewayRoute) { route.AllowedRegions = []string{"east"} }), eastList("a", "b"), west)
		for range 200 {
			command := router.arrive("/read/x", nil)
			for _, outcome := range []Outcome{OutcomeBroken, OutcomeNotSent, OutcomeNotRun} {
				dispatch, sent := command.(Dispatch)
				if !sent {
					break
				}
				Expect([]string{"a", "b"}).To(ContainElement(dispatch.Server.Name))
				command = router.endDispatch(dispatch, outcome)
			}
			router.now += 50 * time.Millisecond
		}
		router.Handle(router.now, eastList())
		Expect(expectRefusal(router.arrive("/read/x", nil)).Status).To(Equal(503))
		Expect(router.dispatchCall("/write/x").Server.Zone).To(Equal("west-a"), "a route without home regions may go to another region")
	})

	It("given a drained zone, when calls arrive, then none goes there, even if it has the only servers", func() {
		router := startedRouter(func(read *manifest.Manifest) { read.Zones["east-a"] = manifest.Zone{Region: "east", Drained: true} },
			listOf("east", candidate("a", "east-a"), candidate("b", "east-b")))
		for range 100 {
			Expect(router.dispatchCall("/write/x").Server.Name).To(Equal("b"))
		}
		router.Handle(router.now, listOf("east", candidate("a", "east-a")))
		Expect(expectRefusal(router.arrive("/write/x", nil)).Status).To(Equal(503))
	})

	It("given a drain that ends, when many calls arrive, then the zone's cold servers get no more than their limit", func() {
		withDrain := func(drained bool) ConfigurationChanged {
			return configuration(func(read *manifest.Manifest) {
				read.Gateway.Services["s"] = manifest.Service{WarmupDuration: 3 * time.Second, WarmupRate: 10}
				read.Zones["east-a"] = manifest.Zone{Region: "east", Drained: drained}
			})
		}
		router := startedRouter(nil, eastList("a"))
		router.Handle(router.now, withDrain(true))
		router.Handle(router.now, withDrain(false))
		Expect(countUnderLoad(router, time.Second)).To(BeNumerically("<=", 10*1.5+5))
	})

	It("given a server that is new on the list, when many calls arrive, then it gets no more than its limit, but some", func() {
		router := startedRouter(func(read *manifest.Manifest) {
			read.Gateway.Services["s"] = manifest.Service{WarmupDuration: 3 * time.Second, WarmupRate: 10}
		}, eastList())
		router.Handle(router.now, eastList("a"))
		count := countUnderLoad(router, time.Second)
		Expect(count).To(BeNumerically("<=", 10*1.5+5))
		Expect(count).To(BeNumerically(">=", 5))
	})

	It("given a server that reports a warm-up, when many calls arrive, then it gets no more than its limit", func() {
		router := startedRouter(func(read *manifest.Manifest) {
			read.Gateway.Services["s"] = manifest.Service{WarmupDuration: 3 * time.Second, WarmupRate: 10}
		})
		warming := candidate("a", "east-a")
		warming.WarmupMs = 2000
		router.Handle(router.now, listOf("east", warming))
		Expect(countUnderLoad(router, time.Second)).To(BeNumerically("<=", 10*1.5+5))
	})

	It("given a service whose servers are never cold, when one is new on the list, then it takes calls at once", func() {
		router := startedRouter(nil, eastList())
		router.Handle(router.now, eastList("a"))
		Expect(router.dispatchCall("/write/x").Server.Name).To(Equal("a"))
	})

	It("given servers with a connection limit, when many calls arrive, then this node's part of it holds", func() {
		router := startedRouter(func(read *manifest.Manifest) { read.Gateway.Services["s"] = manifest.Service{MaxConnections: 100} }, eastList("a", "b"))
		router.Handle(router.now, FleetChanged{Self: "node000-data", Names: fleetOf(10)})
		sent := map[string]int{}
		for range 100 {
			if dispatch, ok := router.arrive("/write/x", nil).(Dispatch); ok {
				sent[dispatch.Server.Name]++
			}
		}
		Expect(sent["a"]).To(BeNumerically("<=", 10))
		Expect(sent["b"]).To(BeNumerically("<=", 10))
	})

	It("given nodes with the same list, when prompts with a shared start arrive, then all nodes choose the same holder", func() {
		holders := map[string]bool{}
		for subject := range 20 {
			prompt, names := engine.Prompt{Model: "m", Input: 5000, Parts: []engine.Part{{ID: fmt.Sprint("shared", subject), Tokens: 4500}, {ID: "own", Tokens: 500}}}, map[string]bool{}
			for node := range 10 {
				router := startedRouter(engines, eastList("a", "b", "c", "d", "e"), listOf("west", candidate("w1", "west-a")))
				router.random = seededRandom(uint64(node))
				own := prompt
				own.Parts = []engine.Part{prompt.Parts[0], {ID: fmt.Sprint("own", node), Tokens: 500}}
				names[router.dispatchPrompt("/stream/x", own).Server.Name] = true
			}
			Expect(names).To(HaveLen(1), "nodes disagree on prompt %d", subject)
			for name := range names {
				holders[name] = true
			}
		}
		Expect(len(holders)).To(BeNumerically(">=", 4), "the prompts are spread over servers")
	})

	It("given one server that leaves the list, when prompts arrive, then only the prompts that it held get another holder", func() {
		for subject := range 100 {
			prompt := engine.Prompt{Model: "m", Input: 4001, Parts: []engine.Part{{ID: fmt.Sprint(subject), Tokens: 4000}, {ID: "own", Tokens: 1}}}
			if before := startedRouter(engines, eastList("a", "b", "c", "d")).dispatchPrompt("/stream/x", prompt).Server.Name; before != "d" {
				Expect(startedRouter(engines, eastList("a", "b", "c")).dispatchPrompt("/stream/x", prompt).Server.Name).To(Equal(before))
			}
		}
	})
})

// countUnderLoad counts the dispatches while a caller sends a call every 5 ms, whatever it is told.
func countUnderLoad(router *testRouter, span time.Duration) int {
	GinkgoHelper()
	count, ends := 0, router.now+span
	for ; router.now < ends; router.now += 5 * time.Millisecond {
		if dispatch, ok := router.arrive("/write/x", nil).(Dispatch); ok {
			count++
			router.endDispatch(dispatch, OutcomeComplete)
		}
	}
	return count
}
