package emulator

import (
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// Places of the index and reports of servers take no way round a cut: a wrong or missing place costs reading alone, and a server that its
// owner can't read is read by another control node or left out. This tells what that costs.
var _ = Describe("a cut between core machines, which places of the index and reports of servers don't get round", func() {
	const (
		cutAt    = 2
		cutFor   = 9
		mostRead = 1.1
		mostLate = 1.0
	)
	for _, name := range sites {
		It("costs little reading and few late calls on "+name, func() {
			site := small(name)
			site.DayS = 15
			calm, cut := Figures{}, Figures{}
			late := func(figures Figures) (count, asked int) {
				for _, class := range figures.Classes {
					count, asked = count+class.Late+class.Refused+class.Failed, asked+class.Asked
				}
				return count, asked
			}
			calmLate, cutLate, asked := 0, 0, 0
			for place, zone := range site.Zones {
				for _, how := range []string{"alone", "near"} {
					without := Play(site, uint64(place+1), Plan{})
					with := Play(site, uint64(place+1), Plan{Troubles: []Trouble{{Kind: "core_cut", How: how, AtS: cutAt, Zone: zone.Name, ForS: cutFor}}})
					Expect(with.Violations).To(BeEmpty())
					calm.ReadTokens, calm.RereadTokens, cut.ReadTokens, cut.RereadTokens = calm.ReadTokens+without.Figures.ReadTokens, calm.RereadTokens+without.Figures.RereadTokens, cut.ReadTokens+with.Figures.ReadTokens, cut.RereadTokens+with.Figures.RereadTokens
					count, all := late(without.Figures)
					calmLate, asked = calmLate+count, asked+all
					count, _ = late(with.Figures)
					cutLate += count
				}
			}
			fmt.Fprintln(GinkgoWriter, name, "tokens read", calm.ReadTokens, cut.ReadTokens, "shared ones again", calm.RereadTokens, cut.RereadTokens, "not in aim", calmLate, cutLate, "of", asked)
			Expect(float64(cut.ReadTokens)).To(BeNumerically("<=", mostRead*float64(calm.ReadTokens)), "tokens read with and without the cuts")
			Expect(100*float64(cutLate-calmLate)/float64(asked)).To(BeNumerically("<=", mostLate), "calls in a hundred that the cuts make late")
		})
	}
})
