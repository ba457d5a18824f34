package control

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/cedarreel/cedarreel/contract"
	"github.com/cedarreel/cedarreel/env"
	"github.com/cedarreel/cedarreel/feed"
	"github.com/cedarreel/cedarreel/gateway"
	"github.com/cedarreel/cedarreel/manifest"
	"github.com/cedarreel/cedarreel/shard"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestControl(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "control")
}

const threeRegions = `{"regions":{"east":{"shards":1,"machines":[]},"north":{"shards":1,"machines":[]},"west":{"shards":1,"machines":[]}},` +
	`"zones":{"east-a":{"region":"east"},"north-a":{"region":"north"},"west-a":{"region":"west"}},` +
	`"gateway":{"revision":1,"routes":{},"services":{"s":{}}}}`

// node is a process of the simulated fleet: its state machine, and the server lists that it holds if it is a data node.
type node struct {
	name   string
	region string
	owner  contract.StateMachine
	lists  map[string][]string
}

// simulatedFleet delivers messages between nodes in virtual time. Every message takes one step.
type simulatedFleet struct {
	now          time.Duration
	random       *rand.Rand
	nodes        map[string]*node
	messages     map[string][]contract.Event
	down         map[string]bool
	boots        int
	listing      contract.Listing
	listingReads int
}

func newSimulatedFleet(seed uint64) *simulatedFleet {
	result := &simulatedFleet{random: rand.New(rand.NewPCG(seed, 5)), nodes: map[string]*node{}, messages: map[string][]contract.Event{}, down: map[string]bool{}}
	for _, region := range []string{"east", "north", "west"} {
		for number := range 2 {
			name := fmt.Sprintf("%s-s%d", region, number)
			result.listing.Servers = append(result.listing.Servers, contract.ListedServer{Name: name, Address: name + ":80", Region: region, Zone: region + "-a", Pool: "s",
				Incarnation: name, AssumedReady: true})
			result.start(fmt.Sprintf("%s-m%d", region, number))
		}
	}
	for _, name := range manifest.SortedKeys(result.nodes) {
		result.post(name, feed.MessageDelivery, feed.Delivery{Records: []contract.Record{versionOf(1, threeRegions).FullRecord()}})
	}
	return result
}

func (simulation *simulatedFleet) post(address, kind string, body any) {
	content, err := json.Marshal(body)
	Expect(err).NotTo(HaveOccurred())
	simulation.messages[address] = append(simulation.messages[address], contract.Message{Kind: kind, Body: content})
}

// start starts both processes of a machine without any state.
func (simulation *simulatedFleet) start(machine string) {
	simulation.boots++
	region, _, _ := strings.Cut(machine, "-")
	settings := env.New(env.WithName(machine), env.WithZone(region+"-a"), env.WithRegion(region), env.WithControl(machine+"-control"), env.WithData(machine+"-data"),
		env.WithSeeds([]string{"east-m0-control", "north-m0-control", "west-m0-control"}))
	settings.Wide, settings.Gateway = true, env.Gateway{Traffic: "10.0.0.1:80", Contact: 4 * time.Second, RepeatWindow: 10 * time.Second}
	boot := fmt.Sprint("boot", simulation.boots)
	simulation.nodes[machine+"-control"] = &node{name: machine + "-control", region: region, owner: New(settings, boot, nil, simulation.random)}
	simulation.nodes[machine+"-data"] = &node{name: machine + "-data", region: region, owner: gateway.NewNode(settings, boot, gateway.NewRouter(settings, simulation.random), simulation.random), lists: map[string][]string{}}
	delete(simulation.down, machine+"-control")
}

func (simulation *simulatedFleet) step() {
	simulation.now += env.DefaultBounds().Tick()
	messages := simulation.messages
	simulation.messages = map[string][]contract.Event{}
	for _, name := range manifest.SortedKeys(simulation.nodes) {
		if simulation.down[name] {
			continue
		}
		for _, event := range append(messages[name], contract.Tick{}) {
			simulation.execute(simulation.nodes[name], simulation.nodes[name].owner.Handle(simulation.now, event))
		}
	}
}

