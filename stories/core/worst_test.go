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

// patchWithBase returns a numbered patch that is accepted only on top of the given revision.
func patchWithBase(testFleet *fleet.Fleet, number int, revision int64) contract.OperatorRequest {
	request := testFleet.HarmlessPatch(number)
	request.BaseRevision, request.HasBaseRevision = revision, true
	return request
}

var _ = Describe("a head that is cut off from the others", func() {
	// isolateHead cuts the head off from all others for 20 s, in which the others change the configuration twice. It returns the revision of the
	// last change.
	isolateHead := func(seed uint64, bothWays bool) (testFleet *fleet.Fleet, head *fleet.Machine, newestRevision int64) {
		GinkgoHelper()
		testFleet = harness.StartReadyFleet("brazos", seed)
		head = testFleet.Machine(harness.ChainView(testFleet, testFleet.Machines[1]).Chain[0][:3])
		testFleet.CutFor([]string{head.Name}, 20*time.Second, bothWays)
		testFleet.Run(5 * time.Second)
		others := testFleet.MachinesWhere(func(machine *fleet.Machine) bool { return machine != head })
		for number := range 2 {
			written := harness.SendPatch(testFleet, others[number], number)
			Expect(written.Status).To(BeElementOf(200, 202))
			newestRevision = written.Result.Revision
		}
		return testFleet, head, newestRevision
	}

	for _, bothWays := range []bool{true, false} {
		It(fmt.Sprintf("neither refuses nor confirms an order that builds on what the others accepted meanwhile (cut both ways: %v)", bothWays), func() {
			testFleet, head, newestRevision := isolateHead(301, bothWays)
			written := testFleet.WriteAndWait(head, patchWithBase(testFleet, 7, newestRevision))
			Expect(written.Status).To(BeElementOf(503, 504), "an order on top of revision %d", newestRevision)
			testFleet.Run(20 * time.Second)
			harness.ExpectNoBreaches(testFleet)
		})

		It(fmt.Sprintf("does not hand out the configuration that it had, and says so at once (cut both ways: %v)", bothWays), func() {
			testFleet, head, _ := isolateHead(302, bothWays)
			start := testFleet.World.Now
			Expect(testFleet.Operate(head, contract.OperatorRequest{Verb: contract.VerbGet}).Status).To(BeElementOf(503, 504))
			Expect(testFleet.World.Now - start).To(BeNumerically("<", 8*time.Second))
			testFleet.Run(20 * time.Second)
			harness.ExpectNoBreaches(testFleet)
		})

		It(fmt.Sprintf("does not confirm a drain that it believes to stand (cut both ways: %v)", bothWays), func() {
			testFleet := harness.StartReadyFleet("brazos", 303)
			zone := testFleet.Site.Machines[0].Zone
			Expect(testFleet.WriteAndWait(testFleet.Machines[1], contract.OperatorRequest{Verb: contract.VerbDrain, Subject: zone}).Status).To(BeElementOf(200, 202))
			head := testFleet.Machine(harness.ChainView(testFleet, testFleet.Machines[1]).Chain[0][:3])
			testFleet.CutFor([]string{head.Name}, 20*time.Second, bothWays)
			testFleet.Run(5 * time.Second)
			others := testFleet.MachinesWhere(func(machine *fleet.Machine) bool { return machine != head })
			Expect(testFleet.WriteAndWait(others[0], contract.OperatorRequest{Verb: contract.VerbUndrain, Subject: zone}).Status).To(BeElementOf(200, 202))
			drain := contract.OperatorRequest{Verb: contract.VerbDrain, Subject: zone, Operation: "again", ReplyOnCommit: true}
			Expect(testFleet.Operate(head, drain).Status).To(BeElementOf(503, 504))
			testFleet.Run(20 * time.Second)
			harness.ExpectNoBreaches(testFleet)
		})
	}
})

