package emulator

import (
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("a crowd of clients that misbehave", func() {
	for index, name := range sites {
		It("given crowds on all machines of "+name+", when ordinary clients call, then connections of the crowd give way and no ordinary call is refused for want of memory", func() {
			crowd := Trouble{Kind: "crowd", AtS: 1.5, Share: 1, X: 3000, ForS: 6}
			played := Play(small(name), uint64(index+1), Plan{Troubles: []Trouble{crowd}})
			GinkgoWriter.Println(played.Figures.Text(), played.Counts)
			Expect(played.Violations).To(BeEmpty())
			Expect(played.Counts["data clients_ended_memory"]).To(BeNumerically(">", 0))
			for _, attempt := range played.Record.Attempts {
				Expect(attempt.Reason).NotTo(Equal(notAdmitted), fmt.Sprint("attempt ", attempt.Identity))
			}
		})
	}
})
