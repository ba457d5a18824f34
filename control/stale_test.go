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

// coreNodes are three members of the core with their disks' identities.
func coreNodes() []contract.CoreNode {
	nodes := []contract.CoreNode{}
	for _, name := range []string{"m1", "m2", "m3"} {
		nodes = append(nodes, contract.CoreNode{Name: name + "-control", ID: "disk-" + name, Address: name})
	}
	return nodes
}

// staleHead is the head of view 1, which holds a configuration of revision 5, hears its peers and does not know what they decided since.
func staleHead() *Owner {
	GinkgoHelper()
	nodes := coreNodes()
	view := contract.View{Number: 1, Core: nodes}
	for _, node := range nodes {
		view.Chain = append(view.Chain, node.Identity())
	}
	view.Holders = view.Chain
	kept := composed(contract.Version{}, contract.VerbReplace, section(5, oneRoute))
	settings := env.New(env.WithName("m1"), env.WithZone("east-a"), env.WithRegion("east"), env.WithControl("m1"))
	settings.Wide = true
	recovered := chain.Recovered{Member: chain.MemberRecord{ID: nodes[0].ID, View: view}, Versions: []contract.Version{kept}, Committed: kept.Position}
	owner := New(settings, "start", &recovered, rand.New(rand.NewPCG(1, 1)))
	hear(owner, 0)
	owner.Handle(0, contract.Tick{})
	owner.Handle(time.Millisecond, contract.Tick{})
	Expect(owner.chain.AcceptsWrites()).To(BeTrue(), "it would take writes")
	return owner
}

// hear lets a node hear of the other two members.
func hear(owner *Owner, now time.Duration) {
	for _, node := range coreNodes()[1:] {
		body, _ := json.Marshal(neighbour.Shuffle{Members: []contract.Member{{Name: node.Name, Boot: "b", CoreID: node.ID, Kind: contract.KindControl, Core: true,
			Zone: "east-b", Region: "east", Address: node.Address, Incarnation: 1, Heartbeat: int64(now) + 1}}, IsReply: true})
		owner.Handle(now, contract.Message{Kind: neighbour.MessageShuffle, From: node.Name, Boot: "b", Body: body})
	}
}

// answers lets time pass and gives what was answered.
func answers(owner *Owner, commands []contract.Command, span time.Duration) []contract.Response {
	given := []contract.Response{}
	take := func(commands []contract.Command) {
		for _, command := range commands {
			if answer, fine := command.(contract.Response); fine {
				given = append(given, answer)
			}
		}
	}
	take(commands)
	for now := 10 * time.Millisecond; now < span; now += owner.Bounds.Tick() {
		take(owner.Handle(now, contract.Tick{}))
	}
	return given
}

var _ = Describe("a head that was left behind", func() {
	order := func(verb string, base, revision int64) contract.OperatorRequest {
		return contract.OperatorRequest{Token: 1, Verb: verb, BaseRevision: base, HasBaseRevision: true, Body: section(revision, oneRoute), Operation: "order", ReplyOnCommit: true}
	}

	DescribeTable("neither refuses nor confirms from its old state", func(ask contract.OperatorRequest) {
		owner := staleHead()
		given := answers(owner, owner.Handle(2*time.Millisecond, ask), time.Second)
		Expect(given).To(HaveLen(1))
		Expect(given[0].Status).To(Equal(503), "%+v", given[0].Body)
		Expect(given[0].RetryAfter).To(BeNumerically(">", 0), "and says when to come back")
	},
		Entry("an order on top of a version that it has missed", order(contract.VerbReplace, 9, 12)),
		Entry("an order whose revision its own passes", order(contract.VerbReplace, 5, 3)),
		Entry("a change by name that its own state does not allow", contract.OperatorRequest{Token: 1, Verb: contract.VerbUpdate, BaseRevision: 5, HasBaseRevision: true, Operation: "order", ReplyOnCommit: true,
			Body: []byte(`{"gateway":{"revision":6,"upsert":{"routes":{"q":{"host":"h","prefix":"/q/","timeoutMs":1,"service":"none"}}}}}`)}),
		Entry("an undrain of a zone that it does not know to be drained", contract.OperatorRequest{Token: 1, Verb: contract.VerbUndrain, Subject: "east-a", Operation: "order", ReplyOnCommit: true}),
		Entry("a question for an operation that it does not know", contract.OperatorRequest{Token: 1, Verb: contract.VerbOperation, Subject: "order"}),
	)

	It("refuses once a majority confirms its view", func() {
		owner := staleHead()
		commands := owner.Handle(2*time.Millisecond, order(contract.VerbReplace, 9, 12))
		var asked chain.ViewCheck
		for _, command := range commands {
			if send, fine := command.(contract.Send); fine && send.Kind == chain.MessageViewCheck {
				asked = send.Body.(chain.ViewCheck)
			}
		}
		asked.Current, asked.Responder = true, coreNodes()[1]
		body, _ := json.Marshal(asked)
		given := answers(owner, owner.Handle(3*time.Millisecond, contract.Message{Kind: chain.MessageViewCheckReply, From: asked.Responder.Name, Body: body}), time.Second)
		Expect(given).To(HaveLen(1))
		Expect(given[0].Status).To(Equal(409))
	})

	It("answers an order that it numbered within a round, since no majority of the core answers it: unknown, and when to come back", func() {
		owner := staleHead()
		given := answers(owner, owner.Handle(2*time.Millisecond, order(contract.VerbReplace, 5, 6)), owner.Bounds.Round())
		Expect(given).To(HaveLen(1))
		Expect(given[0].Status).To(Equal(504))
		Expect(given[0].Body.(contract.WriteResult).Outcome).To(Equal("unknown"))
		Expect(given[0].RetryAfter).To(BeNumerically(">", 0))
	})

	It("waits for the chain as long as a majority of the core answers it", func() {
		owner := staleHead()
		commands := owner.Handle(2*time.Millisecond, order(contract.VerbReplace, 5, 6))
		given := []contract.Response{}
		for now := 10 * time.Millisecond; now < owner.Bounds.CommitTimeout(); now += owner.Bounds.Tick() {
			commands = append(commands, owner.Handle(now, contract.Tick{})...)
			for len(commands) > 0 {
				command := commands[0]
				commands = commands[1:]
				if answer, fine := command.(contract.Response); fine {
					given = append(given, answer)
				}
				if send, fine := command.(contract.Send); fine && send.Kind == chain.MessageProbe {
					asked := send.Body.(chain.Probe)
					body, _ := json.Marshal(chain.ProbeReply{Nonce: asked.Nonce, StartID: asked.StartID, Responder: coreNodes()[1]})
					commands = append(commands, owner.Handle(now+time.Millisecond, contract.Message{Kind: chain.MessageProbeReply, Body: body})...)
				}
			}
		}
		Expect(given).To(BeEmpty())
	})
})
