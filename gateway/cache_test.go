package gateway

import (
	"time"

	"github.com/cedarreel/cedarreel/engine"
	"github.com/cedarreel/cedarreel/manifest"
	. "github.com/onsi/gomega"
)

// engines makes every server of the service a model server that keeps prompts.
func engines(read *manifest.Manifest) {
	read.Gateway.Services["s"] = manifest.Service{Engine: &manifest.Engine{Slots: 48, Tokens: 300000, TokensPerStep: 5}}
}

func contractText(own string) engine.Prompt {
	return engine.Prompt{Model: "m", Input: 14000, Output: 100, Parts: []engine.Part{{ID: "contract", Tokens: 13000}, {ID: own, Tokens: 1000}}}
}

// firstAfter has the first piece of a dispatch come after a time, and the call end whole.
func (bench *bench) firstAfter(dispatch Dispatch, span time.Duration) {
	GinkgoHelper()
	bench.now += span
	bench.Handle(bench.now, Head{Token: dispatch.Token, Attempt: dispatch.Attempt, Load: &Load{Running: 1, Slots: 48}})
	bench.Handle(bench.now, First{Token: dispatch.Token, Attempt: dispatch.Attempt})
	Expect(bench.ends(dispatch, Whole)).To(BeAssignableToTypeOf(Pass{}))
}

var _ = Describe("the index of kept prompts", func() {
	const quick, slow = 60 * time.Millisecond, 600 * time.Millisecond

	warmed := func() (*bench, string) {
		bench := started(engines, eastList("a", "b", "c", "d", "e", "f"))
		first := bench.promptly("/stream/x", contractText("one"))
		bench.firstAfter(first, slow)
		return bench, first.Server.Name
	}

	It("given a server that keeps what it read, when more calls share it, then they go there and nothing is doubted", func() {
		bench, holder := warmed()
		for _, own := range []string{"two", "three", "four"} {
			dispatch := bench.promptly("/stream/x", contractText(own))
			Expect(dispatch.Server.Name).To(Equal(holder))
			bench.firstAfter(dispatch, quick)
		}
		Expect(bench.Stale("east")).To(BeEmpty())
	})

	It("given a server that has lost what it read, when two calls in a row are read anew, then its index is thrown away and told", func() {
		bench, holder := warmed()
		bench.firstAfter(bench.promptly("/stream/x", contractText("two")), slow)
		Expect(bench.Stale("east")).To(BeEmpty(), "one slow call is no proof")
		bench.firstAfter(bench.promptly("/stream/x", contractText("three")), slow)
		Expect(bench.Stale("east")).To(Equal(map[string]int64{holder: 0}))
		Expect(bench.servers[holder].cache.doubted(bench.now)).To(BeTrue())
		Expect(bench.servers[holder].memory.Held(contractText("four"))).To(Equal(int64(13000)), "the last call was read there")
	})

	It("given slow first pieces at a server that others keep busy, when calls are late, then the index is not blamed", func() {
		bench, _ := warmed()
		for _, own := range []string{"two", "three", "four"} {
			dispatch := bench.promptly("/stream/x", contractText(own))
			bench.now += slow
			bench.Handle(bench.now, Head{Token: dispatch.Token, Attempt: dispatch.Attempt, Load: &Load{Running: 40, Waiting: 6, Slots: 48}})
			bench.Handle(bench.now, First{Token: dispatch.Token, Attempt: dispatch.Attempt})
			bench.ends(dispatch, Whole)
		}
		Expect(bench.Stale("east")).To(BeEmpty())
	})

	It("given another server that surely keeps the prompt, when the holder's index is thrown away, then calls go where the cache matches", func() {
		bench, holder := warmed()
		other := bench.elsewhereThan(holder)
		other.memory = engine.NewMemory(300000)
		other.memory.Take(contractText("kept"))
		bench.Handle(bench.now, listedWithCache(holder, 1))
		Expect(bench.promptly("/stream/x", contractText("two")).Server.Name).To(Equal(other.Name))
	})

	It("given an index that was thrown away, when nobody surely keeps the prompt, then it is read again at its holder alone", func() {
		bench, holder := warmed()
		bench.Handle(bench.now, listedWithCache(holder, 1))
		for _, own := range []string{"two", "three", "four"} {
			Expect(bench.promptly("/stream/x", contractText(own)).Server.Name).To(Equal(holder))
		}
	})

	It("given a thrown index, when its time is over, then the holder is believed again", func() {
		bench, holder := warmed()
		bench.Handle(bench.now, listedWithCache(holder, 1))
		Expect(bench.presumed(bench.now, bench.servers[holder], contractText("two"), holder)).To(BeZero())
		bench.now += bench.terms.RepeatWindow + time.Second
		Expect(bench.presumed(bench.now, bench.servers[holder], contractText("two"), holder)).To(Equal(int64(13000)))
	})

	It("given this node's own word of a wrong index, when the owner hands out the new count, then it stops telling and keeps what it saw since", func() {
		bench, holder := warmed()
		for _, own := range []string{"two", "three"} {
			bench.firstAfter(bench.promptly("/stream/x", contractText(own)), slow)
		}
		bench.Handle(bench.now, listedWithCache(holder, 1))
		Expect(bench.Stale("east")).To(BeEmpty())
		Expect(bench.servers[holder].memory.Held(contractText("four"))).To(Equal(int64(13000)))
	})

	It("given a call that may run once, when its server's cache was wrong, then it is never sent a second time for it", func() {
		bench, _ := warmed()
		for _, own := range []string{"two", "three", "four"} {
			dispatch := bench.promptly("/stream/x", contractText(own))
			Expect(bench.one(Silent{Token: dispatch.Token, Attempt: dispatch.Attempt})).To(BeAssignableToTypeOf(Wait{}))
			Expect(dispatch.Attempt).To(Equal(1))
			bench.firstAfter(dispatch, slow)
		}
	})
})

func (bench *bench) elsewhereThan(name string) *server {
	for _, server := range bench.services["s"] {
		if server.Name != name {
			return server
		}
	}
	return nil
}

func listedWithCache(name string, count int64) Listed {
	listed := eastList("a", "b", "c", "d", "e", "f")
	for place := range listed.Servers {
		if listed.Servers[place].Name == name {
			listed.Servers[place].CacheResets = count
		}
	}
	return listed
}
