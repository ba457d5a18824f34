package rig

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("a fleet of two builds", func() {
	It("has each combination of builds of the two programs on four machines", func() {
		rig := &Rig{bin: "new", otherBin: "old"}
		combinations := map[string]bool{}
		for machine := range 4 {
			builds := rig.alternation(machine)
			combinations[builds.next("cedarcp")+" "+builds.next("cedardp")] = true
		}
		Expect(combinations).To(HaveLen(4))
	})

	It("changes the build of a program at each of its restarts", func() {
		builds := (&Rig{bin: "new", otherBin: "old"}).alternation(0)
		Expect([]string{builds.next("cedarcp"), builds.next("cedarcp"), builds.next("cedardp"), builds.next("cedarcp")}).To(Equal([]string{"new", "old", "new", "new"}))
	})

	It("is not mixed without another build", func() {
		node := &Node{bin: "new", builds: (&Rig{bin: "new"}).alternation(1)}
		Expect(node.folderOfBuild("cedardp")).To(Equal("new"))
	})
})
