package gateway

import (
	"fmt"
	"time"

	"github.com/cedarreel/cedarreel/contract"
	"github.com/cedarreel/cedarreel/engine"
	"github.com/cedarreel/cedarreel/index"
	"github.com/cedarreel/cedarreel/manifest"
	. "github.com/onsi/gomega"
)

func shortText(own string) engine.Prompt {
	return engine.Prompt{Model: "m", Input: 1900, Output: 100, Parts: []engine.Part{{ID: "terms", Tokens: anchorTokens - 1}, {ID: own, Tokens: 901}}}
}

func prompted(prompt engine.Prompt) func(*Arrive) {
	return func(arrive *Arrive) { arrive.Prompt = prompt }
}

// indexed is a bench whose node knows an owner of the index.
func indexed(change func(*manifest.Manifest)) *bench {
	bench := started(change, eastList("a", "b", "c", "d", "e", "f"))
	bench.Handle(bench.now, Indexed{Known: true})
	return bench
}

func askedFor(command contract.Command) Place {
	GinkgoHelper()
	Expect(command).To(BeAssignableToTypeOf(Place{}))
	return command.(Place)
}

func (bench *bench) long(own string) contract.Command {
	GinkgoHelper()
	return bench.asked("/stream/x", prompted(contractText(own)))
}

// answers gives a place to an ask and what the call does then.
func (bench *bench) answers(ask Place, server string) contract.Command {
	GinkgoHelper()
	return bench.one(Placed{Token: ask.Token, Place: index.Place{Key: ask.Ask.Key, Server: server}})
}

// learned has the contract's text placed on the server, by a call that is over.
func (bench *bench) learned(server string) index.Key {
	GinkgoHelper()
	ask := askedFor(bench.long("first"))
	sent := dispatched(bench.answers(ask, server))
	Expect(sent.Server.Name).To(Equal(server))
	bench.firstAfter(sent, 600*time.Millisecond)
	return ask.Ask.Key
}

// last is the candidate that the order shared by all nodes likes the least.
func last(ask Place) string { return ask.Ask.Candidates[len(ask.Ask.Candidates)-1] }

