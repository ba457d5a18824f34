package index

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/cedarreel/cedarreel/contract"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestIndex(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "index")
}

const (
	halfLife = 12 * time.Second
	cooldown = 2 * time.Second
)

// fixture is an index with its own clock.
type fixture struct {
	*CacheIndex
	now time.Duration
}

func newFixture() *fixture { return &fixture{New(halfLife, cooldown), time.Second} }

func key(anchor uint64) Key { return Key{Scope: "s", Anchor: anchor} }

func (fixture *fixture) place(anchor uint64, lost string, candidates ...string) (Placement, bool) {
	return fixture.Place(fixture.now, PlacementRequest{Key: key(anchor), Candidates: candidates, Lost: lost, Work: 100})
}

func (fixture *fixture) mustPlace(anchor uint64, lost string, candidates ...string) Placement {
	GinkgoHelper()
	place, found := fixture.place(anchor, lost, candidates...)
	Expect(found).To(BeTrue())
	Expect(place.Key).To(Equal(key(anchor)))
	return place
}

func message(kind string, body any) contract.Message {
	GinkgoHelper()
	content, err := json.Marshal(body)
	Expect(err).NotTo(HaveOccurred())
	return contract.Message{Kind: kind, Body: content}
}

func (fixture *fixture) reportUses(address string, reportUses ...Use) []contract.Command {
	GinkgoHelper()
	return fixture.Handle(fixture.now, message(MessageUsage, Usage{Address: address, Uses: reportUses}))
}

