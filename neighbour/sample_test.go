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

// newFleet returns a membership that has known data and control nodes for longer than their rows count as changed.
func newFleet(data, controls int) (*Membership, time.Duration) {
	membership := New(contract.Member{Name: "self-data", Address: "self"}, nil, env.DefaultBounds(), rand.New(rand.NewPCG(1, 1)))
	add := func(kind string, count int) {
		for index := range count {
			name := fmt.Sprintf("node-%04d-%s", index, kind)
			membership.mergeMember(0, contract.Member{Name: name, Address: name, Kind: kind, Incarnation: 1, Heartbeat: 1})
		}
	}
	add(contract.KindData, data)
	add(contract.KindControl, controls)
	now := membership.bounds.SuspicionTimeout()
	for _, record := range membership.table {
		record.heartbeatAt = now
	}
	return membership, now
}

// contents returns the members of each kind in a shuffle, and how many of them are sent as full rows.
func contents(shuffle Shuffle) (data, controls []string, whole int) {
	names := strings.Split(shuffle.Heartbeats, ";")
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

var _ = Describe("members in a shuffle", func() {
	It("given more members than a shuffle holds, when it is sampled, then it has every control node, since these own shards", func() {
		membership, now := newFleet(400, 4)
		for range 100 {
			data, controls, _ := contents(membership.sampleTable(now, false))
			Expect(controls).To(HaveLen(4))
			Expect(len(data) + len(controls)).To(Equal(shuffleSize))
		}
	})

	It("given more control nodes than half a shuffle holds, when it is sampled, then they are half of it, and each occurs in time", func() {
		membership, now := newFleet(900, 50)
		timesSeen := map[string]int{}
		for range 100 {
			data, controls, _ := contents(membership.sampleTable(now, false))
			Expect(len(controls)).To(BeNumerically(">=", shuffleSize/2))
			Expect(len(data)).To(BeNumerically(">=", shuffleSize/2-fullRows))
			for _, name := range controls {
				timesSeen[name]++
			}
		}
		Expect(timesSeen).To(HaveLen(50))
		Expect(timesSeen).To(HaveEach(BeNumerically(">", 20)))
	})

	It("given a large fleet, when many shuffles are sampled, then the full rows are of any member, so that newcomers become known", func() {
		membership, now := newFleet(400, 4)
		ofData := 0
		for range 400 {
			shuffle := membership.sampleTable(now, false)
			_, _, whole := contents(shuffle)
			Expect(whole).To(Equal(fullRows))
			if shuffle.Members[1].Kind == contract.KindData {
				ofData++
			}
		}
		Expect(ofData).To(BeNumerically(">", 380))
	})

	It("given a fleet that a shuffle holds, when it is sampled, then every member is in it, whatever its kind", func() {
		membership, now := newFleet(24, 24)
		data, controls, _ := contents(membership.sampleTable(now, false))
		Expect([]int{len(data), len(controls)}).To(Equal([]int{24, 24}))
	})
})

var _ = Describe("the table of members", func() {
	It("given as many data nodes as it holds, when control nodes are added, then it has room for an eighth more of them", func() {
		membership, _ := newFleet(1400, 200)
		controls := 0
		for _, record := range membership.table {
			if record.member.Kind == contract.KindControl {
				controls++
			}
		}
		Expect(controls).To(Equal(tableSize / 8))
		Expect(membership.table).To(HaveLen(tableSize + tableSize/8))
	})
})
