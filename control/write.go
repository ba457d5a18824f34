package control

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cedarreel/cedarreel/contract"
	"github.com/cedarreel/cedarreel/document"
	"github.com/cedarreel/cedarreel/manifest"
	"github.com/cedarreel/cedarreel/shard"
	"github.com/rotisserie/eris"
)

// statusUnknown is the HTTP status of the response to a write if it is unknown whether it will be committed.
const statusUnknown = 504

// pendingWrite is a write whose client waits for the response.
type pendingWrite struct {
	request   contract.OperatorRequest
	revision  int64
	operation string
	startedAt time.Duration
	committed bool
}

// fingerprint returns a hash of what a write asks for, to recognize a retry under the same operation key.
func fingerprint(request contract.OperatorRequest) string {
	return contract.Digest([]byte(request.Verb + "\x00" + request.Subject + "\x00" + fmt.Sprint(request.BaseRevision, request.HasBaseRevision) + "\x00" + string(request.Body)))[:16]
}

// patchOf returns the JSON merge patch of a write, or the whole manifest of a put.
func patchOf(request contract.OperatorRequest) (map[string]any, error) {
	switch request.Verb {
	case contract.VerbDrain, contract.VerbUndrain:
		return map[string]any{"zones": map[string]any{request.Subject: map[string]any{"drained": request.Verb == contract.VerbDrain}}}, nil
	case contract.VerbScale:
		return map[string]any{"pools": map[string]any{request.Subject: map[string]any{"scale": json.Number(strings.TrimSpace(string(request.Body)))}}}, nil
	}
	return manifest.ParseObject(request.Body)
}

// refuse refuses a write. A refusal with status 503 advises to retry after a round.
func (controller *Controller) refuse(request contract.OperatorRequest, status int, message string) []contract.Command {
	after := time.Duration(0)
	if status == 503 {
		after = controller.Bounds.Round()
	}
	return []contract.Command{contract.AddCounter{Name: fmt.Sprintf("writes_refused_%d", status), Delta: 1}, contract.ErrorResponse(request.Token, status, message, after)}
}

// write checks a write at the head and submits it to the chain. A retry of an operation waits for the existing version. withdrawn names the zones
// that the owners of their shards have already withdrawn; write calls itself through withdrawZone until all zones to drain are.
func (controller *Controller) write(now time.Duration, request contract.OperatorRequest, withdrawn map[string]bool) []contract.Command {
	if request.Operation == "" {
		return controller.refuse(request, 400, "an operation key is missing")
	}
	operation := contract.OperationID(request.Operation, fingerprint(request))
	if existing, found := controller.chain.Operation(request.Operation); found {
		if existing.Operation != operation {
			return controller.refuse(request, 422, "this operation key was used for another write")
		}
		controller.awaitCommit(now, request, existing, operation)
		return nil
	}
	if current, found := controller.alreadyInEffect(request); found {
		return controller.confirmInEffect(now, request, current)
	}
	if !controller.chain.AcceptsWrites() {
		return controller.refuse(request, 503, "the chain cannot take writes now; nothing was committed")
	}
	latest, ok := controller.chain.Latest()
	if !ok {
		return controller.refuse(request, 503, "the latest version is not here; nothing was committed")
	}
	gatewayWrite := request.Verb == contract.VerbReplace || request.Verb == contract.VerbUpdate
	if !gatewayWrite && request.HasBaseRevision && request.BaseRevision != latest.Position.Revision {
		return controller.refuseConfirmed(now, request, latest, 409, fmt.Sprintf("the manifest moved: base %d, now %d", request.BaseRevision, latest.Position.Revision))
	}
	if (request.Verb == contract.VerbPut || gatewayWrite) && !request.HasBaseRevision {
		return controller.refuse(request, 400, "a whole manifest needs its base revision")
	}
	parsed := controller.parseLatest(latest)
	if reason := staleBase(request, parsed); reason != "" {
		if controller.baseForgotten(request) {
			return controller.refuse(request, 504, "this order builds on a version that is no longer kept: whether it was taken is not known")
		}
		return controller.refuseConfirmed(now, request, latest, 409, reason)
	}
	change, next, drains, err := buildChange(request, parsed)
	if err != nil {
		return controller.refuseConfirmed(now, request, latest, 400, err.Error())
	}
	for _, zone := range manifest.SortedKeys(drains) {
		if !withdrawn[zone] {
			return controller.withdrawZone(now, request, zone, drains[zone], withdrawn)
		}
	}
	version, commands := controller.chain.Submit(now, operation, change)
	controller.latest = parsedVersion{Version: version, manifest: next}
	controller.awaitCommit(now, request, version, operation)
	return commands
}

