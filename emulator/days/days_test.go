// Package days has the long days of the emulator's tests, apart from the others so that no package comes near the time that go allows one.
package days

import (
	"runtime/debug"
	"testing"
	"time"

	"github.com/cedarreel/cedarreel/emulator"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// heapGrowthPercent trades memory for time, as in the emulator's other tests.
const heapGrowthPercent = 1000

func TestDays(t *testing.T) {
	debug.SetGCPercent(heapGrowthPercent)
	RegisterFailHandler(Fail)
	RunSpecs(t, "emulator days")
}

const (
	smallPart   = 0.3
	smallLength = 12 * time.Second
	smallLead   = 7
)

var sites = []string{"brazos", "seri"}

// given returns a site with a part of its traffic and another length of the day.
func given(name string, part float64, length time.Duration) emulator.Site {
	site, err := emulator.LoadSite("../../deploy/emulated/" + name + ".json")
	Expect(err).NotTo(HaveOccurred())
	return site.Scaled(part, length)
}

// small is a site with two machines a zone and a short day.
func small(name string) emulator.Site {
	site := given(name, smallPart, smallLength)
	groups := []emulator.Group{}
	for _, group := range site.Machines {
		group.Count = 1
		groups = append(groups, group)
	}
	site.Machines, site.LeadS = groups, smallLead
	return site
}

// serviceOf returns the service of a class of calls.
func serviceOf(site emulator.Site, class string) string {
	for _, one := range site.Classes {
		if one.Name == class {
			return one.Service
		}
	}
	return ""
}
