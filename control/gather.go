package control

import (
	"encoding/json"
	"maps"
	"slices"
	"time"

	"github.com/cedarreel/cedarreel/contract"
	"github.com/cedarreel/cedarreel/index"
	"github.com/cedarreel/cedarreel/shard"
	mapset "github.com/deckarep/golang-set/v2"
)

// query asks several members and continues with onDone when enough of them have answered or a round is over. Members that have not answered after
// part of the round are asked again through relays, since the link to them may be broken while others reach them. onReply returns true when
// no more replies are needed.
type query struct {
	deadline      time.Duration
	nextRetry     time.Duration
	relayAttempts int
	targets       []contract.Member
	kind          string
	body          any
	unanswered    mapset.Set[string]
	onReply       func(body json.RawMessage) bool
	onDone        func(now time.Duration) []contract.Command
}

// startQuery sends a query to all live members that match.
func (controller *Controller) startQuery(now time.Duration, matches func(contract.Member) bool, kind string, message func(token int64) any,
	onReply func(body json.RawMessage) bool, onDone func(now time.Duration) []contract.Command) []contract.Command {
	controller.token++
	pending := &query{deadline: now + controller.Bounds.Round(), nextRetry: now + controller.Bounds.Round()/queryRetriesPerRound, targets: controller.Neighbours.Live(now, matches),
		kind: kind, body: message(controller.token), unanswered: mapset.NewThreadUnsafeSet[string](), onReply: onReply, onDone: onDone}
	commands := []contract.Command{}
	for _, member := range pending.targets {
		pending.unanswered.Add(member.Name)
		commands = append(commands, contract.Send{To: member.Address, Kind: kind, Body: pending.body})
	}
	if pending.unanswered.Cardinality() == 0 {
		return onDone(now)
	}
	controller.queries[controller.token] = pending
	return commands
}

// handleQueryMessage answers a query of another node, or adds a reply to the query of this node that it belongs to.
func (controller *Controller) handleQueryMessage(now time.Duration, message contract.Message) []contract.Command {
	if message.Kind == MessageStatusRequest {
		var request StatusRequest
		if json.Unmarshal(message.Body, &request) != nil {
			return nil
		}
		var status any = controller.shardStatus(now)
		if request.Cache {
			status = controller.index.Status(now)
		}
		body, _ := json.Marshal(status)
		return []contract.Command{contract.Send{To: request.Address, Kind: MessageStatusReply, Body: StatusReply{Token: request.Token, Node: controller.Self().Name, Body: body}}}
	}
	if message.Kind != MessageStatusReply && message.Kind != MessageTraceReply && message.Kind != shard.MessageZoneWithdrawn {
		return nil
	}
	var status StatusReply
	if json.Unmarshal(message.Body, &status) != nil {
		return nil
	}
	pending, found := controller.queries[status.Token]
	if !found || !pending.unanswered.Contains(message.From) {
		return nil
	}
	pending.unanswered.Remove(message.From)
	body := status.Body
	if message.Kind == shard.MessageZoneWithdrawn {
		body = message.Body
	}
	if pending.onReply(body) || pending.unanswered.Cardinality() == 0 {
		delete(controller.queries, status.Token)
		return pending.onDone(now)
	}
	return nil
}

func (controller *Controller) tickQueries(now time.Duration) []contract.Command {
	commands := []contract.Command{}
	for _, token := range slices.Sorted(maps.Keys(controller.queries)) {
		pending := controller.queries[token]
		if now > pending.deadline {
			delete(controller.queries, token)
			commands = append(commands, pending.onDone(now)...)
			continue
		}
		if now >= pending.nextRetry {
			pending.nextRetry = now + controller.Bounds.Round()/queryRetriesPerRound
			commands = append(commands, controller.retryByRelay(now, pending)...)
		}
	}
	return commands
}

// queryRetriesPerRound is how often a round the members that have not answered are asked again through relays.
const queryRetriesPerRound = 3

func (controller *Controller) retryByRelay(now time.Duration, pending *query) []contract.Command {
	commands := []contract.Command{}
	for _, member := range pending.targets {
		if !pending.unanswered.Contains(member.Name) {
			continue
		}
		commands = append(commands, controller.SendByRelay(now, member, contract.Send{To: member.Address, Kind: pending.kind, Body: pending.body}, "", pending.relayAttempts)...)
	}
	pending.relayAttempts++
	return commands
}

func (controller *Controller) newStatusRequest(call string) func(token int64) any {
	return func(token int64) any {
		return StatusRequest{Token: token, Address: controller.Self().Address, Call: call}
	}
}

func (controller *Controller) answerShards(now time.Duration, request contract.OperatorRequest) []contract.Command {
	all := []shard.Status{}
	matches := func(member contract.Member) bool { return member.Kind == contract.KindControl }
	return controller.startQuery(now, matches, MessageStatusRequest, controller.newStatusRequest(""), func(body json.RawMessage) bool {
		var statuses []shard.Status
		if json.Unmarshal(body, &statuses) == nil {
			all = append(all, statuses...)
		}
		return false
	}, func(time.Duration) []contract.Command {
		response := map[string]any{"shards": all}
		if request.Verb == contract.VerbRetirements {
			retired := []shard.RetirementStatus{}
			for _, status := range all {
				retired = append(retired, status.Retirements...)
			}
			response = map[string]any{"retirements": retired}
		}
		return []contract.Command{contract.Response{Token: request.Token, Status: 200, Body: response}}
	})
}

// answerCache merges the cache status of all control nodes. Nodes of an older version answer with something else, which is ignored.
func (controller *Controller) answerCache(now time.Duration, request contract.OperatorRequest) []contract.Command {
	all := []index.CacheStatus{}
	matches := func(member contract.Member) bool { return member.Kind == contract.KindControl }
	message := func(token int64) any {
		return StatusRequest{Token: token, Address: controller.Self().Address, Cache: true}
	}
	return controller.startQuery(now, matches, MessageStatusRequest, message, func(body json.RawMessage) bool {
		var statuses []index.CacheStatus
		if json.Unmarshal(body, &statuses) == nil {
			all = append(all, statuses...)
		}
		return false
	}, func(time.Duration) []contract.Command {
		return []contract.Command{contract.Response{Token: request.Token, Status: 200, Body: map[string]any{"servers": index.MergeStatus(all)}}}
	})
}

func (controller *Controller) answerTrace(now time.Duration, request contract.OperatorRequest) []contract.Command {
	traces := []json.RawMessage{}
	matches := func(member contract.Member) bool { return member.Kind == contract.KindData }
	return controller.startQuery(now, matches, MessageTraceRequest, controller.newStatusRequest(request.Subject), func(body json.RawMessage) bool {
		var replies []json.RawMessage
		if json.Unmarshal(body, &replies) == nil {
			traces = append(traces, replies...)
		}
		return false
	}, func(time.Duration) []contract.Command {
		if len(traces) == 0 {
			return []contract.Command{contract.ErrorResponse(request.Token, 404, "no node remembers this call", 0)}
		}
		return []contract.Command{contract.Response{Token: request.Token, Status: 200, Body: map[string]any{"call": request.Subject, "traces": traces}}}
	})
}
