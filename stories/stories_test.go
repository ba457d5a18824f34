// Package stories tells, in given-when-then over the in-memory fleet, what must never happen and that it does not.
package stories

import (
	"encoding/json"
	"runtime/debug"
	"testing"
	"time"

	"github.com/cedarreel/cedarreel/fleet"
	"github.com/cedarreel/cedarreel/site"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestStories(t *testing.T) {
	debug.SetGCPercent(600)
	RegisterFailHandler(Fail)
	RunSpecs(t, "stories")
}

var sites = []string{"brazos", "seri"}

func siteOf(name string) site.Site {
	described, mishap := site.Load("../deploy/" + name)
	Expect(mishap).NotTo(HaveOccurred())
	return described
}

func given(name string, seed uint64, options ...fleet.Option) *fleet.Fleet {
	started := fleet.New(siteOf(name), seed, options...)
	Expect(started.Ready()).To(BeTrue(), "the fleet serves")
	return started
}

func nothingWrong(played *fleet.Fleet) {
	GinkgoHelper()
	breaches := played.Close()
	for index, breach := range breaches {
		if index < 5 {
			GinkgoWriter.Println(breach.Rule, breach.At, breach.Detail)
		}
	}
	Expect(breaches).To(BeEmpty(), played.Ledger.Figures.Text())
}

func outcomes(played *fleet.Fleet, class string) map[string]int {
	known := played.Ledger.Figures.Classes[class]
	if known == nil {
		return map[string]int{}
	}
	return known.Outcomes
}

var _ = Describe("a calm day", func() {
	for _, name := range sites {
		It("serves every caller of "+name, func() {
			played := given(name, 1)
			played.Traffic(30*time.Second, 1)
			played.Run(30 * time.Second)
			nothingWrong(played)
			GinkgoWriter.Println(played.Ledger.Figures.Text())
			for _, class := range []string{"long", "short", "lookup"} {
				Expect(outcomes(played, class)).To(HaveKey("done"))
				Expect(outcomes(played, class)).To(HaveLen(1), "every call is done")
			}
		})
	}
})

func text(value any) []byte {
	content, mishap := json.Marshal(value)
	Expect(mishap).NotTo(HaveOccurred())
	return content
}
