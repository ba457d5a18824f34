package shard

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/cedarreel/cedarreel/contract"
	"github.com/cedarreel/cedarreel/env"
	"github.com/cedarreel/cedarreel/manifest"
	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// ward is an owner of one shard with a clock of its own, servers s0, s1, ..., and data nodes spread over zones.
type ward struct {
	*Owner
	now     time.Duration
	nodes   []contract.Member
	listing contract.Listing
	told    map[string]map[string]contract.CallTally
	held    map[string]contract.Lease
	lists   int
}

func warded(servers, nodes, zones int) *ward {
	self := contract.Member{Name: "east-control", Kind: contract.KindControl, Region: "east", Zone: "zone0", Address: "owner:1"}
	made := &ward{Owner: New(self, env.DefaultBounds()), now: time.Second, told: map[string]map[string]contract.CallTally{}, held: map[string]contract.Lease{}}
	made.Prompt(true)
	made.nodes = append(made.nodes, self)
	for node := range nodes {
		made.nodes = append(made.nodes, contract.Member{Name: fmt.Sprintf("node%02d", node), Kind: contract.KindData, Region: "east", Zone: fmt.Sprintf("zone%d", node%zones)})
	}
	for server := range servers {
		name := fmt.Sprintf("s%d", server)
		made.listing.Servers = append(made.listing.Servers, contract.ListedServer{Name: name, Incarnation: name, Pool: "s", AssumedReady: true})
	}
	made.passes(3*time.Second, nil)
	return made
}

func (ward *ward) lease(command contract.Command) (contract.Lease, bool) {
	send, fine := command.(contract.Send)
	if !fine {
		return contract.Lease{}, false
	}
	lease, fine := send.Body.(contract.Lease)
	return lease, fine
}

// passes lets time go by while every node tells its tallies every half second; each time, the words may be changed before.
func (ward *ward) passes(span time.Duration, each func()) {
	ginkgo.GinkgoHelper()
	read := manifest.Manifest{Regions: map[string]manifest.Region{"east": {Shards: 1}}, Gateway: manifest.Gateway{Services: map[string]manifest.Service{"s": {}}}}
	for ends := ward.now + span; ward.now < ends; ward.now += 50 * time.Millisecond {
		ward.Handle(ward.now, Seen{Members: ward.nodes, Manifest: read})
		if ward.now%(500*time.Millisecond) > 0 {
			continue
		}
		ward.Handle(ward.now, ListingRead{Began: ward.now, Listing: ward.listing})
		if each != nil {
			each()
		}
		for _, node := range ward.nodes[1:] {
			last := ward.held[node.Name]
			ask := contract.LeaseRequest{Node: node.Name, Region: "east", Address: node.Name, ShardCount: 1, HighestEpoch: last.Epoch, Number: last.Number, OmitUnchanged: true, Tallies: ward.told[node.Name]}
			body, _ := json.Marshal(ask)
			for _, command := range ward.Handle(ward.now, contract.Message{Kind: MessageAsk, Body: body}) {
				if lease, fine := ward.lease(command); fine && !lease.Unchanged {
					ward.held[node.Name] = lease
					ward.lists++
				}
			}
		}
	}
}

// all lets the nodes that are chosen tell a tally of a server; nil chooses all.
func (ward *ward) all(server string, tally contract.CallTally, chosen func(contract.Member) bool) {
	for _, node := range ward.nodes[1:] {
		if ward.told[node.Name] == nil {
			ward.told[node.Name] = map[string]contract.CallTally{}
		}
		delete(ward.told[node.Name], server)
		if (chosen == nil || chosen(node)) && tally.Total() > 0 {
			ward.told[node.Name][server] = tally
		}
	}
}

func (ward *ward) sees(server string) contract.Candidate {
	ginkgo.GinkgoHelper()
	for _, one := range ward.held[ward.nodes[len(ward.nodes)-1].Name].Servers {
		if one.Name == server {
			return one
		}
	}
	ginkgo.Fail("not on the list: " + server)
	return contract.Candidate{}
}

func (ward *ward) ill() int {
	count := 0
	for _, one := range ward.held[ward.nodes[len(ward.nodes)-1].Name].Servers {
		if one.RecoverySteps > 0 {
			count++
		}
	}
	return count
}

func named(name string) func(contract.Member) bool {
	return func(node contract.Member) bool { return node.Name == name }
}

func zoned(zones ...string) func(contract.Member) bool {
	return func(node contract.Member) bool {
		for _, zone := range zones {
			if node.Zone == zone {
				return true
			}
		}
		return false
	}
}

var (
	lost   = contract.CallTally{Unconnected: 1}
	failed = contract.CallTally{Failed: 1}
	grey   = contract.CallTally{Failed: 1, Succeeded: 2}
	well   = contract.CallTally{Succeeded: 3}
	none   = contract.CallTally{}
)

