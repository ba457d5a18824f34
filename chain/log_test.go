package chain

import (
	"fmt"

	"github.com/cedarreel/cedarreel/contract"
	"github.com/cedarreel/cedarreel/document"
	. "github.com/onsi/gomega"
)

var _ = Describe("a log that is bounded by bytes", func() {
	const (
		changeSize = 1000
		bytesMost  = 10 * changeSize
		window     = 40
	)
	// grown gives a log of so many committed versions, each of which is a change of changeSize bytes.
	grown := func(count int64) (*log, []contract.Position) {
		made, dropped := newLog(window, bytesMost), []contract.Position{}
		version := contract.Version{}
		for revision := int64(1); revision <= count; revision++ {
			version = version.Next(contract.Position{View: 1, Revision: revision}, contract.OperationID(fmt.Sprint("o", revision), "f"),
				item(fmt.Sprintf("%q", fmt.Sprintf("%0*d", changeSize-len("/item")-2, revision))))
			made.put(version)
			made.lastSynced, made.committed = revision, revision
			dropped = append(dropped, made.trim()...)
		}
		return &made, dropped
	}

	It("keeps the newest versions that fit and the operations of the whole window", func() {
		made, dropped := grown(30)
		Expect(len(made.versions)).To(And(BeNumerically(">=", 8), BeNumerically("<=", 11)))
		Expect(made.bytes).To(BeNumerically("<=", bytesMost))
		Expect(len(dropped) + len(made.versions)).To(Equal(30))
		for revision := int64(1); revision <= 30; revision++ {
			version, there := made.Operation(fmt.Sprint("o", revision))
			Expect(there).To(BeTrue(), "operation %d", revision)
			Expect(version.Position.Revision).To(Equal(revision))
			Expect(version.Operation).To(Equal(contract.OperationID(fmt.Sprint("o", revision), "f")))
		}
		Expect(made.RemembersAllOperations()).To(BeTrue())
	})

	It("forgets operations that are older than the window", func() {
		made, _ := grown(100)
		_, there := made.Operation("o60")
		Expect(there).To(BeFalse())
		_, there = made.Operation("o61")
		Expect(there).To(BeTrue())
		Expect(made.operations).To(HaveLen(window))
		Expect(made.RemembersAllOperations()).To(BeFalse())
	})

	It("takes up operations of versions that it never had, and none that contradict what it has", func() {
		made, _ := grown(30)
		other := newLog(window, bytesMost)
		newest := made.versions[30]
		other.put(newest)
		other.lastSynced, other.committed = 30, 30
		Expect(other.knows(3)).To(BeFalse())
		other.addPastOperations(append(made.sortedPastOperations(), contract.PastOperation{Position: contract.Position{View: 9, Revision: 30}, Operation: "wrong/f"}))
		Expect(other.knows(3)).To(BeTrue())
		_, there := other.Operation("o3")
		Expect(there).To(BeTrue())
		_, there = other.Operation("wrong")
		Expect(there).To(BeFalse())
		Expect(other.pastChanged).To(BeTrue())
	})
})

var _ = Describe("a core whose changes are large", func() {
	It("hands the operations of versions that are gone to a member with an empty disk, which has what the others have", func() {
		const changes = 60
		core := newTrio()
		for _, owner := range core.owners {
			owner.maxBytes = 200 << 10
		}
		for number := range changes {
			core.write(number, item(fmt.Sprintf("%q", fmt.Sprintf("%020000d", number))))
		}
		Expect(len(core.owners[0].versions)).To(BeNumerically("<", 12))
		core.replace(2)
		core.owners[2].maxBytes = 200 << 10
		core.until(func() bool { return len(core.owners[2].view.Chain) == 3 && core.owners[2].Committed() == changes })
		core.until(func() bool { return len(core.owners[2].operations) == changes })
		count, _ := core.owners[2].missing()
		Expect(count).To(BeZero())
	})
})

var _ = It("gives no version for a place of another view under the same revision", func() {
	made := newLog(10, 1000)
	made.put(contract.NewVersion(contract.Position{View: 2, Revision: 4}, "o/f", document.Empty()))
	version, there := made.lookup(contract.Position{View: 1, Revision: 4})
	Expect(there).To(BeFalse())
	Expect(version.Position).To(BeZero(), "else what follows would be told as its change")
})
