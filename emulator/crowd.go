package emulator

import (
	"time"

	"github.com/cedarreel/cedarreel/admission"
)

const (
	// crowdArrival is the time within which the clients of a crowd connect.
	crowdArrival = 2 * time.Second
	// crowdBodyParts and crowdPartBytes are what an uploading client of a crowd sends before it stops short of the end of its body.
	crowdBodyParts = 8
	crowdPartBytes = 512 << 10
	// silentEvery: one in so many clients of a crowd sends nothing.
	silentEvery = 2
)

// beginCrowd lets X clients that misbehave press on each machine: some connect and send nothing, the others begin large bodies and stop before
// their end. All stay until the trouble is over. It excuses nothing.
func (day *Day) beginCrowd(trouble Trouble) {
	running := []*machine{}
	for _, machine := range day.machines {
		if machine.up() {
			running = append(running, machine)
		}
	}
	day.chance.Shuffle(len(running), func(left, right int) { running[left], running[right] = running[right], running[left] })
	for _, machine := range running[:trouble.count(len(running))] {
		for number := range int(trouble.factorOrDefault()) {
			day.world.After(time.Duration(day.chance.Int64N(int64(crowdArrival))), func() { day.joinCrowd(machine, number, trouble.duration()) })
		}
	}
}

// joinCrowd connects one client of a crowd to a machine for a time.
func (day *Day) joinCrowd(machine *machine, number int, stays time.Duration) {
	from := location{"crowd-" + machine.zone, machine.zone, machine.region, true}
	accept := func(conn *conn) bool { return machine.up() && machine.data.accept(conn) }
	day.world.dial(from, machine.place(), connectTimeout, accept, func(opened *conn) {
		if opened == nil {
			return
		}
		day.world.After(stays, func() { opened.close(dialer) })
		if number%silentEvery == 0 {
			return
		}
		for part := range crowdBodyParts {
			opened.send(dialer, crowdPartBytes, func() { machine.data.receivePart(opened, part == 0) })
		}
	})
}

// receivePart admits a part of a body whose end does not come, with the head before the first one.
func (data *dataProcess) receivePart(conn *conn, isFirst bool) {
	data.Run(func() {
		id := admission.ConnID(conn.number)
		if isFirst {
			data.admit(admission.Received{Conn: id, Bytes: headBytes, Lines: headLines})
			data.admit(admission.RequestBegan{Conn: id, Bytes: headBytes, Lines: headLines})
		}
		data.admitBody(id, crowdPartBytes)
	})
}
