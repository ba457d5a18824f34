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

// Only some of ginkgo's names are used, next to those of the package under test.
var (
	Describe = ginkgo.Describe
	It       = ginkgo.It
)

func TestChain(t *testing.T) {
	RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "chain")
}

// runCore runs core machines that see each other for a span of time, and returns them and the values of the counters.
func runCore(mayBootstrap []bool, recovered []Recovered, span time.Duration, founders ...string) ([]*Replica, map[string]int64) {
	bounds, replicas, members, counts := env.DefaultBounds(), []*Replica{}, []contract.Member{}, map[string]int64{}
	for index := range mayBootstrap {
		self := contract.CoreNode{Name: fmt.Sprintf("m%d-control", index), ID: "boot", Address: fmt.Sprint("address", index)}
		replica := New(self, "start", len(mayBootstrap), bounds, recovered[index], rand.New(rand.NewPCG(uint64(index), 1)))
		replica.AllowBootstrap(mayBootstrap[index])
		replica.SetFounders(founders)
		replicas = append(replicas, replica)
		members = append(members, contract.Member{Name: self.Name, Boot: self.ID, CoreID: self.ID, Kind: contract.KindControl, Core: true, Address: self.Address})
	}
	waiting := make([][]contract.Event, len(replicas))
	for now := time.Duration(0); now < span; now += bounds.Tick() {
		events := waiting
		waiting = make([][]contract.Event, len(replicas))
		for index, replica := range replicas {
			for _, event := range append(events[index], Membership{Members: members}) {
				for _, command := range replica.Handle(now, event) {
					switch command := command.(type) {
					case contract.Send:
						content, err := json.Marshal(command.Body)
						Expect(err).NotTo(HaveOccurred())
						for other := range replicas {
							if replicas[other].self.Address == command.To {
								waiting[other] = append(waiting[other], contract.Message{Kind: command.Kind, From: replica.self.Name, Boot: replica.self.ID, Body: content})
							}
						}
					case Persist:
						waiting[index] = append(waiting[index], Persisted{Token: command.Token})
					case contract.AddCounter:
						counts[command.Name] += command.Delta
					}
				}
			}
			members[index].View = replica.View().Number
		}
	}
	return replicas, counts
}

var _ = Describe("a blank core", func() {
	blank := make([]Recovered, 3)

	It("given three machines at their first start, when they see each other, then they bootstrap one view", func() {
		replicas, counts := runCore([]bool{true, true, true}, blank, 30*time.Second)
		for _, replica := range replicas {
			Expect(replica.View().Number).To(Equal(int64(1)))
			Expect(replica.View()).To(Equal(replicas[0].View()))
		}
		Expect(counts["foundings_tried"]).To(BeNumerically(">", 0))
	})

	It("given three machines that may not bootstrap, when they see each other for long, then none attempts to", func() {
		replicas, counts := runCore([]bool{false, false, false}, blank, 10*time.Minute)
		for _, replica := range replicas {
			Expect(replica.View().Number).To(BeZero())
		}
		Expect(counts).NotTo(HaveKey("foundings_tried"))
		Expect(counts).NotTo(HaveKey("foundings"))
	})

	for joiner := range 3 {
		It(fmt.Sprintf("given machine %d of three that may not bootstrap, when the others may, then no view is created", joiner), func() {
			mayBootstrap := []bool{true, true, true}
			mayBootstrap[joiner] = false
			replicas, counts := runCore(mayBootstrap, blank, 5*time.Minute)
			for _, replica := range replicas {
				Expect(replica.View().Number).To(BeZero())
			}
			Expect(counts).NotTo(HaveKey("foundings"))
		})
	}

	It("given a machine whose folder holds a version, when it may bootstrap but has no view, then no view is created", func() {
		recovered := Recovered{Versions: []contract.Version{{Position: contract.Position{View: 1, Revision: 4}}}}
		replicas, counts := runCore([]bool{true, true, true}, []Recovered{recovered, {}, {}}, 5*time.Minute)
		for _, replica := range replicas {
			Expect(replica.View().Number).To(BeZero())
		}
		Expect(counts).NotTo(HaveKey("foundings"))
	})

	founders := []string{"address0", "address1", "address2"}

	for joiner := range 3 {
		It(fmt.Sprintf("given set founders of which machine %d may not bootstrap, when the others may, then they bootstrap and it joins", joiner), func() {
			mayBootstrap := []bool{true, true, true}
			mayBootstrap[joiner] = false
			replicas, _ := runCore(mayBootstrap, blank, 12*time.Second, founders...)
			for _, replica := range replicas {
				Expect(replica.View().Core).To(HaveLen(3))
				Expect(replica.View()).To(Equal(replicas[0].View()))
			}
		})

		It(fmt.Sprintf("given set founders of which machine %d alone may bootstrap, when it sees the others, then no view is created", joiner), func() {
			mayBootstrap := []bool{false, false, false}
			mayBootstrap[joiner] = true
			replicas, counts := runCore(mayBootstrap, blank, 5*time.Minute, founders...)
			for _, replica := range replicas {
				Expect(replica.View().Number).To(BeZero())
			}
			Expect(counts).NotTo(HaveKey("foundings"))
		})
	}

	It("given a single founder, when it starts, then it bootstraps", func() {
		replicas, _ := runCore([]bool{true}, blank[:1], 12*time.Second, "address0")
		Expect(replicas[0].View().Number).To(Equal(int64(1)))
	})

	It("given two of three set founders, when the third never comes, then they bootstrap", func() {
		replicas, _ := runCore([]bool{true, true}, blank[:2], 12*time.Second, founders...)
		for _, replica := range replicas {
			Expect(replica.View().Core).To(HaveLen(2))
		}
	})

	It("given a founder that was started first with other founders, when it starts again, then it keeps those", func() {
		recovered := Recovered{Member: MemberRecord{ID: "first", Bootstrap: true, Founders: founders}}
		replica := New(contract.CoreNode{Name: "m0-control", ID: "boot", Address: "address0"}, "start", 3, env.DefaultBounds(), recovered, rand.New(rand.NewPCG(1, 1)))
		replica.SetFounders([]string{"address0", "elsewhere"})
		Expect(replica.founders).To(Equal(founders))
	})
})
