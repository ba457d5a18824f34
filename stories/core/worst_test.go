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

// based gives a patch that builds on a revision.
func based(played *fleet.Fleet, number int, revision int64) contract.OperatorRequest {
	ask := played.Patch(number)
	ask.BaseRevision, ask.HasBaseRevision = revision, true
	return ask
}

var _ = Describe("a head that is cut off from the others", func() {
	// apart cuts the head from all others and lets those change the configuration twice, for twenty seconds in all.
	apart := func(seed uint64, bothWays bool) (played *fleet.Fleet, head *fleet.Machine, newest int64) {
		GinkgoHelper()
		played = harness.StartReadyFleet("brazos", seed)
		head = played.Machine(harness.ChainView(played, played.Machines[1]).Chain[0][:3])
		played.CutFor([]string{head.Name}, 20*time.Second, bothWays)
		played.Run(5 * time.Second)
		others := played.Pick(func(machine *fleet.Machine) bool { return machine != head })
		for number := range 2 {
			written := harness.SendPatch(played, others[number], number)
			Expect(written.Status).To(BeElementOf(200, 202))
			newest = written.Accepted.Revision
		}
		return played, head, newest
	}

	for _, bothWays := range []bool{true, false} {
		It(fmt.Sprintf("neither refuses nor confirms an order that builds on what the others accepted meanwhile (cut both ways: %v)", bothWays), func() {
			played, head, newest := apart(301, bothWays)
			written := played.Do(head, based(played, 7, newest))
			Expect(written.Status).To(BeElementOf(503, 504), "an order on top of revision %d", newest)
			played.Run(20 * time.Second)
			harness.ExpectNoBreaches(played)
		})

		It(fmt.Sprintf("does not hand out the configuration that it had, and says so at once (cut both ways: %v)", bothWays), func() {
			played, head, _ := apart(302, bothWays)
			asked := played.World.Now
			Expect(played.Operate(head, contract.OperatorRequest{Verb: contract.VerbGet}).Status).To(BeElementOf(503, 504))
			Expect(played.World.Now - asked).To(BeNumerically("<", 8*time.Second))
			played.Run(20 * time.Second)
			harness.ExpectNoBreaches(played)
		})

		It(fmt.Sprintf("does not confirm a drain that it believes to stand (cut both ways: %v)", bothWays), func() {
			played := harness.StartReadyFleet("brazos", 303)
			zone := played.Site.Machines[0].Zone
			Expect(played.Do(played.Machines[1], contract.OperatorRequest{Verb: contract.VerbDrain, Subject: zone}).Status).To(BeElementOf(200, 202))
			head := played.Machine(harness.ChainView(played, played.Machines[1]).Chain[0][:3])
			played.CutFor([]string{head.Name}, 20*time.Second, bothWays)
			played.Run(5 * time.Second)
			others := played.Pick(func(machine *fleet.Machine) bool { return machine != head })
			Expect(played.Do(others[0], contract.OperatorRequest{Verb: contract.VerbUndrain, Subject: zone}).Status).To(BeElementOf(200, 202))
			drain := contract.OperatorRequest{Verb: contract.VerbDrain, Subject: zone, Operation: "again", ReplyOnCommit: true}
			Expect(played.Operate(head, drain).Status).To(BeElementOf(503, 504))
			played.Run(20 * time.Second)
			harness.ExpectNoBreaches(played)
		})
	}
})

var _ = Describe("a head that wakes from a freeze", func() {
	// woken freezes the head while the others change the configuration, and gives it the moment that it wakes.
	woken := func(seed uint64, meanwhile func(*fleet.Fleet, *fleet.Machine) contract.OperatorRequest) contract.Response {
		GinkgoHelper()
		played := harness.StartReadyFleet("brazos", seed)
		head := played.Machine(harness.ChainView(played, played.Machines[1]).Chain[0][:3])
		played.FreezeFor([]*fleet.Machine{head}, 20*time.Second)
		played.Run(5 * time.Second)
		others := played.Pick(func(machine *fleet.Machine) bool { return machine != head })
		ask := meanwhile(played, others[1])
		played.Run(15*time.Second - played.World.Now%time.Millisecond)
		head.Wake()
		answer := played.Operate(head, ask)
		played.Run(10 * time.Second)
		harness.ExpectNoBreaches(played)
		return answer
	}

	It("does not refuse an order that builds on what it has missed", func() {
		for seed := uint64(310); seed < 314; seed++ {
			answer := woken(seed, func(played *fleet.Fleet, other *fleet.Machine) contract.OperatorRequest {
				written := harness.SendPatch(played, other, 1)
				Expect(written.Status).To(BeElementOf(200, 202))
				ask := based(played, 2, written.Accepted.Revision)
				ask.ReplyOnCommit = true
				return ask
			})
			Expect(answer.Status).To(BeElementOf(200, 503, 504), "seed %d: %v", seed, answer.Body)
		}
	})

	It("does not confirm a drain that was withdrawn meanwhile", func() {
		answer := woken(315, func(played *fleet.Fleet, other *fleet.Machine) contract.OperatorRequest {
			zone := played.Site.Machines[0].Zone
			Expect(played.Do(other, contract.OperatorRequest{Verb: contract.VerbDrain, Subject: zone}).Status).To(BeElementOf(200, 202))
			Expect(played.Do(other, contract.OperatorRequest{Verb: contract.VerbUndrain, Subject: zone}).Status).To(BeElementOf(200, 202))
			return contract.OperatorRequest{Verb: contract.VerbUndrain, Subject: zone, Operation: "again", ReplyOnCommit: true}
		})
		Expect(answer.Status).To(BeElementOf(200, 503, 504))
	})
})

