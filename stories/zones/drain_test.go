package zones

import (
	"time"

	"github.com/cedarreel/cedarreel/contract"
	"github.com/cedarreel/cedarreel/fleet"
	"github.com/cedarreel/cedarreel/stories/harness"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// zoneNames returns the zones of the fleet in the order of its machines.
func zoneNames(testFleet *fleet.Fleet) []string {
	zones := []string{}
	for _, machine := range testFleet.Machines {
		if len(zones) == 0 || zones[len(zones)-1] != machine.Zone {
			zones = append(zones, machine.Zone)
		}
	}
	return zones
}

// sendZoneVerb sends a drain or an undrain of the zone to a machine and waits for the result.
func sendZoneVerb(testFleet *fleet.Fleet, machine *fleet.Machine, verb, zone string) fleet.WriteRecord {
	return testFleet.WriteAndWait(machine, contract.OperatorRequest{Verb: verb, Subject: zone})
}

// callsTaken returns how many calls the servers of a zone have accepted so far.
func callsTaken(testFleet *fleet.Fleet, zone string) int {
	count := 0
	for _, server := range testFleet.Servers {
		if server.Zone == zone {
			count += server.Started
		}
	}
	return count
}

var _ = Describe("a drained zone", func() {
	for _, name := range harness.SiteNames {
		It("gets no call in "+name+" soon after the drain was accepted, and is taken back by ramp", func() {
			testFleet := harness.StartReadyFleet(name, 81)
			zone := zoneNames(testFleet)[1]
			testFleet.Traffic(60*time.Second, 1)
			testFleet.Run(10 * time.Second)
			Expect(sendZoneVerb(testFleet, testFleet.Machines[9], contract.VerbDrain, zone).Status).To(Equal(200))
			testFleet.Run(6 * time.Second)
			before := callsTaken(testFleet, zone)
			testFleet.Run(14 * time.Second)
			Expect(callsTaken(testFleet, zone)).To(Equal(before))
			Expect(sendZoneVerb(testFleet, testFleet.Machines[1], contract.VerbUndrain, zone).Status).To(Equal(200))
			testFleet.Run(15 * time.Second)
			Expect(callsTaken(testFleet, zone)).To(BeNumerically(">", before+10), "it serves again")
			harness.ExpectNoBreaches(testFleet)
		})

		It("holds beside another drained at the same moment in "+name, func() {
			testFleet := harness.StartReadyFleet(name, 82)
			zones := zoneNames(testFleet)
			testFleet.Traffic(20*time.Second, 0.5)
			statuses := map[string]int{}
			for index, zone := range zones[:2] {
				request := contract.OperatorRequest{Verb: contract.VerbDrain, Subject: zone, Operation: "drain-" + zone}
				testFleet.Write(testFleet.Machines[index*5], request, func(written fleet.WriteRecord) { statuses[zone] = written.Status })
			}
			testFleet.Run(5 * time.Second)
			Expect(statuses).To(Equal(map[string]int{zones[0]: 200, zones[1]: 200}))
			manifest, _ := testFleet.Manifest(testFleet.Machines[7])
			Expect(manifest.Drained(zones[0])).To(BeTrue())
			Expect(manifest.Drained(zones[1])).To(BeTrue())
			harness.ExpectNoBreaches(testFleet)
		})
	}

	It("is refused when the owners of its shards are out of reach, and nothing is committed", func() {
		testFleet := harness.StartReadyFleet("brazos", 83)
		testFleet.Traffic(20*time.Second, 0.5)
		before, revision := testFleet.Manifest(testFleet.Machines[1])
		Expect(before.Drained("coast-a")).To(BeFalse())
		testFleet.World.CutBoth(fleet.Names(testFleet.InRegion("coast")), fleet.Names(testFleet.InRegion("central")))
		refused := sendZoneVerb(testFleet, testFleet.Machines[1], contract.VerbDrain, "coast-a")
		Expect(refused.Status).To(Equal(503))
		testFleet.World.Heal()
		testFleet.Run(10 * time.Second)
		after, currentRevision := testFleet.Manifest(testFleet.Machines[1])
		Expect(after.Drained("coast-a")).To(BeFalse())
		Expect(currentRevision).To(Equal(revision))
		harness.ExpectNoBreaches(testFleet)
	})

	It("stays drained when its owner is killed right after the answer", func() {
		testFleet := harness.StartReadyFleet("seri", 84)
		zone := zoneNames(testFleet)[0]
		testFleet.Traffic(30*time.Second, 1)
		testFleet.Run(5 * time.Second)
		Expect(sendZoneVerb(testFleet, testFleet.Machines[9], contract.VerbDrain, zone).Status).To(Equal(200))
		testFleet.KillFor([]*fleet.Machine{testFleet.Owner("klang", 0), testFleet.Owner("klang", 1)}, 6*time.Second)
		testFleet.Run(20 * time.Second)
		harness.ExpectNoBreaches(testFleet)
	})

	It("follows the last accepted word when drain and undrain race", func() {
		for seed := uint64(85); seed < 90; seed++ {
			testFleet := harness.StartReadyFleet("brazos", seed)
			testFleet.Traffic(20*time.Second, 0.5)
			verbByRevision := map[int64]string{}
			for index, verb := range []string{contract.VerbDrain, contract.VerbUndrain, contract.VerbDrain, contract.VerbUndrain} {
				request := contract.OperatorRequest{Verb: verb, Subject: "prairie-b", Operation: verb + string(rune('a'+index))}
				testFleet.World.After(time.Duration(testFleet.World.Random.IntN(60))*time.Millisecond, func() {
					testFleet.Write(testFleet.Machines[index*3], request, func(written fleet.WriteRecord) { verbByRevision[written.Result.Revision] = verb })
				})
			}
			testFleet.Run(8 * time.Second)
			manifest, revision := testFleet.Manifest(testFleet.Machines[4])
			Expect(verbByRevision).To(HaveLen(4))
			Expect(manifest.Drained("prairie-b")).To(Equal(verbByRevision[revision] == contract.VerbDrain))
			harness.ExpectNoBreaches(testFleet)
		}
	})

	It("is not undone by a whole manifest with an old base", func() {
		testFleet := harness.StartReadyFleet("brazos", 91)
		_, base := testFleet.Manifest(testFleet.Machines[0])
		Expect(sendZoneVerb(testFleet, testFleet.Machines[1], contract.VerbDrain, "prairie-a").Status).To(Equal(200))
		putRequest := contract.OperatorRequest{Verb: contract.VerbPut, HasBaseRevision: true, BaseRevision: base, Body: testFleet.Site.Manifest}
		Expect(testFleet.WriteAndWait(testFleet.Machines[2], putRequest).Status).To(Equal(409))
		harness.ExpectNoBreaches(testFleet)
	})
})

var _ = It("an undrain that overtakes the drain's late answer is not taken for a breach, and holds", func() {
	testFleet := harness.StartReadyFleet("seri", 92)
	testFleet.Traffic(30*time.Second, 0.5)
	testFleet.CutFor([]string{"m12"}, 25*time.Second, true)
	testFleet.Run(4 * time.Second)
	request := contract.OperatorRequest{Verb: contract.VerbDrain, Subject: "klang-b", Operation: "late"}
	testFleet.Write(testFleet.Machines[1], request, nil)
	testFleet.Run(time.Second)
	Expect(sendZoneVerb(testFleet, testFleet.Machines[2], contract.VerbUndrain, "klang-b").Status).To(Equal(202))
	testFleet.Run(8 * time.Second)
	manifest, _ := testFleet.Manifest(testFleet.Machines[3])
	Expect(manifest.Drained("klang-b")).To(BeFalse())
	harness.ExpectNoBreaches(testFleet)
})
