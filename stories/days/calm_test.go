package days

import (
	"time"

	"github.com/cedarreel/cedarreel/stories/harness"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("a calm day", func() {
	for _, name := range harness.SiteNames {
		It("serves every caller of "+name, func() {
			testFleet := harness.StartReadyFleet(name, 1)
			testFleet.Traffic(30*time.Second, 1)
			testFleet.Run(30 * time.Second)
			harness.ExpectNoBreaches(testFleet)
			GinkgoWriter.Println(testFleet.Ledger.Stats.Summary())
			for _, class := range []string{"long", "short", "lookup"} {
				Expect(harness.OutcomeCounts(testFleet, class)).To(HaveKey("done"))
				Expect(harness.OutcomeCounts(testFleet, class)).To(HaveLen(1), "every call is done")
			}
		})
	}
})
