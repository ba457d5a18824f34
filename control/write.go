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

// statusUnknown answers a write of which it is not known whether it will be committed.
const statusUnknown = 504

type write struct {
	ask       contract.OperatorRequest
	revision  int64
	operation string
	began     time.Duration
	committed bool
}

func fingerprint(ask contract.OperatorRequest) string {
	return contract.Digest([]byte(ask.Verb + "\x00" + ask.Subject + "\x00" + fmt.Sprint(ask.BaseRevision, ask.HasBaseRevision) + "\x00" + string(ask.Body)))[:16]
}

// patchOf gives an ask's JSON merge patch, or the whole tree for a put.
func patchOf(ask contract.OperatorRequest) (map[string]any, error) {
	switch ask.Verb {
	case contract.VerbDrain, contract.VerbUndrain:
		return map[string]any{"zones": map[string]any{ask.Subject: map[string]any{"drained": ask.Verb == contract.VerbDrain}}}, nil
	case contract.VerbScale:
		return map[string]any{"pools": map[string]any{ask.Subject: map[string]any{"scale": json.Number(strings.TrimSpace(string(ask.Body)))}}}, nil
	}
	return manifest.ParseObject(ask.Body)
}

func (owner *Owner) refuse(ask contract.OperatorRequest, status int, err string) []contract.Command {
	after := time.Duration(0)
	if status == 503 {
		after = owner.Bounds.Round()
	}
	return []contract.Command{contract.AddCounter{Name: fmt.Sprintf("writes_refused_%d", status), Delta: 1}, contract.ErrorResponse(ask.Token, status, err, after)}
}

func (owner *Owner) write(now time.Duration, ask contract.OperatorRequest, withdrawn map[string]bool) []contract.Command {
	if ask.Operation == "" {
		return owner.refuse(ask, 400, "an operation key is missing")
	}
	operation := contract.OperationID(ask.Operation, fingerprint(ask))
	if former, there := owner.chain.Operation(ask.Operation); there {
		if former.Operation != operation {
			return owner.refuse(ask, 422, "this operation key was used for another write")
		}
		owner.await(now, ask, former, operation)
		return nil
	}
	if former, there := owner.standing(ask); there {
		return owner.confirmStanding(now, ask, former)
	}
	if !owner.chain.AcceptsWrites() {
		return owner.refuse(ask, 503, "the chain cannot take writes now; nothing was committed")
	}
	latest, fine := owner.chain.Latest()
	if !fine {
		return owner.refuse(ask, 503, "the latest version is not here; nothing was committed")
	}
	gateway := ask.Verb == contract.VerbReplace || ask.Verb == contract.VerbUpdate
	if !gateway && ask.HasBaseRevision && ask.BaseRevision != latest.Position.Revision {
		return owner.refuseSurely(now, ask, latest, 409, fmt.Sprintf("the manifest moved: base %d, now %d", ask.BaseRevision, latest.Position.Revision))
	}
	if (ask.Verb == contract.VerbPut || gateway) && !ask.HasBaseRevision {
		return owner.refuse(ask, 400, "a whole manifest needs its base revision")
	}
	read := owner.readLatest(latest)
	if failure := overtaken(ask, read); failure != "" {
		if owner.forgotten(ask) {
			return owner.refuse(ask, 504, "this order builds on a version that is no longer kept: whether it was taken is not known")
		}
		return owner.refuseSurely(now, ask, latest, 409, failure)
	}
	change, next, drains, err := compose(ask, read)
	if err != nil {
		return owner.refuseSurely(now, ask, latest, 400, err.Error())
	}
	for _, zone := range manifest.SortedKeys(drains) {
		if !withdrawn[zone] {
			return owner.withdraw(now, ask, zone, drains[zone], withdrawn)
		}
	}
	version, commands := owner.chain.Submit(now, operation, change)
	owner.newest = newest{Version: version, read: next}
	owner.await(now, ask, version, operation)
	return commands
}

