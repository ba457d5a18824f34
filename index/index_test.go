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
	rest     = 2 * time.Second
)

// bench is an owner with a clock of its own.
type bench struct {
	*Owner
	now time.Duration
}

func started() *bench { return &bench{New(halfLife, rest), time.Second} }

func key(anchor uint64) Key { return Key{Scope: "s", Anchor: anchor} }

func (bench *bench) place(anchor uint64, lost string, candidates ...string) (Place, bool) {
	return bench.Place(bench.now, Ask{Key: key(anchor), Candidates: candidates, Lost: lost, Work: 100})
}

func (bench *bench) placed(anchor uint64, lost string, candidates ...string) Place {
	GinkgoHelper()
	place, there := bench.place(anchor, lost, candidates...)
	Expect(there).To(BeTrue())
	Expect(place.Key).To(Equal(key(anchor)))
	return place
}

func message(kind string, body any) contract.Message {
	GinkgoHelper()
	content, failure := json.Marshal(body)
	Expect(failure).NotTo(HaveOccurred())
	return contract.Message{Kind: kind, Body: content}
}

func (bench *bench) uses(address string, uses ...Use) []contract.Command {
	GinkgoHelper()
	return bench.Handle(bench.now, message(MessageUsed, Used{Address: address, Uses: uses}))
}

var _ = Describe("the place of a prompt", func() {
	It("given no place yet, when it is asked for, then the first candidate keeps it", func() {
		Expect(started().placed(1, "", "b", "a", "c")).To(Equal(Place{Key: key(1), Server: "b"}))
	})

	It("given a place, when others ask with other candidates, then it stays", func() {
		bench := started()
		bench.placed(1, "", "b", "a")
		bench.now += time.Hour
		Expect(bench.placed(1, "", "a", "c")).To(Equal(Place{Key: key(1), Server: "b"}))
	})

	It("given two scopes with one anchor, when both are asked for, then each has a place of its own", func() {
		bench := started()
		bench.placed(1, "", "a", "b")
		place, there := bench.Place(bench.now, Ask{Key: Key{Scope: "home", Anchor: 1}, Candidates: []string{"b"}, Work: 100})
		Expect(there).To(BeTrue())
		Expect(place.Server).To(Equal("b"))
	})

	It("given many prompts that all prefer one server, when they are placed, then none gets more than 1.25 of its part and one prompt", func() {
		bench, counts := started(), map[string]int{}
		for anchor := range uint64(400) {
			counts[bench.placed(anchor, "", "a", "b", "c", "d").Server]++
			bench.now += 100 * time.Millisecond
		}
		for _, name := range []string{"a", "b", "c", "d"} {
			Expect(counts[name]).To(And(BeNumerically(">", 0), BeNumerically("<=", 126)), name)
		}
		Expect(counts["a"]).To(BeNumerically(">=", 120), "most get their first choice")
		Expect(counts["d"]).To(BeNumerically("<", counts["a"]))
	})

	It("given many prompts at one moment that all prefer one server, when they are placed, then all servers get the same, the preferred one first", func() {
		bench, counts := started(), map[string]int{}
		for anchor := range uint64(400) {
			counts[bench.placed(anchor, "", "a", "b", "c", "d").Server]++
			Expect(counts["a"]).To(BeNumerically("<=", anchor/4+1))
		}
		Expect(counts).To(Equal(map[string]int{"a": 100, "b": 100, "c": 100, "d": 100}))
	})

	It("given a server that reads a large prompt, when small ones come, then they go elsewhere until it has read", func() {
		bench := started()
		bench.Place(bench.now, Ask{Key: key(1), Candidates: []string{"a", "b"}, Work: 1000})
		for anchor := range uint64(3) {
			Expect(bench.placed(10+anchor, "", "a", "b").Server).To(Equal("b"))
			bench.now += 200 * time.Millisecond
		}
	})

	It("given prompts of several roots, when more of them are placed, then each goes where its root was read, until that server has more than its part", func() {
		bench, counts := started(), map[string]int{}
		ask := func(anchor, root uint64) string {
			place, there := bench.Place(bench.now, Ask{Key: key(anchor), Candidates: []string{"a", "b", "c", "d"}, Work: 1000, Root: root, RootWork: 900})
			Expect(there).To(BeTrue())
			bench.now += time.Second
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
			Expect(count).To(BeNumerically("<=", 125), name+" has more than its part of the prompts of a root that many share")
		}
	})

	It("given work long ago, when its half-lives pass, then the first choice is taken again", func() {
		bench := started()
		ask := func(anchor uint64) string {
			bench.uses("n", Use{Key: key(51), Server: "b", Took: 500})
			return bench.placed(anchor, "", "a", "b").Server
		}
		bench.uses("n", Use{Key: key(50), Server: "a", Took: 160000})
		Expect(ask(1)).To(Equal("b"))
		Expect(bench.work(bench.now+halfLife, "a")).To(BeNumerically("~", 80000, 1))
		bench.now += 20 * halfLife
		Expect(ask(2)).To(Equal("a"))
	})

	It("given a prompt that is more than any candidate's part, when it is placed, then the one with the least work keeps it", func() {
		bench := started()
		bench.uses("n", Use{Key: key(50), Server: "a", Took: 50}, Use{Key: key(51), Server: "b", Took: 5}, Use{Key: key(52), Server: "c", Took: 10})
		Expect(bench.placed(1, "", "a", "b", "c").Server).To(Equal("b"))
	})

	It("given negative work or time, when it is told, then it makes no server lighter", func() {
		bench := started()
		_, there := bench.Place(bench.now, Ask{Key: key(1), Candidates: []string{"a"}, Work: -500})
		Expect(there).To(BeTrue())
		bench.uses("n", Use{Key: key(1), Server: "a", Took: -500})
		Expect(bench.work(bench.now, "a")).To(BeZero())
		bench.uses("n", Use{Key: key(2), Server: "a", Took: 100})
		place, _ := bench.Place(bench.now, Ask{Key: key(3), Candidates: []string{"a", "b"}, Work: -500})
		Expect(place.Server).To(Equal("b"))
	})
})

