package index

import (
	"time"

	"github.com/cedarreel/cedarreel/contract"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// watch is an owner that is told calls at moments of the bench's clock, with what it counted and said.
type watch struct {
	*bench
	counts map[string]int64
	said   []contract.Log
	moved  []Place
}

func watched() *watch { return &watch{bench: started(), counts: map[string]int64{}} }

func (watch *watch) take(commands []contract.Command) {
	for _, command := range commands {
		switch command := command.(type) {
		case contract.AddCounter:
			watch.counts[command.Name] += command.Delta
		case contract.Log:
			watch.said = append(watch.said, command)
		case contract.Send:
			if moved, fine := command.Body.(Moved); fine {
				watch.moved = append(watch.moved, moved.Places...)
			}
		}
	}
}

// call tells one call that ends now, as its node would.
func (watch *watch) call(server string, anchor uint64, took time.Duration, shown Shown) {
	GinkgoHelper()
	use := Use{Key: key(anchor), Server: server, Took: took.Milliseconds(), Shown: shown, At: watch.now}
	watch.take(watch.Handle(watch.now, message(MessageUsed, Used{Address: "node", Uses: []Use{use}, Results: Results(watch.now, rest, []Use{use})})))
}

func (watch *watch) passes(span time.Duration) {
	watch.now += span
	watch.take(watch.Tick(watch.now, nil))
}

// reads has a prompt read at a server for the first time.
func (watch *watch) reads(server string, anchors ...uint64) {
	GinkgoHelper()
	for _, anchor := range anchors {
		watch.call(server, anchor, slow, late)
		watch.passes(time.Second)
	}
}

const (
	quick, slow = 50 * time.Millisecond, 600 * time.Millisecond
	settled     = 2 * time.Second
)

var late = Missed(slow, slow/2)

var _ = Describe("the check of a server's cache", func() {
	It("given a prompt that is read for the first time, when its call is late, then that is no mismatch", func() {
		watch := watched()
		watch.reads("a", 1)
		watch.passes(settled)
		Expect(watch.counts).To(BeEmpty())
	})

	It("given a prompt that another node had read, when a call is late, then it is one mismatch, counted and said once", func() {
		watch := watched()
		watch.reads("a", 1)
		watch.call("a", 1, slow, late)
		Expect(watch.counts).To(BeEmpty(), "others may explain it")
		watch.passes(settled)
		watch.passes(settled)
		Expect(watch.counts).To(Equal(map[string]int64{"index_checked": 1, "index_mismatches": 1}))
		Expect(watch.said).To(HaveLen(1))
		Expect(watch.said[0].Attributes[:2]).To(Equal([]any{"server", "a"}))
		Expect(watch.View(watch.now)).To(Equal([]Cached{{Server: "a", Service: "s", Placed: 1, Checked: 1, Missed: 1, Part: 1}}))
	})

	It("given a prompt that was read, when a call finds it kept, then it is checked, also if another node placed it", func() {
		watch := watched()
		watch.reads("a", 1)
		watch.call("a", 1, quick, Kept)
		Expect(watch.counts).To(Equal(map[string]int64{"index_checked": 1}))
		Expect(watch.View(watch.now)).To(Equal([]Cached{{Server: "a", Service: "s", Placed: 1, Checked: 1, Kept: 1, Part: 1}}))
	})

	It("given a call that waited behind the reading of another node, when that is told later, then the server is not blamed", func() {
		watch := watched()
		watch.reads("a", 1)
		watch.call("a", 1, slow, late)
		watch.now += 300 * time.Millisecond
		other := Use{Key: key(2), Server: "a", Took: 800, Shown: late, At: watch.now - 250*time.Millisecond}
		watch.take(watch.Handle(watch.now, message(MessageUsed, Used{Address: "other", Uses: []Use{other}, Results: Results(watch.now, rest, []Use{other})})))
		watch.passes(settled)
		Expect(watch.counts).To(BeEmpty())
	})

	It("given another call that was over before a late one could wait for it, when the late one is judged, then it is a mismatch", func() {
		watch := watched()
		watch.reads("a", 1)
		watch.call("a", 2, 100*time.Millisecond, Unclear)
		watch.now += slow - 50*time.Millisecond
		watch.call("a", 1, slow, late)
		watch.passes(settled)
		Expect(watch.counts["index_mismatches"]).To(Equal(int64(1)))
	})

	It("given a prompt that nobody used for longer than prompts last, when it is read anew, then nobody is blamed", func() {
		watch := watched()
		watch.reads("a", 1)
		watch.passes(halfLife*lastingHalfLives + time.Minute)
		watch.call("a", 1, slow, late)
		watch.passes(settled)
		Expect(watch.counts).To(BeEmpty())
	})

	It("given an older node that tells no results, or ones that don't fit its uses, when it tells, then its uses count as ever and judge nothing", func() {
		watch := watched()
		watch.reads("a", 1)
		for _, results := range []string{"", "Z", "ZaZa", "\x00\xff"} {
			watch.take(watch.Handle(watch.now, message(MessageUsed, Used{Address: "node", Uses: []Use{{Key: key(1), Server: "a", Took: 900}}, Results: results})))
			watch.passes(settled)
		}
		Expect(watch.counts).To(BeEmpty())
		Expect(watch.placed(1, "", "b").Server).To(Equal("a"))
	})

	It("given uses that are told, when they travel, then each has two messages more, and none if no node judged", func() {
		uses := []Use{{Shown: Kept, At: time.Second}, {Shown: Missed(slow, slow), At: 500 * time.Millisecond}, {}}
		results := Results(time.Second, rest, uses)
		Expect(results).To(HaveLen(2 * len(uses)))
		used := Used{Uses: uses, Results: results}
		shown, at := used.result(time.Second, rest, 1)
		Expect(shown).To(Equal(Shown('Z')))
		Expect(at).To(Equal(500 * time.Millisecond))
		spare, missed := shown.Late(slow)
		Expect(spare).To(Equal(slow))
		Expect(missed).To(BeTrue())
		Expect(Results(time.Second, rest, []Use{{}, {}})).To(BeEmpty())
	})
})

var _ = Describe("the loss of all that a server kept", func() {
	It("given three prompts that were read before, when all are missed, then the loss is noticed once, and the server is doubted since the first", func() {
		watch := watched()
		watch.reads("a", 1, 2, 3, 4)
		watch.reads("a", 1, 2, 3)
		watch.passes(settled)
		Expect(watch.counts["index_losses_noticed"]).To(Equal(int64(1)))
		Expect(watch.View(watch.now)[0].DoubtedMs).To(BeNumerically(">", settled.Milliseconds()))
		watch.passes(halfLife)
		Expect(watch.View(watch.now)[0].DoubtedMs).To(BeZero())
	})

	It("given two prompts that are missed, when nothing else is, then no loss is noticed: on a calm day two are late now and then", func() {
		watch := watched()
		watch.reads("a", 1, 2, 3)
		watch.reads("a", 1, 2)
		watch.passes(settled)
		Expect(watch.counts["index_mismatches"]).To(Equal(int64(2)))
		Expect(watch.counts["index_losses_noticed"]).To(BeZero())
	})

	It("given one prompt that is missed again and again, when nothing else is, then no loss is noticed", func() {
		watch := watched()
		watch.reads("a", 1, 2)
		watch.reads("a", 1, 1, 1)
		watch.passes(settled)
		Expect(watch.counts["index_losses_noticed"]).To(BeZero())
	})

	It("given a miss, when a prompt that was used before it is found kept, then the server is cleared and the next miss begins anew", func() {
		watch := watched()
		watch.reads("a", 1, 2, 3, 4)
		watch.reads("a", 1, 2)
		watch.passes(settled)
		watch.call("a", 4, quick, Kept)
		watch.reads("a", 3)
		watch.passes(settled)
		Expect(watch.counts["index_mismatches"]).To(Equal(int64(3)))
		Expect(watch.counts["index_losses_noticed"]).To(BeZero())
	})

	It("given misses that lie more than a half-life apart, when the second comes, then it begins anew", func() {
		watch := watched()
		watch.reads("a", 1, 2, 3)
		watch.reads("a", 1, 2)
		watch.passes(halfLife + time.Second)
		watch.reads("a", 3)
		watch.passes(settled)
		Expect(watch.counts["index_losses_noticed"]).To(BeZero())
	})
})

var _ = Describe("the view of several control nodes", func() {
	It("given views of the same servers, when they are merged, then checks add up, places don't, and rows of older nodes are left out", func() {
		merged := Merge([]Cached{{Server: "b", Part: 1}, {Server: "a", Service: "s", Placed: 3, Checked: 2, Kept: 2, Part: 1},
			{}, {Server: "a", Service: "s", Placed: 2, Checked: 3, Missed: 3, Part: 0.5, DoubtedMs: 7}})
		Expect(merged).To(Equal([]Cached{{Server: "a", Service: "s", Placed: 3, Checked: 5, Kept: 2, Missed: 3, Part: 0.5, DoubtedMs: 7}, {Server: "b", Part: 1}}))
	})
})

var _ = Describe("a server that misses what it should keep again and again", func() {
	// spread is an owner with servers of one service that are all used.
	spread := func(servers ...string) *watch {
		watch := watched()
		for place, server := range servers {
			watch.reads(server, uint64(10*place+1), uint64(10*place+2))
		}
		return watch
	}
	misses := func(watch *watch, server string, anchors ...uint64) {
		GinkgoHelper()
		watch.reads(server, anchors...)
		watch.passes(settled)
	}

	It("given one loss, when each prompt is missed once, then no place leaves", func() {
		watch := spread("a", "b", "c")
		misses(watch, "a", 1, 2)
		Expect(watch.counts["index_mismatches"]).To(Equal(int64(2)))
		Expect(watch.counts["index_places_left"]).To(BeZero())
		Expect(watch.placed(1, "", "b", "c").Server).To(Equal("a"))
	})

	It("given prompts that are missed again, when they are, then its part is cut by steps and a place that leaves is given to another once", func() {
		watch := spread("a", "b", "c")
		misses(watch, "a", 1, 2)
		Expect(watch.View(watch.now)[0].Part).To(Equal(0.75))
		misses(watch, "a", 1)
		Expect(watch.View(watch.now)[0].Part).To(Equal(0.5))
		Expect(watch.counts["index_places_left"]).To(Equal(int64(1)))
		watch.call("a", 1, quick, Kept)
		Expect(watch.moved).To(Equal([]Place{{Key: key(1)}}), "the node is to ask anew")
		Expect(watch.placed(1, "", "a", "b", "c").Server).To(Equal("b"))
		Expect(watch.placed(1, "", "a", "c").Server).To(Equal("b"))
		watch.call("a", 1, quick, Kept)
		Expect(watch.moved[1:]).To(Equal([]Place{{Key: key(1), Server: "b"}}), "who still goes there is put right")
	})

	It("given a place that leaves, when nobody offers another server, then it stays, and no question is refused", func() {
		watch := spread("a", "b", "c")
		misses(watch, "a", 1, 2)
		misses(watch, "a", 1)
		Expect(watch.placed(1, "", "a").Server).To(Equal("a"))
		watch.call("a", 1, quick, Kept)
		Expect(watch.moved).To(BeEmpty(), "the node is not sent to ask for each call")
		Expect(watch.placed(1, "").Server).To(Equal("a"))
	})

	It("given a place that leaves, when replicas are told, then they know it no more, and a use of an old one does not bring it back", func() {
		watch := spread("a", "b", "c")
		misses(watch, "a", 1, 2)
		watch.call("a", 1, slow, late)
		watch.now += settled
		replica, told := started(), []contract.Command{}
		replica.Restore(Snapshot{[]Place{{Key: key(1), Server: "a"}, {Key: key(2), Server: "a"}}})
		for _, command := range watch.Tick(watch.now, []contract.Member{{Name: "other", Address: "other"}}) {
			if send, fine := command.(contract.Send); fine && send.Kind == MessageTold {
				told = append(told, replica.Handle(replica.now, message(MessageTold, send.Body))...)
			}
		}
		Expect(told).To(BeEmpty())
		_, there := replica.Place(replica.now, Ask{Key: key(1), Known: true})
		Expect(there).To(BeFalse())
		_, there = replica.Place(replica.now, Ask{Key: key(2), Known: true})
		Expect(there).To(BeTrue())
		_, there = watch.Place(watch.now, Ask{Key: key(1), Known: true})
		Expect(there).To(BeFalse())
	})

	It("given a cut server, when its prompts are kept again, then its part grows back by steps", func() {
		watch := spread("a", "b", "c")
		misses(watch, "a", 1, 2)
		misses(watch, "a", 1)
		parts := []float64{}
		for range 8 {
			watch.call("a", 2, quick, Kept)
			watch.passes(time.Second)
			parts = append(parts, watch.View(watch.now)[0].Part)
		}
		for place := 1; place < len(parts); place++ {
			Expect(parts[place] - parts[place-1]).To(And(BeNumerically(">=", 0), BeNumerically("<=", 1.0/steps)))
		}
		Expect(parts[len(parts)-1]).To(Equal(1.0))
	})

	It("given all servers of a service that miss, when they do for long, then at most half of them are cut, and a single one never", func() {
		watch := spread("a", "b", "c", "d")
		for range 4 {
			for place, server := range []string{"a", "b", "c", "d"} {
				misses(watch, server, uint64(10*place+1), uint64(10*place+2))
			}
		}
		cut := 0
		for _, view := range watch.View(watch.now) {
			Expect(view.Part).To(BeNumerically(">=", 1.0/steps))
			if view.Part < 1 {
				cut++
			}
		}
		Expect(cut).To(Equal(2))
		single := spread("a")
		for range 4 {
			misses(single, "a", 1, 2)
		}
		Expect(single.View(single.now)[0].Part).To(Equal(1.0))
		Expect(single.counts["index_places_left"]).To(BeZero())
	})

	It("given a cut server, when new prompts are placed, then it gets fewer than the others, and not none", func() {
		watch := spread("a", "b", "c", "d")
		misses(watch, "a", 1, 2)
		misses(watch, "a", 1, 2)
		watch.passes(10 * halfLife)
		given := map[string]int{}
		for anchor := range uint64(400) {
			given[watch.placed(1000+anchor, "", "a", "b", "c", "d").Server]++
		}
		Expect(given["a"]).To(And(BeNumerically(">", 0), BeNumerically("<", given["b"]*3/4)))
	})
})
