package machine

import (
	"encoding/json"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/cedarreel/cedarreel/contract"
	"github.com/cedarreel/cedarreel/env"
	"github.com/cedarreel/cedarreel/neighbour"
	"github.com/cedarreel/cedarreel/relay"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestMachine(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "machine")
}

// nodeWithMembers returns a data node that knows the given members (name and zone); a member's address is its name.
func nodeWithMembers(members ...[2]string) *Node {
	settings := env.New(env.WithName("self"), env.WithZone("a"), env.WithRegion("east"), env.WithData("self-data"))
	node := New(settings, contract.KindData, "boot", rand.New(rand.NewPCG(1, 1)))
	shuffle := neighbour.Shuffle{IsReply: true}
	for _, member := range members {
		shuffle.Members = append(shuffle.Members, contract.Member{Name: member[0], Zone: member[1], Address: member[0], Boot: "b", Incarnation: 1, Heartbeat: 1})
	}
	body, failure := json.Marshal(shuffle)
	Expect(failure).NotTo(HaveOccurred())
	node.Handle(time.Second, contract.Message{Kind: neighbour.MessageShuffle, From: members[0][0], Body: body})
	return node
}

var _ = Describe("relays to an unreachable member", func() {
	target := contract.Member{Name: "owner-control", Zone: "b"}

	It("given members of the target's zone, when relays are drawn, then one of them comes first and the others follow, each once", func() {
		node := nodeWithMembers([2]string{"near-data", "b"}, [2]string{"far-data", "a"}, [2]string{"third-data", "c"}, [2]string{"owner-control", "b"})
		for range 20 {
			chosen := node.ChooseRelays(time.Second, target, 3)
			Expect(chosen).To(HaveLen(3))
			Expect(chosen[0]).To(Equal("near-data"))
			Expect(chosen[1:]).To(ConsistOf("far-data", "third-data"))
		}
	})

	It("given processes on this node's or the target's machine, when relays are drawn, then they are left out, as they share the cut links", func() {
		node := nodeWithMembers([2]string{"self-control", "a"}, [2]string{"owner-data", "b"}, [2]string{"owner-control", "b"})
		Expect(node.ChooseRelays(time.Second, target, 3)).To(BeEmpty())
	})

	It("given suspected members, when relays are drawn, then they are left out", func() {
		node := nodeWithMembers([2]string{"near-data", "b"}, [2]string{"owner-control", "b"})
		Expect(node.ChooseRelays(time.Second+node.Bounds.SuspicionTimeout(), target, 3)).To(BeEmpty())
	})

	It("given members of both zones, when single relays failed, then routes over two are drawn: one of the own zone, then one of the target's", func() {
		node := nodeWithMembers([2]string{"peer-data", "a"}, [2]string{"second-data", "a"}, [2]string{"near-data", "b"}, [2]string{"owner-control", "b"})
		for range 20 {
			chosen := node.ChooseTwoHopRoutes(time.Second, target, 2)
			Expect(chosen).NotTo(BeEmpty())
			for _, route := range chosen {
				Expect(strings.Split(route, ",")).To(HaveLen(2))
			}
			Expect(chosen[0]).To(Or(Equal("peer-data,near-data"), Equal("second-data,near-data")))
		}
		routes := func(failures int) []string {
			asked := []string{}
			for _, command := range node.SendByRelay(time.Second, target, contract.Send{To: "owner-control", Kind: "question", Body: 1}, "", failures) {
				if send, isSend := command.(contract.Send); isSend {
					asked = append(asked, relay.Route(append([]string{send.To}, send.Body.(relay.Envelope).RemainingRelays...)...))
				}
			}
			return asked
		}
		Expect(routes(0)).NotTo(ContainElement(ContainSubstring(",")))
		Expect(routes(1)).To(ContainElement(ContainSubstring(",")))
	})

	It("given an envelope, when it arrives, then its message is handled as coming from its sender, and one for an unknown target is refused", func() {
		node := nodeWithMembers([2]string{"asker-data", "b"}, [2]string{"middle-data", "b"})
		envelope := relay.Envelope{To: "self-data", PassedRelays: []string{"middle-data"}, From: "asker-data", Address: "asker-data", Kind: "question", Body: json.RawMessage("1")}
		body, failure := json.Marshal(envelope)
		Expect(failure).NotTo(HaveOccurred())
		handled := []contract.Event{}
		answered := node.HandleRelayed(time.Second, contract.Message{Kind: relay.MessageDeliver, Body: body}, func(_ time.Duration, event contract.Event) []contract.Command {
			handled = append(handled, event)
			return []contract.Command{contract.Send{To: "asker-data", Kind: "answer", Body: 2}}
		})
		Expect(handled).To(Equal([]contract.Event{contract.Message{Kind: "question", From: "asker-data", Body: json.RawMessage("1"), ReturnRoute: "middle-data"}}))
		Expect(answered).To(ContainElement(HaveField("To", "middle-data")))

		envelope.To = "nobody"
		body, failure = json.Marshal(envelope)
		Expect(failure).NotTo(HaveOccurred())
		refused := node.HandleRelayed(time.Second, contract.Message{Kind: relay.MessageForward, Body: body}, func(time.Duration, contract.Event) []contract.Command { return nil })
		Expect(refused).To(Equal([]contract.Command{contract.AddCounter{Name: "relays_refused", Delta: 1}}))
	})
})