var _ = Describe("an ask for a prompt's place", func() {
	It("given a long shared prompt that is not known here, when a call comes, then it asks once with the candidates in the shared order", func() {
		left, right := indexed(engines), indexed(engines)
		ask := askedFor(left.long("one"))
		Expect(ask.Ask.Lost).To(BeEmpty())
		Expect(ask.Ask.Work).To(Equal(int64(14000 / tokensPerMs)))
		Expect(ask.Ask.Candidates).To(ConsistOf("a", "b", "c", "d", "e", "f"))
		Expect(ask.Patience).To(Equal(left.terms.Contact / 16))
		Expect(askedFor(right.long("two")).Ask).To(Equal(ask.Ask), "another node's call with the same shared prompt asks the same")
		reference := started(engines, eastList("a", "b", "c", "d", "e", "f"))
		Expect(reference.promptly("/stream/x", contractText("one")).Server.Name).To(Equal(ask.Ask.Candidates[0]))
	})

	DescribeTable("given a call that has no place in the index, when it comes, then it is sent at once", func(change func(*manifest.Manifest), prompt engine.Prompt, known bool, servers ...string) {
		bench := started(change, eastList(servers...))
		bench.Handle(bench.now, Indexed{Known: known})
		Expect(dispatched(bench.asked("/stream/x", prompted(prompt))).Server.Name).NotTo(BeEmpty())
	},
		Entry("short shared prompt", engines, shortText("one"), true, "a", "b"),
		Entry("no prompt", engines, engine.Prompt{}, true, "a", "b"),
		Entry("service without engines", nil, contractText("one"), true, "a", "b"),
		Entry("no owner known", engines, contractText("one"), false, "a", "b"),
		Entry("one server alone", engines, contractText("one"), true, "a"),
	)

	It("given an owner that is no longer known, when a call comes, then it does not ask", func() {
		bench := indexed(engines)
		bench.Handle(bench.now, Indexed{Known: false})
		dispatched(bench.long("one"))
	})

	It("given nobody who answers, when calls come, then they go by the shared order, and this node asks again only after a while", func() {
		bench := indexed(engines)
		ask := askedFor(bench.long("one"))
		bench.now += ask.Patience
		Expect(dispatched(bench.one(Placed{Token: ask.Token, Late: true})).Server.Name).To(Equal(ask.Ask.Candidates[0]))
		bench.now += bench.terms.Contact/4 - 1
		dispatched(bench.long("two"))
		bench.now++
		askedFor(bench.long("three"))
	})

	It("given an owner that refuses, when calls come, then each goes by the shared order after one question, and others ask at once", func() {
		bench := indexed(engines)
		for _, own := range []string{"one", "two"} {
			ask := askedFor(bench.long(own))
			Expect(dispatched(bench.one(Placed{Token: ask.Token})).Server.Name).To(Equal(ask.Ask.Candidates[0]))
		}
		ask := askedFor(bench.long("three"))
		Expect(dispatched(bench.answers(ask, last(ask))).Server.Name).To(Equal(last(ask)))
	})

	It("given an answer, when it comes, then this call and later ones go to the place, whatever the shared order likes, and nobody is asked", func() {
		bench := indexed(engines)
		ask := askedFor(bench.long("one"))
		place := last(ask)
		Expect(dispatched(bench.answers(ask, place)).Server.Name).To(Equal(place))
		Expect(dispatched(bench.long("two")).Server.Name).To(Equal(place))
	})

	It("given more prompts than are kept here, when more come, then the one unused for the longest is asked for again", func() {
		bench := indexed(engines)
		key := bench.learned("a")
		places := []index.Place{}
		for anchor := range uint64(mostPlaces) {
			places = append(places, index.Place{Key: index.Key{Scope: key.Scope, Anchor: anchor}, Server: "b"})
		}
		bench.Handle(bench.now, Relocated{Places: places})
		Expect(bench.places.known.Len()).To(Equal(mostPlaces))
		Expect(askedFor(bench.long("two")).Ask.Lost).To(BeEmpty())
	})
})

var _ = Describe("a place that no longer serves", func() {
	DescribeTable("given a known place, when it is gone for longer than a moment, then the next call asks with it as lost and goes where it moved",
		func(gone func(*bench, string)) {
			bench := indexed(engines)
			bench.learned("a")
			gone(bench, "a")
			ask := askedFor(bench.long("two"))
			Expect(ask.Ask.Lost).To(Equal("a"))
			Expect(ask.Ask.Candidates).NotTo(ContainElement("a"))
			moved := dispatched(bench.answers(ask, "b"))
			Expect(moved.Server.Name).To(Equal("b"))
			bench.firstAfter(moved, 600*time.Millisecond)
			Expect(dispatched(bench.long("three")).Server.Name).To(Equal("b"))
		},
		Entry("unlisted", func(bench *bench, _ string) { bench.Handle(bench.now, eastList("b", "c", "d", "e", "f")) }),
		Entry("unlisted, with a call on it", func(bench *bench, name string) {
			bench.servers[name].own++
			bench.Handle(bench.now, eastList("b", "c", "d", "e", "f"))
		}),
		Entry("its zone drained", func(bench *bench, name string) {
			listed := eastList("a", "b", "c", "d", "e", "f")
			listed.Servers[0].Zone = "east-b"
			bench.Handle(bench.now, listed)
			bench.Handle(bench.now, config(func(read *manifest.Manifest) {
				engines(read)
				read.Zones["east-b"] = manifest.Zone{Region: "east", Drained: true}
			}))
		}),
		Entry("moved", func(bench *bench, name string) {
			again := dispatched(bench.ends(dispatched(bench.long("moved")), Moved))
			Expect(again.Server.Name).NotTo(Equal(name))
			bench.ends(again, Whole)
			bench.servers[again.Server.Name].memory.Forget()
		}),
		Entry("failing", func(bench *bench, name string) {
			for range 4 {
				bench.fault(bench.now, bench.servers[name])
			}
		}),
	)

	It("given a place that failed once, when a call comes, then nobody is asked and the place stays", func() {
		bench := indexed(engines)
		bench.learned("a")
		bench.fault(bench.now, bench.servers["a"])
		Expect(dispatched(bench.long("two")).Server.Name).NotTo(Equal("a"), "it rests")
		bench.now += bench.terms.Contact
		Expect(dispatched(bench.long("three")).Server.Name).To(Equal("a"))
	})

	It("given an owner that answers with places that this node knows to be lost, when it is asked, then it is asked twice at most", func() {
		bench := indexed(engines)
		ask := askedFor(bench.long("one"))
		again := askedFor(bench.answers(ask, "gone-1"))
		Expect(again.Ask.Lost).To(Equal("gone-1"))
		Expect(dispatched(bench.answers(again, "gone-2")).Server.Name).To(Equal(ask.Ask.Candidates[0]))
	})
})