var _ = Describe("a second loss right after a repair", func() {
	// The replacement joins some time after it started; the second loss comes at each step of that.
	for step := range 8 {
		span := time.Duration(step) * 400 * time.Millisecond
		It(fmt.Sprintf("%v after a replacement started loses nothing, and the core serves again", span), func() {
			played := harness.StartReadyFleet("seri", uint64(320+step))
			for number := range 3 {
				Expect(harness.SendPatch(played, played.Machines[1], number).Status).To(BeElementOf(200, 202))
			}
			cores := played.Cores()
			played.Swap(cores[0])
			played.Run(span)
			played.KillFor(cores[1:2], 2*time.Second)
			played.Run(20 * time.Second)
			Expect(harness.ChainView(played, played.Machines[2]).Chain).To(HaveLen(3))
			Expect(harness.SendPatch(played, played.Machines[2], 9).Status).To(BeElementOf(200, 202))
			harness.ExpectNoBreaches(played)
		})
	}
})

var _ = Describe("a member that missed hundreds of changes", func() {
	It("catches up, is not in the chain before, and leads with nothing old", func() {
		played := harness.StartReadyFleet("brazos", 340)
		member := played.Cores()[0]
		identity := harness.ChainView(played, played.Machines[1]).Chain[0]
		member.Kill()
		played.Run(4 * time.Second)
		for number := range 320 {
			played.World.After(time.Duration(number)*60*time.Millisecond, func() {
				played.Write(played.Machines[1+number%8], played.Patch(number), nil)
			})
		}
		played.Run(22 * time.Second)
		member.Start()
		Expect(played.Until(10*time.Second, func() bool {
			view := harness.ChainView(played, played.Machines[1])
			return len(view.Chain) == 3 && view.ChainIndex(identity) >= 0
		})).To(BeTrue(), "the same member is back in the chain")
		newest := int64(0)
		Expect(played.Until(4*time.Second, func() bool {
			_, newest = played.Manifest(played.Machines[2])
			return newest > 0
		})).To(BeTrue(), "the new tail answers")
		Expect(newest).To(BeNumerically(">", 300))
		played.KillFor([]*fleet.Machine{played.Cores()[1]}, 3*time.Second)
		played.Run(8 * time.Second)
		_, after := played.Manifest(played.Machines[2])
		Expect(after).To(Equal(newest))
		harness.ExpectNoBreaches(played)
	})
})

var _ = Describe("a core machine that restarts with its disk", func() {
	It("is the same member, without a change of view when it is back at once", func() {
		played := harness.StartReadyFleet("brazos", 350)
		before := harness.ChainView(played, played.Machines[1])
		played.KillFor(played.Cores()[:1], 300*time.Millisecond)
		played.Run(6 * time.Second)
		Expect(harness.ChainView(played, played.Machines[1])).To(Equal(before))
		harness.ExpectNoBreaches(played)
	})

	It("counts when all of the core restarted, while one of them stays away", func() {
		played := harness.StartReadyFleet("brazos", 351)
		Expect(harness.SendPatch(played, played.Machines[1], 1).Status).To(BeElementOf(200, 202))
		cores := played.Cores()
		played.KillFor(cores[:1], 20*time.Second)
		played.KillFor(cores[1:], time.Second)
		Expect(played.Until(8*time.Second, func() bool {
			return played.Operate(played.Machines[5], contract.OperatorRequest{Verb: contract.VerbGet}).Status == 200
		})).To(BeTrue(), "two of three serve the configuration")
		Expect(harness.SendPatch(played, played.Machines[5], 2).Status).To(BeElementOf(200, 202))
		played.Run(20 * time.Second)
		harness.ExpectNoBreaches(played)
	})
})

var _ = Describe("two operators under one number, with lost answers", func() {
	It("sees one of them confirmed, however often both send again, in a later view too", func() {
		played := harness.StartReadyFleet("seri", 360)
		_, revision := played.Manifest(played.Machines[1])
		orders := []contract.OperatorRequest{based(played, 1, revision), based(played, 2, revision)}
		orders[1].Operation += "-other"
		accepted := map[string]map[int64]bool{}
		for round := range 12 {
			for place, order := range orders {
				played.World.After(time.Duration(round*700+place*3)*time.Millisecond, func() {
					played.Write(played.Machines[(place*4+round)%12], order, func(written fleet.Written) {
						if written.Status == 200 || written.Status == 202 {
							if accepted[order.Operation] == nil {
								accepted[order.Operation] = map[int64]bool{}
							}
							accepted[order.Operation][written.Accepted.Revision] = true
						} else if accepted[order.Operation] != nil {
							Expect(written.Status).To(BeElementOf(503, 504), "no refusal of what was accepted")
						}
					})
				})
			}
		}
		played.KillFor(played.Cores()[:1], 4*time.Second)
		played.Run(16 * time.Second)
		Expect(accepted).To(HaveLen(1), "exactly one operator is confirmed")
		for _, revisions := range accepted {
			Expect(revisions).To(HaveLen(1), "as one version")
		}
		harness.ExpectNoBreaches(played)
	})
})