var _ = Describe("a head that wakes from a freeze", func() {
	// requestAfterWake freezes the head while the others change the configuration, and sends it a request the moment it wakes. The callback
	// makes the change and returns the request.
	requestAfterWake := func(seed uint64, changeWhileFrozen func(*fleet.Fleet, *fleet.Machine) contract.OperatorRequest) contract.Response {
		GinkgoHelper()
		testFleet := harness.StartReadyFleet("brazos", seed)
		head := testFleet.Machine(harness.ChainView(testFleet, testFleet.Machines[1]).Chain[0][:3])
		testFleet.FreezeFor([]*fleet.Machine{head}, 20*time.Second)
		testFleet.Run(5 * time.Second)
		others := testFleet.MachinesWhere(func(machine *fleet.Machine) bool { return machine != head })
		request := changeWhileFrozen(testFleet, others[1])
		testFleet.Run(15*time.Second - testFleet.World.Now%time.Millisecond)
		head.Wake()
		response := testFleet.Operate(head, request)
		testFleet.Run(10 * time.Second)
		harness.ExpectNoBreaches(testFleet)
		return response
	}

	It("does not refuse an order that builds on what it has missed", func() {
		for seed := uint64(310); seed < 314; seed++ {
			response := requestAfterWake(seed, func(testFleet *fleet.Fleet, other *fleet.Machine) contract.OperatorRequest {
				written := harness.SendPatch(testFleet, other, 1)
				Expect(written.Status).To(BeElementOf(200, 202))
				request := patchWithBase(testFleet, 2, written.Result.Revision)
				request.ReplyOnCommit = true
				return request
			})
			Expect(response.Status).To(BeElementOf(200, 503, 504), "seed %d: %v", seed, response.Body)
		}
	})

	It("does not confirm a drain that was withdrawn meanwhile", func() {
		response := requestAfterWake(315, func(testFleet *fleet.Fleet, other *fleet.Machine) contract.OperatorRequest {
			zone := testFleet.Site.Machines[0].Zone
			Expect(testFleet.WriteAndWait(other, contract.OperatorRequest{Verb: contract.VerbDrain, Subject: zone}).Status).To(BeElementOf(200, 202))
			Expect(testFleet.WriteAndWait(other, contract.OperatorRequest{Verb: contract.VerbUndrain, Subject: zone}).Status).To(BeElementOf(200, 202))
			return contract.OperatorRequest{Verb: contract.VerbUndrain, Subject: zone, Operation: "again", ReplyOnCommit: true}
		})
		Expect(response.Status).To(BeElementOf(200, 503, 504))
	})
})

var _ = Describe("a second loss right after a repair", func() {
	// A replacement joins the chain some time after its start, so the second loss is tried at several delays within that time.
	for step := range 8 {
		delay := time.Duration(step) * 400 * time.Millisecond
		It(fmt.Sprintf("%v after a replacement started loses nothing, and the core serves again", delay), func() {
			testFleet := harness.StartReadyFleet("seri", uint64(320+step))
			for number := range 3 {
				Expect(harness.SendPatch(testFleet, testFleet.Machines[1], number).Status).To(BeElementOf(200, 202))
			}
			cores := testFleet.Cores()
			testFleet.ReplaceCore(cores[0])
			testFleet.Run(delay)
			testFleet.KillFor(cores[1:2], 2*time.Second)
			testFleet.Run(20 * time.Second)
			Expect(harness.ChainView(testFleet, testFleet.Machines[2]).Chain).To(HaveLen(3))
			Expect(harness.SendPatch(testFleet, testFleet.Machines[2], 9).Status).To(BeElementOf(200, 202))
			harness.ExpectNoBreaches(testFleet)
		})
	}
})

