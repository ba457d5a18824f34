package chain

import (
	"fmt"

	"github.com/cedarreel/cedarreel/document"
	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// largeChange returns a change that sets the given number of parts of half a kilobyte each.
func largeChange(parts int) document.Change {
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
		// small is the limit for the total size of the messages to one member, in bytes.
		small = 200 << 10
	)
	var core *testCluster

	ginkgo.BeforeEach(func() {
		core = newTestCluster()
		core.write(0, largeChange(parts))
		for number := range changes {
			core.write(1+number, itemChange(fmt.Sprint(number)))
		}
		core.bytes = map[int]int{}
	})

	It("sends each member no more than the size of a change", func() {
		core.write(1+changes, itemChange(`"another"`))
		for member := range core.replicas {
			Expect(core.bytes[member]).To(BeNumerically("<", 8<<10), "bytes to member %d", member)
		}
	})

	It("decides on a view without sending the configuration when a member fails", func() {
		core.down[2] = true
		core.until(func() bool { head := core.head(); return head != nil && len(head.view.Chain) == 2 })
		for member := range core.replicas {
			Expect(core.bytes[member]).To(BeNumerically("<", small), "bytes to member %d", member)
		}
	})

	It("lets a member that missed some changes join again without sending the configuration", func() {
		core.down[2] = true
		core.until(func() bool { head := core.head(); return head != nil && len(head.view.Chain) == 2 })
		for number := range changes {
			core.write(1+changes+number, itemChange(fmt.Sprint(number+changes)))
		}
		core.down[2] = false
		core.until(func() bool {
			return len(core.replicas[2].view.Chain) == 3 && core.replicas[2].Committed() == 1+2*changes
		})
		for member := range core.replicas {
			Expect(core.bytes[member]).To(BeNumerically("<", small), "bytes to member %d", member)
		}
	})

	It("sends the configuration once to a member that starts with an empty disk", func() {
		fullSize := core.newest.Document().Size()
		core.replace(2)
		core.until(func() bool { return len(core.replicas[2].view.Chain) == 3 && core.replicas[2].Committed() == 1+changes })
		Expect(core.bytes[2]).To(BeNumerically("<", 2*fullSize))
		Expect(core.replicas[2].versions[1+changes].Digest).To(Equal(core.newest.Digest))
	})
})
