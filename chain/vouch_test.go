package chain

import (
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/cedarreel/cedarreel/contract"
	"github.com/cedarreel/cedarreel/document"
	"github.com/cedarreel/cedarreel/env"
	. "github.com/onsi/gomega"
)

var _ = Describe("a chain that has shrunk to one member", func() {
	node := func(name string) contract.CoreNode {
		return contract.CoreNode{Name: name, ID: "boot", Address: name}
	}
	message := func(kind, from string, body any) contract.Message {
		content, err := json.Marshal(body)
		Expect(err).NotTo(HaveOccurred())
		return contract.Message{Kind: kind, From: from, Boot: "boot", Body: content}
	}
	nodes := []contract.CoreNode{node("head"), node("middle"), node("tail")}
	names := []string{nodes[0].Identity(), nodes[1].Identity(), nodes[2].Identity()}

	// member returns the middle of a chain, which has synced a version and does not know whether the tail has committed it.
	member := func() *Replica {
		replica := New(nodes[1], "start", 3, env.DefaultBounds(), Recovered{}, rand.New(rand.NewPCG(1, 1)))
		replica.Handle(0, message(MessageNewView, "head", contract.View{Number: 1, Core: nodes, Chain: names, Holders: names}))
		version := contract.NewVersion(contract.Position{View: 1, Revision: 1}, "first", document.Empty())
		replica.Handle(0, message(MessageReplicate, "head", Replicate{From: nodes[0], View: 1, Records: []contract.Record{version.FullRecord()}, LastSynced: 1}))
		for token := int64(1); token <= 4; token++ {
			replica.Handle(time.Millisecond, Persisted{Token: token})
		}
		Expect(replica.lastSynced).To(Equal(int64(1)))
		Expect(replica.Committed()).To(BeZero())
		return replica
	}

	It("given a version that the former tail may have acknowledged, when it is asked as the only member, then it does not answer with an older one", func() {
		replica := member()
		replica.Handle(2*time.Millisecond, message(MessageNewView, "tail", contract.View{Number: 2, Core: nodes, Chain: names[1:2], Holders: names}))
		Expect(replica.IsTail()).To(BeTrue())
		Expect(replica.ConfirmTail(3*time.Millisecond, 7)).To(ConsistOf(Confirmed{Token: 7}))
	})
})
