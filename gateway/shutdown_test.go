package gateway

import (
	"math/rand/v2"
	"time"

	"github.com/cedarreel/cedarreel/contract"
	"github.com/cedarreel/cedarreel/env"
	. "github.com/onsi/gomega"
)

// stopPlay plays one stop in virtual time, with calls that arrive throughout and last at most until their deadlines.
type stopPlay struct {
	shutdown shutdown
	now      time.Duration
	// ends are when the running calls finish.
	ends []time.Duration
	// lateTaken are the deadlines of calls that were taken after callers could know of the stop.
	lateTaken []time.Duration
	closedAt  time.Duration
	endedAt   time.Duration
	refused   int
}

func newStopPlay(grace, lookupLife time.Duration) *stopPlay {
	return &stopPlay{shutdown: shutdown{policy: env.Gateway{Grace: grace, LookupLife: lookupLife}}}
}

func (play *stopPlay) handle(event contract.Event) {
	for _, command := range play.shutdown.handle(play.now, event) {
		switch command.(type) {
		case CloseToCallers:
			play.closedAt = play.now
		case EndTraffic:
			play.endedAt = play.now
		}
	}
}

// arrive offers a call that lasts for a time, at most until its deadline.
func (play *stopPlay) arrive(lasts, deadline time.Duration) {
	play.handle(CallBegan{})
	if play.shutdown.refuses(play.now, play.now+deadline) {
		play.refused++
		play.handle(CallFinished{})
		return
	}
	if play.now > play.shutdown.policy.Grace/redirectShare {
		play.lateTaken = append(play.lateTaken, play.now+deadline)
	}
	play.ends = append(play.ends, play.now+min(lasts, deadline))
}

// advance moves the clock by a step, finishes the calls that are due, and ticks.
func (play *stopPlay) advance(step time.Duration) {
	play.now += step
	left := play.ends[:0]
	for _, end := range play.ends {
		if end <= play.now {
			play.handle(CallFinished{})
			continue
		}
		left = append(left, end)
	}
	play.ends = left
	play.handle(contract.Tick{})
}

var _ = Describe("a stop", func() {
	const grace, life = 8 * time.Second, time.Second

	It("given callers that never go away, when it is over, then no call was cut that came after callers could know", func() {
		for seed := range uint64(300) {
			random, play := rand.New(rand.NewPCG(seed, 1)), newStopPlay(grace, life)
			play.handle(StopRequested{})
			for play.endedAt == 0 {
				for range random.IntN(3) {
					deadline := time.Duration(random.Int64N(int64(grace))) + time.Millisecond
					play.arrive(time.Duration(random.Int64N(int64(2*deadline))), deadline)
				}
				play.advance(ShutdownTick(play.shutdown.policy))
			}
			Expect(play.endedAt).To(BeNumerically("<", grace), "seed %d", seed)
			Expect(play.closedAt).To(BeNumerically("<", play.endedAt), "seed %d", seed)
			for _, deadline := range play.lateTaken {
				Expect(deadline).To(BeNumerically("<=", play.closedAt), "seed %d", seed)
			}
			Expect(play.refused).To(BeNumerically(">", 0))
		}
	})

	It("given nobody who calls, when callers have had time to learn of it, then it ends early", func() {
		play := newStopPlay(grace, life)
		play.handle(StopRequested{})
		for play.endedAt == 0 {
			play.advance(ShutdownTick(play.shutdown.policy))
		}
		Expect(play.endedAt).To(And(BeNumerically(">", 2*life), BeNumerically("<", 3*life)))
	})

	It("given a call that was just answered, when it would end early, then it waits for a quiet lifetime of a lookup", func() {
		play := newStopPlay(grace, life)
		play.handle(StopRequested{})
		play.arrive(2500*time.Millisecond, 5*time.Second)
		for play.closedAt == 0 {
			play.advance(ShutdownTick(play.shutdown.policy))
		}
		Expect(play.closedAt).To(BeNumerically(">=", 3500*time.Millisecond))
	})

	It("given a call at work at the end of the grace period, when its limit comes, then the process ends in time", func() {
		play := newStopPlay(grace, life)
		play.handle(StopRequested{})
		play.arrive(time.Minute, time.Minute)
		for play.endedAt == 0 {
			play.advance(ShutdownTick(play.shutdown.policy))
		}
		Expect(play.endedAt).To(And(BeNumerically(">", grace*5/6), BeNumerically("<", grace*31/32)))
	})

	It("given a second signal, when it comes, then the stop goes on as before", func() {
		play := newStopPlay(grace, life)
		play.handle(StopRequested{})
		play.advance(time.Second)
		Expect(play.shutdown.handle(play.now, StopRequested{})).To(BeEmpty())
		Expect(play.shutdown.requestedAt).To(BeZero())
	})

	It("given no stop, when time passes, then all calls are taken and nothing ends", func() {
		play := newStopPlay(grace, life)
		for range 200 {
			play.arrive(time.Second, time.Hour)
			play.advance(time.Second)
		}
		Expect(play.refused).To(BeZero())
		Expect(play.closedAt).To(BeZero())
	})

	It("given a router that stops, when a call comes that cannot finish, then it is refused with a time to come back and forgotten", func() {
		settings := env.New(env.WithName("node"), env.WithZone("z"), env.WithRegion("north"))
		settings.Gateway = env.Gateway{Grace: grace, LookupLife: life, Contact: 4 * time.Second}
		router := NewRouter(settings, rand.New(rand.NewPCG(1, 1)))
		Expect(router.Leaving()).To(BeFalse())
		Expect(router.Handle(0, StopRequested{})).To(ContainElement(LeaveFleet{}))
		Expect(router.Leaving()).To(BeTrue())
		refusal := router.refuseStopping(7)
		Expect(refusal.Status).To(Equal(503))
		Expect(refusal.RetryAfter).To(And(BeNumerically(">", 0), BeNumerically("<=", life/10)))
	})
})
