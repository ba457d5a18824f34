package emulator

import (
	"time"

	"github.com/cedarreel/cedarreel/gateway"
	"github.com/cedarreel/cedarreel/image"
	"github.com/cedarreel/cedarreel/index"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// saved gives the places that the core's disks have, by disk.
func (day *Day) saved() map[string]map[index.Key]string {
	GinkgoHelper()
	disks := map[string]map[index.Key]string{}
	for _, machine := range day.machines {
		if machine.disk == nil {
			continue
		}
		snapshot, damaged := image.LoadIndex(machine.disk)
		Expect(damaged).To(BeZero())
		disks[machine.name] = map[index.Key]string{}
		for _, place := range snapshot.Places {
			disks[machine.name][place.Key] = place.Server
		}
	}
	return disks
}

var _ = Describe("the index of prompts in a fleet", func() {
	// dayOf has calls until the end of its run.
	dayOf := func(name string, lasts time.Duration) *Day {
		site := given(name, 0.6, lasts)
		day := New(site, 4)
		for _, machine := range day.machines {
			machine.start()
		}
		day.operator.begin()
		day.startTraffic(8*time.Second, 8*time.Second+lasts)
		return day
	}
	dayWith := func(lasts time.Duration) *Day { return dayOf("brazos", lasts) }
	count := func(disks map[string]map[index.Key]string) int {
		most := 0
		for _, places := range disks {
			most = max(most, len(places))
		}
		return most
	}

	It("given an owner in one region, when nodes of others meet a prompt that one of them has had, then a replica in their region gives its place", func() {
		asked, answered := int64(0), int64(0)
		for _, name := range []string{"brazos", "seri"} {
			day := dayOf(name, 14*time.Second)
			day.world.RunUntil(22 * time.Second)
			asked += day.counts["data places_asked_near"]
			answered += day.counts["control index_known_given"]
			GinkgoWriter.Println(name, day.counts["data places_asked_near"], day.counts["control index_known_given"])
		}
		Expect(asked).To(BeNumerically(">", 20))
		Expect(answered).To(BeNumerically(">", asked/4))
	})

	It("given control nodes that refuse a question and others that are cut off, when nodes ask, then only those are late that nobody answered", func() {
		day, names := dayOf("brazos", 14*time.Second), []string{}
		day.world.RunUntil(8 * time.Second)
		ask := func(lasts time.Duration) (refused, late int) {
			for _, machine := range day.machines {
				machine.data.queryPlace(gateway.PlaceQuery{Ask: index.PlacementRequest{Key: index.Key{Scope: "nobody's"}}, Timeout: lasts / 2}, func(placed gateway.PlaceAnswer) {
					Expect(placed.Place.Server).To(BeEmpty())
					if placed.TimedOut {
						late++
					} else {
						refused++
					}
				})
			}
			day.world.RunUntil(day.world.Now + lasts)
			return refused, late
		}
		for _, machine := range day.machines {
			names = append(names, machine.name)
		}
		refused, late := ask(500 * time.Millisecond)
		Expect([]int{refused, late}).To(Equal([]int{len(names), 0}))
		day.world.cutBetween(names, names)
		refused, late = ask(500 * time.Millisecond)
		Expect([]int{refused, late}).To(Equal([]int{1, len(names) - 1}), "the owner's own machine still hears it")
	})

	It("given places on every disk of the core, when all machines lose their power, then nearly no prompt has another place after it", func() {
		day := dayWith(24 * time.Second)
		day.world.RunUntil(22 * time.Second)
		before := day.saved()
		Expect(before).To(HaveLen(3))
		for name, places := range before {
			Expect(len(places)).To(BeNumerically(">", 10), name)
		}
		for _, machine := range day.machines {
			day.takeDown(machine, finalFaultDowntime, true, false)
		}
		day.world.RunUntil(32 * time.Second)
		Expect(day.counts["control index_places_restored"]).To(BeNumerically(">", 30))
		for name, after := range day.saved() {
			moved := 0
			for key, server := range before[name] {
				Expect(after).To(HaveKey(key))
				if after[key] != server {
					moved++
				}
			}
			Expect(moved).To(BeNumerically("<=", len(before[name])/10), name)
		}
	})

	It("given disks that stall, when calls go on, then places are given as before and the chain takes changes again when they return", func() {
		day := dayWith(14 * time.Second)
		day.world.RunUntil(9 * time.Second)
		for _, machine := range day.machines {
			if machine.disk != nil {
				machine.disk.stall(1)
			}
		}
		day.world.RunUntil(18 * time.Second)
		Expect(count(day.saved())).To(BeNumerically("<=", 15))
		waiting := 0
		for _, machine := range day.machines {
			if machine.disk != nil {
				waiting = max(waiting, machine.disk.Pending())
				machine.disk.stall(-1)
			}
		}
		Expect(waiting).To(BeNumerically("<=", 2), "one snapshot waits at most, beside a write of the chain")
		day.world.RunUntil(24 * time.Second)
		Expect(count(day.saved())).To(BeNumerically(">", 15))
	})
})
