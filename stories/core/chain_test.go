package core

import (
	"fmt"
	"time"

	"github.com/cedarreel/cedarreel/contract"
	"github.com/cedarreel/cedarreel/fleet"
	"github.com/cedarreel/cedarreel/stories/harness"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("the chain of configuration", func() {
	for _, name := range harness.SiteNames {
		It("takes a storm of "+name+" without a change of view, and every revision reads back", func() {
			played := harness.StartReadyFleet(name, 103)
			before := harness.ChainView(played, played.Machines[3])
			for index := range 120 {
				played.World.After(time.Duration(index)*20*time.Millisecond, func() {
					played.Write(played.Machines[index%12], played.Patch(index), nil)
				})
			}
			played.Run(10 * time.Second)
			accepted := 0
			for _, written := range played.Writes {
				if written.Status == 200 {
					accepted++
				}
			}
			Expect(accepted).To(Equal(121))
			Expect(harness.ChainView(played, played.Machines[3]).Number).To(Equal(before.Number))
			harness.ExpectNoBreaches(played)
		})
	}

	for _, name := range harness.SiteNames {
		It("gets over a storm in "+name+" that a core machine's loss leaves half done, and answers reads again", func() {
			for seed := uint64(104); seed < 107; seed++ {
				played := harness.StartReadyFleet(name, seed)
				for index := range 120 {
					played.World.After(time.Duration(index)*12*time.Millisecond, func() {
						played.Write(played.Machines[index%12], played.Patch(index), nil)
					})
				}
				played.World.After(200*time.Millisecond, func() { played.WipeAndReturn(played.Cores()[int(seed)%3], 2*time.Second) })
				played.Run(12 * time.Second)
				settled := harness.ChainView(played, played.Machines[3])
				Expect(settled.Chain).To(HaveLen(3))
				played.Run(10 * time.Second)
				Expect(harness.ChainView(played, played.Machines[3]).Number).To(Equal(settled.Number), "the view rests")
				harness.ExpectNoBreaches(played)
			}
		})
	}

	It("takes a core machine back whose disk was full while the others wrote", func() {
		for seed := uint64(107); seed < 111; seed++ {
			played := harness.StartReadyFleet("brazos", seed)
			disk := played.Cores()[int(seed)%3].Disk
			disk.Full = true
			for index := range 8 {
				played.World.After(time.Duration(index)*300*time.Millisecond, func() { played.Write(played.Machines[3], played.Patch(index), nil) })
			}
			played.Run(6 * time.Second)
			disk.Full = false
			played.Run(10 * time.Second)
			Expect(harness.ChainView(played, played.Machines[1]).Chain).To(HaveLen(3), "seed %d", seed)
			harness.ExpectNoBreaches(played)
		}
	})

	It("gives a core machine that is back within a moment every accepted revision", func() {
		played := harness.StartReadyFleet("brazos", 103)
		for index := range 5 {
			Expect(harness.SendPatch(played, played.Machines[index], index).Status).To(Equal(200))
		}
		played.KillFor(played.Cores()[2:], 2*time.Second)
		played.Run(10 * time.Second)
		Expect(harness.ChainView(played, played.Machines[1]).Chain).To(HaveLen(3))
		harness.ExpectNoBreaches(played)
	})

	It("keeps what was acknowledged when every core machine restarts and their disks lost it", func() {
		played := harness.StartReadyFleet("seri", 9)
		for index := range 6 {
			Expect(harness.SendPatch(played, played.Machines[index], index).Status).To(Equal(200))
		}
		_, newest := played.Manifest(played.Machines[2])
		for _, machine := range played.Cores() {
			machine.Disk.LostSaves = 4
		}
		played.KillFor(played.Cores(), time.Second)
		played.Run(12 * time.Second)
		_, after := played.Manifest(played.Machines[2])
		Expect(after).To(Equal(newest))
		Expect(harness.SendPatch(played, played.Machines[2], 9).Accepted.Revision).To(BeNumerically(">", newest))
	})

	It("puts an empty machine at a new address in the place of a core machine, several times in a row", func() {
		played := harness.StartReadyFleet("seri", 4)
		for index := range 3 {
			Expect(harness.SendPatch(played, played.Machines[1], index).Status).To(BeElementOf(200, 202))
			fresh := played.Swap(played.Cores()[index])
			Expect(played.Until(20*time.Second, func() bool {
				view := harness.ChainView(played, played.Machines[1])
				for _, identity := range view.Chain {
					if len(view.Chain) == 3 && identity == fresh.Name+"-control#b1" {
						return true
					}
				}
				return false
			})).To(BeTrue(), fmt.Sprint("swap ", index))
		}
		Expect(harness.SendPatch(played, played.Machines[1], 9).Status).To(BeElementOf(200, 202))
		harness.ExpectNoBreaches(played)
	})

	It("goes on with two core machines, refuses with one, and says that nothing was committed", func() {
		played := harness.StartReadyFleet("brazos", 5)
		cores := played.Cores()
		cores[0].Kill()
		played.Run(5 * time.Second)
		written := harness.SendPatch(played, played.Machines[1], 1)
		Expect(written.Status).To(Equal(202))
		Expect(written.Accepted.MissingNodes).To(ContainElement(cores[0].Name + "-control"))
		cores[1].Kill()
		played.Run(5 * time.Second)
		refused := harness.SendPatch(played, played.Machines[1], 2)
		Expect(refused.Status).To(BeElementOf(503, 504))
		cores[0].Start()
		cores[1].Start()
		played.Run(12 * time.Second)
		Expect(harness.SendPatch(played, played.Machines[1], 3).Status).To(Equal(200))
		harness.ExpectNoBreaches(played)
	})

	It("does not let a woken old head acknowledge, nor a woken old tail answer", func() {
		played := harness.StartReadyFleet("brazos", 6)
		cores := played.Cores()
		old := harness.ChainView(played, played.Machines[1])
		head, tail := played.Machine(old.Chain[0][:3]), played.Machine(old.Chain[2][:3])
		played.FreezeFor([]*fleet.Machine{head, tail}, 100*time.Millisecond)
		played.Run(time.Second)
		head.Freeze()
		played.Run(8 * time.Second)
		Expect(harness.SendPatch(played, played.Machines[1], 1).Status).To(BeElementOf(200, 202))
		head.Wake()
		late := played.Do(head, played.Patch(2))
		Expect(late.Status).NotTo(BeZero())
		played.Run(5 * time.Second)
		Expect(cores).To(HaveLen(3))
		harness.ExpectNoBreaches(played)
	})

	It("answers an operator who asks again with the same key as it did at first", func() {
		played := harness.StartReadyFleet("brazos", 7)
		ask := played.Patch(1)
		first, second := played.Do(played.Machines[1], ask), played.Do(played.Machines[9], ask)
		Expect(second.Status).To(Equal(200))
		Expect(second.Accepted.Revision).To(Equal(first.Accepted.Revision))
		other := played.Patch(2)
		other.Operation = ask.Operation
		Expect(played.Do(played.Machines[2], other).Status).To(Equal(422))
		asked := played.Operate(played.Machines[7], contract.OperatorRequest{Verb: contract.VerbOperation, Subject: ask.Operation})
		Expect(asked.Status).To(Equal(200))
		harness.ExpectNoBreaches(played)
	})

	It("never founds a second core beside one that works", func() {
		played := harness.StartReadyFleet("brazos", 8)
		machine := played.Cores()[1]
		played.WipeAndReturn(machine, time.Second)
		played.Run(10 * time.Second)
		view := harness.ChainView(played, played.Machines[2])
		Expect(view.Chain).To(HaveLen(3))
		_, revision := played.Manifest(machine)
		Expect(revision).To(Equal(int64(1)))
		harness.ExpectNoBreaches(played)
	})
})

var _ = Describe("repair of the core", func() {
	It("hands back older revisions that every core disk has lost, from what other nodes kept", func() {
		played := harness.StartReadyFleet("brazos", 11)
		for index := range 6 {
			Expect(harness.SendPatch(played, played.Machines[index], index).Status).To(Equal(200))
		}
		for _, machine := range played.Cores() {
			machine.Disk.LostSaves = 60
		}
		played.KillFor(played.Cores(), time.Second)
		played.Run(15 * time.Second)
		harness.ExpectNoBreaches(played)
	})

	It("founds anew when one core machine restarted and another was swapped in the same moment", func() {
		played := harness.StartReadyFleet("brazos", 12)
		Expect(harness.SendPatch(played, played.Machines[1], 1).Status).To(Equal(200))
		cores := played.Cores()
		played.KillFor(cores[:1], 5*time.Second)
		played.Run(4900 * time.Millisecond)
		played.Swap(cores[2])
		played.Run(20 * time.Second)
		Expect(harness.ChainView(played, played.Machines[1]).Chain).To(HaveLen(3))
		Expect(harness.SendPatch(played, played.Machines[1], 2).Status).To(BeElementOf(200, 202))
		harness.ExpectNoBreaches(played)
	})
})

var _ = Describe("a core that lost more than one machine", func() {
	It("goes on from a holder when a chain of one is wiped", func() {
		played := harness.StartReadyFleet("brazos", 13)
		Expect(harness.SendPatch(played, played.Machines[1], 1).Status).To(Equal(200))
		cores := played.Cores()
		played.CutFor([]string{cores[2].Name}, 13*time.Second, true)
		played.Run(4 * time.Second)
		Expect(harness.SendPatch(played, played.Machines[1], 2).Status).To(Equal(202))
		cores[0].Disk.Full = true
		played.Write(played.Machines[1], played.Patch(3), nil)
		played.Run(5 * time.Second)
		played.WipeAndReturn(cores[1], 2*time.Second)
		played.Run(4 * time.Second)
		cores[0].Disk.Full = false
		played.Run(15 * time.Second)
		Expect(harness.ChainView(played, played.Machines[1]).Chain).To(HaveLen(3))
		harness.ExpectNoBreaches(played)
	})

	It("that two swaps in one moment left without a majority waits for an operator's word, then founds", func() {
		played := harness.StartReadyFleet("seri", 14)
		Expect(harness.SendPatch(played, played.Machines[1], 1).Status).To(Equal(200))
		cores := played.Cores()
		played.Swap(cores[0])
		played.Swap(cores[1])
		played.Run(15 * time.Second)
		Expect(played.Operate(played.Machines[1], contract.OperatorRequest{Verb: contract.VerbGet}).Status).To(BeElementOf(503, 504))
		Expect(played.Operate(played.Machines[1], contract.OperatorRequest{Verb: contract.VerbGone, Subject: cores[2].Name}).Status).To(Equal(409))
		Expect(played.Operate(played.Machines[1], contract.OperatorRequest{Verb: contract.VerbGone, Subject: cores[0].Name}).Status).To(Equal(200))
		Expect(played.Operate(played.Machines[1], contract.OperatorRequest{Verb: contract.VerbGone, Subject: cores[1].Name}).Status).To(Equal(200))
		played.Run(15 * time.Second)
		Expect(harness.ChainView(played, played.Machines[1]).Chain).To(HaveLen(3))
		Expect(harness.SendPatch(played, played.Machines[1], 2).Status).To(BeElementOf(200, 202))
		harness.ExpectNoBreaches(played)
	})
})

var _ = It("a view that only the folders of killed machines know reaches the one that was cut off, and the core goes on", func() {
	played := harness.StartReadyFleet("brazos", 15)
	Expect(harness.SendPatch(played, played.Machines[1], 1).Status).To(Equal(200))
	inside, outside := fleet.Names(played.InRegion("central")), fleet.Names(played.InRegion("coast"))
	played.World.CutBoth(inside, outside)
	played.Run(6 * time.Second)
	Expect(harness.ChainView(played, played.Machines[1]).Number).To(Equal(int64(2)))
	played.KillFor(played.InRegion("central"), 3*time.Second)
	played.World.Heal()
	played.Run(20 * time.Second)
	Expect(harness.ChainView(played, played.Machines[1]).Chain).To(HaveLen(3))
	Expect(harness.SendPatch(played, played.Machines[11], 2).Status).To(Equal(200))
	harness.ExpectNoBreaches(played)
})
