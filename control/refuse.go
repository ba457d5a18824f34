package control

import (
	"maps"
	"slices"
	"time"

	"github.com/cedarreel/cedarreel/contract"
)

// refusal is a final no that rests on this head's state. It is given only once a majority has confirmed that the head's view is the
// newest, and once the version that it rests on is committed: a head that was cut off knows neither what came after it nor whether what
// it numbered last will stand.
type refusal struct {
	ask       contract.Ask
	status    int
	reason    string
	revision  int64
	confirmed bool
	until     time.Duration
}

// refuseSurely refuses an order for what a version says.
func (owner *Owner) refuseSurely(now time.Duration, ask contract.Ask, rests contract.Version, status int, reason string) []contract.Command {
	owner.token++
	owner.refusals[owner.token] = &refusal{ask: ask, status: status, reason: reason, revision: rests.Place.Revision, until: now + owner.Bounds.Commit()}
	return owner.chain.VouchHead(now, owner.token)
}

// refusalVouched takes a majority's word on the view of a refusal.
func (owner *Owner) refusalVouched(token int64, fine bool) []contract.Command {
	pending := owner.refusals[token]
	pending.confirmed = fine
	if !fine {
		delete(owner.refusals, token)
		return owner.refuse(pending.ask, 503, "no majority confirms what this order is refused for; nothing was done")
	}
	return owner.settleRefusal(token)
}

func (owner *Owner) settleRefusal(token int64) []contract.Command {
	pending := owner.refusals[token]
	if !pending.confirmed || pending.revision > owner.chain.Committed() {
		return nil
	}
	delete(owner.refusals, token)
	return owner.refuse(pending.ask, pending.status, pending.reason)
}

// tickRefusals gives the refusals whose ground was committed meanwhile; one whose ground is not in time is none.
func (owner *Owner) tickRefusals(now time.Duration) []contract.Command {
	commands := []contract.Command{}
	for _, token := range slices.Sorted(maps.Keys(owner.refusals)) {
		pending := owner.refusals[token]
		if now > pending.until {
			delete(owner.refusals, token)
			commands = append(commands, owner.refuse(pending.ask, 503, "another change is under way; nothing was done")...)
			continue
		}
		commands = append(commands, owner.settleRefusal(token)...)
	}
	return commands
}

// writeVouched takes a majority's word on a write that asks for what already is so.
func (owner *Owner) writeVouched(token int64, pending *write, fine bool) []contract.Command {
	pending.unsure = false
	if fine {
		return nil
	}
	delete(owner.writes, token)
	return owner.refuse(pending.ask, 503, "no majority confirms that this already is so; nothing was done")
}
