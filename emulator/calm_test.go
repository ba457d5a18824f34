package emulator

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var sites = []string{"brazos", "seri"}

func given(name string, part float64, length time.Duration) Site {
	site, err := LoadSite("../deploy/emulated/" + name + ".json")
	Expect(err).NotTo(HaveOccurred())
	return site.Scaled(part, length)
}

var _ = Describe("a calm day", func() {
	for _, name := range sites {
		It("is served whole on "+name, func() {
			played := Play(given(name, 0.5, 12*time.Second), 1, Plan{})
			GinkgoWriter.Println(played.Figures.Text())
			Expect(played.Violations).To(BeEmpty())
			for _, class := range played.Figures.Classes {
				Expect(class.Asked).To(BeNumerically(">", 20))
				Expect(class.Failed + class.Refused).To(BeZero())
			}
		})
	}
})
