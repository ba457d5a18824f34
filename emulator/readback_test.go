package emulator

import (
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// harsh has more troubles of disks and core machines than may be lost at once, with more changes than the day has time for.
func harsh() []Trouble {
	troubles := []Trouble{
		{Kind: "disk_full", Core: true, ForS: 3}, {Kind: "disk_slow", X: 60, Count: 2, ForS: 5}, {Kind: "disk_stall", Count: 2, ForS: 3},
		{Kind: "disk_stall", Count: 3, ForS: 1}, {Kind: "disk_full", Count: 2, ForS: 2}, {Kind: "config_storm", ForS: 5, GapS: 0.1},
		{Kind: "after_ack_kill", ForS: 1}, {Kind: "after_ack_wipe", ForS: 2}, {Kind: "replace_core", X: 2}, {Kind: "node_kill", Core: true, ForS: 1},
		{Kind: "herd_kill", Share: 0.5, ForS: 1}, {Kind: "config_change"}}
	for index := range troubles {
		troubles[index].AtS = 1 + 0.4*float64(index)
	}
	return troubles
}

var _ = Describe("the configuration that is read back", func() {
	for _, name := range sites {
		It("is the newest one when changes still waited at the end of the day, on "+name, func() {
			storm := Trouble{Kind: "config_storm", AtS: storyLength.Seconds() - 1, ForS: 8, GapS: 0.05}
			played := Play(small(name), 1, Plan{Troubles: []Trouble{storm}})
			Expect(played.Violations).To(BeEmpty())
			Expect(len(played.Record.ReadBacks)).To(BeNumerically(">", 3))
		})
	}

	for _, seed := range []uint64{1, 3, 6} {
		It(fmt.Sprintf("is the newest one after a harsh day: seed %d", seed), func() {
			Expect(Play(small("seri"), seed, Plan{Troubles: harsh()}).Violations).To(BeEmpty())
		})
	}
})