var _ = ginkgo.Describe("the condition of a server at its shard's owner", func() {
	ginkgo.It("given one node that got no sign of life, when it tells it, then all nodes learn that the server may come back cold, and that no sooner ends than its word", func() {
		ward := warded(6, 24, 3)
		ward.all("s1", lost, named("node03"))
		ward.passes(1100*time.Millisecond, nil)
		Expect(ward.sees("s1").Suspected).To(BeTrue())
		Expect(ward.sees("s0").Suspected).To(BeFalse())
		ward.passes(10*time.Second, nil)
		Expect(ward.sees("s1").Suspected).To(BeTrue())
		Expect(ward.sees("s1").RecoverySteps).To(BeZero())
		ward.all("s1", none, nil)
		ward.passes(3*time.Second, nil)
		Expect(ward.sees("s1").Suspected).To(BeFalse())
	})

	ginkgo.It("given one call that failed in another way, when its node tells it, then no list changes", func() {
		ward := warded(6, 24, 3)
		lists := ward.lists
		ward.all("s1", failed, named("node03"))
		ward.passes(10*time.Second, nil)
		Expect(ward.lists).To(Equal(lists))
	})

	ginkgo.It("given calls that fail at several nodes now and then, when they tell it, then the list changes twice and not with each word", func() {
		ward := warded(6, 24, 3)
		number, turn := ward.held["node00"].Number, 0
		ward.passes(20*time.Second, func() {
			turn++
			ward.all("s1", none, nil)
			if turn%3 != 0 {
				ward.all("s1", lost, named(fmt.Sprintf("node%02d", turn%24)))
			}
		})
		ward.all("s1", none, nil)
		ward.passes(3*time.Second, nil)
		Expect(ward.held["node00"].Number - number).To(Equal(int64(2)))
	})

	ginkgo.It("given nodes of most zones that see calls fail, when they tell it, then the server rests for all, but not before all could tell how it fares", func() {
		ward := warded(6, 24, 3)
		ward.all("s1", grey, nil)
		ward.passes(1100*time.Millisecond, nil)
		Expect(ward.sees("s1").HealthTracked).To(BeTrue())
		Expect(ward.sees("s1").Suspected).To(BeFalse(), "none lost it")
		Expect(ward.sees("s1").RecoverySteps).To(BeZero())
		ward.passes(2*time.Second, nil)
		Expect(ward.sees("s1").RecoverySteps).To(Equal(int64(illSteps)))
		Expect(ward.ill()).To(Equal(1))
	})

	ginkgo.It("given a small fleet, when all its nodes see calls fail, then the server is suspected and rests for nobody", func() {
		ward := warded(6, fewestNodes-1, 3)
		ward.all("s1", lost, nil)
		ward.passes(10*time.Second, nil)
		Expect(ward.sees("s1").Suspected).To(BeTrue())
		Expect(ward.ill()).To(BeZero())
	})

	for _, trouble := range []struct {
		what   string
		chosen func(contract.Member) bool
	}{{"one zone", zoned("zone1")}, {"half of the zones", zoned("zone0", "zone1")}, {"one node", named("node03")}} {
		ginkgo.It("given "+trouble.what+" that loses a server, when the others find it well, then it rests for nobody", func() {
			ward := warded(6, 24, 4)
			ward.all("s1", well, nil)
			ward.passes(time.Second, nil)
			for _, node := range ward.nodes[1:] {
				if trouble.chosen(node) {
					ward.told[node.Name]["s1"] = contract.CallTally{Unconnected: 3}
				}
			}
			ward.passes(20*time.Second, nil)
			Expect(ward.sees("s1").Suspected).To(BeTrue())
			Expect(ward.ill()).To(BeZero())
		})
	}

	ginkgo.It("given nodes of one zone alone that call a server, when it fails them all, then it rests for nobody", func() {
		ward := warded(6, 24, 4)
		ward.all("s1", contract.CallTally{Unconnected: 3}, zoned("zone1"))
		ward.passes(20*time.Second, nil)
		Expect(ward.ill()).To(BeZero())
	})

	ginkgo.It("given one server where calls fail rarely, when nodes of all zones tell it, then it does not rest", func() {
		ward := warded(6, 24, 3)
		ward.all("s1", contract.CallTally{Unconnected: 1, Succeeded: 9}, nil)
		ward.passes(20*time.Second, nil)
		Expect(ward.sees("s1").Suspected).To(BeTrue())
		Expect(ward.ill()).To(BeZero())
	})

	ginkgo.It("given calls that fail rarely everywhere, when nodes tell it, then no server rests", func() {
		ward := warded(6, 24, 3)
		for server := range 6 {
			ward.all(fmt.Sprintf("s%d", server), contract.CallTally{Unconnected: 1, Succeeded: 9}, nil)
		}
		ward.passes(20*time.Second, nil)
		Expect(ward.ill()).To(BeZero())
	})

	ginkgo.It("given a service whose servers all fail alike, when nodes tell it, then none rests", func() {
		ward := warded(6, 24, 3)
		for server := range 6 {
			ward.all(fmt.Sprintf("s%d", server), lost, nil)
		}
		ward.passes(20*time.Second, nil)
		Expect(ward.ill()).To(BeZero())
	})

	ginkgo.It("given servers that fall ill one after the other, when nodes tell it, then no more than half of them rest", func() {
		ward := warded(6, 24, 3)
		for server := range 6 {
			ward.all(fmt.Sprintf("s%d", server), lost, nil)
			ward.passes(3*time.Second, nil)
			Expect(ward.ill()).To(BeNumerically("<=", 3))
		}
		Expect(ward.ill()).To(Equal(3))
	})

	ginkgo.It("given resting servers that nobody tries, when others fall ill, then no more than half of them rest", func() {
		ward := warded(6, 24, 3)
		for server := range 5 {
			ward.all(fmt.Sprintf("s%d", server), lost, nil)
			ward.passes(3*time.Second, nil)
			ward.all(fmt.Sprintf("s%d", server), none, nil)
			Expect(ward.ill()).To(BeNumerically("<=", 3))
		}
		Expect(ward.ill()).To(Equal(3))
	})

	ginkgo.It("given two servers, when one is ill, then it rests, and with one server alone it never does", func() {
		ward := warded(2, 24, 3)
		ward.all("s1", lost, nil)
		ward.passes(5*time.Second, nil)
		Expect(ward.ill()).To(Equal(1))
		ward = warded(1, 24, 3)
		ward.all("s0", lost, nil)
		ward.passes(5*time.Second, nil)
		Expect(ward.ill()).To(BeZero())
	})

	rested := func() *ward {
		ward := warded(6, 24, 3)
		ward.all("s1", grey, nil)
		ward.passes(3*time.Second, nil)
		Expect(ward.sees("s1").RecoverySteps).To(Equal(int64(illSteps)))
		return ward
	}

	ginkgo.It("given a server that rests, when trial calls are answered well, then it comes back by steps", func() {
		ward, steps := rested(), []int64{}
		ward.all("s1", contract.CallTally{Succeeded: 1}, named("node03"))
		ward.passes(20*time.Second, func() {
			if ill := ward.sees("s1").RecoverySteps; len(steps) == 0 || steps[len(steps)-1] != ill {
				steps = append(steps, ill)
			}
		})
		Expect(steps).To(Equal([]int64{2, 1, 0}))
	})

	ginkgo.It("given a server that rests, when trial calls fail, then it rests on", func() {
		ward := rested()
		ward.all("s1", grey, named("node03"))
		ward.passes(60*time.Second, nil)
		Expect(ward.sees("s1").RecoverySteps).To(Equal(int64(illSteps)))
	})

	ginkgo.It("given a server that rests, when nobody tries it, then it comes back, but later", func() {
		ward := rested()
		ward.all("s1", none, nil)
		ward.passes(20*time.Second, nil)
		Expect(ward.sees("s1").RecoverySteps).To(Equal(int64(illSteps)))
		ward.passes(40*time.Second, nil)
		Expect(ward.sees("s1").RecoverySteps).To(BeZero())
	})

	ginkgo.It("given a server that falls ill whenever it serves, when minutes pass, then it rests longer each time", func() {
		ward, healthy := warded(6, 24, 3), []time.Duration{}
		former := int64(0)
		ward.passes(3*time.Minute, func() {
			ill := ward.sees("s1").RecoverySteps
			if ill == 0 {
				ward.all("s1", grey, nil)
			} else {
				ward.all("s1", contract.CallTally{Succeeded: 1}, named("node03"))
			}
			if former > 0 && ill == 0 {
				healthy = append(healthy, ward.now)
			}
			former = ill
		})
		Expect(len(healthy)).To(BeNumerically(">=", 3))
		for place := 2; place < len(healthy); place++ {
			Expect(healthy[place] - healthy[place-1]).To(BeNumerically(">=", healthy[place-1]-healthy[place-2]))
		}
		Expect(len(healthy)).To(BeNumerically("<=", 6))
	})

	ginkgo.It("given a server that rests, when another takes its name or it leaves the list, then nothing is held against the new one", func() {
		ward := rested()
		ward.all("s1", none, nil)
		ward.listing.Servers[1].Incarnation = "anew"
		ward.passes(time.Second, nil)
		Expect(ward.sees("s1").Suspected).To(BeFalse())
	})

	ginkgo.It("given nodes that fall silent, when their words are old, then they count no more", func() {
		ward := warded(6, 24, 3)
		ward.all("s1", lost, named("node03"))
		ward.passes(time.Second, nil)
		ward.nodes = append(ward.nodes[:4:4], ward.nodes[5:]...)
		ward.passes(5*time.Second, nil)
		Expect(ward.sees("s1").Suspected).To(BeFalse())
	})
})