// buildChange returns the change that a write makes to the latest version, the resulting manifest, and the zones that it newly drains.
func buildChange(request contract.OperatorRequest, latest parsedVersion) (document.Change, manifest.Manifest, map[string]zoneScope, error) {
	change, err := requestedChange(request, latest)
	if err != nil {
		return change, manifest.Manifest{}, nil, err
	}
	previous, content := latest.manifest, latest.Document().Apply(change)
	next, err := manifest.Manifest{}, error(nil)
	if latest.exists() && latest.invalid == nil {
		next, err = previous.Next(content, change)
	} else {
		next, err = manifest.FromDocument(content)
	}
	gatewayWrite := request.Verb == contract.VerbReplace || request.Verb == contract.VerbUpdate
	if err == nil && gatewayWrite && next.Gateway.Revision <= previous.Gateway.Revision {
		err = eris.Errorf("gateway.revision: want more than %d, got %d", previous.Gateway.Revision, next.Gateway.Revision)
	}
	if err != nil {
		return change, next, nil, err
	}
	drains, err := newlyDrained(previous, next, latest.exists())
	return change, next, drains, err
}

// requestedChange returns the change that a write makes to the latest version.
func requestedChange(request contract.OperatorRequest, latest parsedVersion) (document.Change, error) {
	patch, err := patchOf(request)
	if err != nil {
		return document.Change{}, err
	}
	switch {
	case request.Verb == contract.VerbReplace || request.Verb == contract.VerbUpdate:
		return manifest.GatewayChange(latest.Document(), patch, request.Verb == contract.VerbReplace || !latest.exists())
	case request.Verb == contract.VerbPut || !latest.exists():
		replacement, err := document.FromObject(patch)
		if err != nil {
			return document.Change{}, err
		}
		return document.Diff(latest.Document(), replacement), nil
	}
	return latest.Document().MergePatch(patch)
}

// newlyDrained returns the zones that are drained in a manifest and were not in the previous one. It fails if a zone changes its region.
func newlyDrained(previous, next manifest.Manifest, hasPrevious bool) (map[string]zoneScope, error) {
	drains := map[string]zoneScope{}
	for name, zone := range next.Zones {
		old, known := previous.Zones[name]
		if known && old.Region != zone.Region {
			return nil, eris.Errorf("zones.%s.region: a zone does not move from %s to %s; name another", name, old.Region, zone.Region)
		}
		if zone.Drained && !old.Drained && hasPrevious {
			drains[name] = zoneScope{region: zone.Region, shards: previous.Regions[zone.Region].Shards}
		}
	}
	return drains, nil
}

// zoneScope is the region of a zone and the number of its shards.
type zoneScope struct {
	region string
	shards int
}

// withdrawZone asks the owners of a zone's shards to remove the zone from their server lists, and continues the write when all have done so.
func (controller *Controller) withdrawZone(now time.Duration, request contract.OperatorRequest, zone string, scope zoneScope, withdrawn map[string]bool) []contract.Command {
	covered := map[int]bool{}
	matches := func(member contract.Member) bool {
		return member.Kind == contract.KindControl && (member.Region == scope.region || controller.allRegions)
	}
	return controller.startQuery(now, matches, shard.MessageZoneWithdraw, func(token int64) any {
		return shard.ZoneWithdraw{Zone: zone, Region: scope.region, Token: token, Address: controller.Self().Address}
	}, func(body json.RawMessage) bool {
		var response shard.ZoneWithdrawn
		if json.Unmarshal(body, &response) == nil {
			for _, index := range response.Shards {
				covered[index] = true
			}
		}
		return len(covered) >= scope.shards
	}, func(now time.Duration) []contract.Command {
		if len(covered) < scope.shards {
			return controller.refuse(request, 503, fmt.Sprintf("zone %s: the owners of its shards cannot be reached; nothing was committed", zone))
		}
		next := map[string]bool{zone: true}
		for name := range withdrawn {
			next[name] = true
		}
		if !controller.isAuthoritative(request) {
			return controller.refuse(request, 503, "the authority moved; nothing was committed")
		}
		return controller.write(now, request, next)
	})
}

