package fleet

import "time"

// clock is the monotonic clock of a machine. It may run faster or slower than virtual time by the share drift.
type clock struct {
	// baseReading is what the clock showed at the virtual time baseTime.
	baseReading time.Duration
	baseTime    time.Duration
	drift       float64
}

// localTime reads the clock of the machine.
func (machine *Machine) localTime() time.Duration {
	passed := machine.fleet.World.Now - machine.clock.baseTime
	return machine.clock.baseReading + passed + time.Duration(float64(passed)*machine.clock.drift)
}

// Drift makes the clock of a machine run faster by a share of its rate, or slower if negative. Drifts add up, and end undoes only its own.
func (machine *Machine) Drift(share float64) (end func()) {
	change := func(by float64) {
		machine.clock = clock{baseReading: machine.localTime(), baseTime: machine.fleet.World.Now, drift: machine.clock.drift + by}
	}
	change(share)
	return func() { change(-share) }
}

// after runs then after a span of the machine's own clock.
func (process *Process) after(span time.Duration, then func()) {
	process.machine.fleet.World.After(time.Duration(float64(span)/(1+process.machine.clock.drift)), then)
}
