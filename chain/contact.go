package chain

import (
	"time"

	"github.com/cedarreel/cedarreel/contract"
)

// Probe asks a member whether messages pass both ways; Probed answers it. Heartbeats tell the same after the time of a suspicion, which is
// too long for somebody who waits for an answer.
type Probe struct {
	Nonce int64             `json:"nonce"`
	Start string            `json:"start"`
	Node  contract.CoreNode `json:"node"`
}

// Probed answers a Probe.
type Probed struct {
	Nonce int64             `json:"nonce"`
	Start string            `json:"start"`
	By    contract.CoreNode `json:"by"`
}

// probeParts is how many times a round a majority is probed; one that was not answered for half a round tells that contact was lost. So
// contact that is lost shows within a round.
const probeParts = 4

// probe is one that is under way.
type probe struct {
	nonce int64
	sent  time.Duration
	by    map[string]bool
}

// probes are those that a majority has not answered yet, the oldest first.
type probes struct {
	nonce   int64
	last    time.Duration
	waiting []probe
}

// Contact probes the other members, no more often than is needed, for as long as it is called.
func (owner *Owner) Contact(now time.Duration) []contract.Command {
	if now-owner.probes.last < owner.bounds.Round()/probeParts {
		return nil
	}
	owner.out = nil
	owner.probes.last = now
	owner.probes.nonce++
	owner.probes.waiting = append(owner.probes.waiting, probe{nonce: owner.probes.nonce, sent: now, by: map[string]bool{owner.self.Identity(): true}})
	owner.sendOthers(owner.view.Core, MessageProbe, Probe{Nonce: owner.probes.nonce, Start: owner.start, Node: owner.self})
	out := owner.out
	owner.out = nil
	return out
}

// OutOfContact tells whether no majority of the core has answered what was sent half a round ago.
func (owner *Owner) OutOfContact(now time.Duration) bool {
	return len(owner.probes.waiting) > 0 && now-owner.probes.waiting[0].sent > owner.bounds.Round()/2
}

// ForgetContact begins anew: nothing is waited for any more.
func (owner *Owner) ForgetContact() { owner.probes.waiting = nil }

func (owner *Owner) probed(answer Probed) {
	if answer.Start != owner.start {
		return
	}
	for place, waiting := range owner.probes.waiting {
		if waiting.nonce != answer.Nonce {
			continue
		}
		waiting.by[answer.By.Identity()] = true
		if len(waiting.by) >= owner.view.Majority() {
			owner.probes.waiting = owner.probes.waiting[place+1:]
		}
		return
	}
}
