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

// The package has a Fail of its own, so ginkgo's names cannot be imported all at once.
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

func seeded(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 1)) }

func settingsFor(name string) env.Env {
	settings := env.New(env.WithName(name), env.WithZone("east-a"), env.WithRegion("east"), env.WithData("10.0.0.1:7720"))
	settings.Gateway = env.Gateway{Traffic: "10.0.0.1:8161", RepeatRatio: 0.2, RepeatWindow: 10 * time.Second, RepeatAllowance: 64, WarmOverage: 1.5, WarmAllowance: 5, Contact: 4 * time.Second}
	return settings
}

// config has one route of each kind, all of them to one service.
func config(change func(*manifest.Manifest)) Configured {
	read := manifest.Manifest{Regions: map[string]manifest.Region{"east": {Shards: 1}, "west": {Shards: 1}},
		Zones:   map[string]manifest.Zone{"east-a": {Region: "east"}, "east-b": {Region: "east"}, "west-a": {Region: "west"}},
		Gateway: manifest.Gateway{Revision: 1, Services: map[string]manifest.Service{"s": {}}}}
	for _, route := range []manifest.GatewayRoute{{Name: "read", Kind: manifest.KindReadOnly}, {Name: "write", Kind: manifest.KindMutating},
		{Name: "stream", Kind: manifest.KindStreaming}, {Name: "resumed", Kind: manifest.KindStreaming, Resumable: true}} {
		route.Host, route.Prefix, route.Timeout, route.LatencyTarget, route.MaxAttempts = "h.example", "/"+route.Name+"/", 8*time.Second, time.Second, 3
		route.Split = []manifest.WeightedService{{Service: "s", Weight: 1}}
		read.Gateway.Routes = read.Gateway.Routes.With(route)
	}
	if change != nil {
		change(&read)
	}
	return Configured{Manifest: read}
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

func listOf(region string, servers ...contract.Candidate) Listed {
	return Listed{Region: region, Servers: servers}
}

func eastList(names ...string) Listed {
	listed := Listed{Region: "east"}
	for _, name := range names {
		listed.Servers = append(listed.Servers, candidate(name, "east-a"))
	}
	return listed
}

func fleetOf(count int) []string {
	names := []string{}
	for place := range count {
		names = append(names, fmt.Sprintf("node%03d-data", place))
	}
	return names
}

// bench is an owner of calls with a clock of its own.
type bench struct {
	*Traffic
	now   time.Duration
	token int64
}

// started is a node that has served for a while: what goes to which region is known.
func started(change func(*manifest.Manifest), lists ...Listed) *bench {
	made := &bench{Traffic: NewTraffic(settingsFor("node000"), seeded(7)), now: time.Second}
	made.Handle(made.now, config(change))
	for region := range made.read.Regions {
		made.Handle(made.now, Listed{Region: region})
	}
	for _, list := range lists {
		made.Handle(made.now, list)
	}
	made.Handle(made.now, Fleet{Self: "node000-data", Names: []string{"node000-data"}})
	for service := range made.read.Gateway.Services {
		made.firstCalls[service] = made.now - made.terms.Contact
	}
	return made
}

func (bench *bench) one(event contract.Event) contract.Command {
	GinkgoHelper()
	commands := bench.Handle(bench.now, event)
	Expect(commands).To(HaveLen(1))
	return commands[0]
}

func (bench *bench) asked(path string, change func(*Arrive)) contract.Command {
	GinkgoHelper()
	bench.token++
	arrive := Arrive{Token: bench.token, Host: "h.example", Path: path, Left: 8 * time.Second}
	if change != nil {
		change(&arrive)
	}
	return bench.one(arrive)
}

func (bench *bench) sent(path string) Dispatch {
	GinkgoHelper()
	return dispatched(bench.asked(path, nil))
}

func dispatched(command contract.Command) Dispatch {
	GinkgoHelper()
	Expect(command).To(BeAssignableToTypeOf(Dispatch{}))
	return command.(Dispatch)
}

func refused(command contract.Command) Refuse {
	GinkgoHelper()
	Expect(command).To(BeAssignableToTypeOf(Refuse{}))
	return command.(Refuse)
}

func (bench *bench) ends(dispatch Dispatch, outcome Outcome) contract.Command {
	GinkgoHelper()
	return bench.one(Ended{Token: dispatch.Token, Attempt: dispatch.Attempt, Outcome: outcome, Reason: "told by the test"})
}

func (bench *bench) promptly(path string, prompt engine.Prompt) Dispatch {
	GinkgoHelper()
	return dispatched(bench.asked(path, func(arrive *Arrive) { arrive.Prompt = prompt }))
}
