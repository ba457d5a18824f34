package chain

import (
	"time"

	"github.com/cedarreel/cedarreel/contract"
)

// Probe asks a member whether messages pass both ways; Probed answers it. Heartbeats tell the same after the time of a suspicion, which is
// too long for somebody who waits for an answer.
type Probe struct {
	Nonce   int64             `json:"nonce"`
	StartID string            `json:"start"`
	Node    contract.CoreNode `json:"node"`
}

// Probed answers a Probe.
type ProbeReply struct {
	Nonce     int64             `json:"nonce"`
	StartID   string            `json:"start"`
	Responder contract.CoreNode `json:"by"`
}

// probeParts is how many times a round a majority is probed; one that was not answered for half a round tells that contact was lost. So
// contact that is lost shows within a round.
const probesPerRound = 4

// probe is one that is under way.
type probe struct {
	nonce     int64
	sentAt    time.Duration
	repliedBy map[string]bool
}

// probes are those that a majority has not answered yet, the oldest first.
type probes struct {
	nonce    int64
	lastSent time.Duration
	waiting  []probe
}

// Contact probes the other members, no more often than is needed, for as long as it is called.
func (owner *Replica) ProbeMajority(now time.Duration) []contract.Command {
	if now-owner.probes.lastSent < owner.bounds.Round()/probesPerRound {
		return nil
	}
	owner.commands = nil
	owner.probes.lastSent = now
	owner.probes.nonce++
	owner.probes.waiting = append(owner.probes.waiting, probe{nonce: owner.probes.nonce, sentAt: now, repliedBy: map[string]bool{owner.self.Identity(): true}})
	owner.sendOthers(owner.view.Core, MessageProbe, Probe{Nonce: owner.probes.nonce, StartID: owner.startID, Node: owner.self})
	out := owner.commands
	owner.commands = nil
	return out
}

// OutOfContact tells whether no majority of the core has answered what was sent half a round ago.
func (owner *Replica) MajorityUnreachable(now time.Duration) bool {
	return len(owner.probes.waiting) > 0 && now-owner.probes.waiting[0].sentAt > owner.bounds.Round()/2
}

// ForgetContact begins anew: nothing is waited for any more.
func (owner *Replica) ResetProbes() { owner.probes.waiting = nil }

func (owner *Replica) handleProbeReply(answer ProbeReply) {
	if answer.StartID != owner.startID {
		return
	}
	for place, waiting := range owner.probes.waiting {
		if waiting.nonce != answer.Nonce {
			continue
		}
		waiting.repliedBy[answer.Responder.Identity()] = true
		if len(waiting.repliedBy) >= owner.view.Majority() {
			owner.probes.waiting = owner.probes.waiting[place+1:]
		}
		return
	}
}
