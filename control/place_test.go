package control

import (
	"encoding/json"
	"time"

	"github.com/cedarreel/cedarreel/contract"
	"github.com/cedarreel/cedarreel/index"
	"github.com/cedarreel/cedarreel/manifest"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func (world *world) asks(name string, body []byte) contract.Response {
	GinkgoHelper()
	answers := []contract.Response{}
	for _, command := range world.nodes[name].owner.Handle(world.now, contract.OperatorRequest{Token: 7, Verb: contract.VerbPlace, Body: body, Forwarded: true}) {
		if answer, fine := command.(contract.Response); fine {
			answers = append(answers, answer)
		}
	}
	Expect(answers).To(HaveLen(1))
	Expect(answers[0].Token).To(Equal(int64(7)))
	return answers[0]
}

func (world *world) controls() []string {
	names := []string{}
	for _, name := range manifest.SortedKeys(world.nodes) {
		if _, control := world.nodes[name].owner.(*Owner); control {
			names = append(names, name)
		}
	}
	return names
}

func placeAsk(anchor uint64, candidates ...string) []byte {
	GinkgoHelper()
	body, failure := json.Marshal(index.Ask{Key: index.Key{Scope: "s", Anchor: anchor}, Candidates: candidates, Work: 10})
	Expect(failure).NotTo(HaveOccurred())
	return body
}

func placeKnown(anchor uint64) []byte {
	GinkgoHelper()
	body, failure := json.Marshal(index.Ask{Key: index.Key{Scope: "s", Anchor: anchor}, Known: true})
	Expect(failure).NotTo(HaveOccurred())
	return body
}

var _ = Describe("the place of a prompt", func() {
	It("given any control node, also one that knows nobody, when it is asked, then it answers itself", func() {
		world := newWorld(3)
		for _, name := range world.controls() {
			answer := world.asks(name, placeAsk(1, name+"-own", "b"))
			Expect(answer.Status).To(Equal(200))
			Expect(answer.Body).To(Equal(index.Place{Key: index.Key{Scope: "s", Anchor: 1}, Server: name + "-own"}))
		}
	})

	It("given a question that cannot be read or has no candidate, when it comes, then it is refused", func() {
		world := newWorld(3)
		Expect(world.asks("east-m0-control", []byte(`{"candidates":7}`)).Status).To(Equal(400))
		Expect(world.asks("east-m0-control", placeAsk(1)).Status).To(Equal(404))
	})

	It("given a place at one control node, when the beat has passed, then every other gives the same, and no data node is told", func() {
		world := newWorld(3)
		world.run(15 * time.Second)
		world.asks("west-m1-control", placeAsk(1, "a", "b"))
		world.run(4 * time.Second)
		for _, name := range world.controls() {
			Expect(world.asks(name, placeAsk(1, "other")).Body.(index.Place).Server).To(Equal("a"), name)
		}
	})

	It("given a question for what is known, when it comes to any control node, then a place is given soon after another placed it, and none is made", func() {
		world := newWorld(3)
		world.run(15 * time.Second)
		for anchor := range uint64(3) {
			known := placeKnown(anchor)
			for _, name := range world.controls() {
				Expect(world.asks(name, known).Status).To(Equal(404), name)
			}
			world.asks("west-m1-control", placeAsk(anchor, "a"))
			world.run(time.Second)
			for _, name := range world.controls() {
				answer := world.asks(name, known)
				Expect(answer.Status).To(Equal(200), name)
				Expect(answer.Body).To(Equal(index.Place{Key: index.Key{Scope: "s", Anchor: anchor}, Server: "a"}))
			}
		}
	})

	It("given a node with a disk, when it has a place, then it hands a snapshot out, and one without a disk does not", func() {
		world := newWorld(3)
		world.run(time.Second)
		handed := func(owner *Owner) []index.Snapshot {
			snapshots := []index.Snapshot{}
			for range 100 {
				world.now += 50 * time.Millisecond
				for _, command := range owner.Handle(world.now, contract.Tick{}) {
					if persist, fine := command.(index.Persist); fine {
						snapshots = append(snapshots, persist.Snapshot)
						Expect(owner.Handle(world.now, index.Persisted{Error: "full"})).To(ContainElement(contract.AddCounter{Name: "index_unsaved", Delta: 1}))
					}
				}
			}
			return snapshots
		}
		kept := index.Snapshot{Places: []index.Place{{Key: index.Key{Scope: "s", Anchor: 1}, Server: "a"}}}
		disk := world.nodes["east-m0-control"].owner.(*Owner)
		disk.Restore(kept)
		Expect(world.asks("east-m0-control", placeAsk(1, "b")).Body.(index.Place).Server).To(Equal("a"))
		world.asks("east-m0-control", placeAsk(2, "b"))
		kept.Places = append(kept.Places, index.Place{Key: index.Key{Scope: "s", Anchor: 2}, Server: "b"})
		snapshots := handed(disk)
		Expect(len(snapshots)).To(And(BeNumerically(">=", 1), BeNumerically("<=", 2)), "a beat each")
		Expect(snapshots[0]).To(Equal(kept))
		world.asks("east-m1-control", placeAsk(2, "b"))
		Expect(handed(world.nodes["east-m1-control"].owner.(*Owner))).To(BeEmpty())
	})
})

var _ = Describe("the view of the servers' caches", func() {
	It("given a control node that was told uses, when another asks for its view, then it tells it, and an ask without it gets shards as ever", func() {
		world := newWorld(3)
		world.run(15 * time.Second)
		uses := []index.Use{{Key: index.Key{Scope: "s", Anchor: 1}, Server: "a", Took: 50, Verdict: index.Kept, At: world.now}}
		owner := world.nodes["east-m0-control"].owner
		told := func(kind string, body any) []contract.Command {
			content, failure := json.Marshal(body)
			Expect(failure).NotTo(HaveOccurred())
			return owner.Handle(world.now, contract.Message{Kind: kind, From: "other", Body: content})
		}
		counted := told(index.MessageUsage, index.Usage{Address: "other", Uses: uses, Results: index.Results(world.now, 2*time.Second, uses)})
		Expect(counted).To(ContainElement(contract.AddCounter{Name: "index_checked", Delta: 1}))
		for _, cache := range []bool{true, false} {
			bodies := []json.RawMessage{}
			for _, command := range told(MessageStatusAsk, StatusAsk{Token: 1, Address: "other", Cache: cache}) {
				if send, fine := command.(contract.Send); fine && send.Kind == MessageStatus {
					bodies = append(bodies, send.Body.(Status).Body)
				}
			}
			Expect(bodies).To(HaveLen(1))
			var views []index.CacheStatus
			Expect(json.Unmarshal(bodies[0], &views)).To(Succeed())
			if cache {
				Expect(views).To(Equal([]index.CacheStatus{{Server: "a", Service: "s", Placed: 1, Checked: 1, Kept: 1, Share: 1}}))
			} else {
				Expect(index.Merge(views)).To(BeEmpty(), "what an older node answers is left out")
			}
		}
	})
})
