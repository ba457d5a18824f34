// Package soak tests the emulator on a few long runs with overlapping series of faults; cedarrig --soak runs more of them.
package soak

import (
	"path/filepath"
	"time"

	"github.com/cedarreel/cedarreel/emulator"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

const (
	// trafficShare is the fraction of the site's traffic that is generated.
	trafficShare = 0.3
	dayLength    = 100 * time.Second
	// minAttempts is the number of call attempts that a run must exceed to be a useful test.
	minAttempts = 5000
	// tenantCount is the number of tenants in the runs with tenant keys.
	tenantCount = 9
)

var _ = Describe("a long day of overlapping series", func() {
	playDay := func(name string, seed uint64, tenantCount int) emulator.Result {
		GinkgoHelper()
		emulatedSite, err := emulator.LoadSite(filepath.Join("..", "..", "deploy", "emulated", name+".json"))
		Expect(err).NotTo(HaveOccurred())
		emulatedSite = emulatedSite.Scaled(trafficShare, dayLength)
		emulatedSite.Tenants = tenantCount
		return emulator.Play(emulatedSite, seed, emulator.Soak(emulatedSite, seed))
	}

	for _, name := range []string{"brazos", "seri"} {
		It("breaks no rule on "+name+" with tenants whose keys come and go", func() {
			result := playDay(name, 2, tenantCount)
			seenTenants := map[string]bool{}
			for _, arrival := range result.Record.Arrivals {
				seenTenants[arrival.Tenant] = true
			}
			Expect(seenTenants).To(HaveLen(tenantCount))
			Expect(result.Violations).To(BeEmpty())
		})

		for _, seed := range []uint64{1, 5, 6} {
			It("breaks no rule on "+name, func() {
				result := playDay(name, seed, 0)
				Expect(len(result.Record.Attempts)).To(BeNumerically(">", minAttempts))
				Expect(len(result.Record.Departures)).To(BeNumerically(">", 50), "servers that left")
				Expect(len(result.Record.Versions)).To(BeNumerically(">", 100), "changes of the configuration")
				Expect(result.Violations).To(BeEmpty(), "seed %d", seed)
			})
		}
	}
})
