package serve

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/cedarreel/cedarreel/contract"
	"github.com/cedarreel/cedarreel/env"
	"github.com/cedarreel/cedarreel/gateway"
	"github.com/cedarreel/cedarreel/link"
	"github.com/cedarreel/cedarreel/manifest"
	"github.com/cedarreel/cedarreel/upstream"
	"github.com/go-kit/log"
)

// TestGateway is the shell that takes opaque calls, without its node.
type TestGateway struct{ shell *gatewayShell }

func NewTestGateway(settings env.Env, face Face) *TestGateway {
	shell := &gatewayShell{Process: &Process{Settings: settings, Loop: link.NewLoop(deaf{}, time.Hour, nil, log.NewNopLogger())}, face: face,
		traffic: gateway.NewRouter(settings, source()), pool: upstream.NewPool(idlePerServer, time.Minute)}
	shell.limits.Store(&manifest.Limits{})
	return &TestGateway{shell}
}

func (test *TestGateway) Handler() http.Handler { return http.HandlerFunc(test.shell.serve) }

func (test *TestGateway) Learn(event contract.Event) { test.shell.act(gateway.Update{Event: event}) }

// forwarding has every question for a place asked at one address.
type forwarding struct{ address string }

func (owner forwarding) Handle(_ time.Duration, event contract.Event) []contract.Command {
	asked, fine := event.(gateway.AskPlace)
	if !fine {
		return nil
	}
	body, failure := json.Marshal(asked.Ask)
	if failure != nil {
		panic(failure)
	}
	return []contract.Command{contract.Forward{Ask: contract.Ask{Token: asked.Token, Verb: contract.VerbPlace, Body: body}, Address: owner.address}}
}

// AskAt has questions for places go to a control node on a real socket until stop is closed.
func (test *TestGateway) AskAt(address string, stop chan struct{}) {
	shell := test.shell
	shell.Loop = link.NewLoop(forwarding{address}, time.Hour, nil, log.NewNopLogger())
	shell.Loop.Act(shell.act)
	shell.forward = link.NewOperators(shell.Loop, 1<<20, 10*time.Second, link.NewFaults("", stop))
	go shell.Loop.Run(stop)
}

func (test *TestGateway) Counts() map[string]int64 { return test.shell.Loop.Counts() }

func (test *TestGateway) Running() int { return int(test.shell.running.Load()) }

func (test *TestGateway) Idle() int { return test.shell.pool.Idle() }

const MostReplyBytes = mostReplyBytes
