package index

import (
	"time"

	"github.com/cedarreel/cedarreel/contract"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

const (
	beat     = halfLife / savesPerHalfLife
	tellBeat = halfLife / tellsPerHalfLife
)

func peer(name, boot string) contract.Member {
	return contract.Member{Name: name, Boot: boot, Kind: contract.KindControl, Address: name + ":80"}
}

// tick gives what is told to whom, and the snapshots that are handed out.
func (bench *bench) tick(peers ...contract.Member) (map[string]Told, []Snapshot) {
	GinkgoHelper()
	told, snapshots := map[string]Told{}, []Snapshot{}
	for _, command := range bench.Tick(bench.now, peers) {
		switch command := command.(type) {
		case contract.Send:
			Expect(command.Kind).To(Equal(MessageTold))
			Expect(told).NotTo(HaveKey(command.To))
			told[command.To] = command.Body.(Told)
		case Persist:
			snapshots = append(snapshots, command.Snapshot)
		}
	}
	return told, snapshots
}

func (bench *bench) hears(told Told) {
	GinkgoHelper()
	Expect(bench.Handle(bench.now, message(MessageTold, told))).To(BeEmpty())
}

func named(anchor uint64, server string) Place { return Place{Key: key(anchor), Server: server} }

var _ = Describe("a snapshot", func() {
	It("given an owner with a disk, when places change, then they are handed out once a beat and only then", func() {
		bench := started()
		bench.Restore(Snapshot{})
		_, snapshots := bench.tick()
		Expect(snapshots).To(BeEmpty())
		bench.placed(1, "", "a")
		bench.now += beat - 1
		_, snapshots = bench.tick()
		Expect(snapshots).To(BeEmpty())
		bench.now++
		_, snapshots = bench.tick()
		Expect(snapshots).To(Equal([]Snapshot{{[]Place{named(1, "a")}}}))
		bench.Handle(bench.now, Persisted{})
		bench.uses("n", Use{Key: key(1), Server: "a"})
		bench.now += beat
		_, snapshots = bench.tick()
		Expect(snapshots).To(BeEmpty(), "a use alone changes nothing")
	})

	It("given a disk that stalls, when places change, then no second snapshot is handed out, and the next has all of it", func() {
		bench := started()
		bench.Restore(Snapshot{})
		bench.placed(1, "", "a")
		bench.tick()
		for anchor := uint64(2); anchor < 9; anchor++ {
			bench.placed(anchor, "", "a")
			bench.now += beat
			_, snapshots := bench.tick()
			Expect(snapshots).To(BeEmpty())
		}
		bench.Handle(bench.now, Persisted{})
		_, snapshots := bench.tick()
		Expect(snapshots).To(BeEmpty(), "the beat holds then too")
		bench.now += beat
		_, snapshots = bench.tick()
		Expect(snapshots).To(HaveLen(1))
		Expect(snapshots[0].Places).To(HaveLen(8))
	})

	It("given a disk that refuses, when the next beat comes, then it is tried again and counted", func() {
		bench := started()
		bench.Restore(Snapshot{})
		bench.placed(1, "", "a")
		bench.tick()
		Expect(bench.Handle(bench.now, Persisted{Error: "full"})).To(Equal([]contract.Command{contract.AddCounter{Name: "index_unsaved", Delta: 1}}))
		bench.now += beat
		_, snapshots := bench.tick()
		Expect(snapshots).To(HaveLen(1))
	})

	It("given no disk, when places change, then nothing is handed out", func() {
		bench := started()
		bench.placed(1, "", "a")
		_, snapshots := bench.tick()
		Expect(snapshots).To(BeEmpty())
	})

	It("given more places than it may have, when it is made, then those used last are in it, the latest at the end", func() {
		bench := started()
		for anchor := range uint64(MostSaved + 5) {
			bench.placed(anchor, "", "a")
		}
		bench.placed(2, "", "a")
		places := bench.Snapshot().Places
		Expect(places).To(HaveLen(MostSaved))
		Expect(places[0]).To(Equal(named(6, "a")))
		Expect(places[MostSaved-1]).To(Equal(named(2, "a")))
		again := started()
		again.Restore(Snapshot{append([]Place{named(90000, "z"), {Key: key(90001)}}, places...)})
		Expect(again.Snapshot().Places).To(Equal(places))
		Expect(again.Len()).To(Equal(MostSaved), "one that is too long is cut")
	})

	It("given a restored place, when it is asked for, then it holds, and if its server is lost it moves at once", func() {
		bench := &bench{New(halfLife, rest), 0}
		bench.Restore(Snapshot{[]Place{named(1, "b"), named(2, "b"), {Key: key(3)}}})
		Expect(bench.Len()).To(Equal(2), "a place without a server is none")
		Expect(bench.placed(1, "", "a", "b")).To(Equal(named(1, "b")))
		Expect(bench.placed(2, "b", "a", "b").Server).To(Equal("a"))
	})

	It("given a restored place that nodes have moved since, when the first use tells, then the node is believed, and the next is put right", func() {
		bench := started()
		bench.Restore(Snapshot{[]Place{named(1, "old")}})
		Expect(bench.uses("n", Use{Key: key(1), Server: "new"})).To(BeEmpty())
		Expect(bench.placed(1, "", "old")).To(Equal(named(1, "new")))
		Expect(bench.uses("m", Use{Key: key(1), Server: "old"})).To(HaveLen(1))
	})

	It("given a restored place that a use has confirmed, when another node uses another one, then that node is put right", func() {
		bench := started()
		bench.Restore(Snapshot{[]Place{named(1, "a")}})
		bench.uses("n", Use{Key: key(1), Server: "a"})
		Expect(bench.uses("m", Use{Key: key(1), Server: "b"})).To(HaveLen(1))
		Expect(bench.placed(1, "", "b").Server).To(Equal("a"))
	})
})

var _ = Describe("what control nodes tell each other", func() {
	It("given changes, when the beat comes, then all others are told once, and a successor that heard it gives the same places", func() {
		bench, successor := started(), started()
		bench.placed(1, "", "a")
		bench.uses("n", Use{Key: key(2), Server: "b"})
		told, _ := bench.tick(peer("x", "1"), peer("y", "1"))
		Expect(told).To(Equal(map[string]Told{"x:80": {Places: []Place{named(1, "a"), named(2, "b")}}, "y:80": {Places: []Place{named(1, "a"), named(2, "b")}}}))
		successor.hears(told["x:80"])
		Expect(successor.placed(1, "", "c")).To(Equal(named(1, "a")))
		Expect(successor.placed(2, "", "c")).To(Equal(named(2, "b")))
		bench.now += beat
		told, _ = bench.tick(peer("x", "1"), peer("y", "1"))
		Expect(told).To(BeEmpty())
	})

	It("given a change just after another was told, when the beat of telling comes, long before that of saving, then it is told, and not before", func() {
		Expect(tellBeat).To(BeNumerically("<", 200*time.Millisecond))
		bench := started()
		bench.Restore(Snapshot{})
		bench.tick(peer("x", "1"))
		for anchor := range uint64(2) {
			bench.placed(anchor, "", "a")
			told, _ := bench.tick(peer("x", "1"))
			Expect(told["x:80"].Places).To(Equal([]Place{named(anchor, "a")}))
			bench.now += tellBeat
		}
		bench.placed(2, "", "a")
		bench.tick(peer("x", "1"))
		bench.placed(3, "", "a")
		bench.now += tellBeat - 1
		Expect(bench.Tick(bench.now, []contract.Member{peer("x", "1")})).To(BeEmpty())
		bench.now++
		told, snapshots := bench.tick(peer("x", "1"))
		Expect(told["x:80"].Places).To(Equal([]Place{named(3, "a")}))
		Expect(snapshots).To(BeEmpty(), "saving has its own beat")
	})

	It("given nothing to tell for a while, when a place changes, then it is told with the next tick", func() {
		bench := started()
		bench.now += beat
		bench.tick(peer("x", "1"))
		bench.placed(1, "", "a")
		bench.now++
		told, _ := bench.tick(peer("x", "1"))
		Expect(told).To(HaveKey("x:80"))
	})

	It("given what others told, when the beat comes, then it is saved here and not told further", func() {
		bench := started()
		bench.Restore(Snapshot{})
		bench.hears(Told{Places: []Place{named(1, "a")}})
		told, snapshots := bench.tick()
		Expect(told).To(BeEmpty())
		Expect(snapshots).To(HaveLen(1))
		bench.now += beat
		told, _ = bench.tick(peer("x", "1"))
		Expect(told["x:80"].Kept).To(BeTrue(), "but a peer that was not there before is told what is kept")
	})

	It("given a place that changed elsewhere, when it is told, then it replaces the one here, which does not move again at once", func() {
		bench := started()
		bench.placed(1, "", "a")
		bench.hears(Told{Places: []Place{named(1, "b"), {Key: key(2)}}})
		Expect(bench.placed(1, "", "a").Server).To(Equal("b"))
		_, there := bench.place(1, "b", "a")
		Expect(there).To(BeFalse())
		Expect(bench.Len()).To(Equal(1))
		bench.now += rest
		Expect(bench.placed(1, "b", "a").Server).To(Equal("a"))
	})

	It("given a disk, when a peer is seen for the first time or in another life, then it is told what is kept, and only that fills gaps", func() {
		bench, newcomer := started(), started()
		bench.Restore(Snapshot{[]Place{named(1, "a"), named(2, "a")}})
		told, _ := bench.tick(peer("x", "1"))
		Expect(told).To(Equal(map[string]Told{"x:80": {Places: []Place{named(1, "a"), named(2, "a")}, Kept: true}}))
		newcomer.placed(2, "", "own")
		newcomer.hears(told["x:80"])
		Expect(newcomer.placed(1, "", "c")).To(Equal(named(1, "a")))
		Expect(newcomer.placed(2, "", "c")).To(Equal(named(2, "own")))
		for boot, again := range map[string]bool{"1": false, "2": true} {
			bench.now += time.Millisecond
			bench.tick(peer("x", "1"))
			told, _ = bench.tick(peer("x", boot))
			Expect(len(told) == 1).To(Equal(again))
		}
	})

	It("given no disk, when a peer is seen for the first time, then it is told changes alone", func() {
		bench := started()
		bench.placed(1, "", "a")
		bench.tick()
		bench.now += beat
		told, _ := bench.tick(peer("x", "1"))
		Expect(told).To(BeEmpty())
	})

	It("given more changes than a message takes, when beats pass, then all are told, a bounded message each", func() {
		bench, successor := started(), started()
		for anchor := range uint64(mostTold * 5 / 2) {
			bench.placed(anchor, "", "a")
		}
		for range 3 {
			told, _ := bench.tick(peer("x", "1"))
			Expect(len(told["x:80"].Places)).To(And(BeNumerically(">", 0), BeNumerically("<=", mostTold)))
			successor.hears(told["x:80"])
			bench.now += beat
		}
		Expect(successor.Len()).To(Equal(mostTold * 5 / 2))
	})

	It("given a message with more places than it may have, when it comes, then the rest is left out", func() {
		bench, places := started(), []Place{}
		for anchor := range uint64(mostTold + 5) {
			places = append(places, named(anchor, "a"))
		}
		bench.hears(Told{Places: places})
		Expect(bench.Len()).To(Equal(mostTold))
	})
})
