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

func makeCandidates(count int, change func(int, *contract.Candidate)) []contract.Candidate {
	result := []contract.Candidate{}
	for index := range count {
		candidate := contract.Candidate{Name: fmt.Sprint("s", index), Zone: []string{"a", "b"}[index%2], Pool: "p", Slots: 4, Share: -1}
		if change != nil {
			change(index, &candidate)
		}
		result = append(result, candidate)
	}
	return result
}

func choose(request Request, from []contract.Candidate, usages map[string]Usage, sessions map[string]string, seed uint64) string {
	request.Pool = "p"
	candidate, _, _ := Choose(request, from, usages, sessions, rand.New(rand.NewPCG(seed, 1)))
	return candidate.Name
}

var _ = Describe("the choice of a server", func() {
	It("gives a session's calls to one server wherever they arrive, and to another when that one is full or withdrawn", func() {
		request := Request{Class: manifest.ClassShort, Session: "desk\x1ftraveller"}
		all := makeCandidates(8, nil)
		first := choose(request, all, nil, nil, 1)
		for seed := range uint64(20) {
			request.Zone = []string{"a", "b"}[seed%2]
			Expect(choose(request, all, nil, nil, seed)).To(Equal(first))
		}
		full := makeCandidates(8, func(_ int, candidate *contract.Candidate) {
			if candidate.Name == first {
				candidate.Running = 4
			}
		})
		next := choose(request, full, nil, nil, 1)
		Expect(next).NotTo(Equal(first))
		Expect(choose(request, full, nil, nil, 9)).To(Equal(next))
		Expect(choose(request, all, nil, map[string]string{request.Session: "s3"}, 1)).To(Equal("s3"))
	})

	It("prefers who holds the prefix, unless it is full", func() {
		request := Request{Class: manifest.ClassLong, Prefix: "contract", Zone: "a"}
		holding := makeCandidates(6, func(index int, candidate *contract.Candidate) {
			if index == 5 {
				candidate.Prefixes = []string{"contract"}
			}
		})
		Expect(choose(request, holding, nil, nil, 1)).To(Equal("s5"))
		Expect(choose(request, holding, map[string]Usage{"s5": {InFlight: 3}}, nil, 1)).NotTo(Equal("s5"))
	})

	It("stays in the own zone and uses others only when that is nearly full", func() {
		request := Request{Class: manifest.ClassShort, Zone: "a"}
		for seed := range uint64(30) {
			Expect(choose(request, makeCandidates(6, nil), nil, nil, seed)).To(BeElementOf("s0", "s2", "s4"))
			busy := makeCandidates(6, func(index int, candidate *contract.Candidate) { candidate.Running = int64(3 * (1 - index%2)) })
			Expect(choose(request, busy, nil, nil, seed)).NotTo(BeEmpty())
		}
	})

	It("passes over servers that are full, ramping, resting, tried or of another pool, and gives the reason", func() {
		mixed := makeCandidates(5, func(index int, candidate *contract.Candidate) {
			switch index {
			case 0:
				candidate.Running = 4
			case 1:
				candidate.Share = 0
			case 4:
				candidate.Pool = "q"
			}
		})
		request := Request{Pool: "p", Class: manifest.ClassShort, Tried: map[string]bool{"s2": true}, Resting: map[string]bool{"s3": true}}
		_, verdicts, ok := Choose(request, mixed, nil, nil, rand.New(rand.NewPCG(1, 1)))
		Expect(ok).To(BeFalse())
		reason := map[string]string{}
		for _, verdict := range verdicts {
			reason[verdict.Server] = verdict.Reason
		}
		Expect(reason).To(Equal(map[string]string{"s0": "no room", "s1": "ramping, this node's share is used", "s2": "tried before", "s3": "turned a call away a moment ago"}))
	})

	It("keeps a quarter of the slots from long prompts", func() {
		nearlyFull := makeCandidates(1, func(_ int, candidate *contract.Candidate) { candidate.Running = 3 })
		Expect(choose(Request{Class: manifest.ClassLong}, nearlyFull, nil, nil, 1)).To(BeEmpty())
		Expect(choose(Request{Class: manifest.ClassShort}, nearlyFull, nil, nil, 1)).To(Equal("s0"))
	})
})
