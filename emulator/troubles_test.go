package emulator

import (
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

const (
	storyPart   = 0.3
	storyLength = 12 * time.Second
	storyLead   = 7
)

// small is a site with two machines a zone and a short day.
func small(name string) Site {
	site := given(name, storyPart, storyLength)
	groups := []Group{}
	for _, group := range site.Machines {
		group.Count = 1
		groups = append(groups, group)
	}
	site.Machines, site.LeadS = groups, storyLead
	return site
}

// alone are the troubles that a day bears by itself.
var alone = []Trouble{
	{Kind: "burst", X: 2.5, ForS: 6},
	{Kind: "shift", Share: 0.5, ForS: 6},
	{Kind: "srv_crash", Service: "model", Share: 0.17, ForS: 4},
	{Kind: "srv_crash", How: "dark", Service: "model", Share: 0.17, ForS: 4},
	{Kind: "garble", Share: 0.6, X: 0.05, ForS: 5},
	{Kind: "answer_lost", Share: 0.5, X: 0.05, ForS: 4},
	{Kind: "release", Service: "model", Share: 0.3, GapS: 1},
	{Kind: "scale_in", Service: "model", Share: 0.14},
	{Kind: "scale_in", How: "spot", Service: "model", Share: 0.14, X: 2},
	{Kind: "cold_return", ForS: 3},
	{Kind: "node_kill", Core: true, How: "leader", ForS: 3},
	{Kind: "node_freeze", Core: true, ForS: 4},
	{Kind: "node_cut", Count: 1, ForS: 5},
	{Kind: "roll_term", Share: 0.5, GapS: 1.3},
	{Kind: "herd_kill", Share: 0.5, ForS: 2},
	{Kind: "core_cut", How: "leader", ForS: 5},
	{Kind: "replace_core", X: 2},
	{Kind: "after_ack_kill", ForS: 3},
	{Kind: "after_ack_wipe", ForS: 3},
	{Kind: "disk_slow", How: "leader", X: 25, ForS: 5},
	{Kind: "disk_full", ForS: 4},
	{Kind: "disk_stall", ForS: 3},
	{Kind: "config_change"},
	{Kind: "config_race", Count: 2, GapS: 1},
	{Kind: "config_storm", ForS: 3, GapS: 0.4},
	{Kind: "bad_config", Count: 2, GapS: 1},
	{Kind: "evacuate", ForS: 7},
	{Kind: "crowd", Share: 1, X: 3000, ForS: 6},
}

var _ = Describe("a trouble by itself", func() {
	for _, trouble := range alone {
		trouble.AtS = 1.5
		for index, name := range sites {
			story := strings.TrimPrefix(trouble.String(), "1.50:") + " on " + name
			It("breaks no rule: "+story, func() {
				chosen := trouble
				if chosen.Kind == "cold_return" || chosen.Kind == "evacuate" {
					chosen.Zone = small(name).Zones[index].Name
				}
				played := Play(small(name), uint64(index+1), Plan{Troubles: []Trouble{chosen}})
				GinkgoWriter.Println(played.Figures.Text())
				Expect(played.Violations).To(BeEmpty())
			})
		}
	}

	It("changes nothing when clocks step", func() {
		calm := Play(small("seri"), 3, Plan{})
		stepped := Play(small("seri"), 3, Plan{Troubles: []Trouble{{Kind: "clock_step", AtS: 1.5, Share: 0.5, X: 2400, ForS: 4}}})
		Expect(stepped.Violations).To(BeEmpty())
		Expect(stepped.Figures).To(Equal(calm.Figures))
	})
})

var _ = Describe("a closing fault", func() {
	for index, how := range []string{"kill_all", "power_off_all", "wipe_after_ack"} {
		It("wipes out nothing that was acknowledged: "+how, func() {
			name := sites[index%len(sites)]
			played := Play(small(name), uint64(index+1), Plan{Troubles: []Trouble{{Kind: "config_change", AtS: 2}}, FinalFault: how})
			Expect(played.Record.RestartedAt).To(BeNumerically(">", 0))
			Expect(played.Violations).To(BeEmpty())
		})
	}
})

var _ = Describe("a seed", func() {
	It("plays the same day again", func() {
		first, second := Play(small("brazos"), 5, Plan{DrawCount: 3}), Play(small("brazos"), 5, Plan{DrawCount: 3})
		Expect(second.Troubles).To(Equal(first.Troubles))
		Expect(second.Figures).To(Equal(first.Figures))
		Expect(second.Counts).To(Equal(first.Counts))
	})
})
