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
func (process *gatewayProcess) place(ctx context.Context, query gateway.Place) contract.Command {
	placed, answers := gateway.Placed{Token: query.Token, Late: true}, make(chan gateway.Placed, 1)
	token := process.Loop.Token(func(answer contract.Response) {
		var place index.Place
		status, body := link.ForwardedAnswer(answer)
		if status == 200 && json.Unmarshal(body, &place) == nil && place.Server != "" {
			process.handle(gateway.Relocated{Places: []index.Place{place}})
			process.Loop.Count("places_answered", 1)
			answers <- gateway.Placed{Token: query.Token, Place: place}
			return
		}
		answers <- gateway.Placed{Token: query.Token, Late: !gateway.Refuses(status)}
	})
	if !process.Loop.TryPost(gateway.AskPlace{Token: token, Ask: query.Ask}) {
		process.Loop.Forget(token)
		return process.decide(placed)
	}
	timer := time.NewTimer(query.Patience)
	defer timer.Stop()
	select {
	case placed = <-answers:
	case <-ctx.Done():
		return process.decide(gateway.Ended{Token: query.Token, Outcome: gateway.Left})
	case <-timer.C:
		process.Loop.Count("places_unanswered", 1)
	}
	return process.decide(placed)
}
