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

var _ = Describe("a write that its head numbered and passed on to nobody", func() {
	nodes := []contract.CoreNode{}
	names := []string{}
	for _, name := range []string{"head", "middle", "tail"} {
		nodes = append(nodes, contract.CoreNode{Name: name, ID: "boot", Address: name})
		names = append(names, nodes[len(nodes)-1].Identity())
	}
	view := func(number int64) contract.View {
		return contract.View{Number: number, Core: nodes, Chain: names, Holders: names}
	}
	message := func(kind string, body any) contract.Message {
		text, failure := json.Marshal(body)
		Expect(failure).NotTo(HaveOccurred())
		return contract.Message{Kind: kind, From: "middle", Boot: "boot", Body: text}
	}
	head := func() *Replica {
		owner := New(nodes[0], "start", 3, env.DefaultBounds(), Recovered{}, rand.New(rand.NewPCG(1, 1)))
		owner.Handle(0, message(MessageNewView, view(1)))
		owner.Handle(time.Millisecond, Persisted{Token: owner.token})
		return owner
	}
	next := func(owner *Replica, former contract.Version) {
		owner.Handle(5*time.Millisecond, message(MessageNewView, view(2)))
		for range 2 {
			owner.Handle(6*time.Millisecond, Persisted{Token: owner.token})
		}
		Expect(owner.IsHead()).To(BeTrue())
		Expect(owner.Versions()).NotTo(ContainElement(former), "nobody waits for it under its key")
		again, _ := owner.Submit(7*time.Millisecond, "lost", former.Change)
		Expect(again.Position).To(Equal(contract.Position{View: 2, Revision: former.Position.Revision}))
	}

	It("given that the next view comes before it is synced, then it is forgotten, and taken when it is asked for again", func() {
		owner := head()
		version, _ := owner.Submit(2*time.Millisecond, "lost", document.Change{})
		next(owner, version)
	})

	It("given that its head is sealed when it is synced, then it is forgotten, and taken when it is asked for again", func() {
		owner := head()
		version, _ := owner.Submit(2*time.Millisecond, "lost", document.Change{})
		owner.Handle(3*time.Millisecond, message(MessagePrepare, Prepare{Ballot: Ballot{Number: 2, Round: 1}, Node: nodes[1], Base: view(1)}))
		owner.Handle(4*time.Millisecond, Persisted{Token: owner.token})
		next(owner, version)
	})

	It("given that it was synced and passed on, when the view changes, then it is kept and passed on in the next one", func() {
		owner := head()
		version, _ := owner.Submit(2*time.Millisecond, "kept", document.Change{})
		owner.Handle(3*time.Millisecond, Persisted{Token: owner.token})
		owner.Handle(5*time.Millisecond, message(MessageNewView, view(2)))
		Expect(owner.Versions()).To(ContainElement(version))
		later, _ := owner.Submit(7*time.Millisecond, "later", document.Change{})
		Expect(later.Position.Revision).To(Equal(version.Position.Revision + 1))
	})
})
