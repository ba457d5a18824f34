package neighbour

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cedarreel/cedarreel/contract"
	"github.com/cedarreel/cedarreel/env"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestNeighbour(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "neighbour")
}

// newMembership returns a membership in zone a1 of region a that knows count members in each zone of two regions.
func newMembership(seed uint64, count int) *Membership {
	membership := New(contract.Member{Name: "self-data", Zone: "a1", Region: "a", Address: "self"}, []string{"seed"}, env.DefaultBounds(), rand.New(rand.NewPCG(seed, 1)))
	for _, zone := range []string{"a1", "a2", "b1", "b2"} {
		for index := range count {
			name := fmt.Sprintf("%s-%d-data", zone, index)
			membership.mergeMember(0, contract.Member{Name: name, Address: name, Zone: zone, Region: zone[:1], Incarnation: 1, Heartbeat: 1})
		}
	}
	return membership
}

// countMessages runs gossip rounds with all members alive and counts the messages to the own zone, the own region, other regions and seeds.
func countMessages(membership *Membership, rounds int) (zone, region, heartbeatErr, seeds int) {
	now := time.Duration(0)
	for range rounds {
		now += membership.bounds.GossipInterval()
		membership.outsideHeardAt = now
		for _, record := range membership.table {
			record.heartbeatAt, record.heardAt = now, now
		}
		for _, command := range membership.tick(now) {
			switch to := command.(contract.Send).To; {
			case to == "seed":
				seeds++
			case to[:2] == "a1":
				zone++
			case to[0] == 'a':
				region++
			default:
				heartbeatErr++
			}
		}
	}
	return zone, region, heartbeatErr, seeds
}

var _ = Describe("the neighbours of a node", func() {
	It("given a large fleet in two regions, when it gossips, then most messages stay in its zone and some always leave it", func() {
		zone, region, heartbeatErr, seeds := countMessages(newMembership(1, 25), 4000)
		all := zone + region + heartbeatErr + seeds
		Expect(zone).To(BeNumerically(">", all/3))
		Expect(zone + region).To(BeNumerically(">", all*3/4))
		Expect(heartbeatErr).To(And(BeNumerically("<", all/6), BeNumerically(">", all/40)))
		Expect(region).To(BeNumerically(">", all/8))
		Expect(seeds).To(And(BeNumerically("<", all/20), BeNumerically(">", 0)))
	})

	It("given a small fleet, when it gossips, then seeds and random members are contacted at the usual rate", func() {
		_, _, heartbeatErr, seeds := countMessages(newMembership(1, 4), 4000)
		Expect(seeds).To(BeNumerically(">", 4000/8))
		Expect(heartbeatErr).To(BeNumerically(">", 4000/4))
	})

	It("given a node alone in its zone, or in its region, when it gossips, then its active view is full all the same", func() {
		for _, left := range []string{"b", "a2", ""} {
			membership := newMembership(2, 6)
			for name, record := range membership.table {
				if len(left) == 0 || record.member.Zone[:len(left)] != left {
					delete(membership.table, name)
				}
			}
			membership.sortedNames = nil
			countMessages(membership, 10)
			Expect(membership.active).To(HaveLen(min(activeSize, len(membership.table))), "only %q left", left)
		}
	})

	It("given a whole region that is not heard any more, when it gossips, then its members leave the active view", func() {
		membership := newMembership(3, 6)
		countMessages(membership, 10)
		now := 10*membership.bounds.GossipInterval() + membership.bounds.SuspicionTimeout()
		for _, record := range membership.table {
			if record.member.Region == "a" {
				record.heartbeatAt, record.heardAt = now, now
			}
		}
		membership.tick(now)
		for _, name := range membership.active {
			Expect(membership.table[name].member.Region).To(Equal("a"))
		}
		Expect(membership.active).To(HaveLen(activeSize))
	})
})
