package neighbour

import (
	"encoding/json"
	"time"

	"github.com/cedarreel/cedarreel/contract"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// hears has one owner take a shuffle as it came over a link.
func hears(owner *Owner, now time.Duration, from string, shuffle Shuffle) {
	body, failure := json.Marshal(shuffle)
	Expect(failure).NotTo(HaveOccurred())
	owner.Handle(now, contract.Message{Kind: MessageShuffle, From: from, Body: body})
}

// moves tells an owner that every member of its table but some has another revision in force now.
func moves(owner *Owner, now time.Duration, revision int64, but ...string) {
	left := map[string]bool{}
	for _, name := range but {
		left[name] = true
	}
	for _, name := range owner.names() {
		if known := owner.table[name]; !left[name] {
			member := known.member
			member.Heartbeat, member.Position = member.Heartbeat+1, contract.Position{View: 1, Revision: revision}
			owner.merge(now, member)
		}
	}
	owner.Hold(contract.Position{View: 1, Revision: revision}, 1, false)
}

func revisions(owner *Owner) map[string]int64 {
	revisions := map[string]int64{}
	for name, known := range owner.table {
		revisions[name] = known.member.Position.Revision
	}
	return revisions
}

var _ = Describe("places of members in a shuffle", func() {
	var sender, reader *Owner
	var now time.Duration

	BeforeEach(func() {
		sender, now = fleet(20, 4)
		reader, _ = fleet(20, 4)
		reader.self.Name, reader.self.Address = "reader-data", "reader"
		sender.self.Heartbeat = 1
		sender.Hold(contract.Position{}, 1, false)
	})

	It("given a change that is in force everywhere, when a shuffle is drawn, then it tells so by beats, and the reader knows it of all", func() {
		moves(sender, now, 7)
		shuffle := sender.sample(now, false)
		Expect(shuffle.Members).To(HaveLen(1 + wholeRows))
		hears(reader, now, "self-data", shuffle)
		delete(reader.table, "self-data")
		Expect(revisions(reader)).To(HaveEach(int64(7)))
	})

	It("given members that are behind the sender, when a shuffle is drawn, then they are not told as having its place", func() {
		moves(sender, now, 7, "node-0003-data")
		hears(reader, now, "self-data", sender.sample(now, false))
		Expect(revisions(reader)["node-0003-data"]).To(BeZero())
	})

	It("given members that are ahead of the sender, when a shuffle is drawn, then their rows go whole, as in a storm of changes", func() {
		moves(sender, now, 7)
		sender.Hold(contract.Position{View: 1, Revision: 6}, 1, false)
		shuffle := sender.sample(now, false)
		Expect(shuffle.Members).To(HaveLen(1 + 24))
		hears(reader, now, "self-data", shuffle)
		delete(reader.table, "self-data")
		Expect(revisions(reader)).To(HaveEach(int64(7)))
	})

	It("given a reader that knows a newer place, when older ones are told, by beats or whole, then it does not go back", func() {
		moves(reader, now, 9)
		moves(sender, now, 7)
		for _, newcomer := range []bool{false, true} {
			for _, name := range sender.names() {
				sender.table[name].member.Heartbeat += 5
			}
			hears(reader, now, "self-data", sender.sample(now, newcomer))
			delete(reader.table, "self-data")
			Expect(revisions(reader)).To(HaveEach(int64(9)))
		}
	})

	It("given a member that began anew, when its former life's place is told by a beat, then it is not taken for its own", func() {
		moves(sender, now, 7)
		shuffle := sender.sample(now, false)
		known := reader.table["node-0003-data"]
		known.member.Incarnation, known.member.Boot = 2, "b2"
		hears(reader, now, "self-data", shuffle)
		Expect(revisions(reader)["node-0003-data"]).To(BeZero())
	})

	It("given a reader of older shuffles, when it takes one, then the beats are where they were", func() {
		moves(sender, now, 7)
		shuffle := sender.sample(now, false)
		shuffle.Here = 0
		for _, known := range reader.table {
			known.advanced = 0
		}
		hears(reader, now, "self-data", shuffle)
		for _, known := range reader.table {
			Expect(known.advanced).To(Equal(now))
		}
	})
})