var _ = Describe("a member that missed hundreds of changes", func() {
	It("catches up, is not in the chain before, and leads with nothing old", func() {
		testFleet := harness.StartReadyFleet("brazos", 340)
		member := testFleet.Cores()[0]
		identity := harness.ChainView(testFleet, testFleet.Machines[1]).Chain[0]
		member.Kill()
		testFleet.Run(4 * time.Second)
		for number := range 320 {
			testFleet.World.After(time.Duration(number)*60*time.Millisecond, func() {
				testFleet.Write(testFleet.Machines[1+number%8], testFleet.HarmlessPatch(number), nil)
			})
		}
		testFleet.Run(22 * time.Second)
		member.Start()
		Expect(testFleet.RunUntil(10*time.Second, func() bool {
			view := harness.ChainView(testFleet, testFleet.Machines[1])
			return len(view.Chain) == 3 && view.ChainIndex(identity) >= 0
		})).To(BeTrue(), "the same member is back in the chain")
		newestRevision := int64(0)
		Expect(testFleet.RunUntil(4*time.Second, func() bool {
			_, newestRevision = testFleet.Manifest(testFleet.Machines[2])
			return newestRevision > 0
		})).To(BeTrue(), "the new tail answers")
		Expect(newestRevision).To(BeNumerically(">", 300))
		testFleet.KillFor([]*fleet.Machine{testFleet.Cores()[1]}, 3*time.Second)
		testFleet.Run(8 * time.Second)
		_, after := testFleet.Manifest(testFleet.Machines[2])
		Expect(after).To(Equal(newestRevision))
		harness.ExpectNoBreaches(testFleet)
	})
})

var _ = Describe("a core machine that restarts with its disk", func() {
	It("is the same member, without a change of view when it is back at once", func() {
		testFleet := harness.StartReadyFleet("brazos", 350)
		before := harness.ChainView(testFleet, testFleet.Machines[1])
		testFleet.KillFor(testFleet.Cores()[:1], 300*time.Millisecond)
		testFleet.Run(6 * time.Second)
		Expect(harness.ChainView(testFleet, testFleet.Machines[1])).To(Equal(before))
		harness.ExpectNoBreaches(testFleet)
	})

	It("counts when all of the core restarted, while one of them stays away", func() {
		testFleet := harness.StartReadyFleet("brazos", 351)
		Expect(harness.SendPatch(testFleet, testFleet.Machines[1], 1).Status).To(BeElementOf(200, 202))
		cores := testFleet.Cores()
		testFleet.KillFor(cores[:1], 20*time.Second)
		testFleet.KillFor(cores[1:], time.Second)
		Expect(testFleet.RunUntil(8*time.Second, func() bool {
			return testFleet.Operate(testFleet.Machines[5], contract.OperatorRequest{Verb: contract.VerbGet}).Status == 200
		})).To(BeTrue(), "two of three serve the configuration")
		Expect(harness.SendPatch(testFleet, testFleet.Machines[5], 2).Status).To(BeElementOf(200, 202))
		testFleet.Run(20 * time.Second)
		harness.ExpectNoBreaches(testFleet)
	})
})

var _ = Describe("two operators under one number, with lost answers", func() {
	It("sees one of them confirmed, however often both send again, in a later view too", func() {
		testFleet := harness.StartReadyFleet("seri", 360)
		_, revision := testFleet.Manifest(testFleet.Machines[1])
		orders := []contract.OperatorRequest{patchWithBase(testFleet, 1, revision), patchWithBase(testFleet, 2, revision)}
		orders[1].Operation += "-other"
		accepted := map[string]map[int64]bool{}
		for round := range 12 {
			for orderIndex, order := range orders {
				testFleet.World.After(time.Duration(round*700+orderIndex*3)*time.Millisecond, func() {
					testFleet.Write(testFleet.Machines[(orderIndex*4+round)%12], order, func(written fleet.WriteRecord) {
						if written.Status == 200 || written.Status == 202 {
							if accepted[order.Operation] == nil {
								accepted[order.Operation] = map[int64]bool{}
							}
							accepted[order.Operation][written.Result.Revision] = true
						} else if accepted[order.Operation] != nil {
							Expect(written.Status).To(BeElementOf(503, 504), "no refusal of what was accepted")
						}
					})
				})
			}
		}
		testFleet.KillFor(testFleet.Cores()[:1], 4*time.Second)
		testFleet.Run(16 * time.Second)
		Expect(accepted).To(HaveLen(1), "exactly one operator is confirmed")
		for _, revisions := range accepted {
			Expect(revisions).To(HaveLen(1), "as one version")
		}
		harness.ExpectNoBreaches(testFleet)
	})
})
