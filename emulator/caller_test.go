package emulator

import (
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// live is a day whose nodes serve and that has no traffic of its own.
func live() *Day {
	day := New(small("brazos"), 1)
	for _, machine := range day.machines {
		machine.start()
	}
	day.operator.begin()
	day.world.RunUntil(8 * time.Second)
	day.startTraffic(day.world.Now, day.world.Now)
	day.world.RunUntil(9 * time.Second)
	return day
}

func (day *Day) caller(zone string, index int) *client { return day.clients[zone][index] }

func (day *Day) classNamed(name string) *Class {
	for index := range day.site.Classes {
		if day.site.Classes[index].Name == name {
			return &day.site.Classes[index]
		}
	}
	return nil
}

func (day *Day) asks(visitor *client, class string) *call {
	one := day.newCall(visitor, day.classNamed(class), rand.New(rand.NewPCG(1, 1)))
	one.send(false)
	return one
}

var _ = Describe("a caller", func() {
	It("keeps what it looked up for its life, every fourth three times as long", func() {
		day := live()
		for index, life := range []time.Duration{3 * time.Second, time.Second} {
			visitor := day.caller("prairie-a", index)
			day.asks(visitor, "availability")
			began := day.world.Now
			day.world.RunUntil(began + 500*time.Millisecond)
			Expect(visitor.lookupExpires - began).To(BeNumerically("~", life, 50*time.Millisecond))
			Expect(visitor.addresses).NotTo(BeEmpty())
		}
	})

	It("tries a call that must not run twice elsewhere when nobody had read it", func() {
		day := live()
		visitor := day.caller("prairie-a", 1)
		visitor.addresses, visitor.lookupExpires = []string{"10.9.9.9:" + trafficPort}, time.Hour
		one := day.asks(visitor, "policy-check")
		day.world.After(time.Millisecond, func() { visitor.addresses = []string{day.machines[0].address + ":" + trafficPort} })
		day.world.RunUntil(day.world.Now + 8*time.Second)
		Expect(one.Outcome).To(Or(Equal("served"), Equal("late")))
		Expect(day.record.Attempts).To(HaveLen(2))
	})

	It("gives up a repeatable try that a frozen node doesn't read, after a second", func() {
		day := live()
		visitor := day.caller("prairie-a", 1)
		frozen, other := day.machines[0], day.machines[1]
		frozen.freeze()
		visitor.addresses, visitor.lookupExpires = []string{frozen.address + ":" + trafficPort}, time.Hour
		one := day.asks(visitor, "reply-draft")
		day.world.After(time.Second/2, func() { visitor.addresses = append(visitor.addresses, other.address+":"+trafficPort) })
		day.world.RunUntil(day.world.Now + 6*time.Second)
		Expect(one.Outcome).To(Equal("late"))
		Expect(one.First).To(BeNumerically("~", 1100*time.Millisecond, 300*time.Millisecond))
	})

	It("does not send a call again that must not run twice and was given up", func() {
		day := live()
		for _, server := range day.serversInOrder {
			day.world.isolate(server.name)
		}
		visitor := day.caller("prairie-a", 2)
		one := day.asks(visitor, "policy-check")
		day.world.RunUntil(day.world.Now + 12*time.Second)
		Expect(one.Outcome).To(Or(Equal("failed"), Equal("refused")))
		for _, try := range day.record.Attempts {
			Expect(try.Pieces).To(BeEmpty())
		}
	})

	It("comes back when it is told to, a hasty one at once", func() {
		for index, least := range []time.Duration{200 * time.Millisecond, 0} {
			day := live()
			for _, server := range day.serversInOrder {
				server.crash()
			}
			day.world.RunUntil(day.world.Now + 6*time.Second)
			visitor := day.caller("prairie-a", 2-index)
			Expect(visitor.aggressive).To(Equal(index == 1))
			one := day.asks(visitor, "policy-check")
			day.world.RunUntil(day.world.Now + 6*time.Second)
			Expect(one.Outcome).To(Equal("refused"))
			gap := day.record.Attempts[1].Sent - day.record.Attempts[0].Ended
			if least == 0 {
				Expect(gap).To(BeNumerically("<", 60*time.Millisecond))
			} else {
				Expect(gap).To(BeNumerically(">", 100*time.Millisecond))
			}
		}
	})

	It("takes up a resumable stream after the last piece that it has", func() {
		day := live()
		visitor := day.caller("prairie-a", 1)
		one := day.newCall(visitor, day.classNamed("reply-draft"), rand.New(rand.NewPCG(1, 1)))
		one.pieces, one.prompt.Output = 60, 300
		one.send(false)
		day.world.RunUntil(day.world.Now + 400*time.Millisecond)
		Expect(one.lastPiece).To(BeNumerically(">", 0))
		day.byName[day.record.Attempts[0].Machine].kill()
		day.world.RunUntil(day.world.Now + 5*time.Second)
		Expect(day.record.Attempts).To(HaveLen(2))
		Expect(day.record.Attempts[1].ResumeAfter).To(BeNumerically(">", 0))
		Expect(one.lastPiece).To(Equal(60))
		Expect(day.record.Attempts[1].Complete).To(BeTrue())
	})
})
