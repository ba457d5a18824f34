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
			played := harness.StartReadyFleet(name, 1)
			played.Traffic(30*time.Second, 1)
			played.Run(30 * time.Second)
			harness.ExpectNoBreaches(played)
			GinkgoWriter.Println(played.Ledger.Stats.Summary())
			for _, class := range []string{"long", "short", "lookup"} {
				Expect(harness.OutcomeCounts(played, class)).To(HaveKey("done"))
				Expect(harness.OutcomeCounts(played, class)).To(HaveLen(1), "every call is done")
			}
		})
	}
})
