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
	It("given a number of machines, when it grows, then the core stays, each zone gets its part, and the manifest names all", func() {
		read, failure := site.Load("../deploy/seri")
		Expect(failure).NotTo(HaveOccurred())
		grown, failure := read.Grown(36)
		Expect(failure).NotTo(HaveOccurred())
		Expect(grown.Machines).To(HaveLen(36))
		Expect(read.Machines).To(HaveLen(12), "the site itself stays")
		core, zones := 0, map[string]int{}
		for _, machine := range grown.Machines {
			zones[machine.Zone]++
			if machine.Core {
				core++
			}
		}
		Expect(core).To(Equal(3))
		Expect(zones).To(Equal(map[string]int{"klang-a": 12, "klang-b": 12, "penang-a": 12}))
		adopted, failure := manifest.Parse(grown.Manifest)
		Expect(failure).NotTo(HaveOccurred())
		Expect(adopted.Regions["klang"].Machines).To(HaveLen(24))
		Expect(adopted.Regions["penang"].Machines).To(ContainElement("m36"))
	})

	It("given no more machines than it has, when it grows, then it stays as it is", func() {
		read, failure := site.Load("../deploy/brazos")
		Expect(failure).NotTo(HaveOccurred())
		grown, failure := read.Grown(0)
		Expect(failure).NotTo(HaveOccurred())
		Expect(grown.Machines).To(Equal(read.Machines))
	})
})
