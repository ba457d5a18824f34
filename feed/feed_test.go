package feed

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/cedarreel/cedarreel/contract"
	"github.com/cedarreel/cedarreel/document"
	"github.com/cedarreel/cedarreel/env"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestFeed(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "feed")
}

func version(revision int64) contract.Version {
	content := fmt.Appendf(nil, `{"regions":{"r":{"shards":%d,"machines":["m"]}},"zones":{}}`, 1+revision%8)
	return versionOf(revision, content)
}

func versionOf(revision int64, content []byte) contract.Version {
	parsed, err := document.Parse(content)
	if err != nil {
		panic(err)
	}
	return contract.NewVersion(contract.Position{View: 1, Revision: revision}, "", parsed)
}

// encoded returns a version as JSON: equal contents need not share their parts in memory.
func encoded(version contract.Version) string {
	text, err := json.Marshal(version)
	if err != nil {
		panic(err)
	}
	return string(text)
}

func message(kind string, body any) contract.Message {
	content, _ := json.Marshal(body)
	return contract.Message{Kind: kind, Body: content}
}

var _ = It("a restarted node regains the versions after a gap that no node can fill", func() {
	bounds, random := env.DefaultBounds(), rand.New(rand.NewPCG(1, 2))
	keeper, restarted := New("keeper", bounds), New("restarted", bounds)
	for revision := int64(41); revision <= 140; revision++ {
		keeper.Apply(Update{Versions: []contract.Version{version(revision)}}, nil)
	}
	restarted.Apply(Update{Versions: []contract.Version{version(140)}}, nil)
	near := []contract.Member{{Name: "keeper", Address: "keeper", Position: contract.Position{View: 1, Revision: 140}}}
	for now := time.Second; now < 10*time.Minute; now += bounds.GossipInterval() {
		for _, command := range restarted.CatchUp(now, near, near, random) {
			asked := command.(contract.Send)
			for _, delivery := range keeper.Handle(now, message(asked.Kind, asked.Body), nil) {
				restarted.Handle(now, message(delivery.(contract.Send).Kind, delivery.(contract.Send).Body), nil)
			}
		}
	}
	Expect(restarted.history).To(HaveLen(100), "41 to 140; no node has the first forty")
})

