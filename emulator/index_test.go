package emulator

import (
	"time"

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
	// dayWith has calls until the end of its run.
	dayWith := func(lasts time.Duration) *Day {
		site := given("brazos", 0.6, lasts)
		day := New(site, 4)
		for _, machine := range day.machines {
			machine.start()
		}
		day.operator.begin()
		day.traffic(8*time.Second, 8*time.Second+lasts)
		return day
	}
	count := func(disks map[string]map[index.Key]string) int {
		most := 0
		for _, places := range disks {
			most = max(most, len(places))
		}
		return most
	}

	It("given places on every disk of the core, when all machines lose their power, then nearly no prompt has another place after it", func() {
		day := dayWith(24 * time.Second)
		day.world.RunUntil(22 * time.Second)
		before := day.saved()
		Expect(before).To(HaveLen(3))
		for name, places := range before {
			Expect(len(places)).To(BeNumerically(">", 10), name)
		}
		for _, machine := range day.machines {
			day.down(machine, closingDown, true, false)
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
				waiting = max(waiting, machine.disk.Waiting())
				machine.disk.stall(-1)
			}
		}
		Expect(waiting).To(BeNumerically("<=", 2), "one snapshot waits at most, beside a write of the chain")
		day.world.RunUntil(24 * time.Second)
		Expect(count(day.saved())).To(BeNumerically(">", 15))
	})
})
