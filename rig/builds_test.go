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
			builds := rig.newBuildRotation(machine)
			combinations[builds.nextFolder("cedarcp")+" "+builds.nextFolder("cedardp")] = true
		}
		Expect(combinations).To(HaveLen(4))
	})

	It("changes the build of a program at each of its restarts", func() {
		builds := (&Rig{bin: "new", otherBin: "old"}).newBuildRotation(0)
		Expect([]string{builds.nextFolder("cedarcp"), builds.nextFolder("cedarcp"), builds.nextFolder("cedardp"), builds.nextFolder("cedarcp")}).To(Equal([]string{"new", "old", "new", "new"}))
	})

	It("is not mixed without another build", func() {
		node := &Node{bin: "new", builds: (&Rig{bin: "new"}).newBuildRotation(1)}
		Expect(node.nextBuildFolder("cedardp")).To(Equal("new"))
	})
})