// compose gives the change that an order makes of the newest version, the manifest with it, and the zones it drains newly, with their
// regions and shards.
func compose(ask contract.OperatorRequest, latest newest) (document.Change, manifest.Manifest, map[string]zoneReach, error) {
	change, err := changeOf(ask, latest)
	if err != nil {
		return change, manifest.Manifest{}, nil, err
	}
	former, content := latest.read, latest.Document().Apply(change)
	next, err := manifest.Manifest{}, error(nil)
	if latest.there() && latest.invalid == nil {
		next, err = former.Next(content, change)
	} else {
		next, err = manifest.FromDocument(content)
	}
	gateway := ask.Verb == contract.VerbReplace || ask.Verb == contract.VerbUpdate
	if err == nil && gateway && next.Gateway.Revision <= former.Gateway.Revision {
		err = eris.Errorf("gateway.revision: want more than %d, got %d", former.Gateway.Revision, next.Gateway.Revision)
	}
	if err != nil {
		return change, next, nil, err
	}
	drains, err := newDrains(former, next, latest.there())
	return change, next, drains, err
}

// changeOf gives the change that an order makes of the newest version.
func changeOf(ask contract.OperatorRequest, latest newest) (document.Change, error) {
	patch, err := patchOf(ask)
	if err != nil {
		return document.Change{}, err
	}
	switch {
	case ask.Verb == contract.VerbReplace || ask.Verb == contract.VerbUpdate:
		return manifest.GatewayChange(latest.Document(), patch, ask.Verb == contract.VerbReplace || !latest.there())
	case ask.Verb == contract.VerbPut || !latest.there():
		whole, err := document.FromObject(patch)
		if err != nil {
			return document.Change{}, err
		}
		return document.Diff(latest.Document(), whole), nil
	}
	return latest.Document().MergePatch(patch)
}

// newDrains gives the zones that are drained in a manifest and were not in the one before.
func newDrains(former, next manifest.Manifest, there bool) (map[string]zoneReach, error) {
	drains := map[string]zoneReach{}
	for name, zone := range next.Zones {
		old, known := former.Zones[name]
		if known && old.Region != zone.Region {
			return nil, eris.Errorf("zones.%s.region: a zone does not move from %s to %s; name another", name, old.Region, zone.Region)
		}
		if zone.Drained && !old.Drained && there {
			drains[name] = zoneReach{region: zone.Region, shards: former.Regions[zone.Region].Shards}
		}
	}
	return drains, nil
}

type zoneReach struct {
	region string
	shards int
}

// withdraw has the owners of a zone's shards take it out of their lists before the drain is accepted.
func (owner *Owner) withdraw(now time.Duration, ask contract.OperatorRequest, zone string, reach zoneReach, withdrawn map[string]bool) []contract.Command {
	covered := map[int]bool{}
	fits := func(member contract.Member) bool {
		return member.Kind == contract.KindControl && (member.Region == reach.region || owner.wide)
	}
	return owner.gather(now, fits, shard.MessageZoneWithdraw, func(token int64) any {
		return shard.ZoneWithdraw{Zone: zone, Region: reach.region, Token: token, Address: owner.Self().Address}
	}, func(body json.RawMessage) bool {
		var answer shard.ZoneWithdrawn
		if json.Unmarshal(body, &answer) == nil {
			for _, index := range answer.Shards {
				covered[index] = true
			}
		}
		return len(covered) >= reach.shards
	}, func(now time.Duration) []contract.Command {
		if len(covered) < reach.shards {
			return owner.refuse(ask, 503, fmt.Sprintf("zone %s: the owners of its shards cannot be reached; nothing was committed", zone))
		}
		next := map[string]bool{zone: true}
		for name := range withdrawn {
			next[name] = true
		}
		if !owner.authority(ask) {
			return owner.refuse(ask, 503, "the authority moved; nothing was committed")
		}
		return owner.write(now, ask, next)
	})
}