var _ = Describe("a caller that left while its node asked", func() {
	It("given an ask under way, when its caller leaves, then nothing of the call stays, and a late answer sends nothing", func() {
		bench := indexed(engines)
		ask := askedFor(bench.long("one"))
		Expect(bench.one(Ended{Token: ask.Token, Outcome: Left})).To(BeAssignableToTypeOf(Fail{}))
		Expect(bench.jobs).To(BeEmpty())
		Expect(bench.answers(ask, "b")).To(BeAssignableToTypeOf(Fail{}))
		Expect(bench.jobs).To(BeEmpty())
		Expect(bench.Calls("east")).To(BeEmpty())
		Expect(dispatched(bench.long("two")).Server.Name).To(Equal("b"), "but the place is learned")
	})
})

var _ = Describe("what a node tells the owner of the index", func() {
	It("given calls that went to a place, when it is told, then each is told once with its wait, and others are not", func() {
		bench := indexed(engines)
		Expect(bench.Uses()).To(BeEmpty())
		key := bench.learned("b")
		bench.firstAfter(bench.promptly("/stream/x", shortText("one")), 20*time.Millisecond)
		Expect(bench.Uses()).To(Equal([]index.Use{{Key: key, Server: "b", Took: 600, Verdict: index.Missed(600*time.Millisecond, 317*time.Millisecond), At: 1600 * time.Millisecond}}))
		Expect(bench.Uses()).To(BeEmpty())
	})

	It("given a call that went elsewhere than to its place, when it is told, then it is not a use", func() {
		bench := indexed(engines)
		bench.learned("b")
		bench.Uses()
		bench.fault(bench.now, bench.servers["b"])
		sent := dispatched(bench.long("two"))
		Expect(sent.Server.Name).NotTo(Equal("b"))
		bench.firstAfter(sent, 600*time.Millisecond)
		Expect(bench.Uses()).To(BeEmpty())
	})

	It("given more uses than may be told, when nobody asks for them, then the rest is left out", func() {
		bench := indexed(engines)
		bench.learned("b")
		for range index.MaxUses + 20 {
			bench.firstAfter(dispatched(bench.long("one")), time.Millisecond)
		}
		Expect(bench.Uses()).To(HaveLen(index.MaxUses))
	})

	It("given a correction, when it comes, then the next call goes there without an ask", func() {
		bench := indexed(engines)
		key := bench.learned("b")
		bench.Handle(bench.now, Relocated{Places: []index.Place{{Key: key, Server: "e"}}})
		Expect(dispatched(bench.long("two")).Server.Name).To(Equal("e"))
	})
})

