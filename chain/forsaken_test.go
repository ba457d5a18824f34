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

var _ = Describe("a write that its head assigned a revision but did not send", func() {
	nodes := []contract.CoreNode{}
	names := []string{}
	for _, name := range []string{"head", "middle", "tail"} {
		nodes = append(nodes, contract.CoreNode{Name: name, ID: "boot", Address: name})
		names = append(names, nodes[len(nodes)-1].Identity())
	}
	view := func(viewNumber int64) contract.View {
		return contract.View{Number: viewNumber, Core: nodes, Chain: names, Holders: names}
	}
	message := func(kind string, body any) contract.Message {
		builder, err := json.Marshal(body)
		Expect(err).NotTo(HaveOccurred())
		return contract.Message{Kind: kind, From: "middle", Boot: "boot", Body: builder}
	}
	head := func() *Replica {
		replica := New(nodes[0], "start", 3, env.DefaultBounds(), Recovered{}, rand.New(rand.NewPCG(1, 1)))
		replica.Handle(0, message(MessageNewView, view(1)))
		replica.Handle(time.Millisecond, Persisted{Token: replica.token})
		return replica
	}
	next := func(replica *Replica, former contract.Version) {
		replica.Handle(5*time.Millisecond, message(MessageNewView, view(2)))
		for range 2 {
			replica.Handle(6*time.Millisecond, Persisted{Token: replica.token})
		}
		Expect(replica.IsHead()).To(BeTrue())
		Expect(replica.Versions()).NotTo(ContainElement(former), "else a client would wait for it under its key")
		again, _ := replica.Submit(7*time.Millisecond, "lost", former.Change)
		Expect(again.Position).To(Equal(contract.Position{View: 2, Revision: former.Position.Revision}))
	}

	It("given that the next view is installed before it is synced, then it is removed and accepted again when it is retried", func() {
		replica := head()
		version, _ := replica.Submit(2*time.Millisecond, "lost", document.Change{})
		next(replica, version)
	})

	It("given that its head is sealed when it is synced, then it is removed and accepted again when it is retried", func() {
		replica := head()
		version, _ := replica.Submit(2*time.Millisecond, "lost", document.Change{})
		replica.Handle(3*time.Millisecond, message(MessagePrepare, Prepare{Ballot: Ballot{Number: 2, Round: 1}, Node: nodes[1], Base: view(1)}))
		replica.Handle(4*time.Millisecond, Persisted{Token: replica.token})
		next(replica, version)
	})

	It("given that it was synced and sent, when the view changes, then it is kept in the next one", func() {
		replica := head()
		version, _ := replica.Submit(2*time.Millisecond, "kept", document.Change{})
		replica.Handle(3*time.Millisecond, Persisted{Token: replica.token})
		replica.Handle(5*time.Millisecond, message(MessageNewView, view(2)))
		Expect(replica.Versions()).To(ContainElement(version))
		later, _ := replica.Submit(7*time.Millisecond, "later", document.Change{})
		Expect(later.Position.Revision).To(Equal(version.Position.Revision + 1))
	})
})
