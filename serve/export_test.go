package serve

import (
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
		traffic: gateway.NewTraffic(settings, source()), pool: upstream.NewPool(idlePerServer, time.Minute)}
	shell.limits.Store(&manifest.Limits{})
	return &TestGateway{shell}
}

func (test *TestGateway) Handler() http.Handler { return http.HandlerFunc(test.shell.serve) }

func (test *TestGateway) Learn(event contract.Event) { test.shell.act(gateway.Update{Event: event}) }

func (test *TestGateway) Idle() int { return test.shell.pool.Idle() }

const MostReplyBytes = mostReplyBytes
