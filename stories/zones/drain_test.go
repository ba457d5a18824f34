package zones

import (
	"time"

	"github.com/cedarreel/cedarreel/contract"
	"github.com/cedarreel/cedarreel/fleet"
	"github.com/cedarreel/cedarreel/stories/harness"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func zonesOf(played *fleet.Fleet) []string {
	zones := []string{}
	for _, machine := range played.Machines {
		if len(zones) == 0 || zones[len(zones)-1] != machine.Zone {
			zones = append(zones, machine.Zone)
		}
	}
	return zones
}

func drain(played *fleet.Fleet, machine *fleet.Machine, verb, zone string) fleet.Written {
	return played.Do(machine, contract.OperatorRequest{Verb: verb, Subject: zone})
}

func taken(played *fleet.Fleet, zone string) int {
	count := 0
	for _, server := range played.Servers {
		if server.Zone == zone {
			count += server.Taken
		}
	}
	return count
}

var _ = Describe("a drained zone", func() {
	for _, name := range harness.SiteNames {
		It("gets no call in "+name+" soon after the drain was accepted, and is taken back by ramp", func() {
			played := harness.StartReadyFleet(name, 81)
			zone := zonesOf(played)[1]
			played.Traffic(60*time.Second, 1)
			played.Run(10 * time.Second)
			Expect(drain(played, played.Machines[9], contract.VerbDrain, zone).Status).To(Equal(200))
			played.Run(6 * time.Second)
			before := taken(played, zone)
			played.Run(14 * time.Second)
			Expect(taken(played, zone)).To(Equal(before))
			Expect(drain(played, played.Machines[1], contract.VerbUndrain, zone).Status).To(Equal(200))
			played.Run(15 * time.Second)
			Expect(taken(played, zone)).To(BeNumerically(">", before+10), "it serves again")
			harness.ExpectNoBreaches(played)
		})

		It("holds beside another drained at the same moment in "+name, func() {
			played := harness.StartReadyFleet(name, 82)
			zones := zonesOf(played)
			played.Traffic(20*time.Second, 0.5)
			statuses := map[string]int{}
			for index, zone := range zones[:2] {
				ask := contract.OperatorRequest{Verb: contract.VerbDrain, Subject: zone, Operation: "drain-" + zone}
				played.Write(played.Machines[index*5], ask, func(written fleet.Written) { statuses[zone] = written.Status })
			}
			played.Run(5 * time.Second)
			Expect(statuses).To(Equal(map[string]int{zones[0]: 200, zones[1]: 200}))
			read, _ := played.Manifest(played.Machines[7])
			Expect(read.Drained(zones[0])).To(BeTrue())
			Expect(read.Drained(zones[1])).To(BeTrue())
			harness.ExpectNoBreaches(played)
		})
	}

	It("is refused when the owners of its shards are out of reach, and nothing is committed", func() {
		played := harness.StartReadyFleet("brazos", 83)
		played.Traffic(20*time.Second, 0.5)
		before, revision := played.Manifest(played.Machines[1])
		Expect(before.Drained("coast-a")).To(BeFalse())
		played.World.CutBoth(fleet.Names(played.InRegion("coast")), fleet.Names(played.InRegion("central")))
		refused := drain(played, played.Machines[1], contract.VerbDrain, "coast-a")
		Expect(refused.Status).To(Equal(503))
		played.World.Heal()
		played.Run(10 * time.Second)
		after, now := played.Manifest(played.Machines[1])
		Expect(after.Drained("coast-a")).To(BeFalse())
		Expect(now).To(Equal(revision))
		harness.ExpectNoBreaches(played)
	})

	It("stays drained when its owner is killed right after the answer", func() {
		played := harness.StartReadyFleet("seri", 84)
		zone := zonesOf(played)[0]
		played.Traffic(30*time.Second, 1)
		played.Run(5 * time.Second)
		Expect(drain(played, played.Machines[9], contract.VerbDrain, zone).Status).To(Equal(200))
		played.KillFor([]*fleet.Machine{played.Owner("klang", 0), played.Owner("klang", 1)}, 6*time.Second)
		played.Run(20 * time.Second)
		harness.ExpectNoBreaches(played)
	})

	It("follows the last accepted word when drain and undrain race", func() {
		for seed := uint64(85); seed < 90; seed++ {
			played := harness.StartReadyFleet("brazos", seed)
			played.Traffic(20*time.Second, 0.5)
			words := map[int64]string{}
			for index, verb := range []string{contract.VerbDrain, contract.VerbUndrain, contract.VerbDrain, contract.VerbUndrain} {
				ask := contract.OperatorRequest{Verb: verb, Subject: "prairie-b", Operation: verb + string(rune('a'+index))}
				played.World.After(time.Duration(played.World.Random.IntN(60))*time.Millisecond, func() {
					played.Write(played.Machines[index*3], ask, func(written fleet.Written) { words[written.Accepted.Revision] = verb })
				})
			}
			played.Run(8 * time.Second)
			read, revision := played.Manifest(played.Machines[4])
			Expect(words).To(HaveLen(4))
			Expect(read.Drained("prairie-b")).To(Equal(words[revision] == contract.VerbDrain))
			harness.ExpectNoBreaches(played)
		}
	})

	It("is not undone by a whole manifest with an old base", func() {
		played := harness.StartReadyFleet("brazos", 91)
		_, base := played.Manifest(played.Machines[0])
		Expect(drain(played, played.Machines[1], contract.VerbDrain, "prairie-a").Status).To(Equal(200))
		whole := contract.OperatorRequest{Verb: contract.VerbPut, HasBaseRevision: true, BaseRevision: base, Body: played.Site.Manifest}
		Expect(played.Do(played.Machines[2], whole).Status).To(Equal(409))
		harness.ExpectNoBreaches(played)
	})
})

var _ = It("an undrain that overtakes the drain's late answer is not taken for a breach, and holds", func() {
	played := harness.StartReadyFleet("seri", 92)
	played.Traffic(30*time.Second, 0.5)
	played.CutFor([]string{"m12"}, 25*time.Second, true)
	played.Run(4 * time.Second)
	ask := contract.OperatorRequest{Verb: contract.VerbDrain, Subject: "klang-b", Operation: "late"}
	played.Write(played.Machines[1], ask, nil)
	played.Run(time.Second)
	Expect(drain(played, played.Machines[2], contract.VerbUndrain, "klang-b").Status).To(Equal(202))
	played.Run(8 * time.Second)
	read, _ := played.Manifest(played.Machines[3])
	Expect(read.Drained("klang-b")).To(BeFalse())
	harness.ExpectNoBreaches(played)
})
