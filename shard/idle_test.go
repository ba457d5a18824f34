package shard

import (
	"time"

	"github.com/cedarreel/cedarreel/contract"
	"github.com/cedarreel/cedarreel/env"
	"github.com/cedarreel/cedarreel/manifest"
	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// reader is a control node beside another one, of which one owns the east's only shard; its readings of the platform are counted.
type reader struct {
	*Owner
	now      time.Duration
	members  []contract.Member
	readings []time.Duration
	err      string
}

func reading(prompt bool) *reader {
	member := func(name string) contract.Member {
		return contract.Member{Name: name, Kind: contract.KindControl, Region: "east", Zone: "zone", Address: name}
	}
	both := contract.RendezvousOrder(Subject("east", 0), []string{"left", "right"})
	made := &reader{Owner: New(member(both[1]), env.DefaultBounds()), now: time.Second, members: []contract.Member{member(both[0]), member(both[1])}}
	made.Prompt(prompt)
	return made
}

// passes lets time go by; each reading is answered a moment later, unless it is to fail or to stay without an answer.
func (reader *reader) passes(span time.Duration, answers bool) int {
	read := manifest.Manifest{Regions: map[string]manifest.Region{"east": {Shards: 1}}}
	former := len(reader.readings)
	for ends := reader.now + span; reader.now < ends; reader.now += 10 * time.Millisecond {
		for _, command := range reader.Handle(reader.now, Seen{Members: reader.members, Manifest: read}) {
			if _, reads := command.(ReadPlatform); reads {
				reader.readings = append(reader.readings, reader.now)
				if answers {
					reader.Handle(reader.now, ListingRead{Began: reader.now, Error: reader.err})
				}
			}
		}
	}
	return len(reader.readings) - former
}

var _ = ginkgo.Describe("readings of the platform, which have a price", func() {
	poll := env.DefaultBounds().PlatformPoll()

	ginkgo.It("given a prompt node that owns no shard, when time goes by, then it reads a third as often as the owner, and can see", func() {
		idle := reading(true)
		Expect(idle.passes(30*poll, true)).To(BeNumerically("~", 10, 1))
		Expect(idle.Blind()).To(BeFalse())
		idle.members = idle.members[1:]
		Expect(idle.passes(30*poll, true)).To(BeNumerically("~", 30, 2))
	})

	ginkgo.It("given a node that is not prompt, when time goes by, then it reads as often whether it owns a shard or not", func() {
		Expect(reading(false).passes(30*poll, true)).To(BeNumerically("~", 30, 1))
	})

	ginkgo.It("given an idle node, when the owner goes at any moment, then it reads at once or has read lately, and takes the shard within a round", func() {
		for part := range 12 {
			idle := reading(true)
			idle.passes(9*poll+time.Duration(part)*poll/4, true)
			idle.members, idle.readings = idle.members[1:], idle.readings[len(idle.readings)-1:]
			began := idle.now
			idle.passes(env.DefaultBounds().Round()+20*time.Millisecond, true)
			Expect(idle.duties[0].owning).To(BeTrue())
			Expect(idle.readings[len(idle.readings)-1]).To(BeNumerically(">", began-2*poll))
		}
	})

	ginkgo.It("given an idle node whose reading is refused, when time goes by, then it reads again as soon as an owner would", func() {
		idle := reading(true)
		idle.err = "over the rate"
		Expect(idle.passes(10*poll, true)).To(BeNumerically("~", 10, 1))
	})

	ginkgo.It("given an idle node that gets no answers, when two more of its readings are over, then it is blind, and an owner sooner", func() {
		idle, owner := reading(true), reading(true)
		owner.members = owner.members[1:]
		for _, node := range []*reader{idle, owner} {
			node.passes(3*poll+20*time.Millisecond, true)
		}
		last := idle.listedAt
		owner.passes(owner.listedAt+env.DefaultBounds().Lease()+50*time.Millisecond-owner.now, false)
		Expect(owner.Blind()).To(BeTrue())
		idle.passes(last+env.DefaultBounds().Lease()+2*poll-idle.now, false)
		Expect(idle.Blind()).To(BeFalse())
		idle.passes(50*time.Millisecond, false)
		Expect(idle.Blind()).To(BeTrue())
	})
})
