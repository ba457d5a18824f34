package chain

import (
	"fmt"

	"github.com/cedarreel/cedarreel/contract"
	"github.com/cedarreel/cedarreel/document"
	. "github.com/onsi/gomega"
)

var _ = Describe("a log with a byte limit", func() {
	const (
		changeSize = 1000
		bytesMost  = 10 * changeSize
		window     = 40
	)
	// grown returns a log of the given number of committed versions, each with a change of changeSize bytes, and the trimmed positions.
	grown := func(count int64) (*log, []contract.Position) {
		result, dropped := newLog(window, bytesMost), []contract.Position{}
		version := contract.Version{}
		for revision := int64(1); revision <= count; revision++ {
			version = version.Next(contract.Position{View: 1, Revision: revision}, contract.OperationID(fmt.Sprint("o", revision), "f"),
				itemChange(fmt.Sprintf("%q", fmt.Sprintf("%0*d", changeSize-len("/item")-2, revision))))
			result.put(version)
			result.lastSynced, result.committed = revision, revision
			dropped = append(dropped, result.trim()...)
		}
		return &result, dropped
	}

	It("keeps the newest versions that fit and the operations of the whole window", func() {
		result, dropped := grown(30)
		Expect(len(result.versions)).To(And(BeNumerically(">=", 8), BeNumerically("<=", 11)))
		Expect(result.bytes).To(BeNumerically("<=", bytesMost))
		Expect(len(dropped) + len(result.versions)).To(Equal(30))
		for revision := int64(1); revision <= 30; revision++ {
			version, found := result.Operation(fmt.Sprint("o", revision))
			Expect(found).To(BeTrue(), "operation %d", revision)
			Expect(version.Position.Revision).To(Equal(revision))
			Expect(version.Operation).To(Equal(contract.OperationID(fmt.Sprint("o", revision), "f")))
		}
		Expect(result.RemembersAllOperations()).To(BeTrue())
	})

	It("removes operations older than the window", func() {
		result, _ := grown(100)
		_, found := result.Operation("o60")
		Expect(found).To(BeFalse())
		_, found = result.Operation("o61")
		Expect(found).To(BeTrue())
		Expect(result.operations).To(HaveLen(window))
		Expect(result.RemembersAllOperations()).To(BeFalse())
	})

	It("adds operations of versions that it never had, but none that contradict its versions", func() {
		result, _ := grown(30)
		other := newLog(window, bytesMost)
		newest := result.versions[30]
		other.put(newest)
		other.lastSynced, other.committed = 30, 30
		Expect(other.knows(3)).To(BeFalse())
		other.addPastOperations(append(result.sortedPastOperations(), contract.PastOperation{Position: contract.Position{View: 9, Revision: 30}, Operation: "wrong/f"}))
		Expect(other.knows(3)).To(BeTrue())
		_, found := other.Operation("o3")
		Expect(found).To(BeTrue())
		_, found = other.Operation("wrong")
		Expect(found).To(BeFalse())
		Expect(other.pastChanged).To(BeTrue())
	})
})

var _ = Describe("a core with large changes", func() {
	It("sends the operations of removed versions to a member with an empty disk, which then has all that the others have", func() {
		const changes = 60
		core := newTestCluster()
		for _, replica := range core.replicas {
			replica.maxBytes = 200 << 10
		}
		for number := range changes {
			core.write(number, itemChange(fmt.Sprintf("%q", fmt.Sprintf("%020000d", number))))
		}
		Expect(len(core.replicas[0].versions)).To(BeNumerically("<", 12))
		core.replace(2)
		core.replicas[2].maxBytes = 200 << 10
		core.until(func() bool { return len(core.replicas[2].view.Chain) == 3 && core.replicas[2].Committed() == changes })
		core.until(func() bool { return len(core.replicas[2].operations) == changes })
		count, _ := core.replicas[2].missing()
		Expect(count).To(BeZero())
	})
})

var _ = It("finds no version at a position of another view under the same revision", func() {
	result := newLog(10, 1000)
	result.put(contract.NewVersion(contract.Position{View: 2, Revision: 4}, "o/f", document.Empty()))
	version, found := result.lookup(contract.Position{View: 1, Revision: 4})
	Expect(found).To(BeFalse())
	Expect(version.Position).To(BeZero(), "else the next version would be encoded relative to it")
})
