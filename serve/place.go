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

// place asks where a call's prompt belongs and goes on after its patience with or without an answer; a late one serves later calls.
func (shell *gatewayShell) place(caller context.Context, asked gateway.PlaceQuery) contract.Command {
	placed, answers := gateway.PlaceAnswer{Token: asked.Token, TimedOut: true}, make(chan gateway.PlaceAnswer, 1)
	token := shell.Loop.Token(func(answer contract.Answer) {
		var place index.Place
		status, body := link.Given(answer)
		if status == 200 && json.Unmarshal(body, &place) == nil && place.Server != "" {
			shell.handle(gateway.PlacesMoved{Places: []index.Place{place}})
			shell.Loop.Count("places_answered", 1)
			answers <- gateway.PlaceAnswer{Token: asked.Token, Place: place}
			return
		}
		answers <- gateway.PlaceAnswer{Token: asked.Token, TimedOut: !gateway.IsRefusalStatus(status)}
	})
	if !shell.Loop.Try(gateway.AskPlace{Token: token, Ask: asked.Ask}) {
		shell.Loop.Forget(token)
		return shell.decide(placed)
	}
	timer := time.NewTimer(asked.Timeout)
	defer timer.Stop()
	select {
	case placed = <-answers:
	case <-caller.Done():
		return shell.decide(gateway.DispatchEnded{Token: asked.Token, Outcome: gateway.OutcomeCallerLeft})
	case <-timer.C:
		shell.Loop.Count("places_unanswered", 1)
	}
	return shell.decide(placed)
}