func (simulation *simulatedFleet) execute(from *node, commands []contract.Command) {
	for _, command := range commands {
		switch command := command.(type) {
		case contract.Send:
			content, err := json.Marshal(command.Body)
			Expect(err).NotTo(HaveOccurred())
			simulation.messages[command.To] = append(simulation.messages[command.To], contract.Message{Kind: command.Kind, From: from.name, Body: content})
		case shard.ReadPlatform:
			simulation.listingReads++
			simulation.messages[from.name] = append(simulation.messages[from.name], shard.ListingResult{Region: command.Region, StartedAt: simulation.now, Listing: simulation.listing})
		case gateway.Update:
			listed, ok := command.Event.(gateway.ServersListed)
			if !ok {
				continue
			}
			names := []string{}
			for _, server := range listed.Servers {
				names = append(names, server.Name)
			}
			from.lists[listed.Region] = names
		}
	}
}

func (simulation *simulatedFleet) run(span time.Duration) {
	for ends := simulation.now + span; simulation.now < ends; {
		simulation.step()
	}
}

// owners returns the live nodes that consider themselves the owner of a region's shard, with their epochs.
func (simulation *simulatedFleet) owners(region string) map[string]int64 {
	owners := map[string]int64{}
	for name, node := range simulation.nodes {
		controller, control := node.owner.(*Controller)
		if !control || simulation.down[name] {
			continue
		}
		for _, status := range controller.shardStatus(simulation.now) {
			if status.Region == region {
				owners[name] = status.Epoch
			}
		}
	}
	return owners
}

// singleOwner checks that there is exactly one owner and returns it with its epoch.
func (simulation *simulatedFleet) singleOwner(region string) (string, int64) {
	GinkgoHelper()
	owners := simulation.owners(region)
	Expect(owners).To(HaveLen(1), "the shard of %s", region)
	for name, epoch := range owners {
		return name, epoch
	}
	return "", 0
}

func (simulation *simulatedFleet) expectLists(region string, servers []string) {
	GinkgoHelper()
	for name, node := range simulation.nodes {
		if node.lists != nil {
			Expect(node.lists[region]).To(Equal(servers), "the list of %s that %s holds", region, name)
		}
	}
}

var _ = Describe("the shards of several regions", func() {
	for seed := range uint64(3) {
		It(fmt.Sprintf("given a region without a live control node, then exactly one other node owns its shard, under a higher epoch each time, seed %d", seed), func() {
			simulation := newSimulatedFleet(seed)
			simulation.run(15 * time.Second)
			controller, epoch := simulation.singleOwner("east")
			Expect(controller).To(HavePrefix("east-"))
			simulation.expectLists("east", []string{"east-s0", "east-s1"})

			simulation.down["east-m0-control"], simulation.down["east-m1-control"] = true, true
			simulation.run(15 * time.Second)
			standIn, next := simulation.singleOwner("east")
			Expect(standIn).NotTo(HavePrefix("east-"))
			Expect(next).To(BeNumerically(">", epoch))

			simulation.listing.Servers = simulation.listing.Servers[1:]
			simulation.run(5 * time.Second)
			simulation.expectLists("east", []string{"east-s1"})
			simulation.expectLists("west", []string{"west-s0", "west-s1"})

			simulation.down[standIn] = true
			simulation.run(15 * time.Second)
			second, third := simulation.singleOwner("east")
			Expect(second).NotTo(Equal(standIn))
			Expect(third).To(BeNumerically(">", next))

			simulation.start("east-m0")
			simulation.start("east-m1")
			simulation.run(20 * time.Second)
			back, last := simulation.singleOwner("east")
			Expect(back).To(HavePrefix("east-"))
			Expect(last).To(BeNumerically(">", third))
			simulation.expectLists("east", []string{"east-s1"})
			for _, region := range []string{"north", "west"} {
				simulation.singleOwner(region)
			}
		})
	}

	It("given that nothing fails, then every shard always has one owner of its own region", func() {
		simulation := newSimulatedFleet(9)
		simulation.run(15 * time.Second)
		for range 400 {
			simulation.step()
			for _, region := range []string{"east", "north", "west"} {
				controller, _ := simulation.singleOwner(region)
				Expect(controller).To(HavePrefix(region + "-"))
			}
		}
	})

	It("given several regions, when a node polls the platform, then it reads the whole listing once for all of them", func() {
		simulation := newSimulatedFleet(9)
		simulation.run(15 * time.Second)
		before := simulation.listingReads
		simulation.run(10 * time.Second)
		nodes, interval := 6, env.DefaultBounds().PlatformPoll()
		Expect(simulation.listingReads - before).To(BeNumerically("<=", nodes*int(10*time.Second/interval)*4/3+nodes))
	})
})
