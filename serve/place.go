package serve

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cedarreel/cedarreel/contract"
	"github.com/cedarreel/cedarreel/gateway"
	"github.com/cedarreel/cedarreel/index"
	"github.com/cedarreel/cedarreel/link"
)

// place asks the prompt index for the server of a call's prompt. After the query's patience the call continues without an answer; a late
// answer still serves later calls.
func (process *gatewayProcess) place(ctx context.Context, query gateway.PlaceQuery) contract.Command {
	placed, answers := gateway.PlaceAnswer{Token: query.Token, TimedOut: true}, make(chan gateway.PlaceAnswer, 1)
	token := process.Loop.RegisterAnswer(func(answer contract.Response) {
		var place index.Placement
		status, body := link.ForwardedAnswer(answer)
		if status == 200 && json.Unmarshal(body, &place) == nil && place.Server != "" {
			process.handle(gateway.PlacesMoved{Places: []index.Placement{place}})
			process.Loop.Count("places_answered", 1)
			answers <- gateway.PlaceAnswer{Token: query.Token, Place: place}
			return
		}
		answers <- gateway.PlaceAnswer{Token: query.Token, TimedOut: !gateway.IsRefusalStatus(status)}
	})
	if !process.Loop.TryPost(gateway.AskPlace{Token: token, Ask: query.Ask}) {
		process.Loop.Forget(token)
		return process.nextCommand(placed)
	}
	timer := time.NewTimer(query.Timeout)
	defer timer.Stop()
	select {
	case placed = <-answers:
	case <-ctx.Done():
		return process.nextCommand(gateway.DispatchEnded{Token: query.Token, Outcome: gateway.OutcomeCallerLeft})
	case <-timer.C:
		process.Loop.Count("places_unanswered", 1)
	}
	return process.nextCommand(placed)
}
