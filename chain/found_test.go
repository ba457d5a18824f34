package chain

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cedarreel/cedarreel/contract"
	"github.com/cedarreel/cedarreel/env"
	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// The package has a Done of its own, so ginkgo's names cannot be imported all at once.
var (
	Describe = ginkgo.Describe
	It       = ginkgo.It
)

func TestChain(t *testing.T) {
	RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "chain")
}

// core runs three core machines that see each other, for a while, and gives them and what was counted.
func core(founds []bool, shelves []Recovered, span time.Duration) ([]*Replica, map[string]int64) {
	bounds, owners, members, counts := env.DefaultBounds(), []*Replica{}, []contract.Member{}, map[string]int64{}
	for place := range founds {
		self := contract.CoreNode{Name: fmt.Sprintf("m%d-control", place), ID: "boot", Address: fmt.Sprint("address", place)}
		owner := New(self, "start", len(founds), bounds, shelves[place], rand.New(rand.NewPCG(uint64(place), 1)))
		owner.AllowBootstrap(founds[place])
		owners = append(owners, owner)
		members = append(members, contract.Member{Name: self.Name, Boot: self.ID, CoreID: self.ID, Kind: contract.KindControl, Core: true, Address: self.Address})
	}
	waiting := make([][]contract.Event, len(owners))
	for now := time.Duration(0); now < span; now += bounds.Tick() {
		events := waiting
		waiting = make([][]contract.Event, len(owners))
		for place, owner := range owners {
			for _, event := range append(events[place], Membership{Members: members}) {
				for _, command := range owner.Handle(now, event) {
					switch command := command.(type) {
					case contract.Send:
						content, failure := json.Marshal(command.Body)
						Expect(failure).NotTo(HaveOccurred())
						for other := range owners {
							if owners[other].self.Address == command.To {
								waiting[other] = append(waiting[other], contract.Message{Kind: command.Kind, From: owner.self.Name, Boot: owner.self.ID, Body: content})
							}
						}
					case Persist:
						waiting[place] = append(waiting[place], Persisted{Token: command.Token})
					case contract.AddCounter:
						counts[command.Name] += command.Delta
					}
				}
			}
			members[place].View = owner.View().Number
		}
	}
	return owners, counts
}

var _ = Describe("a blank core", func() {
	blank := make([]Recovered, 3)

	It("given three machines of a first start, when they see each other, then they found one view", func() {
		owners, counts := core([]bool{true, true, true}, blank, 30*time.Second)
		for _, owner := range owners {
			Expect(owner.View().Number).To(Equal(int64(1)))
			Expect(owner.View()).To(Equal(owners[0].View()))
		}
		Expect(counts["foundings_tried"]).To(BeNumerically(">", 0))
	})

	It("given three machines that may not found, when they see each other for long, then none founds or tries to", func() {
		owners, counts := core([]bool{false, false, false}, blank, 10*time.Minute)
		for _, owner := range owners {
			Expect(owner.View().Number).To(BeZero())
		}
		Expect(counts).NotTo(HaveKey("foundings_tried"))
		Expect(counts).NotTo(HaveKey("foundings"))
	})

	for lost := range 3 {
		It(fmt.Sprintf("given machine %d of three that may not found, when the others may, then no view is founded", lost), func() {
			founds := []bool{true, true, true}
			founds[lost] = false
			owners, counts := core(founds, blank, 5*time.Minute)
			for _, owner := range owners {
				Expect(owner.View().Number).To(BeZero())
			}
			Expect(counts).NotTo(HaveKey("foundings"))
		})
	}

	It("given a machine whose folder holds a version, when it may found but has no view, then it never founds a blank fleet", func() {
		held := Recovered{Versions: []contract.Version{{Position: contract.Position{View: 1, Revision: 4}}}}
		owners, counts := core([]bool{true, true, true}, []Recovered{held, {}, {}}, 5*time.Minute)
		for _, owner := range owners {
			Expect(owner.View().Number).To(BeZero())
		}
		Expect(counts).NotTo(HaveKey("foundings"))
	})
})
