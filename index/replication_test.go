package index

import (
	"time"

	"github.com/cedarreel/cedarreel/contract"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

const (
	saveInterval     = halfLife / savesPerHalfLife
	announceInterval = halfLife / announcesPerHalfLife
)

func peer(name, boot string) contract.Member {
	return contract.Member{Name: name, Boot: boot, Kind: contract.KindControl, Address: name + ":80"}
}

// tick returns the announcements by address and the snapshots.
func (fixture *fixture) tick(peers ...contract.Member) (map[string]Announcement, []Snapshot) {
	GinkgoHelper()
	announcement, snapshots := map[string]Announcement{}, []Snapshot{}
	for _, command := range fixture.Tick(fixture.now, peers) {
		switch command := command.(type) {
		case contract.Send:
			Expect(command.Kind).To(Equal(MessageAnnouncement))
			Expect(announcement).NotTo(HaveKey(command.To))
			announcement[command.To] = command.Body.(Announcement)
		case Persist:
			snapshots = append(snapshots, command.Snapshot)
		}
	}
	return announcement, snapshots
}

func (fixture *fixture) receive(announcement Announcement) {
	GinkgoHelper()
	Expect(fixture.Handle(fixture.now, message(MessageAnnouncement, announcement))).To(BeEmpty())
}

func named(anchor uint64, server string) Placement {
	return Placement{Key: key(anchor), Server: server}
}

var _ = Describe("a snapshot", func() {
	It("given an owner with a disk, when places change, then a snapshot is returned once per interval and only then", func() {
		fixture := newFixture()
		fixture.Restore(Snapshot{})
		_, snapshots := fixture.tick()
		Expect(snapshots).To(BeEmpty())
		fixture.mustPlace(1, "", "a")
		fixture.now += saveInterval - 1
		_, snapshots = fixture.tick()
		Expect(snapshots).To(BeEmpty())
		fixture.now++
		_, snapshots = fixture.tick()
		Expect(snapshots).To(Equal([]Snapshot{{[]Placement{named(1, "a")}}}))
		fixture.Handle(fixture.now, Persisted{})
		fixture.reportUses("n", Use{Key: key(1), Server: "a"})
		fixture.now += saveInterval
		_, snapshots = fixture.tick()
		Expect(snapshots).To(BeEmpty(), "a use alone changes nothing")
	})

	It("given a stalled disk, when places change, then no second snapshot is returned, and the next has all of it", func() {
		fixture := newFixture()
		fixture.Restore(Snapshot{})
		fixture.mustPlace(1, "", "a")
		fixture.tick()
		for anchor := uint64(2); anchor < 9; anchor++ {
			fixture.mustPlace(anchor, "", "a")
			fixture.now += saveInterval
			_, snapshots := fixture.tick()
			Expect(snapshots).To(BeEmpty())
		}
		fixture.Handle(fixture.now, Persisted{})
		_, snapshots := fixture.tick()
		Expect(snapshots).To(BeEmpty(), "the interval applies then too")
		fixture.now += saveInterval
		_, snapshots = fixture.tick()
		Expect(snapshots).To(HaveLen(1))
		Expect(snapshots[0].Places).To(HaveLen(8))
	})

	It("given a failed save, when the next interval comes, then it is repeated and counted", func() {
		fixture := newFixture()
		fixture.Restore(Snapshot{})
		fixture.mustPlace(1, "", "a")
		fixture.tick()
		Expect(fixture.Handle(fixture.now, Persisted{Error: "full"})).To(Equal([]contract.Command{contract.AddCounter{Name: "index_unsaved", Delta: 1}}))
		fixture.now += saveInterval
		_, snapshots := fixture.tick()
		Expect(snapshots).To(HaveLen(1))
	})

	It("given no disk, when places change, then no snapshot is returned", func() {
		fixture := newFixture()
		fixture.mustPlace(1, "", "a")
		_, snapshots := fixture.tick()
		Expect(snapshots).To(BeEmpty())
	})

	It("given more places than it may have, when it is made, then it has the most recently used, the latest last", func() {
		fixture := newFixture()
		for anchor := range uint64(MaxSaved + 5) {
			fixture.mustPlace(anchor, "", "a")
		}
		fixture.mustPlace(2, "", "a")
		places := fixture.Snapshot().Places
		Expect(places).To(HaveLen(MaxSaved))
		Expect(places[0]).To(Equal(named(6, "a")))
		Expect(places[MaxSaved-1]).To(Equal(named(2, "a")))
		again := newFixture()
		again.Restore(Snapshot{append([]Placement{named(90000, "z"), {Key: key(90001)}}, places...)})
		Expect(again.Snapshot().Places).To(Equal(places))
		Expect(again.Len()).To(Equal(MaxSaved), "a snapshot that is too long is truncated")
	})

	It("given a restored place, when it is asked for, then it holds, and if its server is lost it moves at once", func() {
		fixture := &fixture{New(halfLife, cooldown), 0}
		fixture.Restore(Snapshot{[]Placement{named(1, "b"), named(2, "b"), {Key: key(3)}}})
		Expect(fixture.Len()).To(Equal(2), "a place without a server is ignored")
		Expect(fixture.mustPlace(1, "", "a", "b")).To(Equal(named(1, "b")))
		Expect(fixture.mustPlace(2, "b", "a", "b").Server).To(Equal("a"))
	})

	It("given a restored place that nodes have moved since, when the first use tells, then the node's place is adopted, and the next node is corrected", func() {
		fixture := newFixture()
		fixture.Restore(Snapshot{[]Placement{named(1, "old")}})
		Expect(fixture.reportUses("n", Use{Key: key(1), Server: "new"})).To(BeEmpty())
		Expect(fixture.mustPlace(1, "", "old")).To(Equal(named(1, "new")))
		Expect(fixture.reportUses("m", Use{Key: key(1), Server: "old"})).To(HaveLen(1))
	})

	It("given a restored place that a use has confirmed, when another node uses another one, then that node is corrected", func() {
		fixture := newFixture()
		fixture.Restore(Snapshot{[]Placement{named(1, "a")}})
		fixture.reportUses("n", Use{Key: key(1), Server: "a"})
		Expect(fixture.reportUses("m", Use{Key: key(1), Server: "b"})).To(HaveLen(1))
		Expect(fixture.mustPlace(1, "", "b").Server).To(Equal("a"))
	})
})

var _ = Describe("announcements between control nodes", func() {
	It("given changes, when the interval ends, then all peers get them once, and a successor that received them returns the same places", func() {
		fixture, successor := newFixture(), newFixture()
		fixture.mustPlace(1, "", "a")
		fixture.reportUses("n", Use{Key: key(2), Server: "b"})
		announcement, _ := fixture.tick(peer("x", "1"), peer("y", "1"))
		Expect(announcement).To(Equal(map[string]Announcement{"x:80": {Places: []Placement{named(1, "a"), named(2, "b")}}, "y:80": {Places: []Placement{named(1, "a"), named(2, "b")}}}))
		successor.receive(announcement["x:80"])
		Expect(successor.mustPlace(1, "", "c")).To(Equal(named(1, "a")))
		Expect(successor.mustPlace(2, "", "c")).To(Equal(named(2, "b")))
		fixture.now += saveInterval
		announcement, _ = fixture.tick(peer("x", "1"), peer("y", "1"))
		Expect(announcement).To(BeEmpty())
	})

	It("given a change just after an announcement, when the announcement interval ends, long before that of saving, then it is announced, and not before", func() {
		Expect(announceInterval).To(BeNumerically("<", 200*time.Millisecond))
		fixture := newFixture()
		fixture.Restore(Snapshot{})
		fixture.tick(peer("x", "1"))
		for anchor := range uint64(2) {
			fixture.mustPlace(anchor, "", "a")
			announcement, _ := fixture.tick(peer("x", "1"))
			Expect(announcement["x:80"].Places).To(Equal([]Placement{named(anchor, "a")}))
			fixture.now += announceInterval
		}
		fixture.mustPlace(2, "", "a")
		fixture.tick(peer("x", "1"))
		fixture.mustPlace(3, "", "a")
		fixture.now += announceInterval - 1
		Expect(fixture.Tick(fixture.now, []contract.Member{peer("x", "1")})).To(BeEmpty())
		fixture.now++
		announcement, snapshots := fixture.tick(peer("x", "1"))
		Expect(announcement["x:80"].Places).To(Equal([]Placement{named(3, "a")}))
		Expect(snapshots).To(BeEmpty(), "saving has its own interval")
	})

	It("given no announcement for a while, when a place changes, then it is announced with the next tick", func() {
		fixture := newFixture()
		fixture.now += saveInterval
		fixture.tick(peer("x", "1"))
		fixture.mustPlace(1, "", "a")
		fixture.now++
		announcement, _ := fixture.tick(peer("x", "1"))
		Expect(announcement).To(HaveKey("x:80"))
	})

	It("given a peer's announcement, when the interval ends, then it is saved here and not announced further", func() {
		fixture := newFixture()
		fixture.Restore(Snapshot{})
		fixture.receive(Announcement{Places: []Placement{named(1, "a")}})
		announcement, snapshots := fixture.tick()
		Expect(announcement).To(BeEmpty())
		Expect(snapshots).To(HaveLen(1))
		fixture.now += saveInterval
		announcement, _ = fixture.tick(peer("x", "1"))
		Expect(announcement["x:80"].Backfill).To(BeTrue(), "but a new peer gets a backfill")
	})

	It("given a place that changed elsewhere, when it is announced, then it replaces the one here, which does not move again at once", func() {
		fixture := newFixture()
		fixture.mustPlace(1, "", "a")
		fixture.receive(Announcement{Places: []Placement{named(1, "b"), {Key: key(2)}}})
		Expect(fixture.mustPlace(1, "", "a").Server).To(Equal("b"))
		_, found := fixture.place(1, "b", "a")
		Expect(found).To(BeFalse())
		Expect(fixture.Len()).To(Equal(1))
		fixture.now += cooldown
		Expect(fixture.mustPlace(1, "b", "a").Server).To(Equal("a"))
	})

	It("given a disk, when a peer is seen for the first time or with another boot, then it gets a backfill, which only fills gaps", func() {
		fixture, newcomer := newFixture(), newFixture()
		fixture.Restore(Snapshot{[]Placement{named(1, "a"), named(2, "a")}})
		announcement, _ := fixture.tick(peer("x", "1"))
		Expect(announcement).To(Equal(map[string]Announcement{"x:80": {Places: []Placement{named(1, "a"), named(2, "a")}, Backfill: true}}))
		newcomer.mustPlace(2, "", "own")
		newcomer.receive(announcement["x:80"])
		Expect(newcomer.mustPlace(1, "", "c")).To(Equal(named(1, "a")))
		Expect(newcomer.mustPlace(2, "", "c")).To(Equal(named(2, "own")))
		for boot, again := range map[string]bool{"1": false, "2": true} {
			fixture.now += time.Millisecond
			fixture.tick(peer("x", "1"))
			announcement, _ = fixture.tick(peer("x", boot))
			Expect(len(announcement) == 1).To(Equal(again))
		}
	})

	It("given no disk, when a peer is seen for the first time, then it gets changes only", func() {
		fixture := newFixture()
		fixture.mustPlace(1, "", "a")
		fixture.tick()
		fixture.now += saveInterval
		announcement, _ := fixture.tick(peer("x", "1"))
		Expect(announcement).To(BeEmpty())
	})

	It("given more changes than a message takes, when intervals pass, then all are announced in bounded messages", func() {
		fixture, successor := newFixture(), newFixture()
		for anchor := range uint64(maxAnnounced * 5 / 2) {
			fixture.mustPlace(anchor, "", "a")
		}
		for range 3 {
			announcement, _ := fixture.tick(peer("x", "1"))
			Expect(len(announcement["x:80"].Places)).To(And(BeNumerically(">", 0), BeNumerically("<=", maxAnnounced)))
			successor.receive(announcement["x:80"])
			fixture.now += saveInterval
		}
		Expect(successor.Len()).To(Equal(maxAnnounced * 5 / 2))
	})

	It("given a message with more places than it may have, when it comes, then the excess is ignored", func() {
		fixture, places := newFixture(), []Placement{}
		for anchor := range uint64(maxAnnounced + 5) {
			places = append(places, named(anchor, "a"))
		}
		fixture.receive(Announcement{Places: places})
		Expect(fixture.Len()).To(Equal(maxAnnounced))
	})
})
