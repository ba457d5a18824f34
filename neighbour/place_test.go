package neighbour

import (
	"encoding/json"
	"time"

	"github.com/cedarreel/cedarreel/contract"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// receive has a membership process a shuffle as it arrives over a link.
func receive(membership *Membership, now time.Duration, from string, shuffle Shuffle) {
	body, err := json.Marshal(shuffle)
	Expect(err).NotTo(HaveOccurred())
	membership.Handle(now, contract.Message{Kind: MessageShuffle, From: from, Body: body})
}

// setPositions tells a membership that every member of its table, except some, has another revision in force.
func setPositions(membership *Membership, now time.Duration, revision int64, but ...string) {
	left := map[string]bool{}
	for _, name := range but {
		left[name] = true
	}
	for _, name := range membership.names() {
		if record := membership.table[name]; !left[name] {
			member := record.member
			member.Heartbeat, member.Position = member.Heartbeat+1, contract.Position{View: 1, Revision: revision}
			membership.mergeMember(now, member)
		}
	}
	membership.SetState(contract.Position{View: 1, Revision: revision}, 1, false)
}

func revisions(membership *Membership) map[string]int64 {
	revisions := map[string]int64{}
	for name, record := range membership.table {
		revisions[name] = record.member.Position.Revision
	}
	return revisions
}

var _ = Describe("positions of members in a shuffle", func() {
	var sender, reader *Membership
	var now time.Duration

	BeforeEach(func() {
		sender, now = newFleet(20, 4)
		reader, _ = newFleet(20, 4)
		reader.self.Name, reader.self.Address = "reader-data", "reader"
		sender.self.Heartbeat = 1
		sender.SetState(contract.Position{}, 1, false)
	})

	It("given a change that is in force everywhere, when a shuffle is sampled, then heartbeats carry it, and the reader knows it of all", func() {
		setPositions(sender, now, 7)
		shuffle := sender.sampleTable(now, false)
		Expect(shuffle.Members).To(HaveLen(1 + fullRows))
		receive(reader, now, "self-data", shuffle)
		delete(reader.table, "self-data")
		Expect(revisions(reader)).To(HaveEach(int64(7)))
	})

	It("given members that are behind the sender, when a shuffle is sampled, then they are not sent with its position", func() {
		setPositions(sender, now, 7, "node-0003-data")
		receive(reader, now, "self-data", sender.sampleTable(now, false))
		Expect(revisions(reader)["node-0003-data"]).To(BeZero())
	})

	It("given members that are ahead of the sender, when a shuffle is sampled, then their rows are sent in full", func() {
		setPositions(sender, now, 7)
		sender.SetState(contract.Position{View: 1, Revision: 6}, 1, false)
		shuffle := sender.sampleTable(now, false)
		Expect(shuffle.Members).To(HaveLen(1 + 24))
		receive(reader, now, "self-data", shuffle)
		delete(reader.table, "self-data")
		Expect(revisions(reader)).To(HaveEach(int64(7)))
	})

	It("given a reader that knows a newer position, when older ones arrive, as heartbeats or full rows, then it does not go back", func() {
		setPositions(reader, now, 9)
		setPositions(sender, now, 7)
		for _, newcomer := range []bool{false, true} {
			for _, name := range sender.names() {
				sender.table[name].member.Heartbeat += 5
			}
			receive(reader, now, "self-data", sender.sampleTable(now, newcomer))
			delete(reader.table, "self-data")
			Expect(revisions(reader)).To(HaveEach(int64(9)))
		}
	})

	It("given a restarted member, when a heartbeat carries the position of its former incarnation, then that is ignored", func() {
		setPositions(sender, now, 7)
		shuffle := sender.sampleTable(now, false)
		record := reader.table["node-0003-data"]
		record.member.Incarnation, record.member.Boot = 2, "b2"
		receive(reader, now, "self-data", shuffle)
		Expect(revisions(reader)["node-0003-data"]).To(BeZero())
	})

	It("given a reader that does not know positions in heartbeats, when it processes a shuffle, then it still reads the heartbeats", func() {
		setPositions(sender, now, 7)
		shuffle := sender.sampleTable(now, false)
		shuffle.SamePosition = 0
		for _, record := range reader.table {
			record.heartbeatAt = 0
		}
		receive(reader, now, "self-data", shuffle)
		for _, record := range reader.table {
			Expect(record.heartbeatAt).To(Equal(now))
		}
	})
})