var _ = Describe("the place of a prompt", func() {
	It("given no place yet, when it is asked for, then the first candidate gets it", func() {
		Expect(newFixture().mustPlace(1, "", "b", "a", "c")).To(Equal(Placement{Key: key(1), Server: "b"}))
	})

	It("given a place, when others ask with other candidates, then it stays", func() {
		fixture := newFixture()
		fixture.mustPlace(1, "", "b", "a")
		fixture.now += time.Hour
		Expect(fixture.mustPlace(1, "", "a", "c")).To(Equal(Placement{Key: key(1), Server: "b"}))
	})

	It("given two scopes with one anchor, when both are asked for, then each has a place of its own", func() {
		fixture := newFixture()
		fixture.mustPlace(1, "", "a", "b")
		place, found := fixture.Place(fixture.now, PlacementRequest{Key: Key{Scope: "home", Anchor: 1}, Candidates: []string{"b"}, Work: 100})
		Expect(found).To(BeTrue())
		Expect(place.Server).To(Equal("b"))
	})

	It("given many prompts that all prefer one server, when they are placed, then none gets more than 1.25 of its share and one prompt", func() {
		fixture, counts := newFixture(), map[string]int{}
		for anchor := range uint64(400) {
			counts[fixture.mustPlace(anchor, "", "a", "b", "c", "d").Server]++
			fixture.now += 100 * time.Millisecond
		}
		for _, name := range []string{"a", "b", "c", "d"} {
			Expect(counts[name]).To(And(BeNumerically(">", 0), BeNumerically("<=", 126)), name)
		}
		Expect(counts["a"]).To(BeNumerically(">=", 120), "most get their first choice")
		Expect(counts["d"]).To(BeNumerically("<", counts["a"]))
	})

	It("given many prompts at one moment that all prefer one server, when they are placed, then all servers get the same, the preferred one first", func() {
		fixture, counts := newFixture(), map[string]int{}
		for anchor := range uint64(400) {
			counts[fixture.mustPlace(anchor, "", "a", "b", "c", "d").Server]++
			Expect(counts["a"]).To(BeNumerically("<=", anchor/4+1))
		}
		Expect(counts).To(Equal(map[string]int{"a": 100, "b": 100, "c": 100, "d": 100}))
	})

	It("given a server that reads a large prompt, when small ones come, then they go elsewhere until it has read", func() {
		fixture := newFixture()
		fixture.Place(fixture.now, PlacementRequest{Key: key(1), Candidates: []string{"a", "b"}, Work: 1000})
		for anchor := range uint64(3) {
			Expect(fixture.mustPlace(10+anchor, "", "a", "b").Server).To(Equal("b"))
			fixture.now += 200 * time.Millisecond
		}
	})

	It("given prompts of several roots, when more of them are placed, then each goes where its root was read, until that server has more than its share", func() {
		fixture, counts := newFixture(), map[string]int{}
		ask := func(anchor, root uint64) string {
			place, found := fixture.Place(fixture.now, PlacementRequest{Key: key(anchor), Candidates: []string{"a", "b", "c", "d"}, Work: 1000, Root: root, RootWork: 900})
			Expect(found).To(BeTrue())
			fixture.now += time.Second
			return place.Server
		}
		places := map[uint64]string{}
		for root := range uint64(4) {
			places[root] = ask(root, 1000+root)
		}
		for _, root := range []uint64{2, 0, 3, 1} {
			Expect(ask(10+root, 1000+root)).To(Equal(places[root]))
		}
		for anchor := range uint64(200) {
			counts[ask(100+anchor, 1000)]++
		}
		for name, count := range counts {
			Expect(count).To(BeNumerically("<=", 125), name+" has more than its share of the prompts of a root that many share")
		}
	})

	It("given work long ago, when its half-lives pass, then the first choice is taken again", func() {
		fixture := newFixture()
		ask := func(anchor uint64) string {
			fixture.reportUses("n", Use{Key: key(51), Server: "b", Took: 500})
			return fixture.mustPlace(anchor, "", "a", "b").Server
		}
		fixture.reportUses("n", Use{Key: key(50), Server: "a", Took: 160000})
		Expect(ask(1)).To(Equal("b"))
		Expect(fixture.currentWork(fixture.now+halfLife, "a")).To(BeNumerically("~", 80000, 1))
		fixture.now += 20 * halfLife
		Expect(ask(2)).To(Equal("a"))
	})

	It("given a prompt larger than any candidate's share, when it is placed, then the one with the least work gets it", func() {
		fixture := newFixture()
		fixture.reportUses("n", Use{Key: key(50), Server: "a", Took: 50}, Use{Key: key(51), Server: "b", Took: 5}, Use{Key: key(52), Server: "c", Took: 10})
		Expect(fixture.mustPlace(1, "", "a", "b", "c").Server).To(Equal("b"))
	})

	It("given negative work or time, when it is reported, then it reduces no server's work", func() {
		fixture := newFixture()
		_, found := fixture.Place(fixture.now, PlacementRequest{Key: key(1), Candidates: []string{"a"}, Work: -500})
		Expect(found).To(BeTrue())
		fixture.reportUses("n", Use{Key: key(1), Server: "a", Took: -500})
		Expect(fixture.currentWork(fixture.now, "a")).To(BeZero())
		fixture.reportUses("n", Use{Key: key(2), Server: "a", Took: 100})
		place, _ := fixture.Place(fixture.now, PlacementRequest{Key: key(3), Candidates: []string{"a", "b"}, Work: -500})
		Expect(place.Server).To(Equal("b"))
	})
})

var _ = Describe("a lost place", func() {
	It("given a lost place, when it is asked for, then it moves once, and not again within the cooldown", func() {
		fixture := newFixture()
		fixture.mustPlace(1, "", "a", "b", "c")
		fixture.now += cooldown
		Expect(fixture.mustPlace(1, "a", "a", "b", "c")).To(Equal(Placement{Key: key(1), Server: "b"}))
		fixture.now += cooldown - 1
		Expect(fixture.mustPlace(1, "a", "a", "b", "c").Server).To(Equal("b"), "others that lost the former place get the new one")
		_, found := fixture.place(1, "b", "a", "b", "c")
		Expect(found).To(BeFalse())
		Expect(fixture.mustPlace(1, "", "a", "b", "c").Server).To(Equal("b"))
		fixture.now++
		Expect(fixture.mustPlace(1, "b", "a", "b", "c").Server).NotTo(Equal("b"))
	})

	It("given a server that one node lost, when other prompts are placed, then it is no candidate until the cooldown is over", func() {
		fixture := newFixture()
		fixture.mustPlace(1, "", "a", "b")
		fixture.now += cooldown
		fixture.mustPlace(1, "a", "a", "b")
		Expect(fixture.mustPlace(2, "", "a", "b").Server).To(Equal("b"))
		_, found := fixture.place(3, "", "a")
		Expect(found).To(BeFalse())
		fixture.now += cooldown
		Expect(fixture.mustPlace(3, "", "a").Server).To(Equal("a"))
	})

	It("given work that is reported for a lost server, when it is counted, then it stays lost", func() {
		fixture := newFixture()
		fixture.mustPlace(1, "", "a", "b")
		fixture.now += cooldown
		fixture.mustPlace(1, "a", "a", "b")
		fixture.reportUses("n", Use{Key: key(9), Server: "a", Took: 1})
		Expect(fixture.isLost(fixture.now, "a")).To(BeTrue())
	})
})

