package emulator

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("a deployment with tenants", func() {
	tenanted := func(name string) Site {
		site := small(name)
		site.Tenants = 5
		return site
	}

	for _, name := range sites {
		It("given callers with keys on "+name+", when keys come, move and are taken away, then servers are told the holder, and what is in force decides", func() {
			for seed := uint64(1); seed <= 3; seed++ {
				played := Play(tenanted(name), seed, Plan{Troubles: []Trouble{{Kind: "revoke", AtS: 1, Count: 3, GapS: 1}, {Kind: "tenant", AtS: 2, Count: 2, GapS: 0.7}, {Kind: "bad_config", AtS: 4, Count: 4, GapS: 0.3}}})
				Expect(played.Violations).To(BeEmpty(), "seed %d", seed)
				named, refused := map[string]bool{}, 0
				for _, run := range played.Record.Arrivals {
					named[run.Tenant] = true
				}
				for _, try := range played.Record.Attempts {
					if try.Status == 401 {
						refused++
					}
				}
				Expect(named).NotTo(HaveKey(""))
				Expect(len(named)).To(BeNumerically(">", 3))
				Expect(refused).To(BeNumerically(">", 10), "probes without a key and callers whose key was taken away")
			}
		})

		DescribeTable("given keys that change on "+name+", when machines go and come, then no call runs with a key that was taken away or is refused with one that is there",
			func(troubles []Trouble, closing string) {
				for seed := uint64(1); seed <= 2; seed++ {
					keys := []Trouble{{Kind: "revoke", AtS: 1, Count: 6, GapS: 1}, {Kind: "tenant", AtS: 1.5, Count: 3, GapS: 1.5}}
					played := Play(tenanted(name), seed, Plan{Troubles: append(keys, troubles...), FinalFault: closing})
					Expect(played.Violations).To(BeEmpty(), "seed %d", seed)
				}
			},
			Entry("nodes killed and frozen", []Trouble{{Kind: "node_kill", Share: 0.4, AtS: 3, ForS: 1}, {Kind: "node_freeze", Share: 0.3, AtS: 4, ForS: 3}}, ""),
			Entry("the head killed", []Trouble{{Kind: "node_kill", Core: true, How: "leader", AtS: 3, ForS: 2}}, ""),
			Entry("a core machine cut off", []Trouble{{Kind: "core_cut", How: "alone", AtS: 2, ForS: 5}}, ""),
			Entry("nodes cut off from the core", []Trouble{{Kind: "node_cut", Count: 1, AtS: 2, ForS: 4}}, ""),
			Entry("a rolling restart", []Trouble{{Kind: "roll_term", Share: 1, GapS: 0.5, AtS: 2}}, ""),
			Entry("all without power at the end", nil, "power_off_all"),
			Entry("disks lost at the end", nil, "wipe_after_ack"))
	}
})
