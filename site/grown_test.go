package site_test

import (
	"testing"

	"github.com/cedarreel/cedarreel/manifest"
	"github.com/cedarreel/cedarreel/site"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestSite(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "site")
}

var _ = Describe("a site with more machines", func() {
	It("given a number of machines, when they are added, then the core is the same, the zones are of equal size, and the manifest lists all", func() {
		read, err := site.Load("../deploy/seri")
		Expect(err).NotTo(HaveOccurred())
		grown, err := read.WithMachines(36)
		Expect(err).NotTo(HaveOccurred())
		Expect(grown.Machines).To(HaveLen(36))
		Expect(read.Machines).To(HaveLen(12), "the original site is unchanged")
		core, zones := 0, map[string]int{}
		for _, machine := range grown.Machines {
			zones[machine.Zone]++
			if machine.Core {
				core++
			}
		}
		Expect(core).To(Equal(3))
		Expect(zones).To(Equal(map[string]int{"klang-a": 12, "klang-b": 12, "penang-a": 12}))
		adopted, err := manifest.Parse(grown.Manifest)
		Expect(err).NotTo(HaveOccurred())
		Expect(adopted.Regions["klang"].Machines).To(HaveLen(24))
		Expect(adopted.Regions["penang"].Machines).To(ContainElement("m36"))
	})

	It("given a number below that of its machines, when machines are added, then it stays as it is", func() {
		read, err := site.Load("../deploy/brazos")
		Expect(err).NotTo(HaveOccurred())
		grown, err := read.WithMachines(0)
		Expect(err).NotTo(HaveOccurred())
		Expect(grown.Machines).To(Equal(read.Machines))
	})
})