var _ = Describe("an ask for known places only", func() {
	known := func(fixture *fixture, anchor uint64, lost string) (Placement, bool) {
		return fixture.Place(fixture.now, PlacementRequest{Key: key(anchor), Candidates: []string{"c"}, Lost: lost, Work: 100, Known: true})
	}

	It("given no place, when it is asked, then there is none, and nothing is placed, counted, announced or saved", func() {
		fixture := newFixture()
		fixture.Restore(Snapshot{})
		_, found := known(fixture, 1, "")
		Expect(found).To(BeFalse())
		Expect(fixture.Len()).To(BeZero())
		Expect(fixture.loads.Len()).To(BeZero())
		Expect(fixture.Tick(fixture.now, []contract.Member{peer("x", "1")})).To(BeEmpty())
	})

	It("given a place, also an announced one, when it is asked, then it is returned and adds no work", func() {
		fixture := newFixture()
		fixture.mustPlace(1, "", "a")
		fixture.receive(Announcement{Places: []Placement{named(2, "b")}})
		for anchor, server := range map[uint64]string{1: "a", 2: "b"} {
			place, found := known(fixture, anchor, "")
			Expect(found).To(BeTrue())
			Expect(place).To(Equal(named(anchor, server)))
		}
		Expect(fixture.currentWork(fixture.now, "a")).To(BeNumerically("==", 100))
		Expect(fixture.currentWork(fixture.now, "b")).To(BeZero())
	})

	It("given a place that the asker lost, when it is asked, then there is none, and the server does not count as lost here", func() {
		fixture := newFixture()
		fixture.mustPlace(1, "", "a")
		fixture.now += cooldown
		_, found := known(fixture, 1, "a")
		Expect(found).To(BeFalse())
		Expect(fixture.isLost(fixture.now, "a")).To(BeFalse())
		Expect(fixture.mustPlace(1, "", "b")).To(Equal(named(1, "a")))
		place, found := known(fixture, 1, "b")
		Expect(found).To(BeTrue())
		Expect(place.Server).To(Equal("a"), "another lost server does not matter")
	})

	It("given a place on a server that another node lost, when it is asked, then there is none until the cooldown is over", func() {
		fixture := newFixture()
		fixture.mustPlace(1, "", "a")
		fixture.mustPlace(2, "", "a")
		fixture.now += cooldown
		fixture.mustPlace(2, "a", "b")
		_, found := known(fixture, 1, "")
		Expect(found).To(BeFalse())
		fixture.now += cooldown
		_, found = known(fixture, 1, "")
		Expect(found).To(BeTrue())
	})

	It("given a place that was asked for, when others come, then it counts as used, and one that could not be returned does not", func() {
		fixture := newFixture()
		for anchor := range uint64(MaxSaved + 1) {
			fixture.mustPlace(anchor, "", "a")
		}
		known(fixture, 0, "")
		known(fixture, 1, "a")
		places := fixture.Snapshot().Places
		Expect(places[MaxSaved-1]).To(Equal(named(0, "a")))
		Expect(places).NotTo(ContainElement(named(1, "a")))
	})

	It("given such an ask, when it is encoded, then it has neither candidates nor work", func() {
		body, err := json.Marshal(PlacementRequest{Key: key(1), Known: true})
		Expect(err).NotTo(HaveOccurred())
		Expect(body).To(MatchJSON(`{"scope":"s","anchor":1,"known":true}`))
	})
})

