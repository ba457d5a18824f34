package days

import (
	"sync"
	"time"

	"github.com/cedarreel/cedarreel/emulator"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// controlEverywhere gives a site with a control process on each machine: the bounds of what is found of lost caches were measured on that.
func controlEverywhere(site emulator.Site) emulator.Site {
	site.ControlOnCore = false
	return site
}

// daysBeside is how many days are played at a time: each takes some hundred megabytes.
const daysBeside = 4

// manyDays are the seeds over which finds are counted: single days have some ten mismatches, and their counts differ widely.
func manyDays() []uint64 {
	seeds := make([]uint64, 16)
	for place := range seeds {
		seeds[place] = uint64(place + 1)
	}
	return seeds
}

// checked sums days of a trouble of caches, each with the site's own length.
func checked(name, how string, seeds ...uint64) emulator.CacheFigures {
	GinkgoHelper()
	site, sum := controlEverywhere(given(name, 1, 34*time.Second)), emulator.CacheFigures{}
	days, group, beside := make([]emulator.Result, len(seeds)), sync.WaitGroup{}, make(chan struct{}, daysBeside)
	for place, seed := range seeds {
		plan := emulator.Plan{}
		if how != "" {
			plan.Troubles = site.TroublesNamed("cache_lost/" + how)
		}
		beside <- struct{}{}
		group.Go(func() {
			played := emulator.Play(site, seed, plan)
			played.Record = nil
			days[place] = played
			<-beside
		})
	}
	group.Wait()
	for _, played := range days {
		Expect(played.Violations).To(BeEmpty(), "no call is doubled or lost")
		for class, figures := range played.Figures.Classes {
			if serviceOf(site, class) != "model" {
				Expect(figures.Aim+figures.Late).To(Equal(figures.Asked), class+" is answered at last, also after refusals")
			}
		}
		one := played.Figures.Caches
		sum.Losses += one.Losses
		sum.IndexedMismatches, sum.DetectedMismatches, sum.FalseMismatches = sum.IndexedMismatches+one.IndexedMismatches, sum.DetectedMismatches+one.DetectedMismatches, sum.FalseMismatches+one.FalseMismatches
		sum.DetectedLosses, sum.FalseLosses = sum.DetectedLosses+one.DetectedLosses, sum.FalseLosses+one.FalseLosses
		sum.Checks, sum.PlacesRemoved = sum.Checks+one.Checks, sum.PlacesRemoved+one.PlacesRemoved
	}
	GinkgoWriter.Printf("%s %s: %+v\n", name, how, sum)
	return sum
}

var _ = Describe("the checks of the servers' caches", func() {
	for _, name := range sites {
		calm := sync.OnceValue(func() emulator.CacheFigures { return checked(name, "", 1, 2) })

		It("given calm days on "+name+", when calls are checked, then few are taken for mismatches and no place is left", func() {
			sum := calm()
			Expect(sum.Checks).To(BeNumerically(">", 100))
			Expect(float64(sum.FalseMismatches)).To(BeNumerically("<=", 0.05*float64(sum.Checks)))
			Expect(sum.PlacesRemoved).To(BeZero())
		})

		It("given calm days on "+name+", when calls are checked, then no loss of a whole cache is found", func() {
			sum := calm()
			Expect(sum.DetectedLosses + sum.FalseLosses).To(BeZero())
		})

		for _, how := range []string{"several", "again", "small"} {
			It("given "+how+" on "+name+", when what was noticed is held against what the servers kept, then much is found, most of it truly", func() {
				sum := checked(name, how, manyDays()...)
				Expect(sum.IndexedMismatches).To(BeNumerically(">", 0))
				Expect(float64(sum.DetectedMismatches-sum.FalseMismatches)).To(BeNumerically(">=", 0.35*float64(sum.IndexedMismatches)), "recall")
				Expect(float64(sum.DetectedMismatches-sum.FalseMismatches)).To(BeNumerically(">=", 0.6*float64(sum.DetectedMismatches)), "precision")
				Expect(sum.DetectedLosses).To(BeNumerically(">", 0))
				Expect(sum.FalseLosses).To(BeNumerically("<=", 1))
			})
		}
	}
})
