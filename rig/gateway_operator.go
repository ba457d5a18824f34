package rig

import (
	"bytes"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/cedarreel/cedarreel/platform"
)

// gatewayOperator sends the configuration and changes of it.
type gatewayOperator struct {
	fleet    *gatewayFleet
	lock     sync.Mutex
	revision int64
}

// usualBodyBytes bounds callers' bodies where the plan does not.
const usualBodyBytes = 4 << 20

// installLimit is how long the first configuration is sent until it is taken.
const installLimit = 40 * time.Second

// install sends the first configuration until it is taken.
func (operator *gatewayOperator) install() error {
	routes := []any{}
	for _, kind := range operator.fleet.shape.kinds {
		routes = append(routes, operator.route(kind, kind.timeout))
	}
	services := []any{}
	for _, service := range operator.fleet.shape.services {
		services = append(services, service.configuration())
	}
	maxBodyBytes := cmp.Or(operator.fleet.plan.Limits.BodyBytes, usualBodyBytes)
	body := map[string]any{"revision": 1, "routes": routes, "backends": services,
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": maxBodyBytes, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}}
	status := 0
	for began := time.Now(); time.Since(began) < installLimit; time.Sleep(pollInterval) {
		if status = operator.send(platform.ReplacePath, 0, body); status == http.StatusOK {
			operator.revision = 1
			return nil
		}
	}
	return fmt.Errorf("the first configuration was not taken, the last answer was %d", status)
}

// route returns a route of the configuration.
func (operator *gatewayOperator) route(kind callKind, timeout time.Duration) map[string]any {
	route := platform.FormatRoute(gatewayHost, kind.prefix, map[string]any{"name": "r-" + kind.name, "timeoutMs": timeout.Milliseconds(), "targetLatencyMs": 1000,
		"priority": 0, "backend": kind.service, "maxAttempts": 1, "sessionAffinity": kind.stream, "resumable": kind.repeatable && kind.stream, "tokenGapMs": 600, "allowedRegions": append([]string{}, kind.regions...)})
	route["routeType"] = "streaming"
	if kind.repeatable {
		route["maxAttempts"] = 2
	}
	if !kind.stream {
		route["routeType"], route["maxAttempts"], route["tokenGapMs"] = "read_only", 3, 0
	}
	return route
}

// change sends a change of the latency target of one route, on top of the newest revision that was acknowledged.
func (operator *gatewayOperator) change() error {
	operator.lock.Lock()
	defer operator.lock.Unlock()
	kinds := operator.fleet.shape.kinds
	kind := kinds[operator.fleet.below(len(kinds))]
	route := operator.route(kind, kind.timeout)
	route["targetLatencyMs"] = 800 + operator.fleet.below(400)
	next := operator.revision + 1 + int64(operator.fleet.below(3))
	body := map[string]any{"revision": next, "upsert": map[string]any{"routes": []any{route}}, "remove": map[string]any{}}
	for range maxChangeAttempts {
		status := operator.send(platform.UpdatePath, operator.revision, body)
		operator.fleet.count(fmt.Sprintf("changes answered %d", status))
		if status == http.StatusOK {
			operator.revision = next
			return nil
		}
		if status >= 400 && status < 500 && status != http.StatusTooManyRequests && status != http.StatusRequestTimeout {
			return fmt.Errorf("a valid change on top of %d was answered %d", operator.revision, status)
		}
		time.Sleep(changeRetryPause)
	}
	return errors.New("a change was not acknowledged")
}

const (
	maxChangeAttempts = 60
	changeRetryPause  = 250 * time.Millisecond
)

// drain orders the evacuation of a zone, or takes it back, and reports whether that was acknowledged.
func (operator *gatewayOperator) drain(zone string, create bool) bool {
	for range maxChangeAttempts {
		if operator.send(platform.DrainPath(zone, create), 0, nil) == http.StatusOK {
			return true
		}
		time.Sleep(changeRetryPause)
	}
	return false
}

// send sends one order, with a body unless it is nil, to a random core machine and returns the status, 0 without an answer.
func (operator *gatewayOperator) send(path string, base int64, body any) int {
	fleet := operator.fleet
	var content []byte
	if body != nil {
		var err error
		if content, err = json.Marshal(body); err != nil {
			panic(err)
		}
	}
	machines := fleet.core()
	machine := machines[fleet.below(len(machines))]
	request, err := http.NewRequest(http.MethodPost, "http://"+machine.at(controlPort)+path, bytes.NewReader(content))
	if err != nil {
		panic(err)
	}
	request.Header.Set("Content-Type", "application/json")
	platform.SetBaseRevision(request.Header, base)
	response, err := fleet.client.Do(request)
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}
