package relay_test

import (
	"encoding/json"
	"testing"

	"github.com/cedarreel/cedarreel/contract"
	"github.com/cedarreel/cedarreel/relay"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestRelay(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "relay")
}

var (
	asker  = contract.Member{Name: "a-data", Boot: "b1", Address: "10.0.0.1:1"}
	middle = contract.Member{Name: "m-data", Boot: "b2", Address: "10.0.0.2:1"}
	owner  = contract.Member{Name: "o-control", Boot: "b3", Address: "10.0.0.3:1"}
)

// sent returns the message among the commands as its recipient gets it, and the recipient's address.
func sent(from contract.Member, commands []contract.Command) (string, contract.Message) {
	GinkgoHelper()
	for _, command := range commands {
		if send, ok := command.(contract.Send); ok {
			body, err := json.Marshal(send.Body)
			Expect(err).NotTo(HaveOccurred())
			return send.To, contract.Message{Kind: send.Kind, From: from.Name, Boot: from.Boot, Body: body}
		}
	}
	return "", contract.Message{}
}

func anybody(string) bool { return true }

var _ = Describe("a message by way of another member", func() {
	question := contract.Send{To: owner.Address, Kind: "question", Body: map[string]int{"number": 7}}

	It("given a relay that reaches both, when a question is sent by it, then it comes as its sender's, and the answer goes back the same way", func() {
		to, first := sent(asker, relay.Wrap(middle.Address, asker, question))
		Expect(to).To(Equal(middle.Address))
		to, second := sent(middle, relay.Forward(middle, first, anybody))
		Expect(to).To(Equal(owner.Address))
		opened, envelope, ok := relay.Unwrap(second)
		Expect(ok).To(BeTrue())
		Expect(opened).To(Equal(contract.Message{Kind: "question", From: asker.Name, Boot: asker.Boot, Body: json.RawMessage(`{"number":7}`), ReturnRoute: middle.Address}))

		answer, other := contract.Send{To: asker.Address, Kind: "answer", Body: 8}, contract.Send{To: "10.0.0.9:1", Kind: "news", Body: 9}
		routed := relay.RouteReplies(owner, envelope, []contract.Command{contract.AddCounter{Name: "answers", Delta: 1}, other, answer})
		Expect(routed).To(HaveLen(3))
		Expect(routed[:2]).To(Equal([]contract.Command{contract.AddCounter{Name: "answers", Delta: 1}, other}), "what is for others goes directly")
		to, third := sent(owner, routed[2:])
		Expect(to).To(Equal(middle.Address))
		to, fourth := sent(middle, relay.Forward(middle, third, anybody))
		Expect(to).To(Equal(asker.Address))
		back, _, ok := relay.Unwrap(fourth)
		Expect(ok).To(BeTrue())
		Expect(back).To(Equal(contract.Message{Kind: "answer", From: owner.Name, Boot: owner.Boot, Body: json.RawMessage("8"), ReturnRoute: middle.Address}))
	})

	It("given two relays, when a question is sent by them, then it comes as its sender's, and the answer goes back over both", func() {
		second := contract.Member{Name: "n-data", Boot: "b4", Address: "10.0.0.4:1"}
		_, first := sent(asker, relay.Wrap(relay.Route(middle.Address, second.Address), asker, question))
		to, next := sent(middle, relay.Forward(middle, first, anybody))
		Expect(to).To(Equal(second.Address))
		to, last := sent(second, relay.Forward(second, next, anybody))
		Expect(to).To(Equal(owner.Address))
		opened, envelope, ok := relay.Unwrap(last)
		Expect(ok).To(BeTrue())
		Expect(opened.ReturnRoute).To(Equal(relay.Route(second.Address, middle.Address)))
		to, returned := sent(owner, relay.RouteReplies(owner, envelope, []contract.Command{contract.Send{To: asker.Address, Kind: "answer", Body: 8}}))
		Expect(to).To(Equal(second.Address))
		to, returned = sent(second, relay.Forward(second, returned, anybody))
		Expect(to).To(Equal(middle.Address))
		to, returned = sent(middle, relay.Forward(middle, returned, anybody))
		Expect(to).To(Equal(asker.Address))
		answer, _, ok := relay.Unwrap(returned)
		Expect(ok).To(BeTrue())
		Expect(answer.ReturnRoute).To(Equal(relay.Route(middle.Address, second.Address)), "the way that the next question takes")
	})

	DescribeTable("given more relays than two, when one of them is asked to forward, then it refuses", func(ahead, passed []string) {
		body, err := json.Marshal(relay.Envelope{To: owner.Address, RemainingRelays: ahead, PassedRelays: passed, Address: asker.Address, Kind: "question", Body: json.RawMessage("1")})
		Expect(err).NotTo(HaveOccurred())
		Expect(relay.Forward(middle, contract.Message{Kind: relay.MessageForward, Body: body}, anybody)).To(Equal([]contract.Command{contract.AddCounter{Name: "relays_refused", Delta: 1}}))
	}, Entry("ahead", []string{"x", "y"}, nil), Entry("passed", nil, []string{"x", "y"}), Entry("both", []string{"x"}, []string{"y"}))

	It("given a target that the relay does not know, when it is asked to forward, then it refuses", func() {
		_, first := sent(asker, relay.Wrap(middle.Address, asker, question))
		Expect(relay.Forward(middle, first, func(string) bool { return false })).To(Equal([]contract.Command{contract.AddCounter{Name: "relays_refused", Delta: 1}}))
	})

	It("given a relay's own message, when it is to be carried, then it is refused: nothing travels in circles", func() {
		_, first := sent(asker, relay.Wrap(middle.Address, asker, question))
		again := contract.Send{To: owner.Address, Kind: first.Kind, Body: first.Body}
		Expect(relay.Wrap(middle.Address, asker, again)).To(Equal([]contract.Command{contract.AddCounter{Name: "relays_refused", Delta: 1}}))
		body, err := json.Marshal(relay.Envelope{To: owner.Address, Address: asker.Address, Kind: relay.MessageForward, Body: first.Body})
		Expect(err).NotTo(HaveOccurred())
		nested := contract.Message{Kind: relay.MessageForward, Body: body}
		Expect(relay.Forward(middle, nested, anybody)).To(Equal([]contract.Command{contract.AddCounter{Name: "relays_refused", Delta: 1}}))
	})

	DescribeTable("given an envelope that cannot be read, when it comes, then it is refused and opened by nobody", func(body string) {
		broken := contract.Message{Kind: relay.MessageForward, Body: json.RawMessage(body)}
		Expect(relay.Forward(middle, broken, anybody)).To(Equal([]contract.Command{contract.AddCounter{Name: "relays_refused", Delta: 1}}))
		_, _, ok := relay.Unwrap(broken)
		Expect(ok).To(BeFalse())
	},
		Entry("no envelope", `"text"`), Entry("no target", `{"address":"10.0.0.1:1","kind":"question"}`),
		Entry("nobody to answer", `{"to":"10.0.0.3:1","kind":"question"}`), Entry("nothing", ``))
})
