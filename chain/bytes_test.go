package chain

import (
	"fmt"

	"github.com/cedarreel/cedarreel/document"
	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// many gives a change that sets so many parts of half a kilobyte each.
func many(parts int) document.Change {
	change := document.Change{}
	for part := range parts {
		change.SetPart(fmt.Sprintf("/items/i%05d", part), fmt.Sprintf("%q", fmt.Sprintf("%0500d", part)))
	}
	change.SetPart("/items", "{}")
	return change
}

var _ = Describe("a core with a configuration of two megabytes", func() {
	const (
		parts   = 4000
		changes = 20
		// small is what all messages to one member may have together, in bytes.
		small = 200 << 10
	)
	var core *trio

	ginkgo.BeforeEach(func() {
		core = newTrio()
		core.write(0, many(parts))
		for number := range changes {
			core.write(1+number, item(fmt.Sprint(number)))
		}
		core.bytes = map[int]int{}
	})

	It("takes a change for what the change costs", func() {
		core.write(1+changes, item(`"another"`))
		for member := range core.owners {
			Expect(core.bytes[member]).To(BeNumerically("<", 8<<10), "bytes to member %d", member)
		}
	})

	It("agrees on a view without sending the configuration, when a member goes away", func() {
		core.away[2] = true
		core.until(func() bool { head := core.head(); return head != nil && len(head.view.Chain) == 2 })
		for member := range core.owners {
			Expect(core.bytes[member]).To(BeNumerically("<", small), "bytes to member %d", member)
		}
	})

	It("takes a member in again that missed some changes without sending the configuration", func() {
		core.away[2] = true
		core.until(func() bool { head := core.head(); return head != nil && len(head.view.Chain) == 2 })
		for number := range changes {
			core.write(1+changes+number, item(fmt.Sprint(number+changes)))
		}
		core.away[2] = false
		core.until(func() bool { return len(core.owners[2].view.Chain) == 3 && core.owners[2].Committed() == 1+2*changes })
		for member := range core.owners {
			Expect(core.bytes[member]).To(BeNumerically("<", small), "bytes to member %d", member)
		}
	})

	It("sends the configuration once to a member that comes with an empty disk", func() {
		whole := core.held.Document().Size()
		core.replace(2)
		core.until(func() bool { return len(core.owners[2].view.Chain) == 3 && core.owners[2].Committed() == 1+changes })
		Expect(core.bytes[2]).To(BeNumerically("<", 2*whole))
		Expect(core.owners[2].versions[1+changes].Digest).To(Equal(core.held.Digest))
	})
})