var _ = Describe("a node that starts", func() {
	changed := func(commands []contract.Command) Delivery {
		GinkgoHelper()
		Expect(commands).To(HaveLen(1))
		return commands[0].(contract.Send).Body.(Delivery)
	}
	keeper := func() *Replicator {
		source := New("keeper", env.DefaultBounds())
		for revision := int64(1); revision <= 40; revision++ {
			source.Apply(Update{Versions: []contract.Version{version(revision)}}, nil)
		}
		return source
	}

	It("given a node with forty versions, when a node without any asks, then it gets only the newest", func() {
		delivery := changed(keeper().Handle(time.Second, message(MessageRequest, VersionNotice{From: "new"}), nil))
		Expect(delivery.Records).To(HaveLen(1))
		Expect(delivery.Records[0].Position.Revision).To(Equal(int64(40)))
	})

	It("given a node that lacks three versions, when it asks, then it gets just these", func() {
		delivery := changed(keeper().Handle(time.Second, message(MessageRequest, VersionNotice{Position: contract.Position{View: 1, Revision: 37}, From: "late"}), nil))
		Expect(delivery.Records).To(HaveLen(3))
	})

	It("given several versions at once, when they are taken, then the newest valid one is adopted and all are kept", func() {
		broken := versionOf(4, []byte(`{}`))
		node := New("node", env.DefaultBounds())
		commands := node.Apply(Update{Versions: []contract.Version{version(1), version(2), version(3), broken}}, nil)
		adopted := ""
		for _, command := range commands {
			if taken, ok := command.(contract.VersionAdopted); ok {
				adopted += encoded(taken.Version)
			}
		}
		Expect(adopted).To(Equal(encoded(version(3))))
		Expect(commands).To(ContainElement(contract.AddCounter{Name: "feed_refused", Delta: 1}))
		Expect(node.Version().Position.Revision).To(Equal(int64(3)))
		Expect(node.Manifest().Regions["r"].Shards).To(Equal(1 + 3%8))
		Expect(node.history).To(HaveLen(4))
	})

	It("given a large version, when others ask for it, then it is compressed once and expands to the same; a delivery that does not expand changes nothing", func() {
		content := fmt.Appendf(nil, `{"regions":{"r":{"shards":1,"machines":["m"%s]}},"zones":{}}`, strings.Repeat(`,"another machine"`, 2000))
		large := versionOf(41, content)
		source := keeper()
		source.Apply(Update{Versions: []contract.Version{large}}, nil)
		first := changed(source.Handle(time.Second, message(MessageRequest, VersionNotice{From: "new"}), nil))
		second := changed(source.Handle(time.Second, message(MessageRequest, VersionNotice{Position: contract.Position{View: 9, Revision: 40}, From: "other"}), nil))
		Expect(first.Records).To(BeEmpty())
		Expect(len(first.Packed)).To(And(BeNumerically(">", 0), BeNumerically("<", len(content)/8)))
		Expect(&first.Packed[0]).To(BeIdenticalTo(&second.Packed[0]))
		node := New("node", env.DefaultBounds())
		node.Handle(time.Second, message(MessageDelivery, Delivery{Packed: first.Packed[:len(first.Packed)/2], PackedOf: large.Position}), nil)
		node.Handle(time.Second, message(MessageDelivery, Delivery{Packed: []byte("no gzip"), PackedOf: large.Position}), nil)
		Expect(node.HasVersion()).To(BeFalse())
		node.Handle(time.Second, message(MessageDelivery, first), nil)
		Expect(encoded(node.Version())).To(Equal(encoded(large)))
	})

	It("given a change that does not fit what the node holds, when it comes, then none of it takes effect and the newest version is requested whole", func() {
		bounds, random := env.DefaultBounds(), rand.New(rand.NewPCG(1, 2))
		source, node := keeper(), New("node", bounds)
		node.Apply(Update{Versions: []contract.Version{version(37)}}, nil)
		delivery := changed(source.Handle(time.Second, message(MessageRequest, VersionNotice{Position: contract.Position{View: 1, Revision: 37}, From: "node"}), nil))
		delivery.Records[0].Change.Set["/regions/r/shards"] = document.Value("5")
		commands := node.Handle(2*time.Second, message(MessageDelivery, delivery), nil)
		Expect(commands).To(ContainElement(contract.AddCounter{Name: "feed_refused", Delta: 1}))
		Expect(node.Version().Position.Revision).To(Equal(int64(37)))
		near := []contract.Member{{Name: "keeper", Address: "keeper", Position: contract.Position{View: 1, Revision: 40}}}
		asked := node.CatchUp(3*time.Second, near, near, random)[0].(contract.Send)
		answer := changed(source.Handle(3*time.Second, message(asked.Kind, asked.Body), nil))
		Expect(answer.Records).To(HaveLen(1))
		Expect(answer.Records[0].IsFull()).To(BeTrue())
		node.Handle(4*time.Second, message(MessageDelivery, answer), nil)
		Expect(encoded(node.Version())).To(Equal(encoded(source.Version())))
	})

	It("given seeds that hold a large version, when a node asks all of them at once, then it has the version from one of them", func() {
		content := fmt.Appendf(nil, `{"regions":{"r":{"shards":1,"machines":["m"%s]}},"zones":{}}`, strings.Repeat(`,"another machine"`, 2000))
		large := versionOf(41, content)
		node, seeds, sent := New("node", env.DefaultBounds()), map[string]*Replicator{}, 0
		for _, name := range []string{"one", "two", "three"} {
			seeds[name] = New(name, env.DefaultBounds())
			seeds[name].Apply(Update{Versions: []contract.Version{large}}, nil)
		}
		commands := node.Bootstrap(time.Second, []string{"one", "two", "three"})
		Expect(commands).To(HaveLen(3))
		for len(commands) > 0 {
			asked := commands[0].(contract.Send)
			commands = commands[1:]
			for _, delivery := range seeds[asked.To].Handle(time.Second, message(asked.Kind, asked.Body), nil) {
				answer := delivery.(contract.Send)
				if answer.Kind == MessageDelivery {
					sent++
				}
				for _, command := range node.Handle(time.Second, message(answer.Kind, answer.Body), nil) {
					if send, ok := command.(contract.Send); ok {
						commands = append(commands, send)
					}
				}
			}
		}
		Expect(sent).To(Equal(1))
		Expect(encoded(node.Version())).To(Equal(encoded(large)))
	})

	It("given an applied snapshot, when neighbours have older versions, then they are requested only after the allowed return time", func() {
		bounds, random := env.DefaultBounds(), rand.New(rand.NewPCG(1, 2))
		node := New("node", bounds)
		node.Apply(Update{Versions: []contract.Version{version(40)}}, nil)
		near := []contract.Member{{Name: "keeper", Address: "keeper", Position: contract.Position{View: 1, Revision: 40}}}
		first := time.Duration(0)
		for now := time.Second; first == 0 && now < time.Minute; now += bounds.GossipInterval() {
			if len(node.CatchUp(now, near, near, random)) > 0 {
				first = now
			}
		}
		Expect(first).To(And(BeNumerically(">=", bounds.Return()), BeNumerically("<", 2*bounds.Return())))
	})
})