// awaitCommit registers a request that waits for the commit of a version.
func (controller *Controller) awaitCommit(now time.Duration, request contract.OperatorRequest, version contract.Version, operation string) {
	controller.token++
	controller.pendingWrites[controller.token] = &pendingWrite{request: request, revision: version.Position.Revision, operation: operation, startedAt: now,
		committed: version.Position.Revision <= controller.chain.Committed()}
}

// markCommitted marks the waiting writes of a version as committed.
func (controller *Controller) markCommitted(now time.Duration, version contract.Version) {
	for _, pending := range controller.pendingWrites {
		if pending.revision == version.Position.Revision && pending.operation == version.Operation {
			pending.committed = true
		}
	}
}

// tickWrites answers the writes whose result is known or that have waited too long. Its cost depends on the waiting writes only, not on the
// length of the log.
func (controller *Controller) tickWrites(now time.Duration) []contract.Command {
	commands := controller.probeWhileWaiting(now)
	for _, token := range slices.Sorted(maps.Keys(controller.pendingWrites)) {
		pending := controller.pendingWrites[token]
		status, accepted := controller.writeResult(now, pending)
		if status == 0 {
			continue
		}
		delete(controller.pendingWrites, token)
		response := contract.Response{Token: pending.request.Token, Status: status, Body: accepted}
		if status == statusUnknown {
			response.RetryAfter = controller.Bounds.Round()
		}
		commands = append(commands, contract.AddCounter{Name: fmt.Sprintf("writes_answered_%d", status), Delta: 1}, response)
	}
	return append(commands, controller.tickRefusals(now)...)
}

// probeWhileWaiting probes the majority of the core while a write waits to be committed.
func (controller *Controller) probeWhileWaiting(now time.Duration) []contract.Command {
	if controller.chain == nil {
		return nil
	}
	for _, pending := range controller.pendingWrites {
		if !pending.committed {
			return controller.chain.ProbeMajority(now)
		}
	}
	controller.chain.ResetProbes()
	return nil
}

// writeResult returns the HTTP status and body of the response to a write. The status is 0 while the result is unknown.
func (controller *Controller) writeResult(now time.Duration, pending *pendingWrite) (int, contract.WriteResult) {
	accepted := contract.WriteResult{Revision: pending.revision, Operation: pending.request.Operation, View: controller.Feed.View().Number}
	if !pending.committed {
		if now-pending.startedAt <= controller.Bounds.CommitTimeout() && !controller.chain.MajorityUnreachable(now) {
			return 0, accepted
		}
		accepted.Outcome, accepted.Error = "unknown", "not yet acknowledged by the whole chain; ask by the operation key"
		return statusUnknown, accepted
	}
	if pending.request.ReplyOnCommit {
		accepted.Outcome = "committed"
		return 200, accepted
	}
	if accepted.MissingNodes = controller.nodesBehind(now, pending.revision); len(accepted.MissingNodes) == 0 {
		accepted.Outcome = "in force"
		return 200, accepted
	}
	if now-pending.startedAt > controller.Bounds.Deliver()*5/6 {
		accepted.Outcome = "committed"
		return 202, accepted
	}
	return 0, accepted
}

// nodesBehind returns the nodes that have not confirmed a revision, those that are silent included.
func (controller *Controller) nodesBehind(now time.Duration, revision int64) []string {
	behind := controller.Neighbours.Suspected(now)
	for _, member := range controller.Neighbours.Members(now) {
		if member.Position.Revision < revision && member.Name != controller.Self().Name {
			behind = append(behind, member.Name)
		}
	}
	return behind
}

// answerOperation answers whether the write with an operation key was committed.
func (controller *Controller) answerOperation(now time.Duration, request contract.OperatorRequest) []contract.Command {
	version, found := controller.chain.Operation(request.Subject)
	if !found {
		return controller.refuseConfirmed(now, request, contract.Version{}, 404, "no kept version has this operation key")
	}
	accepted := contract.WriteResult{Outcome: "committed", Revision: version.Position.Revision, View: version.Position.View, Operation: request.Subject}
	if version.Position.Revision > controller.chain.Committed() {
		accepted.Outcome = "unknown"
	}
	return []contract.Command{contract.Response{Token: request.Token, Status: 200, Body: accepted}}
}