var _ = Describe("prompts of one root", func() {
	It("given prompts with two shared parts, when they are asked for, then each has a place of its own, its root is told, and the first candidates are the same", func() {
		names := []string{}
		for place := range 3 * index.MaxCandidates {
			names = append(names, fmt.Sprintf("s%02d", place))
		}
		bench := started(engines, eastList(names...))
		bench.Handle(bench.now, Indexed{Known: true})
		ask := func(branch string) index.Ask {
			GinkgoHelper()
			return askedFor(bench.asked("/stream/x", prompted(engine.Prompt{Model: "m", Input: 7000, Output: 9, Parts: []engine.Part{
				{ID: "root", Tokens: 4000}, {ID: branch, Tokens: 2000}, {ID: "own", Tokens: 1000}}}))).Ask
		}
		first, second := ask("x"), ask("y")
		Expect(first.Anchor).NotTo(Equal(second.Anchor))
		Expect(first.Root).NotTo(BeZero())
		Expect(first.Root).To(Equal(second.Root))
		Expect(first.Work).To(Equal(bench.readTime("s", 7000).Milliseconds()))
		Expect(first.RootWork).To(Equal(bench.readTime("s", 4000).Milliseconds()))
		Expect(first.Candidates[:rootCandidates]).To(Equal(second.Candidates[:rootCandidates]))
		Expect(first.Candidates).NotTo(Equal(second.Candidates))
	})

	It("given a prompt with one shared part, when it is asked for, then no root is told", func() {
		bench := indexed(engines)
		Expect(askedFor(bench.long("one")).Ask.Root).To(BeZero())
	})
})

var _ = Describe("the scope of a place", func() {
	It("given a route that is bound to its home, when its calls share a prompt with others, then they have a place of their own", func() {
		bench := indexed(func(read *manifest.Manifest) {
			engines(read)
			changeRoute("resumed", func(route *manifest.GatewayRoute) { route.AllowedRegions = []string{"east"} })(read)
		})
		bench.Handle(bench.now, listOf("west", candidate("w1", "west-a"), candidate("w2", "west-a")))
		free := askedFor(bench.long("one"))
		Expect(free.Ask.Candidates).To(ContainElement("w1"))
		dispatched(bench.answers(free, "w1"))
		bound := askedFor(bench.asked("/resumed/x", prompted(contractText("two"))))
		Expect(bound.Ask.Anchor).To(Equal(free.Ask.Anchor))
		Expect(bound.Ask.Scope).NotTo(Equal(free.Ask.Scope))
		Expect(bound.Ask.Candidates).NotTo(ContainElements("w1"))
		Expect(dispatched(bench.answers(bound, "c")).Server.Name).To(Equal("c"))
	})
})

var _ = Describe("a node without an index", func() {
	It("given no owner and an owner that never answers, when the same calls come, then both go where the shared order says, like calls before there was an index", func() {
		alone, unanswered := started(engines, eastList("a", "b", "c", "d", "e", "f")), indexed(engines)
		for _, id := range []string{"p", "q", "r", "s", "t", "u", "v", "w"} {
			prompt := engine.Prompt{Model: "m", Input: 13100, Output: 9, Parts: []engine.Part{{ID: id, Tokens: 13000}, {ID: "own", Tokens: 100}}}
			want, best := "", uint64(0)
			for _, server := range alone.services["s"] {
				if weight := mix(server.hash ^ prompt.Anchor()); want == "" || weight > best {
					want, best = server.Name, weight
				}
			}
			Expect(alone.promptly("/stream/x", prompt).Server.Name).To(Equal(want))
			command := unanswered.asked("/stream/x", prompted(prompt))
			if ask, asks := command.(Place); asks {
				command = unanswered.one(Placed{Token: ask.Token, Late: true})
			}
			Expect(dispatched(command).Server.Name).To(Equal(want))
		}
	})
})
