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

func (simulation *simulatedFleet) askPlacement(name string, body []byte) contract.Response {
	GinkgoHelper()
	answers := []contract.Response{}
	for _, command := range simulation.nodes[name].owner.Handle(simulation.now, contract.OperatorRequest{Token: 7, Verb: contract.VerbPlace, Body: body, Forwarded: true}) {
		if response, ok := command.(contract.Response); ok {
			answers = append(answers, response)
		}
	}
	Expect(answers).To(HaveLen(1))
	Expect(answers[0].Token).To(Equal(int64(7)))
	return answers[0]
}

func (simulation *simulatedFleet) controlNodes() []string {
	names := []string{}
	for _, name := range manifest.SortedKeys(simulation.nodes) {
		if _, control := simulation.nodes[name].owner.(*Controller); control {
			names = append(names, name)
		}
	}
	return names
}

func placementQuery(anchor uint64, candidates ...string) []byte {
	GinkgoHelper()
	body, err := json.Marshal(index.PlacementRequest{Key: index.Key{Scope: "s", Anchor: anchor}, Candidates: candidates, Work: 10})
	Expect(err).NotTo(HaveOccurred())
	return body
}

func knownPlacementQuery(anchor uint64) []byte {
	GinkgoHelper()
	body, err := json.Marshal(index.PlacementRequest{Key: index.Key{Scope: "s", Anchor: anchor}, Known: true})
	Expect(err).NotTo(HaveOccurred())
	return body
}

var _ = Describe("the lookup of a prompt in the cache index", func() {
	It("given any control node, even one that knows no other member, when it is asked, then it answers itself", func() {
		simulation := newSimulatedFleet(3)
		for _, name := range simulation.controlNodes() {
			response := simulation.askPlacement(name, placementQuery(1, name+"-own", "b"))
			Expect(response.Status).To(Equal(200))
			Expect(response.Body).To(Equal(index.Placement{Key: index.Key{Scope: "s", Anchor: 1}, Server: name + "-own"}))
		}
	})

	It("given a lookup that is malformed or has no candidate, then it is refused", func() {
		simulation := newSimulatedFleet(3)
		Expect(simulation.askPlacement("east-m0-control", []byte(`{"candidates":7}`)).Status).To(Equal(400))
		Expect(simulation.askPlacement("east-m0-control", placementQuery(1)).Status).To(Equal(404))
	})

	It("given an entry at one control node, when the update interval has passed, then every other control node gives the same answer", func() {
		simulation := newSimulatedFleet(3)
		simulation.run(15 * time.Second)
		simulation.askPlacement("west-m1-control", placementQuery(1, "a", "b"))
		simulation.run(4 * time.Second)
		for _, name := range simulation.controlNodes() {
			Expect(simulation.askPlacement(name, placementQuery(1, "other")).Body.(index.Placement).Server).To(Equal("a"), name)
		}
	})

	It("given a lookup of known entries only, when it is sent to any control node, then it finds an entry of another node soon and creates none", func() {
		simulation := newSimulatedFleet(3)
		simulation.run(15 * time.Second)
		for anchor := range uint64(3) {
			known := knownPlacementQuery(anchor)
			for _, name := range simulation.controlNodes() {
				Expect(simulation.askPlacement(name, known).Status).To(Equal(404), name)
			}
			simulation.askPlacement("west-m1-control", placementQuery(anchor, "a"))
			simulation.run(time.Second)
			for _, name := range simulation.controlNodes() {
				response := simulation.askPlacement(name, known)
				Expect(response.Status).To(Equal(200), name)
				Expect(response.Body).To(Equal(index.Placement{Key: index.Key{Scope: "s", Anchor: anchor}, Server: "a"}))
			}
		}
	})

	It("given a node with a disk, when it has an entry, then it emits a snapshot, and a node without a disk does not", func() {
		simulation := newSimulatedFleet(3)
		simulation.run(time.Second)
		handed := func(controller *Controller) []index.Snapshot {
			snapshots := []index.Snapshot{}
			for range 100 {
				simulation.now += 50 * time.Millisecond
				for _, command := range controller.Handle(simulation.now, contract.Tick{}) {
					if persist, ok := command.(index.Persist); ok {
						snapshots = append(snapshots, persist.Snapshot)
						Expect(controller.Handle(simulation.now, index.Persisted{Error: "full"})).To(ContainElement(contract.AddCounter{Name: "index_unsaved", Delta: 1}))
					}
				}
			}
			return snapshots
		}
		kept := index.Snapshot{Places: []index.Placement{{Key: index.Key{Scope: "s", Anchor: 1}, Server: "a"}}}
		disk := simulation.nodes["east-m0-control"].owner.(*Controller)
		disk.RestoreIndex(kept)
		Expect(simulation.askPlacement("east-m0-control", placementQuery(1, "b")).Body.(index.Placement).Server).To(Equal("a"))
		simulation.askPlacement("east-m0-control", placementQuery(2, "b"))
		kept.Places = append(kept.Places, index.Placement{Key: index.Key{Scope: "s", Anchor: 2}, Server: "b"})
		snapshots := handed(disk)
		Expect(len(snapshots)).To(And(BeNumerically(">=", 1), BeNumerically("<=", 2)), "one per interval")
		Expect(snapshots[0]).To(Equal(kept))
		simulation.askPlacement("east-m1-control", placementQuery(2, "b"))
		Expect(handed(simulation.nodes["east-m1-control"].owner.(*Controller))).To(BeEmpty())
	})
})

var _ = Describe("the status of the cache index", func() {
	It("given a control node that received uses, when another node requests its cache status, then it replies with it, and else with the status of its shards", func() {
		simulation := newSimulatedFleet(3)
		simulation.run(15 * time.Second)
		uses := []index.Use{{Key: index.Key{Scope: "s", Anchor: 1}, Server: "a", Took: 50, Verdict: index.Kept, At: simulation.now}}
		controller := simulation.nodes["east-m0-control"].owner
		deliver := func(kind string, body any) []contract.Command {
			content, err := json.Marshal(body)
			Expect(err).NotTo(HaveOccurred())
			return controller.Handle(simulation.now, contract.Message{Kind: kind, From: "other", Body: content})
		}
		counted := deliver(index.MessageUsage, index.Usage{Address: "other", Uses: uses, Results: index.Results(simulation.now, 2*time.Second, uses)})
		Expect(counted).To(ContainElement(contract.AddCounter{Name: "index_checked", Delta: 1}))
		for _, cache := range []bool{true, false} {
			bodies := []json.RawMessage{}
			for _, command := range deliver(MessageStatusRequest, StatusRequest{Token: 1, Address: "other", Cache: cache}) {
				if send, ok := command.(contract.Send); ok && send.Kind == MessageStatusReply {
					bodies = append(bodies, send.Body.(StatusReply).Body)
				}
			}
			Expect(bodies).To(HaveLen(1))
			var statuses []index.CacheStatus
			Expect(json.Unmarshal(bodies[0], &statuses)).To(Succeed())
			if cache {
				Expect(statuses).To(Equal([]index.CacheStatus{{Server: "a", Service: "s", Placed: 1, Checked: 1, Kept: 1, Share: 1}}))
			} else {
				Expect(index.MergeStatus(statuses)).To(BeEmpty(), "the reply of an older node is ignored")
			}
		}
	})
})
