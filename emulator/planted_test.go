package emulator

import (
	"maps"
	"slices"
	"time"

	"github.com/cedarreel/cedarreel/contract"
	"github.com/cedarreel/cedarreel/gateway"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

const plantedFrom = 8 * time.Second

// deaf lets nodes learn nothing of a kind any more once traffic runs.
func deaf[Kind any]() Option {
	return withEventFilter(func(machine *machine, event *contract.Event) bool {
		_, kind := (*event).(Kind)
		return !kind || machine.day.world.Now < plantedFrom
	})
}

func broken(result Result) []string {
	names, known := []string{}, map[string]bool{}
	for _, breach := range result.Violations {
		if !known[breach.Rule] {
			known[breach.Rule] = true
			names = append(names, breach.Rule)
		}
	}
	return names
}

var _ = Describe("a fault that is planted in the nodes", func() {
	DescribeTable("is seen", func(rule string, trouble Trouble, option Option) {
		trouble.AtS = 2
		Expect(broken(Play(small("brazos"), 2, Plan{Troubles: []Trouble{trouble}}, option))).To(ContainElement(rule))
	},
		Entry("lists are not followed: a server that leaves", "DRAIN", Trouble{Kind: "scale_in", Service: "model", Share: 0.3}, deaf[gateway.ServersListed]()),
		Entry("configurations are not followed: a change", "CONFIG", Trouble{Kind: "config_change", How: "idle"}, deaf[gateway.ConfigurationChanged]()),
		Entry("nothing is followed: an evacuation", "EVAC", Trouble{Kind: "evacuate", ForS: 12, Zone: "prairie-b"}, withEventFilter(func(machine *machine, event *contract.Event) bool {
			return machine.day.world.Now < plantedFrom
		})),
		Entry("further tries are not bounded", "BUDGET", Trouble{Kind: "answer_lost", Share: 1, X: 0.95, ForS: 8}, WithChanges(unbounded())),
	)

	It("is seen when a machine that stops takes calls that it can't finish, and only then", func() {
		site := small("brazos").Scaled(4, 3*storyLength)
		plan := Plan{KeepsConnections: true, Troubles: []Trouble{{Kind: "roll_term", AtS: 2, Share: 1, GapS: 1}, {Kind: "roll_term", AtS: 14, Share: 1, GapS: 1}}}
		Expect(broken(Play(site, 2, plan, WithChanges(mustChange("gateway.grace=40s"))))).To(ContainElement("LOST"))
		Expect(Play(site, 2, plan).Violations).To(BeEmpty())
	})

	It("is seen when cold servers are taken for warm ones, and only then", func() {
		site := small("brazos").Scaled(4, storyLength)
		site.Services = slices.Clone(site.Services)
		site.Services[0].ColdPerS = 4
		plan := Plan{Troubles: []Trouble{{Kind: "cold_return", AtS: 2, Zone: "prairie-a", ForS: 2}}}
		blind := withEventFilter(func(_ *machine, event *contract.Event) bool {
			if configured, fine := (*event).(gateway.ConfigurationChanged); fine {
				services := maps.Clone(configured.Manifest.Gateway.Services)
				for name, service := range services {
					service.WarmupRate = 1e6
					services[name] = service
				}
				configured.Manifest.Gateway.Services = services
				*event = configured
			}
			return true
		})
		Expect(broken(Play(site, 2, plan, blind))).To(ContainElement("FAILBACK"))
		Expect(broken(Play(site, 2, plan))).To(BeEmpty())
	})
})

func unbounded() Change { return mustChange("gateway.repeatRatio=100") }

func mustChange(text string) Change {
	change, err := ReadChange(text)
	if err != nil {
		panic(err)
	}
	return change
}
