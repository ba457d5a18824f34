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
			testFleet := harness.StartReadyFleet(name, 103)
			before := harness.ChainView(testFleet, testFleet.Machines[3])
			for index := range 120 {
				testFleet.World.After(time.Duration(index)*20*time.Millisecond, func() {
					testFleet.Write(testFleet.Machines[index%12], testFleet.HarmlessPatch(index), nil)
				})
			}
			testFleet.Run(10 * time.Second)
			accepted := 0
			for _, written := range testFleet.Writes {
				if written.Status == 200 {
					accepted++
				}
			}
			Expect(accepted).To(Equal(121))
			Expect(harness.ChainView(testFleet, testFleet.Machines[3]).Number).To(Equal(before.Number))
			harness.ExpectNoBreaches(testFleet)
		})
	}

	for _, name := range harness.SiteNames {
		It("gets over a storm in "+name+" that a core machine's loss leaves half done, and answers reads again", func() {
			for seed := uint64(104); seed < 107; seed++ {
				testFleet := harness.StartReadyFleet(name, seed)
				for index := range 120 {
					testFleet.World.After(time.Duration(index)*12*time.Millisecond, func() {
						testFleet.Write(testFleet.Machines[index%12], testFleet.HarmlessPatch(index), nil)
					})
				}
				testFleet.World.After(200*time.Millisecond, func() { testFleet.WipeAndRestart(testFleet.Cores()[int(seed)%3], 2*time.Second) })
				testFleet.Run(12 * time.Second)
				settledView := harness.ChainView(testFleet, testFleet.Machines[3])
				Expect(settledView.Chain).To(HaveLen(3))
				testFleet.Run(10 * time.Second)
				Expect(harness.ChainView(testFleet, testFleet.Machines[3]).Number).To(Equal(settledView.Number), "the view rests")
				harness.ExpectNoBreaches(testFleet)
			}
		})
	}

	It("takes a core machine back whose disk was full while the others wrote", func() {
		for seed := uint64(107); seed < 111; seed++ {
			testFleet := harness.StartReadyFleet("brazos", seed)
			disk := testFleet.Cores()[int(seed)%3].Disk
			disk.Full = true
			for index := range 8 {
				testFleet.World.After(time.Duration(index)*300*time.Millisecond, func() { testFleet.Write(testFleet.Machines[3], testFleet.HarmlessPatch(index), nil) })
			}
			testFleet.Run(6 * time.Second)
			disk.Full = false
			testFleet.Run(10 * time.Second)
			Expect(harness.ChainView(testFleet, testFleet.Machines[1]).Chain).To(HaveLen(3), "seed %d", seed)
			harness.ExpectNoBreaches(testFleet)
		}
	})

	It("gives a core machine that is back within a moment every accepted revision", func() {
		testFleet := harness.StartReadyFleet("brazos", 103)
		for index := range 5 {
			Expect(harness.SendPatch(testFleet, testFleet.Machines[index], index).Status).To(Equal(200))
		}
		testFleet.KillFor(testFleet.Cores()[2:], 2*time.Second)
		testFleet.Run(10 * time.Second)
		Expect(harness.ChainView(testFleet, testFleet.Machines[1]).Chain).To(HaveLen(3))
		harness.ExpectNoBreaches(testFleet)
	})

	It("keeps what was acknowledged when every core machine restarts and their disks lost it", func() {
		testFleet := harness.StartReadyFleet("seri", 9)
		for index := range 6 {
			Expect(harness.SendPatch(testFleet, testFleet.Machines[index], index).Status).To(Equal(200))
		}
		_, newestRevision := testFleet.Manifest(testFleet.Machines[2])
		for _, machine := range testFleet.Cores() {
			machine.Disk.LostSaves = 4
		}
		testFleet.KillFor(testFleet.Cores(), time.Second)
		testFleet.Run(12 * time.Second)
		_, after := testFleet.Manifest(testFleet.Machines[2])
		Expect(after).To(Equal(newestRevision))
		Expect(harness.SendPatch(testFleet, testFleet.Machines[2], 9).Result.Revision).To(BeNumerically(">", newestRevision))
	})

	It("puts an empty machine at a new address in the place of a core machine, several times in a row", func() {
		testFleet := harness.StartReadyFleet("seri", 4)
		for index := range 3 {
			Expect(harness.SendPatch(testFleet, testFleet.Machines[1], index).Status).To(BeElementOf(200, 202))
			replacement := testFleet.ReplaceCore(testFleet.Cores()[index])
			Expect(testFleet.RunUntil(20*time.Second, func() bool {
				view := harness.ChainView(testFleet, testFleet.Machines[1])
				for _, identity := range view.Chain {
					if len(view.Chain) == 3 && identity == replacement.Name+"-control#b1" {
						return true
					}
				}
				return false
			})).To(BeTrue(), fmt.Sprint("swap ", index))
		}
		Expect(harness.SendPatch(testFleet, testFleet.Machines[1], 9).Status).To(BeElementOf(200, 202))
		harness.ExpectNoBreaches(testFleet)
	})

	It("goes on with two core machines, refuses with one, and says that nothing was committed", func() {
		testFleet := harness.StartReadyFleet("brazos", 5)
		cores := testFleet.Cores()
		cores[0].Kill()
		testFleet.Run(5 * time.Second)
		written := harness.SendPatch(testFleet, testFleet.Machines[1], 1)
		Expect(written.Status).To(Equal(202))
		Expect(written.Result.MissingNodes).To(ContainElement(cores[0].Name + "-control"))
		cores[1].Kill()
		testFleet.Run(5 * time.Second)
		refused := harness.SendPatch(testFleet, testFleet.Machines[1], 2)
		Expect(refused.Status).To(BeElementOf(503, 504))
		cores[0].Start()
		cores[1].Start()
		testFleet.Run(12 * time.Second)
		Expect(harness.SendPatch(testFleet, testFleet.Machines[1], 3).Status).To(Equal(200))
		harness.ExpectNoBreaches(testFleet)
	})

	It("does not let a woken old head acknowledge, nor a woken old tail answer", func() {
		testFleet := harness.StartReadyFleet("brazos", 6)
		cores := testFleet.Cores()
		oldView := harness.ChainView(testFleet, testFleet.Machines[1])
		head, tail := testFleet.Machine(oldView.Chain[0][:3]), testFleet.Machine(oldView.Chain[2][:3])
		testFleet.FreezeFor([]*fleet.Machine{head, tail}, 100*time.Millisecond)
		testFleet.Run(time.Second)
		head.Freeze()
		testFleet.Run(8 * time.Second)
		Expect(harness.SendPatch(testFleet, testFleet.Machines[1], 1).Status).To(BeElementOf(200, 202))
		head.Wake()
		response := testFleet.WriteAndWait(head, testFleet.HarmlessPatch(2))
		Expect(response.Status).NotTo(BeZero())
		testFleet.Run(5 * time.Second)
		Expect(cores).To(HaveLen(3))
		harness.ExpectNoBreaches(testFleet)
	})

	It("answers an operator who asks again with the same key as it did at first", func() {
		testFleet := harness.StartReadyFleet("brazos", 7)
		request := testFleet.HarmlessPatch(1)
		first, second := testFleet.WriteAndWait(testFleet.Machines[1], request), testFleet.WriteAndWait(testFleet.Machines[9], request)
		Expect(second.Status).To(Equal(200))
		Expect(second.Result.Revision).To(Equal(first.Result.Revision))
		conflicting := testFleet.HarmlessPatch(2)
		conflicting.Operation = request.Operation
		Expect(testFleet.WriteAndWait(testFleet.Machines[2], conflicting).Status).To(Equal(422))
		response := testFleet.Operate(testFleet.Machines[7], contract.OperatorRequest{Verb: contract.VerbOperation, Subject: request.Operation})
		Expect(response.Status).To(Equal(200))
		harness.ExpectNoBreaches(testFleet)
	})

	It("never founds a second core beside one that works", func() {
		testFleet := harness.StartReadyFleet("brazos", 8)
		machine := testFleet.Cores()[1]
		testFleet.WipeAndRestart(machine, time.Second)
		testFleet.Run(10 * time.Second)
		view := harness.ChainView(testFleet, testFleet.Machines[2])
		Expect(view.Chain).To(HaveLen(3))
		_, revision := testFleet.Manifest(machine)
		Expect(revision).To(Equal(int64(1)))
		harness.ExpectNoBreaches(testFleet)
	})
})

