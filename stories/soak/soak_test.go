// Package soak plays a few long days of overlapping series of troubles; cedarrig --soak plays more of them.
package soak

import (
	"path/filepath"
	"time"

	"github.com/cedarreel/cedarreel/emulator"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

const (
	// part of the site's traffic that is played.
	part   = 0.3
	length = 100 * time.Second
	// fewest is how many calls such a day has at least.
	fewest = 5000
	// tenants of the days with keys.
	tenants = 9
)

var _ = Describe("a long day of overlapping series", func() {
	play := func(name string, seed uint64, tenants int) emulator.Result {
		GinkgoHelper()
		site, failure := emulator.LoadSite(filepath.Join("..", "..", "deploy", "emulated", name+".json"))
		Expect(failure).NotTo(HaveOccurred())
		site = site.Scaled(part, length)
		site.Tenants = tenants
		return emulator.Play(site, seed, emulator.Soak(site, seed))
	}

	for _, name := range []string{"brazos", "seri"} {
		It("breaks no rule on "+name+" with tenants whose keys come and go", func() {
			played := play(name, 2, tenants)
			named := map[string]bool{}
			for _, run := range played.Record.Arrivals {
				named[run.Tenant] = true
			}
			Expect(named).To(HaveLen(tenants))
			Expect(played.Violations).To(BeEmpty())
		})

		for _, seed := range []uint64{1, 5, 6} {
			It("breaks no rule on "+name, func() {
				played := play(name, seed, 0)
				Expect(len(played.Record.Attempts)).To(BeNumerically(">", fewest))
				Expect(len(played.Record.Departures)).To(BeNumerically(">", 50), "servers that left")
				Expect(len(played.Record.Versions)).To(BeNumerically(">", 100), "changes of the configuration")
				Expect(played.Violations).To(BeEmpty(), "seed %d", seed)
			})
		}
	}
})
