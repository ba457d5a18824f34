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

// fixture is the manager of one shard with its own clock, servers s0, s1, ..., and data nodes spread over zones.
type fixture struct {
	*Manager
	now       time.Duration
	nodes     []contract.Member
	listing   contract.Listing
	tallies   map[string]map[string]contract.CallTally
	leases    map[string]contract.Lease
	listCount int
}

func newFixture(servers, nodes, zones int) *fixture {
	self := contract.Member{Name: "east-control", Kind: contract.KindControl, Region: "east", Zone: "zone0", Address: "owner:1"}
	created := &fixture{Manager: New(self, env.DefaultBounds()), now: time.Second, tallies: map[string]map[string]contract.CallTally{}, leases: map[string]contract.Lease{}}
	created.SetAdvisoryLeases(true)
	created.nodes = append(created.nodes, self)
	for node := range nodes {
		created.nodes = append(created.nodes, contract.Member{Name: fmt.Sprintf("node%02d", node), Kind: contract.KindData, Region: "east", Zone: fmt.Sprintf("zone%d", node%zones)})
	}
	for server := range servers {
		name := fmt.Sprintf("s%d", server)
		created.listing.Servers = append(created.listing.Servers, contract.ListedServer{Name: name, Incarnation: name, Pool: "s", AssumedReady: true})
	}
	created.advance(3*time.Second, nil)
	return created
}

func (fixture *fixture) lease(command contract.Command) (contract.Lease, bool) {
	send, ok := command.(contract.Send)
	if !ok {
		return contract.Lease{}, false
	}
	lease, ok := send.Body.(contract.Lease)
	return lease, ok
}

// advance moves the clock while every node reports its tallies every half second; beforeReport runs before each round of reports.
func (fixture *fixture) advance(span time.Duration, beforeReport func()) {
	ginkgo.GinkgoHelper()
	currentManifest := manifest.Manifest{Regions: map[string]manifest.Region{"east": {Shards: 1}}, Gateway: manifest.Gateway{Services: map[string]manifest.Service{"s": {}}}}
	for until := fixture.now + span; fixture.now < until; fixture.now += 50 * time.Millisecond {
		fixture.Handle(fixture.now, ClusterState{Members: fixture.nodes, Manifest: currentManifest})
		if fixture.now%(500*time.Millisecond) > 0 {
			continue
		}
		fixture.Handle(fixture.now, ListingResult{StartedAt: fixture.now, Listing: fixture.listing})
		if beforeReport != nil {
			beforeReport()
		}
		for _, node := range fixture.nodes[1:] {
			last := fixture.leases[node.Name]
			request := contract.LeaseRequest{Node: node.Name, Region: "east", Address: node.Name, ShardCount: 1, HighestEpoch: last.Epoch, Number: last.Number, OmitUnchanged: true, Tallies: fixture.tallies[node.Name]}
			body, _ := json.Marshal(request)
			for _, command := range fixture.Handle(fixture.now, contract.Message{Kind: MessageLeaseRequest, Body: body}) {
				if lease, ok := fixture.lease(command); ok && !lease.Unchanged {
					fixture.leases[node.Name] = lease
					fixture.listCount++
				}
			}
		}
	}
}

// reportTally sets the tally of a server that the chosen nodes report; nil chooses all nodes.
func (fixture *fixture) reportTally(server string, tally contract.CallTally, chosen func(contract.Member) bool) {
	for _, node := range fixture.nodes[1:] {
		if fixture.tallies[node.Name] == nil {
			fixture.tallies[node.Name] = map[string]contract.CallTally{}
		}
		delete(fixture.tallies[node.Name], server)
		if (chosen == nil || chosen(node)) && tally.Total() > 0 {
			fixture.tallies[node.Name][server] = tally
		}
	}
}

func (fixture *fixture) candidate(server string) contract.Candidate {
	ginkgo.GinkgoHelper()
	for _, one := range fixture.leases[fixture.nodes[len(fixture.nodes)-1].Name].Servers {
		if one.Name == server {
			return one
		}
	}
	ginkgo.Fail("not on the list: " + server)
	return contract.Candidate{}
}

func (fixture *fixture) resting() int {
	count := 0
	for _, one := range fixture.leases[fixture.nodes[len(fixture.nodes)-1].Name].Servers {
		if one.RecoverySteps > 0 {
			count++
		}
	}
	return count
}

func nodeNamed(name string) func(contract.Member) bool {
	return func(node contract.Member) bool { return node.Name == name }
}

func inZones(zones ...string) func(contract.Member) bool {
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
	lost       = contract.CallTally{Unconnected: 1}
	failed     = contract.CallTally{Failed: 1}
	mostlyGood = contract.CallTally{Failed: 1, Succeeded: 2}
	well       = contract.CallTally{Succeeded: 3}
	none       = contract.CallTally{}
)

