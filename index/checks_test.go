package index

import (
	"time"

	"github.com/cedarreel/cedarreel/contract"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// observer is a fixture that receives reports of single calls and collects the resulting counts and log lines.
type observer struct {
	*fixture
	counts map[string]int64
	said   []contract.Log
	moved  []Placement
}

func newObserver() *observer { return &observer{fixture: newFixture(), counts: map[string]int64{}} }

func (observer *observer) collect(commands []contract.Command) {
	for _, command := range commands {
		switch command := command.(type) {
		case contract.AddCounter:
			observer.counts[command.Name] += command.Delta
		case contract.Log:
			observer.said = append(observer.said, command)
		case contract.Send:
			if moved, ok := command.Body.(PlacementUpdate); ok {
				observer.moved = append(observer.moved, moved.Places...)
			}
		}
	}
}

// call reports a call that ends now.
func (observer *observer) call(server string, anchor uint64, took time.Duration, shown Verdict) {
	GinkgoHelper()
	use := Use{Key: key(anchor), Server: server, Took: took.Milliseconds(), Verdict: shown, At: observer.now}
	observer.collect(observer.Handle(observer.now, message(MessageUsage, Usage{Address: "node", Uses: []Use{use}, Results: Results(observer.now, cooldown, []Use{use})})))
}

func (observer *observer) advance(span time.Duration) {
	observer.now += span
	observer.collect(observer.Tick(observer.now, nil))
}

// readPrompts reports the first reading of prompts on a server.
func (observer *observer) readPrompts(server string, anchors ...uint64) {
	GinkgoHelper()
	for _, anchor := range anchors {
		observer.call(server, anchor, slowCall, late)
		observer.advance(time.Second)
	}
}

const (
	fastCall, slowCall = 50 * time.Millisecond, 600 * time.Millisecond
	settleTime         = 2 * time.Second
)

var late = MissVerdict(slowCall, slowCall/2)

var _ = Describe("the check of a server's cache", func() {
	It("given a prompt that is read for the first time, when its call is late, then that is no mismatch", func() {
		observer := newObserver()
		observer.readPrompts("a", 1)
		observer.advance(settleTime)
		Expect(observer.counts).To(BeEmpty())
	})

	It("given a prompt that another node had read, when a call is late, then it is one mismatch, counted and logged once", func() {
		observer := newObserver()
		observer.readPrompts("a", 1)
		observer.call("a", 1, slowCall, late)
		Expect(observer.counts).To(BeEmpty(), "other nodes may explain it")
		observer.advance(settleTime)
		observer.advance(settleTime)
		Expect(observer.counts).To(Equal(map[string]int64{"index_checked": 1, "index_mismatches": 1}))
		Expect(observer.said).To(HaveLen(1))
		Expect(observer.said[0].Attributes[:2]).To(Equal([]any{"server", "a"}))
		Expect(observer.Status(observer.now)).To(Equal([]CacheStatus{{Server: "a", Service: "s", Placed: 1, Checked: 1, Missed: 1, Share: 1}}))
	})

	It("given a prompt that was read, when a call finds it kept, then it is checked, also if another node placed it", func() {
		observer := newObserver()
		observer.readPrompts("a", 1)
		observer.call("a", 1, fastCall, Kept)
		Expect(observer.counts).To(Equal(map[string]int64{"index_checked": 1}))
		Expect(observer.Status(observer.now)).To(Equal([]CacheStatus{{Server: "a", Service: "s", Placed: 1, Checked: 1, Kept: 1, Share: 1}}))
	})

	It("given a call that waited behind the reading of another node, when that is reported later, then no miss is counted", func() {
		observer := newObserver()
		observer.readPrompts("a", 1)
		observer.call("a", 1, slowCall, late)
		observer.now += 300 * time.Millisecond
		other := Use{Key: key(2), Server: "a", Took: 800, Verdict: late, At: observer.now - 250*time.Millisecond}
		observer.collect(observer.Handle(observer.now, message(MessageUsage, Usage{Address: "other", Uses: []Use{other}, Results: Results(observer.now, cooldown, []Use{other})})))
		observer.advance(settleTime)
		Expect(observer.counts).To(BeEmpty())
	})

	It("given another call that was over before a late one could wait for it, when the late one is decided, then it is a mismatch", func() {
		observer := newObserver()
		observer.readPrompts("a", 1)
		observer.call("a", 2, 100*time.Millisecond, Unclear)
		observer.now += slowCall - 50*time.Millisecond
		observer.call("a", 1, slowCall, late)
		observer.advance(settleTime)
		Expect(observer.counts["index_mismatches"]).To(Equal(int64(1)))
	})

	It("given a prompt that nobody used for longer than prompts last, when it is read again, then no miss is counted", func() {
		observer := newObserver()
		observer.readPrompts("a", 1)
		observer.advance(halfLife*retentionHalfLives + time.Minute)
		observer.call("a", 1, slowCall, late)
		observer.advance(settleTime)
		Expect(observer.counts).To(BeEmpty())
	})

	It("given an older node without results, or with results that don't fit its uses, when it reports, then its uses count and check nothing", func() {
		observer := newObserver()
		observer.readPrompts("a", 1)
		for _, results := range []string{"", "Z", "ZaZa", "\x00\xff"} {
			observer.collect(observer.Handle(observer.now, message(MessageUsage, Usage{Address: "node", Uses: []Use{{Key: key(1), Server: "a", Took: 900}}, Results: results})))
			observer.advance(settleTime)
		}
		Expect(observer.counts).To(BeEmpty())
		Expect(observer.mustPlace(1, "", "b").Server).To(Equal("a"))
	})

	It("given uses with verdicts, when they are encoded, then each has two characters, and there are none without verdicts", func() {
		uses := []Use{{Verdict: Kept, At: time.Second}, {Verdict: MissVerdict(slowCall, slowCall), At: 500 * time.Millisecond}, {}}
		results := Results(time.Second, cooldown, uses)
		Expect(results).To(HaveLen(2 * len(uses)))
		usage := Usage{Uses: uses, Results: results}
		shown, at := usage.result(time.Second, cooldown, 1)
		Expect(shown).To(Equal(Verdict('Z')))
		Expect(at).To(Equal(500 * time.Millisecond))
		slack, missed := shown.MissSlack(slowCall)
		Expect(slack).To(Equal(slowCall))
		Expect(missed).To(BeTrue())
		Expect(Results(time.Second, cooldown, []Use{{}, {}})).To(BeEmpty())
	})
})

var _ = Describe("the loss of a server's whole cache", func() {
	It("given three prompts that were read before, when all are missed, then the loss is noticed once, and the server is doubted since the first", func() {
		observer := newObserver()
		observer.readPrompts("a", 1, 2, 3, 4)
		observer.readPrompts("a", 1, 2, 3)
		observer.advance(settleTime)
		Expect(observer.counts["index_losses_noticed"]).To(Equal(int64(1)))
		Expect(observer.Status(observer.now)[0].DoubtedMs).To(BeNumerically(">", settleTime.Milliseconds()))
		observer.advance(halfLife)
		Expect(observer.Status(observer.now)[0].DoubtedMs).To(BeZero())
	})

	It("given two prompts that are missed, when nothing else is, then no loss is noticed: two late calls happen without a loss", func() {
		observer := newObserver()
		observer.readPrompts("a", 1, 2, 3)
		observer.readPrompts("a", 1, 2)
		observer.advance(settleTime)
		Expect(observer.counts["index_mismatches"]).To(Equal(int64(2)))
		Expect(observer.counts["index_losses_noticed"]).To(BeZero())
	})

	It("given one prompt that is missed again and again, when nothing else is, then no loss is noticed", func() {
		observer := newObserver()
		observer.readPrompts("a", 1, 2)
		observer.readPrompts("a", 1, 1, 1)
		observer.advance(settleTime)
		Expect(observer.counts["index_losses_noticed"]).To(BeZero())
	})

	It("given a miss, when a prompt that was used before it is still cached, then the suspicion ends and the next miss starts a new one", func() {
		observer := newObserver()
		observer.readPrompts("a", 1, 2, 3, 4)
		observer.readPrompts("a", 1, 2)
		observer.advance(settleTime)
		observer.call("a", 4, fastCall, Kept)
		observer.readPrompts("a", 3)
		observer.advance(settleTime)
		Expect(observer.counts["index_mismatches"]).To(Equal(int64(3)))
		Expect(observer.counts["index_losses_noticed"]).To(BeZero())
	})

	It("given misses that lie more than a half-life apart, when the second comes, then it starts a new suspicion", func() {
		observer := newObserver()
		observer.readPrompts("a", 1, 2, 3)
		observer.readPrompts("a", 1, 2)
		observer.advance(halfLife + time.Second)
		observer.readPrompts("a", 3)
		observer.advance(settleTime)
		Expect(observer.counts["index_losses_noticed"]).To(BeZero())
	})
})

var _ = Describe("the view of several control nodes", func() {
	It("given views of the same servers, when they are merged, then checks add up, places don't, and rows of older nodes are left out", func() {
		merged := MergeStatus([]CacheStatus{{Server: "b", Share: 1}, {Server: "a", Service: "s", Placed: 3, Checked: 2, Kept: 2, Share: 1},
			{}, {Server: "a", Service: "s", Placed: 2, Checked: 3, Missed: 3, Share: 0.5, DoubtedMs: 7}})
		Expect(merged).To(Equal([]CacheStatus{{Server: "a", Service: "s", Placed: 3, Checked: 5, Kept: 2, Missed: 3, Share: 0.5, DoubtedMs: 7}, {Server: "b", Share: 1}}))
	})
})

var _ = Describe("a server that misses cached prompts repeatedly", func() {
	// spread is an index with servers of one service that are all used.
	spread := func(servers ...string) *observer {
		observer := newObserver()
		for place, server := range servers {
			observer.readPrompts(server, uint64(10*place+1), uint64(10*place+2))
		}
		return observer
	}
	misses := func(observer *observer, server string, anchors ...uint64) {
		GinkgoHelper()
		observer.readPrompts(server, anchors...)
		observer.advance(settleTime)
	}

	It("given one loss, when each prompt is missed once, then no place is leaving", func() {
		observer := spread("a", "b", "c")
		misses(observer, "a", 1, 2)
		Expect(observer.counts["index_mismatches"]).To(Equal(int64(2)))
		Expect(observer.counts["index_places_left"]).To(BeZero())
		Expect(observer.mustPlace(1, "", "b", "c").Server).To(Equal("a"))
	})

	It("given prompts that are missed again, when they are, then its share is reduced in steps and a leaving place moves once", func() {
		observer := spread("a", "b", "c")
		misses(observer, "a", 1, 2)
		Expect(observer.Status(observer.now)[0].Share).To(Equal(0.75))
		misses(observer, "a", 1)
		Expect(observer.Status(observer.now)[0].Share).To(Equal(0.5))
		Expect(observer.counts["index_places_left"]).To(Equal(int64(1)))
		observer.call("a", 1, fastCall, Kept)
		Expect(observer.moved).To(Equal([]Placement{{Key: key(1)}}), "the node has to ask again")
		Expect(observer.mustPlace(1, "", "a", "b", "c").Server).To(Equal("b"))
		Expect(observer.mustPlace(1, "", "a", "c").Server).To(Equal("b"))
		observer.call("a", 1, fastCall, Kept)
		Expect(observer.moved[1:]).To(Equal([]Placement{{Key: key(1), Server: "b"}}), "a node that still uses the old place is corrected")
	})

	It("given a leaving place, when no other candidate is offered, then it stays, and no ask is refused", func() {
		observer := spread("a", "b", "c")
		misses(observer, "a", 1, 2)
		misses(observer, "a", 1)
		Expect(observer.mustPlace(1, "", "a").Server).To(Equal("a"))
		observer.call("a", 1, fastCall, Kept)
		Expect(observer.moved).To(BeEmpty(), "the node need not ask for each call")
		Expect(observer.mustPlace(1, "").Server).To(Equal("a"))
	})

	It("given a leaving place, when replicas hear of it, then they drop it, and an old use does not restore it", func() {
		observer := spread("a", "b", "c")
		misses(observer, "a", 1, 2)
		observer.call("a", 1, slowCall, late)
		observer.now += settleTime
		replica, announcement := newFixture(), []contract.Command{}
		replica.Restore(Snapshot{[]Placement{{Key: key(1), Server: "a"}, {Key: key(2), Server: "a"}}})
		for _, command := range observer.Tick(observer.now, []contract.Member{{Name: "other", Address: "other"}}) {
			if send, ok := command.(contract.Send); ok && send.Kind == MessageAnnouncement {
				announcement = append(announcement, replica.Handle(replica.now, message(MessageAnnouncement, send.Body))...)
			}
		}
		Expect(announcement).To(BeEmpty())
		_, found := replica.Place(replica.now, PlacementRequest{Key: key(1), Known: true})
		Expect(found).To(BeFalse())
		_, found = replica.Place(replica.now, PlacementRequest{Key: key(2), Known: true})
		Expect(found).To(BeTrue())
		_, found = observer.Place(observer.now, PlacementRequest{Key: key(1), Known: true})
		Expect(found).To(BeFalse())
	})

	It("given a server with a reduced share, when its prompts are cached again, then its share is restored in steps", func() {
		observer := spread("a", "b", "c")
		misses(observer, "a", 1, 2)
		misses(observer, "a", 1)
		parts := []float64{}
		for range 8 {
			observer.call("a", 2, fastCall, Kept)
			observer.advance(time.Second)
			parts = append(parts, observer.Status(observer.now)[0].Share)
		}
		for place := 1; place < len(parts); place++ {
			Expect(parts[place] - parts[place-1]).To(And(BeNumerically(">=", 0), BeNumerically("<=", 1.0/shareSteps)))
		}
		Expect(parts[len(parts)-1]).To(Equal(1.0))
	})

	It("given all servers of a service with repeated misses, when they continue, then at most half of them are reduced, and a single one never", func() {
		observer := spread("a", "b", "c", "d")
		for range 4 {
			for place, server := range []string{"a", "b", "c", "d"} {
				misses(observer, server, uint64(10*place+1), uint64(10*place+2))
			}
		}
		reduced := 0
		for _, view := range observer.Status(observer.now) {
			Expect(view.Share).To(BeNumerically(">=", 1.0/shareSteps))
			if view.Share < 1 {
				reduced++
			}
		}
		Expect(reduced).To(Equal(2))
		single := spread("a")
		for range 4 {
			misses(single, "a", 1, 2)
		}
		Expect(single.Status(single.now)[0].Share).To(Equal(1.0))
		Expect(single.counts["index_places_left"]).To(BeZero())
	})

	It("given a server with a reduced share, when new prompts are placed, then it gets fewer than the others, but some", func() {
		observer := spread("a", "b", "c", "d")
		misses(observer, "a", 1, 2)
		misses(observer, "a", 1, 2)
		observer.advance(10 * halfLife)
		given := map[string]int{}
		for anchor := range uint64(400) {
			given[observer.mustPlace(1000+anchor, "", "a", "b", "c", "d").Server]++
		}
		Expect(given["a"]).To(And(BeNumerically(">", 0), BeNumerically("<", given["b"]*3/4)))
	})
})
