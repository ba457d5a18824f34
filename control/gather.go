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

// gather asks several members and goes on when enough of them answered, or at the end of a round. Who has not answered after a part of the
// round is asked once more by way of other members: the link to it may be cut while others reach it.
type gather struct {
	until   time.Duration
	again   time.Duration
	tried   int
	asked   []contract.Member
	kind    string
	body    any
	waiting mapset.Set[string]
	take    func(body json.RawMessage) bool
	then    func(now time.Duration) []contract.Command
}

func (owner *Owner) gather(now time.Duration, fits func(contract.Member) bool, kind string, message func(token int64) any,
	take func(body json.RawMessage) bool, then func(now time.Duration) []contract.Command) []contract.Command {
	owner.token++
	pending := &gather{until: now + owner.Bounds.Round(), again: now + owner.Bounds.Round()/gatherParts, asked: owner.Neighbours.Live(now, fits),
		kind: kind, body: message(owner.token), waiting: mapset.NewThreadUnsafeSet[string](), take: take, then: then}
	commands := []contract.Command{}
	for _, member := range pending.asked {
		pending.waiting.Add(member.Name)
		commands = append(commands, contract.Send{To: member.Address, Kind: kind, Body: pending.body})
	}
	if pending.waiting.Cardinality() == 0 {
		return then(now)
	}
	owner.gathers[owner.token] = pending
	return commands
}

func (owner *Owner) gathered(now time.Duration, message contract.Message) []contract.Command {
	if message.Kind == MessageStatusAsk {
		var ask StatusAsk
		if json.Unmarshal(message.Body, &ask) != nil {
			return nil
		}
		var told any = owner.status(now)
		if ask.Cache {
			told = owner.index.View(now)
		}
		body, _ := json.Marshal(told)
		return []contract.Command{contract.Send{To: ask.Address, Kind: MessageStatus, Body: Status{Token: ask.Token, Node: owner.Self().Name, Body: body}}}
	}
	if message.Kind != MessageStatus && message.Kind != MessageWhy && message.Kind != shard.MessageZoneWithdrawn {
		return nil
	}
	var status Status
	if json.Unmarshal(message.Body, &status) != nil {
		return nil
	}
	pending, there := owner.gathers[status.Token]
	if !there || !pending.waiting.Contains(message.From) {
		return nil
	}
	pending.waiting.Remove(message.From)
	body := status.Body
	if message.Kind == shard.MessageZoneWithdrawn {
		body = message.Body
	}
	if pending.take(body) || pending.waiting.Cardinality() == 0 {
		delete(owner.gathers, status.Token)
		return pending.then(now)
	}
	return nil
}

func (owner *Owner) tickGathers(now time.Duration) []contract.Command {
	commands := []contract.Command{}
	for _, token := range slices.Sorted(maps.Keys(owner.gathers)) {
		pending := owner.gathers[token]
		if now > pending.until {
			delete(owner.gathers, token)
			commands = append(commands, pending.then(now)...)
			continue
		}
		if now >= pending.again {
			pending.again = now + owner.Bounds.Round()/gatherParts
			commands = append(commands, owner.gatherByRelay(now, pending)...)
		}
	}
	return commands
}

// gatherParts is the part of a round after which members that did not answer are asked by way of others.
const gatherParts = 3

func (owner *Owner) gatherByRelay(now time.Duration, pending *gather) []contract.Command {
	commands := []contract.Command{}
	for _, member := range pending.asked {
		if !pending.waiting.Contains(member.Name) {
			continue
		}
		commands = append(commands, owner.SendByRelay(now, member, contract.Send{To: member.Address, Kind: pending.kind, Body: pending.body}, "", pending.tried)...)
	}
	pending.tried++
	return commands
}

func (owner *Owner) statusMessage(call string) func(token int64) any {
	return func(token int64) any {
		return StatusAsk{Token: token, Address: owner.Self().Address, Call: call}
	}
}

func (owner *Owner) shards(now time.Duration, ask contract.OperatorRequest) []contract.Command {
	all := []shard.Status{}
	fits := func(member contract.Member) bool { return member.Kind == contract.KindControl }
	return owner.gather(now, fits, MessageStatusAsk, owner.statusMessage(""), func(body json.RawMessage) bool {
		var statuses []shard.Status
		if json.Unmarshal(body, &statuses) == nil {
			all = append(all, statuses...)
		}
		return false
	}, func(time.Duration) []contract.Command {
		answer := map[string]any{"shards": all}
		if ask.Verb == contract.VerbRetirements {
			retired := []shard.Retired{}
			for _, status := range all {
				retired = append(retired, status.Retired...)
			}
			answer = map[string]any{"retirements": retired}
		}
		return []contract.Command{contract.Response{Token: ask.Token, Status: 200, Body: answer}}
	})
}

// cache sums what the control nodes were told of the servers' caches; older ones answer with something else, which is left out.
func (owner *Owner) cache(now time.Duration, ask contract.OperatorRequest) []contract.Command {
	all := []index.CacheStatus{}
	fits := func(member contract.Member) bool { return member.Kind == contract.KindControl }
	message := func(token int64) any { return StatusAsk{Token: token, Address: owner.Self().Address, Cache: true} }
	return owner.gather(now, fits, MessageStatusAsk, message, func(body json.RawMessage) bool {
		var views []index.CacheStatus
		if json.Unmarshal(body, &views) == nil {
			all = append(all, views...)
		}
		return false
	}, func(time.Duration) []contract.Command {
		return []contract.Command{contract.Response{Token: ask.Token, Status: 200, Body: map[string]any{"servers": index.Merge(all)}}}
	})
}

func (owner *Owner) why(now time.Duration, ask contract.OperatorRequest) []contract.Command {
	traces := []json.RawMessage{}
	fits := func(member contract.Member) bool { return member.Kind == contract.KindData }
	return owner.gather(now, fits, MessageWhyAsk, owner.statusMessage(ask.Subject), func(body json.RawMessage) bool {
		var some []json.RawMessage
		if json.Unmarshal(body, &some) == nil {
			traces = append(traces, some...)
		}
		return false
	}, func(time.Duration) []contract.Command {
		if len(traces) == 0 {
			return []contract.Command{contract.ErrorResponse(ask.Token, 404, "no node remembers this call", 0)}
		}
		return []contract.Command{contract.Response{Token: ask.Token, Status: 200, Body: map[string]any{"call": ask.Subject, "traces": traces}}}
	})
}
