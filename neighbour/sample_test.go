package neighbour

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/cedarreel/cedarreel/contract"
	"github.com/cedarreel/cedarreel/env"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// fleet is an owner that has known so many data and control nodes for longer than their rows count as changed.
func fleet(data, controls int) (*Owner, time.Duration) {
	owner := New(contract.Member{Name: "self-data", Address: "self"}, nil, env.DefaultBounds(), rand.New(rand.NewPCG(1, 1)))
	add := func(kind string, count int) {
		for index := range count {
			name := fmt.Sprintf("node-%04d-%s", index, kind)
			owner.merge(0, contract.Member{Name: name, Address: name, Kind: kind, Incarnation: 1, Heartbeat: 1})
		}
	}
	add(contract.KindData, data)
	add(contract.KindControl, controls)
	now := owner.bounds.SuspicionTimeout()
	for _, known := range owner.table {
		known.advanced = now
	}
	return owner, now
}

// told gives the members of each kind that a shuffle tells of, and how many whole rows of others.
func told(shuffle Shuffle) (data, controls []string, whole int) {
	names := strings.Split(shuffle.Beats, ";")
	for _, member := range shuffle.Members[1:] {
		names, whole = append(names, member.Name), whole+1
	}
	for _, text := range names {
		if name, _, _ := strings.Cut(text, " "); strings.HasSuffix(name, contract.KindControl) {
			controls = append(controls, name)
		} else {
			data = append(data, name)
		}
	}
	return data, controls, whole
}

var _ = Describe("members that a shuffle tells of", func() {
	It("given more members than a shuffle holds, when it is drawn, then it tells of every control node, which owns lists", func() {
		owner, now := fleet(400, 4)
		for range 100 {
			data, controls, _ := told(owner.sample(now, false))
			Expect(controls).To(HaveLen(4))
			Expect(len(data) + len(controls)).To(Equal(shuffleSize))
		}
	})

	It("given more control nodes than half a shuffle holds, when it is drawn, then half of it is of them, and each comes in time", func() {
		owner, now := fleet(900, 50)
		often := map[string]int{}
		for range 100 {
			data, controls, _ := told(owner.sample(now, false))
			Expect(len(controls)).To(BeNumerically(">=", shuffleSize/2))
			Expect(len(data)).To(BeNumerically(">=", shuffleSize/2-wholeRows))
			for _, name := range controls {
				often[name]++
			}
		}
		Expect(often).To(HaveLen(50))
		Expect(often).To(HaveEach(BeNumerically(">", 20)))
	})

	It("given a large fleet, when many shuffles are drawn, then the whole rows are of any member, so that newcomers are heard of", func() {
		owner, now := fleet(400, 4)
		ofData := 0
		for range 400 {
			shuffle := owner.sample(now, false)
			_, _, whole := told(shuffle)
			Expect(whole).To(Equal(wholeRows))
			if shuffle.Members[1].Kind == contract.KindData {
				ofData++
			}
		}
		Expect(ofData).To(BeNumerically(">", 380))
	})

	It("given a fleet that a shuffle holds, when it is drawn, then everybody is in it, whatever their kind", func() {
		owner, now := fleet(24, 24)
		data, controls, _ := told(owner.sample(now, false))
		Expect([]int{len(data), len(controls)}).To(Equal([]int{24, 24}))
	})
})

var _ = Describe("the table of members", func() {
	It("given as many data nodes as it holds, when control nodes come, then there is room for them, up to an eighth more", func() {
		owner, _ := fleet(1400, 200)
		controls := 0
		for _, known := range owner.table {
			if known.member.Kind == contract.KindControl {
				controls++
			}
		}
		Expect(controls).To(Equal(tableSize / 8))
		Expect(owner.table).To(HaveLen(tableSize + tableSize/8))
	})
})