var _ = Describe("a lost place", func() {
	It("given a lost place, when it is asked for, then it moves once, and not again within the rest", func() {
		bench := started()
		bench.placed(1, "", "a", "b", "c")
		bench.now += rest
		Expect(bench.placed(1, "a", "a", "b", "c")).To(Equal(Place{Key: key(1), Server: "b"}))
		bench.now += rest - 1
		Expect(bench.placed(1, "a", "a", "b", "c").Server).To(Equal("b"), "others that lost the former place are told the new one")
		_, there := bench.place(1, "b", "a", "b", "c")
		Expect(there).To(BeFalse())
		Expect(bench.placed(1, "", "a", "b", "c").Server).To(Equal("b"))
		bench.now++
		Expect(bench.placed(1, "b", "a", "b", "c").Server).NotTo(Equal("b"))
	})

	It("given a server that one node lost, when other prompts are placed, then it is no candidate until the rest is over", func() {
		bench := started()
		bench.placed(1, "", "a", "b")
		bench.now += rest
		bench.placed(1, "a", "a", "b")
		Expect(bench.placed(2, "", "a", "b").Server).To(Equal("b"))
		_, there := bench.place(3, "", "a")
		Expect(there).To(BeFalse())
		bench.now += rest
		Expect(bench.placed(3, "", "a").Server).To(Equal("a"))
	})

	It("given work that is told of a lost server, when it is noted, then it stays lost", func() {
		bench := started()
		bench.placed(1, "", "a", "b")
		bench.now += rest
		bench.placed(1, "a", "a", "b")
		bench.uses("n", Use{Key: key(9), Server: "a", Took: 1})
		Expect(bench.lost(bench.now, "a")).To(BeTrue())
	})
})

var _ = Describe("an ask for what is known alone", func() {
	known := func(bench *bench, anchor uint64, lost string) (Place, bool) {
		return bench.Place(bench.now, Ask{Key: key(anchor), Candidates: []string{"c"}, Lost: lost, Work: 100, Known: true})
	}

	It("given no place, when it is asked, then there is none, and nothing is placed, weighed, told or saved", func() {
		bench := started()
		bench.Restore(Snapshot{})
		_, there := known(bench, 1, "")
		Expect(there).To(BeFalse())
		Expect(bench.Len()).To(BeZero())
		Expect(bench.loads.Len()).To(BeZero())
		Expect(bench.Tick(bench.now, []contract.Member{peer("x", "1")})).To(BeEmpty())
	})

	It("given a place, also one that is hearsay, when it is asked, then it is given and weighs nothing", func() {
		bench := started()
		bench.placed(1, "", "a")
		bench.hears(Told{Places: []Place{named(2, "b")}})
		for anchor, server := range map[uint64]string{1: "a", 2: "b"} {
			place, there := known(bench, anchor, "")
			Expect(there).To(BeTrue())
			Expect(place).To(Equal(named(anchor, server)))
		}
		Expect(bench.work(bench.now, "a")).To(BeNumerically("==", 100))
		Expect(bench.work(bench.now, "b")).To(BeZero())
	})

	It("given a place that the asker lost, when it is asked, then there is none, and the server is not taken for lost here", func() {
		bench := started()
		bench.placed(1, "", "a")
		bench.now += rest
		_, there := known(bench, 1, "a")
		Expect(there).To(BeFalse())
		Expect(bench.lost(bench.now, "a")).To(BeFalse())
		Expect(bench.placed(1, "", "b")).To(Equal(named(1, "a")))
		place, there := known(bench, 1, "b")
		Expect(there).To(BeTrue())
		Expect(place.Server).To(Equal("a"), "another one that was lost is no matter")
	})

	It("given a place on a server that another node lost, when it is asked, then there is none until the rest is over", func() {
		bench := started()
		bench.placed(1, "", "a")
		bench.placed(2, "", "a")
		bench.now += rest
		bench.placed(2, "a", "b")
		_, there := known(bench, 1, "")
		Expect(there).To(BeFalse())
		bench.now += rest
		_, there = known(bench, 1, "")
		Expect(there).To(BeTrue())
	})

	It("given a place that was asked for, when others come, then it counts as used, and one that could not be given does not", func() {
		bench := started()
		for anchor := range uint64(MostSaved + 1) {
			bench.placed(anchor, "", "a")
		}
		known(bench, 0, "")
		known(bench, 1, "a")
		places := bench.Snapshot().Places
		Expect(places[MostSaved-1]).To(Equal(named(0, "a")))
		Expect(places).NotTo(ContainElement(named(1, "a")))
	})

	It("given such an ask, when it travels, then it has neither candidates nor work", func() {
		body, failure := json.Marshal(Ask{Key: key(1), Known: true})
		Expect(failure).NotTo(HaveOccurred())
		Expect(body).To(MatchJSON(`{"scope":"s","anchor":1,"known":true}`))
	})
})