var _ = Describe("repair of the core", func() {
	It("hands back older revisions that every core disk has lost, from what other nodes kept", func() {
		testFleet := harness.StartReadyFleet("brazos", 11)
		for index := range 6 {
			Expect(harness.SendPatch(testFleet, testFleet.Machines[index], index).Status).To(Equal(200))
		}
		for _, machine := range testFleet.Cores() {
			machine.Disk.LostSaves = 60
		}
		testFleet.KillFor(testFleet.Cores(), time.Second)
		testFleet.Run(15 * time.Second)
		harness.ExpectNoBreaches(testFleet)
	})

	It("founds anew when one core machine restarted and another was swapped in the same moment", func() {
		testFleet := harness.StartReadyFleet("brazos", 12)
		Expect(harness.SendPatch(testFleet, testFleet.Machines[1], 1).Status).To(Equal(200))
		cores := testFleet.Cores()
		testFleet.KillFor(cores[:1], 5*time.Second)
		testFleet.Run(4900 * time.Millisecond)
		testFleet.ReplaceCore(cores[2])
		testFleet.Run(20 * time.Second)
		Expect(harness.ChainView(testFleet, testFleet.Machines[1]).Chain).To(HaveLen(3))
		Expect(harness.SendPatch(testFleet, testFleet.Machines[1], 2).Status).To(BeElementOf(200, 202))
		harness.ExpectNoBreaches(testFleet)
	})
})