var _ = ginkgo.Describe("the health of a server at its shard's owner", func() {
	ginkgo.It("given one node that lost a server, when it reports it, then all nodes see the server as suspected until the report ends", func() {
		fixture := newFixture(6, 24, 3)
		fixture.reportTally("s1", lost, nodeNamed("node03"))
		fixture.advance(1100*time.Millisecond, nil)
		Expect(fixture.candidate("s1").Suspected).To(BeTrue())
		Expect(fixture.candidate("s0").Suspected).To(BeFalse())
		fixture.advance(10*time.Second, nil)
		Expect(fixture.candidate("s1").Suspected).To(BeTrue())
		Expect(fixture.candidate("s1").RecoverySteps).To(BeZero())
		fixture.reportTally("s1", none, nil)
		fixture.advance(3*time.Second, nil)
		Expect(fixture.candidate("s1").Suspected).To(BeFalse())
	})

	ginkgo.It("given one call that failed in another way, when its node reports it, then no list changes", func() {
		fixture := newFixture(6, 24, 3)
		listCount := fixture.listCount
		fixture.reportTally("s1", failed, nodeNamed("node03"))
		fixture.advance(10*time.Second, nil)
		Expect(fixture.listCount).To(Equal(listCount))
	})

	ginkgo.It("given occasional failures at several nodes, when they report them, then the list changes twice and not with each report", func() {
		fixture := newFixture(6, 24, 3)
		number, turn := fixture.leases["node00"].Number, 0
		fixture.advance(20*time.Second, func() {
			turn++
			fixture.reportTally("s1", none, nil)
			if turn%3 != 0 {
				fixture.reportTally("s1", lost, nodeNamed(fmt.Sprintf("node%02d", turn%24)))
			}
		})
		fixture.reportTally("s1", none, nil)
		fixture.advance(3*time.Second, nil)
		Expect(fixture.leases["node00"].Number - number).To(Equal(int64(2)))
	})

	ginkgo.It("given nodes of most zones that see failures, when they report them, then the server rests for all, but only after every node could report", func() {
		fixture := newFixture(6, 24, 3)
		fixture.reportTally("s1", mostlyGood, nil)
		fixture.advance(1100*time.Millisecond, nil)
		Expect(fixture.candidate("s1").HealthTracked).To(BeTrue())
		Expect(fixture.candidate("s1").Suspected).To(BeFalse(), "no node lost its connection")
		Expect(fixture.candidate("s1").RecoverySteps).To(BeZero())
		fixture.advance(2*time.Second, nil)
		Expect(fixture.candidate("s1").RecoverySteps).To(Equal(int64(recoverySteps)))
		Expect(fixture.resting()).To(Equal(1))
	})

	ginkgo.It("given a small fleet, when all its nodes see calls fail, then the server is suspected and does not rest", func() {
		fixture := newFixture(6, minFleetNodes-1, 3)
		fixture.reportTally("s1", lost, nil)
		fixture.advance(10*time.Second, nil)
		Expect(fixture.candidate("s1").Suspected).To(BeTrue())
		Expect(fixture.resting()).To(BeZero())
	})

	for _, trouble := range []struct {
		what   string
		chosen func(contract.Member) bool
	}{{"one zone", inZones("zone1")}, {"half of the zones", inZones("zone0", "zone1")}, {"one node", nodeNamed("node03")}} {
		ginkgo.It("given "+trouble.what+" that loses a server, when the others reach it, then it does not rest", func() {
			fixture := newFixture(6, 24, 4)
			fixture.reportTally("s1", well, nil)
			fixture.advance(time.Second, nil)
			for _, node := range fixture.nodes[1:] {
				if trouble.chosen(node) {
					fixture.tallies[node.Name]["s1"] = contract.CallTally{Unconnected: 3}
				}
			}
			fixture.advance(20*time.Second, nil)
			Expect(fixture.candidate("s1").Suspected).To(BeTrue())
			Expect(fixture.resting()).To(BeZero())
		})
	}

	ginkgo.It("given a server that only nodes of one zone call, when all their calls fail, then it does not rest", func() {
		fixture := newFixture(6, 24, 4)
		fixture.reportTally("s1", contract.CallTally{Unconnected: 3}, inZones("zone1"))
		fixture.advance(20*time.Second, nil)
		Expect(fixture.resting()).To(BeZero())
	})

	ginkgo.It("given one server with rare failures, when nodes of all zones report them, then it does not rest", func() {
		fixture := newFixture(6, 24, 3)
		fixture.reportTally("s1", contract.CallTally{Unconnected: 1, Succeeded: 9}, nil)
		fixture.advance(20*time.Second, nil)
		Expect(fixture.candidate("s1").Suspected).To(BeTrue())
		Expect(fixture.resting()).To(BeZero())
	})

	ginkgo.It("given rare failures at all servers, when nodes report them, then no server rests", func() {
		fixture := newFixture(6, 24, 3)
		for server := range 6 {
			fixture.reportTally(fmt.Sprintf("s%d", server), contract.CallTally{Unconnected: 1, Succeeded: 9}, nil)
		}
		fixture.advance(20*time.Second, nil)
		Expect(fixture.resting()).To(BeZero())
	})

	ginkgo.It("given a service whose servers all fail alike, when nodes report it, then none rests", func() {
		fixture := newFixture(6, 24, 3)
		for server := range 6 {
			fixture.reportTally(fmt.Sprintf("s%d", server), lost, nil)
		}
		fixture.advance(20*time.Second, nil)
		Expect(fixture.resting()).To(BeZero())
	})

	ginkgo.It("given servers that fail one after the other, when nodes report it, then no more than half of them rest", func() {
		fixture := newFixture(6, 24, 3)
		for server := range 6 {
			fixture.reportTally(fmt.Sprintf("s%d", server), lost, nil)
			fixture.advance(3*time.Second, nil)
			Expect(fixture.resting()).To(BeNumerically("<=", 3))
		}
		Expect(fixture.resting()).To(Equal(3))
	})

	ginkgo.It("given resting servers without trial calls, when others fail, then no more than half of them rest", func() {
		fixture := newFixture(6, 24, 3)
		for server := range 5 {
			fixture.reportTally(fmt.Sprintf("s%d", server), lost, nil)
			fixture.advance(3*time.Second, nil)
			fixture.reportTally(fmt.Sprintf("s%d", server), none, nil)
			Expect(fixture.resting()).To(BeNumerically("<=", 3))
		}
		Expect(fixture.resting()).To(Equal(3))
	})

	ginkgo.It("given two servers, when one fails, then it rests; a single server never does", func() {
		fixture := newFixture(2, 24, 3)
		fixture.reportTally("s1", lost, nil)
		fixture.advance(5*time.Second, nil)
		Expect(fixture.resting()).To(Equal(1))
		fixture = newFixture(1, 24, 3)
		fixture.reportTally("s0", lost, nil)
		fixture.advance(5*time.Second, nil)
		Expect(fixture.resting()).To(BeZero())
	})

	rested := func() *fixture {
		fixture := newFixture(6, 24, 3)
		fixture.reportTally("s1", mostlyGood, nil)
		fixture.advance(3*time.Second, nil)
		Expect(fixture.candidate("s1").RecoverySteps).To(Equal(int64(recoverySteps)))
		return fixture
	}

	ginkgo.It("given a resting server, when trial calls succeed, then it recovers in steps", func() {
		fixture, steps := rested(), []int64{}
		fixture.reportTally("s1", contract.CallTally{Succeeded: 1}, nodeNamed("node03"))
		fixture.advance(20*time.Second, func() {
			if resting := fixture.candidate("s1").RecoverySteps; len(steps) == 0 || steps[len(steps)-1] != resting {
				steps = append(steps, resting)
			}
		})
		Expect(steps).To(Equal([]int64{2, 1, 0}))
	})

	ginkgo.It("given a resting server, when trial calls fail, then it keeps resting", func() {
		fixture := rested()
		fixture.reportTally("s1", mostlyGood, nodeNamed("node03"))
		fixture.advance(60*time.Second, nil)
		Expect(fixture.candidate("s1").RecoverySteps).To(Equal(int64(recoverySteps)))
	})

	ginkgo.It("given a resting server, when no node tries it, then it recovers, but later", func() {
		fixture := rested()
		fixture.reportTally("s1", none, nil)
		fixture.advance(20*time.Second, nil)
		Expect(fixture.candidate("s1").RecoverySteps).To(Equal(int64(recoverySteps)))
		fixture.advance(40*time.Second, nil)
		Expect(fixture.candidate("s1").RecoverySteps).To(BeZero())
	})

	ginkgo.It("given a server that fails whenever it serves, when minutes pass, then it rests longer each time", func() {
		fixture, healthy := newFixture(6, 24, 3), []time.Duration{}
		former := int64(0)
		fixture.advance(3*time.Minute, func() {
			resting := fixture.candidate("s1").RecoverySteps
			if resting == 0 {
				fixture.reportTally("s1", mostlyGood, nil)
			} else {
				fixture.reportTally("s1", contract.CallTally{Succeeded: 1}, nodeNamed("node03"))
			}
			if former > 0 && resting == 0 {
				healthy = append(healthy, fixture.now)
			}
			former = resting
		})
		Expect(len(healthy)).To(BeNumerically(">=", 3))
		for place := 2; place < len(healthy); place++ {
			Expect(healthy[place] - healthy[place-1]).To(BeNumerically(">=", healthy[place-1]-healthy[place-2]))
		}
		Expect(len(healthy)).To(BeNumerically("<=", 6))
	})

	ginkgo.It("given a resting server, when a new incarnation takes its name, then the new one starts without a health record", func() {
		fixture := rested()
		fixture.reportTally("s1", none, nil)
		fixture.listing.Servers[1].Incarnation = "anew"
		fixture.advance(time.Second, nil)
		Expect(fixture.candidate("s1").Suspected).To(BeFalse())
	})

	ginkgo.It("given nodes that stop reporting, when their reports have expired, then they no longer count", func() {
		fixture := newFixture(6, 24, 3)
		fixture.reportTally("s1", lost, nodeNamed("node03"))
		fixture.advance(time.Second, nil)
		fixture.nodes = append(fixture.nodes[:4:4], fixture.nodes[5:]...)
		fixture.advance(5*time.Second, nil)
		Expect(fixture.candidate("s1").Suspected).To(BeFalse())
	})
})