var _ = DescribeTable("given an ask that cannot be answered, when it comes, then there is no place and nothing is stored", func(candidates int) {
	fixture, names := newFixture(), []string{}
	for number := range candidates {
		names = append(names, fmt.Sprint("s", number))
	}
	_, found := fixture.place(1, "", names...)
	Expect(found).To(BeFalse())
	Expect(fixture.Len()).To(BeZero())
},
	Entry("no candidates", 0),
	Entry("too many candidates", MaxCandidates+1),
)

var _ = Describe("usage reports", func() {
	It("given a new owner, when nodes report what they use, then it adopts it", func() {
		fixture := newFixture()
		Expect(fixture.reportUses("n:1", Use{Key: key(1), Server: "c", Took: 30})).To(BeEmpty())
		Expect(fixture.mustPlace(1, "", "a", "b", "c")).To(Equal(Placement{Key: key(1), Server: "c"}))
		Expect(fixture.currentWork(fixture.now, "c")).To(BeNumerically("==", 30))
	})

	It("given a node that uses another place, when it reports, then the correction goes to its address and only names what is wrong", func() {
		fixture := newFixture()
		fixture.mustPlace(1, "", "a")
		fixture.mustPlace(2, "", "a")
		commands := fixture.reportUses("10.0.0.7:7720", Use{Key: key(1), Server: "a"}, Use{Key: key(2), Server: "b"})
		Expect(commands).To(Equal([]contract.Command{contract.Send{To: "10.0.0.7:7720", Kind: MessageMoved, Body: PlacementUpdate{Places: []Placement{{Key: key(2), Server: "a"}}}}}))
		Expect(fixture.mustPlace(2, "", "a", "b").Server).To(Equal("a"))
	})

	It("given uses without a server or more than a node may report, when they come, then they are left out", func() {
		fixture, reportUses := newFixture(), []Use{{Key: key(9000)}}
		for anchor := range uint64(MaxUses + 10) {
			reportUses = append(reportUses, Use{Key: key(anchor), Server: "a", Took: 1})
		}
		fixture.reportUses("n", reportUses...)
		Expect(fixture.Len()).To(Equal(MaxUses - 1))
	})

	It("given messages that cannot be read or are of other kinds, when they come, then they are counted or ignored and change nothing", func() {
		fixture := newFixture()
		for _, kind := range []string{MessageUsage, MessageAnnouncement} {
			Expect(fixture.Handle(fixture.now, contract.Message{Kind: kind, Body: []byte(`{"uses":7,"places":7}`)})).To(Equal([]contract.Command{contract.AddCounter{Name: "messages_broken", Delta: 1}}))
		}
		Expect(fixture.Handle(fixture.now, contract.Message{Kind: "other", Body: []byte(`{`)})).To(BeEmpty())
		Expect(fixture.Handle(fixture.now, contract.Tick{})).To(BeEmpty())
		Expect(fixture.Len()).To(BeZero())
	})

	It("given more places and servers than are kept, when more come, then the least recently used are dropped", func() {
		fixture := newFixture()
		fixture.mustPlace(0, "", "first")
		for anchor := uint64(1); anchor < maxPlaces; anchor++ {
			fixture.mustPlace(anchor, "", fmt.Sprint("s", anchor))
		}
		fixture.mustPlace(0, "", "first")
		fixture.mustPlace(maxPlaces, "", "a")
		Expect(fixture.Len()).To(Equal(maxPlaces))
		Expect(fixture.loads.Len()).To(Equal(maxServers))
		Expect(fixture.mustPlace(0, "", "other").Server).To(Equal("first"))
		Expect(fixture.mustPlace(1, "", "other")).To(Equal(Placement{Key: key(1), Server: "other"}))
	})
})