var _ = DescribeTable("given an ask that cannot be answered, when it comes, then there is no place and nothing is kept", func(candidates int) {
	bench, names := started(), []string{}
	for number := range candidates {
		names = append(names, fmt.Sprint("s", number))
	}
	_, there := bench.place(1, "", names...)
	Expect(there).To(BeFalse())
	Expect(bench.Len()).To(BeZero())
},
	Entry("no candidates", 0),
	Entry("too many candidates", MostCandidates+1),
)

var _ = Describe("what nodes use", func() {
	It("given a new owner, when nodes tell what they use, then it takes it up", func() {
		bench := started()
		Expect(bench.uses("n:1", Use{Key: key(1), Server: "c", Took: 30})).To(BeEmpty())
		Expect(bench.placed(1, "", "a", "b", "c")).To(Equal(Place{Key: key(1), Server: "c"}))
		Expect(bench.work(bench.now, "c")).To(BeNumerically("==", 30))
	})

	It("given a node that uses another place, when it tells, then the correction goes to its address and only names what is wrong", func() {
		bench := started()
		bench.placed(1, "", "a")
		bench.placed(2, "", "a")
		commands := bench.uses("10.0.0.7:7720", Use{Key: key(1), Server: "a"}, Use{Key: key(2), Server: "b"})
		Expect(commands).To(Equal([]contract.Command{contract.Send{To: "10.0.0.7:7720", Kind: MessageMoved, Body: Moved{Places: []Place{{Key: key(2), Server: "a"}}}}}))
		Expect(bench.placed(2, "", "a", "b").Server).To(Equal("a"))
	})

	It("given uses without a server or more than a node may tell, when they come, then they are left out", func() {
		bench, uses := started(), []Use{{Key: key(9000)}}
		for anchor := range uint64(MostUses + 10) {
			uses = append(uses, Use{Key: key(anchor), Server: "a", Took: 1})
		}
		bench.uses("n", uses...)
		Expect(bench.Len()).To(Equal(MostUses - 1))
	})

	It("given messages that cannot be read or are of other kinds, when they come, then they are counted or ignored and change nothing", func() {
		bench := started()
		for _, kind := range []string{MessageUsed, MessageTold} {
			Expect(bench.Handle(bench.now, contract.Message{Kind: kind, Body: []byte(`{"uses":7,"places":7}`)})).To(Equal([]contract.Command{contract.AddCounter{Name: "messages_broken", Delta: 1}}))
		}
		Expect(bench.Handle(bench.now, contract.Message{Kind: "other", Body: []byte(`{`)})).To(BeEmpty())
		Expect(bench.Handle(bench.now, contract.Tick{})).To(BeEmpty())
		Expect(bench.Len()).To(BeZero())
	})

	It("given more places and servers than are kept, when more come, then those unused for the longest give way", func() {
		bench := started()
		bench.placed(0, "", "first")
		for anchor := uint64(1); anchor < mostPlaces; anchor++ {
			bench.placed(anchor, "", fmt.Sprint("s", anchor))
		}
		bench.placed(0, "", "first")
		bench.placed(mostPlaces, "", "a")
		Expect(bench.Len()).To(Equal(mostPlaces))
		Expect(bench.loads.Len()).To(Equal(mostServers))
		Expect(bench.placed(0, "", "other").Server).To(Equal("first"))
		Expect(bench.placed(1, "", "other")).To(Equal(Place{Key: key(1), Server: "other"}))
	})
})
