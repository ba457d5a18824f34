package control

import (
	"maps"
	"slices"
	"time"

	"github.com/cedarreel/cedarreel/contract"
)

// refusal is a final refusal that is based on the state of this head. It is sent only after a majority has confirmed that the head's view is
// current and the version that it is based on is committed: a head that was cut off knows neither what was decided after that nor whether the
// versions that it assigned last will be committed.
type refusal struct {
	request  contract.OperatorRequest
	status   int
	reason   string
	revision int64
	deadline time.Duration
}

// refuseConfirmed refuses a request because of what a version says.
func (controller *Controller) refuseConfirmed(now time.Duration, request contract.OperatorRequest, basis contract.Version, status int, reason string) []contract.Command {
	pending := refusal{request: request, status: status, reason: reason, revision: basis.Position.Revision, deadline: now + controller.Bounds.CommitTimeout()}
	token := controller.onConfirmed(func(_ time.Duration, ok bool) []contract.Command {
		switch {
		case !ok:
			return controller.refuse(request, 503, "no majority confirms what this order is refused for; nothing was done")
		case pending.revision > controller.chain.Committed():
			controller.token++
			controller.pendingRefusals[controller.token] = pending
			return nil
		}
		return controller.refuse(request, status, reason)
	})
	return controller.chain.ConfirmHead(now, token)
}

// tickRefusals sends the refusals whose version has been committed. If that does not happen in time, the request may be retried.
func (controller *Controller) tickRefusals(now time.Duration) []contract.Command {
	commands := []contract.Command{}
	for _, token := range slices.Sorted(maps.Keys(controller.pendingRefusals)) {
		pending := controller.pendingRefusals[token]
		switch {
		case now > pending.deadline:
			commands = append(commands, controller.refuse(pending.request, 503, "another change is under way; nothing was done")...)
		case pending.revision <= controller.chain.Committed():
			commands = append(commands, controller.refuse(pending.request, pending.status, pending.reason)...)
		default:
			continue
		}
		delete(controller.pendingRefusals, token)
	}
	return commands
}

// confirmInEffect answers a request that asks for what the latest version already says, after a majority has confirmed the view.
func (controller *Controller) confirmInEffect(now time.Duration, request contract.OperatorRequest, version contract.Version) []contract.Command {
	token := controller.onConfirmed(func(now time.Duration, ok bool) []contract.Command {
		if !ok {
			return controller.refuse(request, 503, "no majority confirms that this already is so; nothing was done")
		}
		controller.awaitCommit(now, request, version, version.Operation)
		return nil
	})
	return controller.chain.ConfirmHead(now, token)
}
