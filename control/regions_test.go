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

// node is one process of the world: its owner, and the list that it holds if it is a data node.
type node struct {
	name   string
	region string
	owner  contract.StateMachine
	lists  map[string][]string
}

// world carries messages between owners in virtual time; every message takes one step.
type world struct {
	now      time.Duration
	random   *rand.Rand
	nodes    map[string]*node
	messages map[string][]contract.Event
	down     map[string]bool
	boots    int
	listing  contract.Listing
	asked    int
}

func newWorld(seed uint64) *world {
	made := &world{random: rand.New(rand.NewPCG(seed, 5)), nodes: map[string]*node{}, messages: map[string][]contract.Event{}, down: map[string]bool{}}
	for _, region := range []string{"east", "north", "west"} {
		for number := range 2 {
			name := fmt.Sprintf("%s-s%d", region, number)
			made.listing.Servers = append(made.listing.Servers, contract.ListedServer{Name: name, Address: name + ":80", Region: region, Zone: region + "-a", Pool: "s",
				Incarnation: name, AssumedReady: true})
			made.start(fmt.Sprintf("%s-m%d", region, number))
		}
	}
	for _, name := range manifest.SortedKeys(made.nodes) {
		made.post(name, feed.MessageDelivery, feed.Delivery{Records: []contract.Record{versionOf(1, threeRegions).FullRecord()}})
	}
	return made
}

func (world *world) post(address, kind string, body any) {
	content, failure := json.Marshal(body)
	Expect(failure).NotTo(HaveOccurred())
	world.messages[address] = append(world.messages[address], contract.Message{Kind: kind, Body: content})
}

// start begins both processes of a machine anew, as blank ones.
func (world *world) start(machine string) {
	world.boots++
	region, _, _ := strings.Cut(machine, "-")
	settings := env.New(env.WithName(machine), env.WithZone(region+"-a"), env.WithRegion(region), env.WithControl(machine+"-control"), env.WithData(machine+"-data"),
		env.WithSeeds([]string{"east-m0-control", "north-m0-control", "west-m0-control"}))
	settings.Wide, settings.Gateway = true, env.Gateway{Traffic: "10.0.0.1:80", Contact: 4 * time.Second, RepeatWindow: 10 * time.Second}
	boot := fmt.Sprint("boot", world.boots)
	world.nodes[machine+"-control"] = &node{name: machine + "-control", region: region, owner: New(settings, boot, nil, world.random)}
	world.nodes[machine+"-data"] = &node{name: machine + "-data", region: region, owner: gateway.NewNode(settings, boot, gateway.NewTraffic(settings, world.random), world.random), lists: map[string][]string{}}
	delete(world.down, machine+"-control")
}

func (world *world) step() {
	world.now += env.DefaultBounds().Tick()
	messages := world.messages
	world.messages = map[string][]contract.Event{}
	for _, name := range manifest.SortedKeys(world.nodes) {
		if world.down[name] {
			continue
		}
		for _, event := range append(messages[name], contract.Tick{}) {
			world.carry(world.nodes[name], world.nodes[name].owner.Handle(world.now, event))
		}
	}
}

func (world *world) carry(from *node, commands []contract.Command) {
	for _, command := range commands {
		switch command := command.(type) {
		case contract.Send:
			content, failure := json.Marshal(command.Body)
			Expect(failure).NotTo(HaveOccurred())
			world.messages[command.To] = append(world.messages[command.To], contract.Message{Kind: command.Kind, From: from.name, Body: content})
		case shard.ReadPlatform:
			world.asked++
			world.messages[from.name] = append(world.messages[from.name], shard.ListingResult{Region: command.Region, StartedAt: world.now, Listing: world.listing})
		case gateway.Update:
			listed, fine := command.Event.(gateway.Listed)
			if !fine {
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

func (world *world) run(span time.Duration) {
	for ends := world.now + span; world.now < ends; {
		world.step()
	}
}

// owners gives who owns a region's shard now, by what each live node says of itself, with the epoch.
func (world *world) owners(region string) map[string]int64 {
	owners := map[string]int64{}
	for name, node := range world.nodes {
		owner, control := node.owner.(*Owner)
		if !control || world.down[name] {
			continue
		}
		for _, status := range owner.status(world.now) {
			if status.Region == region {
				owners[name] = status.Epoch
			}
		}
	}
	return owners
}

// single wants exactly one owner and gives it.
func (world *world) single(region string) (string, int64) {
	GinkgoHelper()
	owners := world.owners(region)
	Expect(owners).To(HaveLen(1), "the shard of %s", region)
	for name, epoch := range owners {
		return name, epoch
	}
	return "", 0
}

func (world *world) holds(region string, servers []string) {
	GinkgoHelper()
	for name, node := range world.nodes {
		if node.lists != nil {
			Expect(node.lists[region]).To(Equal(servers), "the list of %s that %s holds", region, name)
		}
	}
}

var _ = Describe("the shards of regions", func() {
	for seed := range uint64(3) {
		It(fmt.Sprintf("given a region without a live control node, then exactly one other node owns its shard, under a higher epoch each time, seed %d", seed), func() {
			world := newWorld(seed)
			world.run(15 * time.Second)
			owner, epoch := world.single("east")
			Expect(owner).To(HavePrefix("east-"))
			world.holds("east", []string{"east-s0", "east-s1"})

			world.down["east-m0-control"], world.down["east-m1-control"] = true, true
			world.run(15 * time.Second)
			standIn, next := world.single("east")
			Expect(standIn).NotTo(HavePrefix("east-"))
			Expect(next).To(BeNumerically(">", epoch))

			world.listing.Servers = world.listing.Servers[1:]
			world.run(5 * time.Second)
			world.holds("east", []string{"east-s1"})
			world.holds("west", []string{"west-s0", "west-s1"})

			world.down[standIn] = true
			world.run(15 * time.Second)
			second, third := world.single("east")
			Expect(second).NotTo(Equal(standIn))
			Expect(third).To(BeNumerically(">", next))

			world.start("east-m0")
			world.start("east-m1")
			world.run(20 * time.Second)
			back, last := world.single("east")
			Expect(back).To(HavePrefix("east-"))
			Expect(last).To(BeNumerically(">", third))
			world.holds("east", []string{"east-s1"})
			for _, region := range []string{"north", "west"} {
				world.single(region)
			}
		})
	}

	It("given all regions, when nothing fails, then every shard has one owner of its own region all the time", func() {
		world := newWorld(9)
		world.run(15 * time.Second)
		for range 400 {
			world.step()
			for _, region := range []string{"east", "north", "west"} {
				owner, _ := world.single(region)
				Expect(owner).To(HavePrefix(region + "-"))
			}
		}
	})

	It("given several regions to look after, when the platform is read, then a node reads the whole list once for all of them", func() {
		world := newWorld(9)
		world.run(15 * time.Second)
		before := world.asked
		world.run(10 * time.Second)
		nodes, every := 6, env.DefaultBounds().PlatformPoll()
		Expect(world.asked - before).To(BeNumerically("<=", nodes*int(10*time.Second/every)*4/3+nodes))
	})
})
