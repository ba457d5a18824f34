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
	ask      contract.OperatorRequest
	status   int
	reason   string
	revision int64
	until    time.Duration
}

// refuseSurely refuses an order for what a version says.
func (owner *Owner) refuseSurely(now time.Duration, ask contract.OperatorRequest, rests contract.Version, status int, reason string) []contract.Command {
	pending := refusal{ask: ask, status: status, reason: reason, revision: rests.Position.Revision, until: now + owner.Bounds.CommitTimeout()}
	token := owner.whenVouched(func(_ time.Duration, fine bool) []contract.Command {
		switch {
		case !fine:
			return owner.refuse(ask, 503, "no majority confirms what this order is refused for; nothing was done")
		case pending.revision > owner.chain.Committed():
			owner.token++
			owner.refusals[owner.token] = pending
			return nil
		}
		return owner.refuse(ask, status, reason)
	})
	return owner.chain.ConfirmHead(now, token)
}

// tickRefusals gives the refusals whose ground was committed meanwhile; one whose ground is not in time is none.
func (owner *Owner) tickRefusals(now time.Duration) []contract.Command {
	commands := []contract.Command{}
	for _, token := range slices.Sorted(maps.Keys(owner.refusals)) {
		pending := owner.refusals[token]
		switch {
		case now > pending.until:
			commands = append(commands, owner.refuse(pending.ask, 503, "another change is under way; nothing was done")...)
		case pending.revision <= owner.chain.Committed():
			commands = append(commands, owner.refuse(pending.ask, pending.status, pending.reason)...)
		default:
			continue
		}
		delete(owner.refusals, token)
	}
	return commands
}

// confirmStanding answers an order that asks for what already is so, once a majority has confirmed the view in which it is.
func (owner *Owner) confirmStanding(now time.Duration, ask contract.OperatorRequest, version contract.Version) []contract.Command {
	token := owner.whenVouched(func(now time.Duration, fine bool) []contract.Command {
		if !fine {
			return owner.refuse(ask, 503, "no majority confirms that this already is so; nothing was done")
		}
		owner.await(now, ask, version, version.Operation)
		return nil
	})
	return owner.chain.ConfirmHead(now, token)
}