func (owner *Owner) await(now time.Duration, ask contract.OperatorRequest, version contract.Version, operation string) {
	owner.token++
	owner.writes[owner.token] = &write{ask: ask, revision: version.Position.Revision, operation: operation, began: now,
		committed: version.Position.Revision <= owner.chain.Committed()}
}

func (owner *Owner) committed(now time.Duration, version contract.Version) {
	for _, pending := range owner.writes {
		if pending.revision == version.Position.Revision && pending.operation == version.Operation {
			pending.committed = true
		}
	}
}

// tickWrites answers the writes whose end is known or that waited too long; it costs no more after many writes than after few.
func (owner *Owner) tickWrites(now time.Duration) []contract.Command {
	commands := owner.tickContact(now)
	for _, token := range slices.Sorted(maps.Keys(owner.writes)) {
		pending := owner.writes[token]
		status, accepted := owner.outcome(now, pending)
		if status == 0 {
			continue
		}
		delete(owner.writes, token)
		answer := contract.Response{Token: pending.ask.Token, Status: status, Body: accepted}
		if status == statusUnknown {
			answer.RetryAfter = owner.Bounds.Round()
		}
		commands = append(commands, contract.AddCounter{Name: fmt.Sprintf("writes_answered_%d", status), Delta: 1}, answer)
	}
	return append(commands, owner.tickRefusals(now)...)
}

// tickContact keeps asking whether a majority of the core is in reach, as long as somebody waits for a write to be committed.
func (owner *Owner) tickContact(now time.Duration) []contract.Command {
	if owner.chain == nil {
		return nil
	}
	for _, pending := range owner.writes {
		if !pending.committed {
			return owner.chain.ProbeMajority(now)
		}
	}
	owner.chain.ResetProbes()
	return nil
}

// outcome gives the status of a write, or 0 while it is not known.
func (owner *Owner) outcome(now time.Duration, pending *write) (int, contract.WriteResult) {
	accepted := contract.WriteResult{Revision: pending.revision, Operation: pending.ask.Operation, View: owner.Feed.View().Number}
	if !pending.committed {
		if now-pending.began <= owner.Bounds.CommitTimeout() && !owner.chain.MajorityUnreachable(now) {
			return 0, accepted
		}
		accepted.Outcome, accepted.Error = "unknown", "not yet acknowledged by the whole chain; ask by the operation key"
		return statusUnknown, accepted
	}
	if pending.ask.ReplyOnCommit {
		accepted.Outcome = "committed"
		return 200, accepted
	}
	if accepted.MissingNodes = owner.lacking(now, pending.revision); len(accepted.MissingNodes) == 0 {
		accepted.Outcome = "in force"
		return 200, accepted
	}
	if now-pending.began > owner.Bounds.Deliver()*5/6 {
		accepted.Outcome = "committed"
		return 202, accepted
	}
	return 0, accepted
}

func (owner *Owner) lacking(now time.Duration, revision int64) []string {
	lacking := owner.Neighbours.Suspected(now)
	for _, member := range owner.Neighbours.Members(now) {
		if member.Position.Revision < revision && member.Name != owner.Self().Name {
			lacking = append(lacking, member.Name)
		}
	}
	return lacking
}

func (owner *Owner) operation(now time.Duration, ask contract.OperatorRequest) []contract.Command {
	version, there := owner.chain.Operation(ask.Subject)
	if !there {
		return owner.refuseSurely(now, ask, contract.Version{}, 404, "no kept version has this operation key")
	}
	accepted := contract.WriteResult{Outcome: "committed", Revision: version.Position.Revision, View: version.Position.View, Operation: ask.Subject}
	if version.Position.Revision > owner.chain.Committed() {
		accepted.Outcome = "unknown"
	}
	return []contract.Command{contract.Response{Token: ask.Token, Status: 200, Body: accepted}}
}
