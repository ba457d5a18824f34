package shard

import (
	"time"

	"github.com/cedarreel/cedarreel/contract"
	"github.com/cedarreel/cedarreel/env"
	"github.com/cedarreel/cedarreel/manifest"
	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// poller is one of two control nodes of a region with one shard; its reads of the platform are recorded.
type poller struct {
	*Manager
	now          time.Duration
	members      []contract.Member
	pollTimes    []time.Duration
	listingError string
}

func newPoller(prompt bool) *poller {
	member := func(name string) contract.Member {
		return contract.Member{Name: name, Kind: contract.KindControl, Region: "east", Zone: "zone", Address: name}
	}
	both := contract.RendezvousOrder(HashKey("east", 0), []string{"left", "right"})
	fixture := &poller{Manager: New(member(both[1]), env.DefaultBounds()), now: time.Second, members: []contract.Member{member(both[0]), member(both[1])}}
	fixture.SetAdvisoryLeases(prompt)
	return fixture
}

// advance moves the clock; with answers set, each read is answered at once, by listingError if there is one.
func (poller *poller) advance(span time.Duration, answers bool) int {
	currentManifest := manifest.Manifest{Regions: map[string]manifest.Region{"east": {Shards: 1}}}
	former := len(poller.pollTimes)
	for until := poller.now + span; poller.now < until; poller.now += 10 * time.Millisecond {
		for _, command := range poller.Handle(poller.now, ClusterState{Members: poller.members, Manifest: currentManifest}) {
			if _, reads := command.(ReadPlatform); reads {
				poller.pollTimes = append(poller.pollTimes, poller.now)
				if answers {
					poller.Handle(poller.now, ListingResult{StartedAt: poller.now, Error: poller.listingError})
				}
			}
		}
	}
	return len(poller.pollTimes) - former
}

var _ = ginkgo.Describe("polls of the platform, each of which has a price", func() {
	poll := env.DefaultBounds().PlatformPoll()

	ginkgo.It("given advisory leases and a node without shards, when time passes, then it polls a third as often as the owner and is not blind", func() {
		idle := newPoller(true)
		Expect(idle.advance(30*poll, true)).To(BeNumerically("~", 10, 1))
		Expect(idle.PlatformUnreadable()).To(BeFalse())
		idle.members = idle.members[1:]
		Expect(idle.advance(30*poll, true)).To(BeNumerically("~", 30, 2))
	})

	ginkgo.It("given binding leases, when time passes, then a node polls as often whether it owns a shard or not", func() {
		Expect(newPoller(false).advance(30*poll, true)).To(BeNumerically("~", 30, 1))
	})

	ginkgo.It("given an idle node, when the owner leaves at any moment, then it polls at once or has polled lately, and takes the shard within a round", func() {
		for part := range 12 {
			idle := newPoller(true)
			idle.advance(9*poll+time.Duration(part)*poll/4, true)
			idle.members, idle.pollTimes = idle.members[1:], idle.pollTimes[len(idle.pollTimes)-1:]
			began := idle.now
			idle.advance(env.DefaultBounds().Round()+20*time.Millisecond, true)
			Expect(idle.shardStates[0].isOwner).To(BeTrue())
			Expect(idle.pollTimes[len(idle.pollTimes)-1]).To(BeNumerically(">", began-2*poll))
		}
	})

	ginkgo.It("given an idle node whose poll is refused, when time passes, then it polls again as soon as an owner would", func() {
		idle := newPoller(true)
		idle.listingError = "over the rate"
		Expect(idle.advance(10*poll, true)).To(BeNumerically("~", 10, 1))
	})

	ginkgo.It("given an idle node without answers, when two more of its polls are due, then it is blind, and an owner is sooner", func() {
		idle, manager := newPoller(true), newPoller(true)
		manager.members = manager.members[1:]
		for _, node := range []*poller{idle, manager} {
			node.advance(3*poll+20*time.Millisecond, true)
		}
		last := idle.listedAt
		manager.advance(manager.listedAt+env.DefaultBounds().Lease()+50*time.Millisecond-manager.now, false)
		Expect(manager.PlatformUnreadable()).To(BeTrue())
		idle.advance(last+env.DefaultBounds().Lease()+2*poll-idle.now, false)
		Expect(idle.PlatformUnreadable()).To(BeFalse())
		idle.advance(50*time.Millisecond, false)
		Expect(idle.PlatformUnreadable()).To(BeTrue())
	})
})
