package control

import (
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/cedarreel/cedarreel/chain"
	"github.com/cedarreel/cedarreel/contract"
	"github.com/cedarreel/cedarreel/env"
	"github.com/cedarreel/cedarreel/neighbour"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// coreNodes returns the three members of the core.
func coreNodes() []contract.CoreNode {
	nodes := []contract.CoreNode{}
	for _, name := range []string{"m1", "m2", "m3"} {
		nodes = append(nodes, contract.CoreNode{Name: name + "-control", ID: "disk-" + name, Address: name})
	}
	return nodes
}

// staleHead returns the head of view 1. It holds a configuration of revision 5, receives messages of its peers and does not know whether they have
// decided on another view.
func staleHead() *Controller {
	GinkgoHelper()
	nodes := coreNodes()
	view := contract.View{Number: 1, Core: nodes}
	for _, node := range nodes {
		view.Chain = append(view.Chain, node.Identity())
	}
	view.Holders = view.Chain
	kept := applyRequest(contract.Version{}, contract.VerbReplace, gatewaySection(5, oneRoute))
	settings := env.New(env.WithName("m1"), env.WithZone("east-a"), env.WithRegion("east"), env.WithControl("m1"))
	settings.Wide = true
	recovered := chain.Recovered{Member: chain.MemberRecord{ID: nodes[0].ID, View: view}, Versions: []contract.Version{kept}, Committed: kept.Position}
	controller := New(settings, "start", &recovered, rand.New(rand.NewPCG(1, 1)))
	announcePeers(controller, 0)
	controller.Handle(0, contract.Tick{})
	controller.Handle(time.Millisecond, contract.Tick{})
	Expect(controller.chain.AcceptsWrites()).To(BeTrue(), "it would accept writes")
	return controller
}

// announcePeers tells a node that the other two members are alive.
func announcePeers(controller *Controller, now time.Duration) {
	for _, node := range coreNodes()[1:] {
		body, _ := json.Marshal(neighbour.Shuffle{Members: []contract.Member{{Name: node.Name, Boot: "b", CoreID: node.ID, Kind: contract.KindControl, Core: true,
			Zone: "east-b", Region: "east", Address: node.Address, Incarnation: 1, Heartbeat: int64(now) + 1}}, IsReply: true})
		controller.Handle(now, contract.Message{Kind: neighbour.MessageShuffle, From: node.Name, Boot: "b", Body: body})
	}
}

// responses runs the controller for a span of time and returns its responses.
func responses(controller *Controller, commands []contract.Command, span time.Duration) []contract.Response {
	received := []contract.Response{}
	collect := func(commands []contract.Command) {
		for _, command := range commands {
			if response, ok := command.(contract.Response); ok {
				received = append(received, response)
			}
		}
	}
	collect(commands)
	for now := 10 * time.Millisecond; now < span; now += controller.Bounds.Tick() {
		collect(controller.Handle(now, contract.Tick{}))
	}
	return received
}

var _ = Describe("the head of an old view", func() {
	order := func(verb string, base, revision int64) contract.OperatorRequest {
		return contract.OperatorRequest{Token: 1, Verb: verb, BaseRevision: base, HasBaseRevision: true, Body: gatewaySection(revision, oneRoute), Operation: "order", ReplyOnCommit: true}
	}

	DescribeTable("neither refuses nor confirms from its old state", func(request contract.OperatorRequest) {
		controller := staleHead()
		received := responses(controller, controller.Handle(2*time.Millisecond, request), time.Second)
		Expect(received).To(HaveLen(1))
		Expect(received[0].Status).To(Equal(503), "%+v", received[0].Body)
		Expect(received[0].RetryAfter).To(BeNumerically(">", 0), "and advises when to retry")
	},
		Entry("a write that is based on a version it has missed", order(contract.VerbReplace, 9, 12)),
		Entry("a write with a revision lower than its own", order(contract.VerbReplace, 5, 3)),
		Entry("an update that its own state does not allow", contract.OperatorRequest{Token: 1, Verb: contract.VerbUpdate, BaseRevision: 5, HasBaseRevision: true, Operation: "order", ReplyOnCommit: true,
			Body: []byte(`{"gateway":{"revision":6,"upsert":{"routes":{"q":{"host":"h","prefix":"/q/","timeoutMs":1,"service":"none"}}}}}`)}),
		Entry("an undrain of a zone that it does not know to be drained", contract.OperatorRequest{Token: 1, Verb: contract.VerbUndrain, Subject: "east-a", Operation: "order", ReplyOnCommit: true}),
		Entry("a query for an operation that it does not know", contract.OperatorRequest{Token: 1, Verb: contract.VerbOperation, Subject: "order"}),
	)

	It("refuses once a majority confirms its view", func() {
		controller := staleHead()
		commands := controller.Handle(2*time.Millisecond, order(contract.VerbReplace, 9, 12))
		var check chain.ViewCheck
		for _, command := range commands {
			if send, ok := command.(contract.Send); ok && send.Kind == chain.MessageViewCheck {
				check = send.Body.(chain.ViewCheck)
			}
		}
		check.Current, check.Responder = true, coreNodes()[1]
		body, _ := json.Marshal(check)
		received := responses(controller, controller.Handle(3*time.Millisecond, contract.Message{Kind: chain.MessageViewCheckReply, From: check.Responder.Name, Body: body}), time.Second)
		Expect(received).To(HaveLen(1))
		Expect(received[0].Status).To(Equal(409))
	})

	It("answers a submitted write within a round with an unknown outcome and a time to retry, since no majority of the core responds", func() {
		controller := staleHead()
		received := responses(controller, controller.Handle(2*time.Millisecond, order(contract.VerbReplace, 5, 6)), controller.Bounds.Round())
		Expect(received).To(HaveLen(1))
		Expect(received[0].Status).To(Equal(504))
		Expect(received[0].Body.(contract.WriteResult).Outcome).To(Equal("unknown"))
		Expect(received[0].RetryAfter).To(BeNumerically(">", 0))
	})

	It("waits for the commit as long as a majority of the core responds", func() {
		controller := staleHead()
		commands := controller.Handle(2*time.Millisecond, order(contract.VerbReplace, 5, 6))
		received := []contract.Response{}
		for now := 10 * time.Millisecond; now < controller.Bounds.CommitTimeout(); now += controller.Bounds.Tick() {
			commands = append(commands, controller.Handle(now, contract.Tick{})...)
			for len(commands) > 0 {
				command := commands[0]
				commands = commands[1:]
				if response, ok := command.(contract.Response); ok {
					received = append(received, response)
				}
				if send, ok := command.(contract.Send); ok && send.Kind == chain.MessageProbe {
					probe := send.Body.(chain.Probe)
					body, _ := json.Marshal(chain.ProbeReply{Nonce: probe.Nonce, StartID: probe.StartID, Responder: coreNodes()[1]})
					commands = append(commands, controller.Handle(now+time.Millisecond, contract.Message{Kind: chain.MessageProbeReply, Body: body})...)
				}
			}
		}
		Expect(received).To(BeEmpty())
	})
})
