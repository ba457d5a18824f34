package chain

import (
	"time"

	"github.com/cedarreel/cedarreel/contract"
)

// Probe asks a member to reply at once. Heartbeats detect a broken link only after the suspicion time, which is too long while a request
// waits for a response.
type Probe struct {
	Nonce   int64             `json:"nonce"`
	StartID string            `json:"start"`
	Node    contract.CoreNode `json:"node"`
}

// ProbeReply answers a Probe.
type ProbeReply struct {
	Nonce     int64             `json:"nonce"`
	StartID   string            `json:"start"`
	Responder contract.CoreNode `json:"by"`
}

// probesPerRound is how often a round the members are probed. A probe that no majority answers within half a round shows that the majority
// is unreachable, so a loss of contact is detected within a round.
const probesPerRound = 4

// probe is a probe that was sent to all members.
type probe struct {
	nonce     int64
	sentAt    time.Duration
	repliedBy map[string]bool
}

// probes tracks the probes that no majority has answered yet, the oldest first.
type probes struct {
	nonce    int64
	lastSent time.Duration
	waiting  []probe
}

// ProbeMajority probes the other members at the interval of probesPerRound. It is called on each tick while a response depends on contact.
func (replica *Replica) ProbeMajority(now time.Duration) []contract.Command {
	if now-replica.probes.lastSent < replica.bounds.Round()/probesPerRound {
		return nil
	}
	replica.commands = nil
	replica.probes.lastSent = now
	replica.probes.nonce++
	replica.probes.waiting = append(replica.probes.waiting, probe{nonce: replica.probes.nonce, sentAt: now, repliedBy: map[string]bool{replica.self.Identity(): true}})
	replica.sendOthers(replica.view.Core, MessageProbe, Probe{Nonce: replica.probes.nonce, StartID: replica.startID, Node: replica.self})
	out := replica.commands
	replica.commands = nil
	return out
}

// MajorityUnreachable reports whether a probe sent more than half a round ago has not been answered by a majority of the core.
func (replica *Replica) MajorityUnreachable(now time.Duration) bool {
	return len(replica.probes.waiting) > 0 && now-replica.probes.waiting[0].sentAt > replica.bounds.Round()/2
}

// ResetProbes forgets all unanswered probes.
func (replica *Replica) ResetProbes() { replica.probes.waiting = nil }

func (replica *Replica) handleProbeReply(reply ProbeReply) {
	if reply.StartID != replica.startID {
		return
	}
	for index, waiting := range replica.probes.waiting {
		if waiting.nonce != reply.Nonce {
			continue
		}
		waiting.repliedBy[reply.Responder.Identity()] = true
		if len(waiting.repliedBy) >= replica.view.Majority() {
			replica.probes.waiting = replica.probes.waiting[index+1:]
		}
		return
	}
}
