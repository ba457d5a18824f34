package fleet

import (
	"github.com/cedarreel/cedarreel/call"
	"github.com/cedarreel/cedarreel/contract"
	"github.com/cedarreel/cedarreel/data"
)

// pass carries a call on to a node of its home, to the next one only while nothing of it can have reached one.
func (session *session) pass(pass data.HomeForward, nodes []string) {
	process, fleet, asked := session.process, session.process.machine.fleet, session.asked
	if len(nodes) == 0 {
		process.handle(data.HomeForwardEnded{Token: session.token, Error: "no node of the home was reached"})
		refusal := contract.ErrorBody{Outcome: string(call.NotRun), Error: "no node of the call's home was reached"}
		session.towards(func() { session.try.refused(503, refusal, process.machine.env.Bounds.Round()) })
		session.close()
		return
	}
	asked.Forwarded, asked.Deadline = true, pass.Timeout
	reached, given := false, false
	next := func() {
		process.Run(func() {
			if !reached && !given && !session.over {
				given = true
				session.pass(pass, nodes[1:])
			}
		})
	}
	process.after(process.machine.env.Bounds.Round(), next)
	process.after(pass.Timeout+process.machine.env.Bounds.Round()/2, func() { process.Run(session.lost) })
	target := fleet.processes[nodes[0]]
	fleet.World.travel(process.machine.place(), target.machine.place(), false, func() {
		if !target.Up {
			fleet.World.travel(target.machine.place(), process.machine.place(), false, next)
			return
		}
		if given || session.over {
			return
		}
		reached = true
		target.Run(func() { session.inner = target.open(session.try, asked, session) })
	})
}

// outwards brings something from the home's node to the node that passed the call on, in order, and on to the caller.
func (session *session) outwards(then func()) {
	world, here, there := session.process.machine.fleet.World, session.process.machine.place(), session.outer.process.machine.place()
	if session.stuck = session.stuck || world.broken(here, there); session.stuck {
		return
	}
	outer := session.outer
	session.last = max(session.last, world.Now+world.delay(here, there))
	world.At(session.last, func() {
		outer.process.Run(func() {
			if !outer.over {
				outer.written++
				outer.towards(then)
			}
		})
	})
}

// inform ends the passing node's part once the home has given its whole answer.
func (session *session) inform(status int) {
	if outer := session.outer; outer != nil {
		session.outwards(func() {})
		session.process.machine.fleet.World.At(session.last, func() {
			outer.process.Run(func() {
				if !outer.over && !session.stuck {
					outer.process.handle(data.HomeForwardEnded{Token: outer.token, Node: session.process.machine.Name, Status: status})
					outer.close()
				}
			})
		})
	}
}

// lost is the end of a passed call whose answer does not come, or breaks: it may have run.
func (session *session) lost() {
	outer := session
	if session.outer != nil {
		outer = session.outer
		world := session.process.machine.fleet.World
		world.travel(session.process.machine.place(), outer.process.machine.place(), false, func() { outer.process.Run(outer.lost) })
		return
	}
	if outer.over {
		return
	}
	outer.process.handle(data.HomeForwardEnded{Token: outer.token, Status: 502, Error: "the home's answer was lost"})
	if outer.written > 0 {
		outer.towards(outer.try.broke)
	} else {
		outer.towards(func() { outer.try.refused(502, contract.ErrorBody{Outcome: string(call.Unknown)}, 0) })
	}
	outer.close()
}

// leave follows a caller, or the node that passed the call on, that went away.
func (session *session) leave() {
	world, outer := session.process.machine.fleet.World, session.outer
	world.travel(outer.process.machine.place(), session.process.machine.place(), false, func() {
		session.process.Run(func() {
			if !session.over {
				session.process.handle(data.CallerLeft{Token: session.token})
				session.close()
			}
		})
	})
}
