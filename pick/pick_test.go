package pick

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/cedarreel/cedarreel/contract"
	"github.com/cedarreel/cedarreel/manifest"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestPick(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "pick")
}

func candidates(count int, change func(int, *contract.Candidate)) []contract.Candidate {
	made := []contract.Candidate{}
	for index := range count {
		candidate := contract.Candidate{Name: fmt.Sprint("s", index), Zone: []string{"a", "b"}[index%2], Pool: "p", Slots: 4, Share: -1}
		if change != nil {
			change(index, &candidate)
		}
		made = append(made, candidate)
	}
	return made
}

func chosen(want Want, from []contract.Candidate, usages map[string]Usage, sessions map[string]string, seed uint64) string {
	want.Pool = "p"
	candidate, _, _ := Choose(want, from, usages, sessions, rand.New(rand.NewPCG(seed, 1)))
	return candidate.Name
}

var _ = Describe("a pick", func() {
	It("gives a session's turns to one server wherever they arrive, and to another when that one is full or withdrawn", func() {
		want := Want{Class: manifest.ClassShort, Session: "desk\x1ftraveller"}
		all := candidates(8, nil)
		home := chosen(want, all, nil, nil, 1)
		for seed := range uint64(20) {
			want.Zone = []string{"a", "b"}[seed%2]
			Expect(chosen(want, all, nil, nil, seed)).To(Equal(home))
		}
		full := candidates(8, func(_ int, candidate *contract.Candidate) {
			if candidate.Name == home {
				candidate.Running = 4
			}
		})
		next := chosen(want, full, nil, nil, 1)
		Expect(next).NotTo(Equal(home))
		Expect(chosen(want, full, nil, nil, 9)).To(Equal(next))
		Expect(chosen(want, all, nil, map[string]string{want.Session: "s3"}, 1)).To(Equal("s3"))
	})

	It("prefers who holds the prefix, unless it is full", func() {
		want := Want{Class: manifest.ClassLong, Prefix: "contract", Zone: "a"}
		holding := candidates(6, func(index int, candidate *contract.Candidate) {
			if index == 5 {
				candidate.Prefixes = []string{"contract"}
			}
		})
		Expect(chosen(want, holding, nil, nil, 1)).To(Equal("s5"))
		Expect(chosen(want, holding, map[string]Usage{"s5": {Own: 3}}, nil, 1)).NotTo(Equal("s5"))
	})

	It("stays in the own zone and spills only when that is nearly full", func() {
		want := Want{Class: manifest.ClassShort, Zone: "a"}
		for seed := range uint64(30) {
			Expect(chosen(want, candidates(6, nil), nil, nil, seed)).To(BeElementOf("s0", "s2", "s4"))
			busy := candidates(6, func(index int, candidate *contract.Candidate) { candidate.Running = int64(3 * (1 - index%2)) })
			Expect(chosen(want, busy, nil, nil, seed)).NotTo(BeEmpty())
		}
	})

	It("passes over who is full, ramping, resting, tried or of another pool, and says why", func() {
		mixed := candidates(5, func(index int, candidate *contract.Candidate) {
			switch index {
			case 0:
				candidate.Running = 4
			case 1:
				candidate.Share = 0
			case 4:
				candidate.Pool = "q"
			}
		})
		want := Want{Pool: "p", Class: manifest.ClassShort, Avoid: map[string]bool{"s2": true}, Resting: map[string]bool{"s3": true}}
		_, verdicts, fine := Choose(want, mixed, nil, nil, rand.New(rand.NewPCG(1, 1)))
		Expect(fine).To(BeFalse())
		why := map[string]string{}
		for _, verdict := range verdicts {
			why[verdict.Server] = verdict.Why
		}
		Expect(why).To(Equal(map[string]string{"s0": "no room", "s1": "ramping, this node's share is used", "s2": "tried before", "s3": "turned a call away a moment ago"}))
	})

	It("keeps a quarter of the slots from long prompts", func() {
		nearly := candidates(1, func(_ int, candidate *contract.Candidate) { candidate.Running = 3 })
		Expect(chosen(Want{Class: manifest.ClassLong}, nearly, nil, nil, 1)).To(BeEmpty())
		Expect(chosen(Want{Class: manifest.ClassShort}, nearly, nil, nil, 1)).To(Equal("s0"))
	})
})
