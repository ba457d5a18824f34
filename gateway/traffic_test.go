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
	It("given no configuration, when a call comes, then it is refused with a time to come back, never with 404", func() {
		bench := &bench{Traffic: NewTraffic(settingsFor("node000"), seeded(1))}
		Expect(bench.Ready(bench.now)).To(BeFalse())
		refusal := refused(bench.asked("/none/x", nil))
		Expect(refusal.Status).To(Equal(503))
		Expect(refusal.After).To(BeNumerically(">", 0))
		bench.Handle(0, eastList("a"))
		Expect(refused(bench.asked("/none/x", nil)).Status).To(Equal(503))
	})

	It("given the list of one region of two, when a call comes, then it waits for the other list, but not for long", func() {
		bench := &bench{Traffic: NewTraffic(settingsFor("node000"), seeded(1))}
		bench.Handle(0, config(nil))
		Expect(len(bench.read.Regions)).To(BeNumerically(">", 1))
		bench.Handle(0, eastList("a"))
		Expect(bench.Ready(0)).To(BeFalse())
		Expect(refused(bench.asked("/read/x", nil)).After).To(BeNumerically(">", 0))
		Expect(bench.Ready(bench.terms.Contact)).To(BeTrue())
	})

	It("given a manifest without any routes yet, when a call comes, then it is refused, not told that there is no route", func() {
		bench := started(func(read *manifest.Manifest) { read.Gateway = manifest.Gateway{} }, eastList("a"))
		Expect(bench.Ready(bench.now)).To(BeFalse())
		Expect(refused(bench.asked("/read/x", nil)).Status).To(Equal(503))
	})

	It("given a configuration, when a call has no route, then it gets 404", func() {
		bench := started(nil, eastList("a"))
		Expect(refused(bench.asked("/none/x", nil)).Status).To(Equal(404))
		Expect(refused(bench.asked("/read/x", func(arrive *Arrive) { arrive.Host = "other.example" })).Status).To(Equal(404))
	})

	It("given a route that was removed or moved to another service, when the next call comes, then only the new configuration holds", func() {
		bench := started(nil, eastList("a"))
		bench.ends(bench.sent("/read/x"), Whole)
		bench.Handle(bench.now, config(func(read *manifest.Manifest) {
			read.Gateway.Revision = 2
			read.Gateway.Routes = read.Gateway.Routes.Without("read")
		}))
		Expect(refused(bench.asked("/read/x", nil)).Status).To(Equal(404))
		bench.Handle(bench.now, config(changeRoute("read", func(route *manifest.GatewayRoute) { route.Split[0].Service = "t" })))
		Expect(refused(bench.asked("/read/x", nil)).Status).To(Equal(503), "no server of that service is listed")
	})

	It("given no server of the service, when a call comes, then it is refused with a time to come back", func() {
		refusal := refused(started(nil, eastList()).asked("/write/x", nil))
		Expect(refusal.Status).To(Equal(503))
		Expect(refusal.After).To(BeNumerically(">", 0))
	})

	It("given a caller that waits longer than the route allows, when it is sent on, then the shorter time holds", func() {
		bench := started(changeRoute("read", func(route *manifest.GatewayRoute) { route.Timeout = 2 * time.Second }), eastList("a"))
		Expect(bench.sent("/read/x").Left).To(Equal(2 * time.Second))
		Expect(dispatched(bench.asked("/read/x", func(arrive *Arrive) { arrive.Left = 500 * time.Millisecond })).Left).To(Equal(500 * time.Millisecond))
		Expect(dispatched(bench.asked("/read/x", func(arrive *Arrive) { arrive.Left = 0 })).Left).To(Equal(2 * time.Second))
	})

	It("given a split of weights, when many calls come, then each service gets its part and one of weight 0 gets none", func() {
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
		bench, counts := started(split, listOf("east", servers...)), map[string]int{}
		for range 2000 {
			dispatch := bench.sent("/read/x")
			counts[dispatch.Server.Pool]++
			bench.ends(dispatch, Whole)
		}
		Expect(counts).NotTo(HaveKey("u"))
		Expect(counts["s"]).To(BeNumerically("~", 1500, 100))
	})
})

