package gateway

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cedarreel/cedarreel/contract"
	"github.com/cedarreel/cedarreel/engine"
	"github.com/cedarreel/cedarreel/env"
	"github.com/cedarreel/cedarreel/manifest"
	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// The package has a Fail of its own, so ginkgo cannot be imported with a dot.
var (
	Describe      = ginkgo.Describe
	DescribeTable = ginkgo.DescribeTable
	Entry         = ginkgo.Entry
	GinkgoHelper  = ginkgo.GinkgoHelper
	It            = ginkgo.It
)

func TestGateway(t *testing.T) {
	RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "gateway")
}

func seededRandom(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 1)) }

func settingsFor(name string) env.Env {
	settings := env.New(env.WithName(name), env.WithZone("east-a"), env.WithRegion("east"), env.WithData("10.0.0.1:7720"))
	settings.Gateway = env.Gateway{Traffic: "10.0.0.1:8161", RepeatRatio: 0.2, RepeatWindow: 10 * time.Second, RepeatAllowance: 64, WarmOverage: 1.5, WarmAllowance: 5, Contact: 4 * time.Second}
	return settings
}

// configuration returns a manifest with one route of each kind, all of them to one service.
func configuration(change func(*manifest.Manifest)) ConfigurationChanged {
	current := manifest.Manifest{Regions: map[string]manifest.Region{"east": {Shards: 1}, "west": {Shards: 1}},
		Zones:   map[string]manifest.Zone{"east-a": {Region: "east"}, "east-b": {Region: "east"}, "west-a": {Region: "west"}},
		Gateway: manifest.Gateway{Revision: 1, Services: map[string]manifest.Service{"s": {}}}}
	for _, route := range []manifest.GatewayRoute{{Name: "read", Kind: manifest.KindReadOnly}, {Name: "write", Kind: manifest.KindMutating},
		{Name: "stream", Kind: manifest.KindStreaming}, {Name: "resumed", Kind: manifest.KindStreaming, Resumable: true}} {
		route.Host, route.Prefix, route.Timeout, route.LatencyTarget, route.MaxAttempts = "h.example", "/"+route.Name+"/", 8*time.Second, time.Second, 3
		route.Split = []manifest.WeightedService{{Service: "s", Weight: 1}}
		current.Gateway.Routes = current.Gateway.Routes.With(route)
	}
	if change != nil {
		change(&current)
	}
	return ConfigurationChanged{Manifest: current}
}

func changeRoute(name string, change func(*manifest.GatewayRoute)) func(*manifest.Manifest) {
	return func(read *manifest.Manifest) {
		route, _ := read.Gateway.Routes.Get(name)
		change(&route)
		read.Gateway.Routes = read.Gateway.Routes.With(route)
	}
}

func candidate(name, zone string) contract.Candidate {
	return contract.Candidate{Name: name, Address: name + ":80", Zone: zone, Pool: "s", Incarnation: name, Slots: 4}
}

func listOf(region string, servers ...contract.Candidate) ServersListed {
	return ServersListed{Region: region, Servers: servers}
}

func eastList(names ...string) ServersListed {
	listed := ServersListed{Region: "east"}
	for _, name := range names {
		listed.Servers = append(listed.Servers, candidate(name, "east-a"))
	}
	return listed
}

func fleetOf(count int) []string {
	names := []string{}
	for index := range count {
		names = append(names, fmt.Sprintf("node%03d-data", index))
	}
	return names
}

// testRouter is a router with its own clock.
type testRouter struct {
	*Router
	now   time.Duration
	token int64
}

// startedRouter returns a router that has served for a while, so that it is known what goes to which region.
func startedRouter(change func(*manifest.Manifest), lists ...ServersListed) *testRouter {
	router := &testRouter{Router: NewRouter(settingsFor("node000"), seededRandom(7)), now: time.Second}
	router.Handle(router.now, configuration(change))
	for region := range router.manifest.Regions {
		router.Handle(router.now, ServersListed{Region: region})
	}
	for _, list := range lists {
		router.Handle(router.now, list)
	}
	router.Handle(router.now, FleetChanged{Self: "node000-data", Names: []string{"node000-data"}})
	for service := range router.manifest.Gateway.Services {
		router.firstCalls[service] = router.now - router.policy.Contact
	}
	return router
}

func (router *testRouter) handleOne(event contract.Event) contract.Command {
	GinkgoHelper()
	commands := router.Handle(router.now, event)
	Expect(commands).To(HaveLen(1))
	return commands[0]
}

func (router *testRouter) arrive(path string, change func(*CallArrived)) contract.Command {
	GinkgoHelper()
	router.token++
	arrive := CallArrived{Token: router.token, Host: "h.example", Path: path, Timeout: 8 * time.Second}
	if change != nil {
		change(&arrive)
	}
	return router.handleOne(arrive)
}

func (router *testRouter) dispatchCall(path string) Dispatch {
	GinkgoHelper()
	return expectDispatch(router.arrive(path, nil))
}

func expectDispatch(command contract.Command) Dispatch {
	GinkgoHelper()
	Expect(command).To(BeAssignableToTypeOf(Dispatch{}))
	return command.(Dispatch)
}

func expectRefusal(command contract.Command) Refuse {
	GinkgoHelper()
	Expect(command).To(BeAssignableToTypeOf(Refuse{}))
	return command.(Refuse)
}

func (router *testRouter) endDispatch(dispatch Dispatch, outcome Outcome) contract.Command {
	GinkgoHelper()
	return router.handleOne(DispatchEnded{Token: dispatch.Token, Attempt: dispatch.Attempt, Outcome: outcome, Reason: "reason of the test"})
}

func (router *testRouter) dispatchPrompt(path string, prompt engine.Prompt) Dispatch {
	GinkgoHelper()
	return expectDispatch(router.arrive(path, func(arrive *CallArrived) { arrive.Prompt = prompt }))
}
