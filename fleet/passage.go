package fleet

import (
	"github.com/cedarreel/cedarreel/call"
	"github.com/cedarreel/cedarreel/contract"
	"github.com/cedarreel/cedarreel/data"
)

// forwardHome forwards a call to a node of its home region. It tries the next node only while the call cannot have reached one.
func (session *session) forwardHome(forward data.HomeForward, nodes []string) {
	process, fleet, request := session.process, session.process.machine.fleet, session.request
	if len(nodes) == 0 {
		process.handle(data.HomeForwardEnded{Token: session.token, Error: "no node of the home was reached"})
		refusal := contract.ErrorBody{Outcome: string(call.NotRun), Error: "no node of the call's home was reached"}
		session.sendToCaller(func() { session.client.refused(503, refusal, process.machine.env.Bounds.Round()) })
		session.close()
		return
	}
	request.Forwarded, request.Deadline = true, forward.Timeout
	reached, handedOn := false, false
	tryNext := func() {
		process.Run(func() {
			if !reached && !handedOn && !session.ended {
				handedOn = true
				session.forwardHome(forward, nodes[1:])
			}
		})
	}
	process.after(process.machine.env.Bounds.Round(), tryNext)
	process.after(forward.Timeout+process.machine.env.Bounds.Round()/2, func() { process.Run(session.forwardLost) })
	target := fleet.processes[nodes[0]]
	fleet.World.deliver(process.machine.location(), target.machine.location(), false, func() {
		if !target.Up {
			fleet.World.deliver(target.machine.location(), process.machine.location(), false, tryNext)
			return
		}
		if handedOn || session.ended {
			return
		}
		reached = true
		target.Run(func() { session.forwarded = target.open(session.client, request, session) })
	})
}

// sendToForwarder delivers an answer, in order, to the node that forwarded the call, and from there to the client.
func (session *session) sendToForwarder(action func()) {
	world, here, there := session.process.machine.fleet.World, session.process.machine.location(), session.forwarder.process.machine.location()
	if session.linkCut = session.linkCut || world.isCut(here, there); session.linkCut {
		return
	}
	forwarder := session.forwarder
	session.lastDelivery = max(session.lastDelivery, world.Now+world.delay(here, there))
	world.At(session.lastDelivery, func() {
		forwarder.process.Run(func() {
			if !forwarder.ended {
				forwarder.chunksSent++
				forwarder.sendToCaller(action)
			}
		})
	})
}

// reportForwardEnd ends the session at the forwarding node after the home node has sent its whole answer.
func (session *session) reportForwardEnd(status int) {
	if forwarder := session.forwarder; forwarder != nil {
		session.sendToForwarder(func() {})
		session.process.machine.fleet.World.At(session.lastDelivery, func() {
			forwarder.process.Run(func() {
				if !forwarder.ended && !session.linkCut {
					forwarder.process.handle(data.HomeForwardEnded{Token: forwarder.token, Node: session.process.machine.Name, Status: status})
					forwarder.close()
				}
			})
		})
	}
}

// forwardLost ends a forwarded call whose answer is missing or broken; the call may have run, so its outcome is
// unknown, or broken if chunks have been sent.
func (session *session) forwardLost() {
	forwarder := session
	if session.forwarder != nil {
		forwarder = session.forwarder
		world := session.process.machine.fleet.World
		world.deliver(session.process.machine.location(), forwarder.process.machine.location(), false, func() { forwarder.process.Run(forwarder.forwardLost) })
		return
	}
	if forwarder.ended {
		return
	}
	forwarder.process.handle(data.HomeForwardEnded{Token: forwarder.token, Status: 502, Error: "the home's answer was lost"})
	if forwarder.chunksSent > 0 {
		forwarder.sendToCaller(forwarder.client.connectionBroken)
	} else {
		forwarder.sendToCaller(func() { forwarder.client.refused(502, contract.ErrorBody{Outcome: string(call.Unknown)}, 0) })
	}
	forwarder.close()
}

// callerLeft ends a forwarded call after the client, or the forwarding node, closed its connection.
func (session *session) callerLeft() {
	world, forwarder := session.process.machine.fleet.World, session.forwarder
	world.deliver(forwarder.process.machine.location(), session.process.machine.location(), false, func() {
		session.process.Run(func() {
			if !session.ended {
				session.process.handle(data.CallerLeft{Token: session.token})
				session.close()
			}
		})
	})
}