var _ = Describe("a core that lost more than one machine", func() {
	It("goes on from a holder when a chain of one is wiped", func() {
		testFleet := harness.StartReadyFleet("brazos", 13)
		Expect(harness.SendPatch(testFleet, testFleet.Machines[1], 1).Status).To(Equal(200))
		cores := testFleet.Cores()
		testFleet.CutFor([]string{cores[2].Name}, 13*time.Second, true)
		testFleet.Run(4 * time.Second)
		Expect(harness.SendPatch(testFleet, testFleet.Machines[1], 2).Status).To(Equal(202))
		cores[0].Disk.Full = true
		testFleet.Write(testFleet.Machines[1], testFleet.HarmlessPatch(3), nil)
		testFleet.Run(5 * time.Second)
		testFleet.WipeAndRestart(cores[1], 2*time.Second)
		testFleet.Run(4 * time.Second)
		cores[0].Disk.Full = false
		testFleet.Run(15 * time.Second)
		Expect(harness.ChainView(testFleet, testFleet.Machines[1]).Chain).To(HaveLen(3))
		harness.ExpectNoBreaches(testFleet)
	})

	It("that two swaps in one moment left without a majority waits for an operator's word, then founds", func() {
		testFleet := harness.StartReadyFleet("seri", 14)
		Expect(harness.SendPatch(testFleet, testFleet.Machines[1], 1).Status).To(Equal(200))
		cores := testFleet.Cores()
		testFleet.ReplaceCore(cores[0])
		testFleet.ReplaceCore(cores[1])
		testFleet.Run(15 * time.Second)
		Expect(testFleet.Operate(testFleet.Machines[1], contract.OperatorRequest{Verb: contract.VerbGet}).Status).To(BeElementOf(503, 504))
		Expect(testFleet.Operate(testFleet.Machines[1], contract.OperatorRequest{Verb: contract.VerbGone, Subject: cores[2].Name}).Status).To(Equal(409))
		Expect(testFleet.Operate(testFleet.Machines[1], contract.OperatorRequest{Verb: contract.VerbGone, Subject: cores[0].Name}).Status).To(Equal(200))
		Expect(testFleet.Operate(testFleet.Machines[1], contract.OperatorRequest{Verb: contract.VerbGone, Subject: cores[1].Name}).Status).To(Equal(200))
		testFleet.Run(15 * time.Second)
		Expect(harness.ChainView(testFleet, testFleet.Machines[1]).Chain).To(HaveLen(3))
		Expect(harness.SendPatch(testFleet, testFleet.Machines[1], 2).Status).To(BeElementOf(200, 202))
		harness.ExpectNoBreaches(testFleet)
	})
})

var _ = It("a view that only the folders of killed machines know reaches the one that was cut off, and the core goes on", func() {
	testFleet := harness.StartReadyFleet("brazos", 15)
	Expect(harness.SendPatch(testFleet, testFleet.Machines[1], 1).Status).To(Equal(200))
	centralMachines, coastMachines := fleet.Names(testFleet.InRegion("central")), fleet.Names(testFleet.InRegion("coast"))
	testFleet.World.CutBoth(centralMachines, coastMachines)
	testFleet.Run(6 * time.Second)
	Expect(harness.ChainView(testFleet, testFleet.Machines[1]).Number).To(Equal(int64(2)))
	testFleet.KillFor(testFleet.InRegion("central"), 3*time.Second)
	testFleet.World.Heal()
	testFleet.Run(20 * time.Second)
	Expect(harness.ChainView(testFleet, testFleet.Machines[1]).Chain).To(HaveLen(3))
	Expect(harness.SendPatch(testFleet, testFleet.Machines[11], 2).Status).To(Equal(200))
	harness.ExpectNoBreaches(testFleet)
})