var _ = Describe("the pick of a server", func() {
	engines := func(read *manifest.Manifest) {
		read.Gateway.Services["s"] = manifest.Service{Engine: &manifest.Engine{Slots: 16, Tokens: 200000, TokensPerStep: 1}}
	}
	west := listOf("west", candidate("w1", "west-a"), candidate("w2", "west-a"))

	It("given a route with homes, when no server there can take it, then it is refused rather than sent abroad", func() {
		bench := started(changeRoute("read", func(route *manifest.GatewayRoute) { route.AllowedRegions = []string{"east"} }), eastList("a", "b"), west)
		for range 200 {
			command := bench.asked("/read/x", nil)
			for _, outcome := range []Outcome{Broken, Unsent, NotRun} {
				dispatch, sent := command.(Dispatch)
				if !sent {
					break
				}
				Expect([]string{"a", "b"}).To(ContainElement(dispatch.Server.Name))
				command = bench.ends(dispatch, outcome)
			}
			bench.now += 50 * time.Millisecond
		}
		bench.Handle(bench.now, eastList())
		Expect(refused(bench.asked("/read/x", nil)).Status).To(Equal(503))
		Expect(bench.sent("/write/x").Server.Zone).To(Equal("west-a"), "a route without homes may go abroad")
	})

	It("given a drained zone, when calls come, then none goes there, also when it has the only servers", func() {
		bench := started(func(read *manifest.Manifest) { read.Zones["east-a"] = manifest.Zone{Region: "east", Drained: true} },
			listOf("east", candidate("a", "east-a"), candidate("b", "east-b")))
		for range 100 {
			Expect(bench.sent("/write/x").Server.Name).To(Equal("b"))
		}
		bench.Handle(bench.now, listOf("east", candidate("a", "east-a")))
		Expect(refused(bench.asked("/write/x", nil)).Status).To(Equal(503))
	})

	It("given a drain that is withdrawn, when calls press, then the zone's cold servers get no more than their bound", func() {
		cold := func(drained bool) Configured {
			return config(func(read *manifest.Manifest) {
				read.Gateway.Services["s"] = manifest.Service{WarmupDuration: 3 * time.Second, WarmupRate: 10}
				read.Zones["east-a"] = manifest.Zone{Region: "east", Drained: drained}
			})
		}
		bench := started(nil, eastList("a"))
		bench.Handle(bench.now, cold(true))
		bench.Handle(bench.now, cold(false))
		Expect(pressed(bench, time.Second)).To(BeNumerically("<=", 10*1.5+5))
	})

	It("given a server that is new on the list, when calls press, then it gets no more than its bound and is not left alone", func() {
		bench := started(func(read *manifest.Manifest) {
			read.Gateway.Services["s"] = manifest.Service{WarmupDuration: 3 * time.Second, WarmupRate: 10}
		}, eastList())
		bench.Handle(bench.now, eastList("a"))
		count := pressed(bench, time.Second)
		Expect(count).To(BeNumerically("<=", 10*1.5+5))
		Expect(count).To(BeNumerically(">=", 5))
	})

	It("given a server that says it is warming, when calls press, then it gets no more than its bound", func() {
		bench := started(func(read *manifest.Manifest) {
			read.Gateway.Services["s"] = manifest.Service{WarmupDuration: 3 * time.Second, WarmupRate: 10}
		})
		warming := candidate("a", "east-a")
		warming.WarmupMs = 2000
		bench.Handle(bench.now, listOf("east", warming))
		Expect(pressed(bench, time.Second)).To(BeNumerically("<=", 10*1.5+5))
	})

	It("given a service whose servers are never cold, when one is new on the list, then it takes calls at once", func() {
		bench := started(nil, eastList())
		bench.Handle(bench.now, eastList("a"))
		Expect(bench.sent("/write/x").Server.Name).To(Equal("a"))
	})

	It("given servers with a bound of connections, when calls press, then this node's part of it holds", func() {
		bench := started(func(read *manifest.Manifest) { read.Gateway.Services["s"] = manifest.Service{MaxConnections: 100} }, eastList("a", "b"))
		bench.Handle(bench.now, Fleet{Self: "node000-data", Names: fleetOf(10)})
		sent := map[string]int{}
		for range 100 {
			if dispatch, fine := bench.asked("/write/x", nil).(Dispatch); fine {
				sent[dispatch.Server.Name]++
			}
		}
		Expect(sent["a"]).To(BeNumerically("<=", 10))
		Expect(sent["b"]).To(BeNumerically("<=", 10))
	})

	It("given nodes with the same list, when prompts that share a start come, then all nodes hold the same server for its keeper", func() {
		keepers := map[string]bool{}
		for subject := range 20 {
			prompt, names := engine.Prompt{Model: "m", Input: 5000, Parts: []engine.Part{{ID: fmt.Sprint("shared", subject), Tokens: 4500}, {ID: "own", Tokens: 500}}}, map[string]bool{}
			for node := range 10 {
				bench := started(engines, eastList("a", "b", "c", "d", "e"), listOf("west", candidate("w1", "west-a")))
				bench.random = seeded(uint64(node))
				own := prompt
				own.Parts = []engine.Part{prompt.Parts[0], {ID: fmt.Sprint("own", node), Tokens: 500}}
				names[bench.promptly("/stream/x", own).Server.Name] = true
			}
			Expect(names).To(HaveLen(1), "nodes disagree on subject %d", subject)
			for name := range names {
				keepers[name] = true
			}
		}
		Expect(len(keepers)).To(BeNumerically(">=", 4), "the subjects are spread")
	})

	It("given one server that leaves the list, when prompts come, then only its own subjects find another keeper", func() {
		for subject := range 100 {
			prompt := engine.Prompt{Model: "m", Input: 4001, Parts: []engine.Part{{ID: fmt.Sprint(subject), Tokens: 4000}, {ID: "own", Tokens: 1}}}
			if before := started(engines, eastList("a", "b", "c", "d")).promptly("/stream/x", prompt).Server.Name; before != "d" {
				Expect(started(engines, eastList("a", "b", "c")).promptly("/stream/x", prompt).Server.Name).To(Equal(before))
			}
		}
	})
})

// pressed counts what servers get while a caller sends a call every few milliseconds, whatever it is told.
func pressed(bench *bench, span time.Duration) int {
	GinkgoHelper()
	count, ends := 0, bench.now+span
	for ; bench.now < ends; bench.now += 5 * time.Millisecond {
		if dispatch, fine := bench.asked("/write/x", nil).(Dispatch); fine {
			count++
			bench.ends(dispatch, Whole)
		}
	}
	return count
}
