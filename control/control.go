// Package control is the owner in a cedarcp: neighbours, feed, chain, shards and operators' asks in one place.
package control

import (
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/cedarreel/cedarreel/chain"
	"github.com/cedarreel/cedarreel/contract"
	"github.com/cedarreel/cedarreel/env"
	"github.com/cedarreel/cedarreel/feed"
	"github.com/cedarreel/cedarreel/index"
	"github.com/cedarreel/cedarreel/machine"
	"github.com/cedarreel/cedarreel/shard"
)

const (
	MessageStatusAsk = "status-ask"
	MessageStatus    = "status"
	MessageWhyAsk    = "why-ask"
	MessageWhy       = "why"
	MessageGone      = "core-gone"
)

// Gone is an operator's word that a core machine will never return.
type Gone struct {
	Name string `json:"name"`
}

type StatusAsk struct {
	Token   int64  `json:"token"`
	Address string `json:"address"`
	Call    string `json:"call,omitempty"`
	Cache   bool   `json:"cache,omitempty"`
}

type Status struct {
	Token int64           `json:"token"`
	Node  string          `json:"node"`
	Body  json.RawMessage `json:"body"`
}

type Owner struct {
	*machine.Node
	chain *chain.Replica
	shard *shard.Owner
	index *index.Owner
	// others are the shards of the regions that this node stands in for, kept up to date so that a take-over is prompt.
	others  map[string]*shard.Owner
	wide    bool
	listed  time.Duration
	writes  map[int64]*write
	gathers map[int64]*gather
	// vouches go on with a majority's word on the view, by token.
	vouches map[int64]func(now time.Duration, fine bool) []contract.Command
	// refusals wait until what they rest on is committed, by token.
	refusals map[int64]refusal
	token    int64
	refills  time.Duration
	// newest is the newest version as it was last read.
	newest newest
}

// New makes the owner; recovered is nil on a machine without a data folder.
func New(settings env.Env, boot string, recovered *chain.Recovered, random *rand.Rand) *Owner {
	node := machine.New(settings, contract.KindControl, boot, random)
	owner := &Owner{Node: node, shard: shard.New(node.Self(), settings.Bounds), index: index.New(settings.Bounds.Return(), settings.Bounds.Withdraw()/2),
		others: map[string]*shard.Owner{}, wide: settings.Wide, listed: -settings.Bounds.PlatformPoll(),
		writes: map[int64]*write{}, gathers: map[int64]*gather{}, refusals: map[int64]refusal{},
		vouches: map[int64]func(time.Duration, bool) []contract.Command{}}
	if recovered != nil {
		self := contract.CoreNode{Name: node.Self().Name, ID: boot, Address: node.Self().Address}
		owner.chain = chain.New(self, boot, int(settings.CoreSize), settings.Bounds, *recovered, random)
		owner.chain.AllowBootstrap(!settings.Joins)
		node.Neighbours.SetIdentity(owner.chain.Self().ID)
		owner.chain.SetFounders(settings.Founders)
		if newest, there := recovered.NewestCommitted(); there && settings.Wide {
			owner.Feed.Apply(feed.Change{Versions: []contract.Version{newest}}, nil)
		}
	}
	owner.shard.SetAdvisoryLeases(settings.Wide)
	return owner
}

func (owner *Owner) Handle(now time.Duration, event contract.Event) []contract.Command {
	return owner.HandleRelayed(now, event, owner.handle)
}

func (owner *Owner) handle(now time.Duration, event contract.Event) []contract.Command {
	commands := []contract.Command{}
	if gap := owner.DetectFreeze(now); gap > 0 {
		owner.shardsWoke(now)
		commands = append(commands, contract.AddCounter{Name: "woken", Delta: 1}, contract.Log{Message: "woken from a freeze", Attributes: []any{"ms", gap.Milliseconds()}})
	}
	commands = append(commands, owner.Node.Handle(now, event)...)
	switch event := event.(type) {
	case contract.Tick:
		commands = append(commands, owner.tick(now)...)
	case contract.Message:
		commands = append(commands, owner.shardEvent(now, event)...)
		commands = append(commands, owner.index.Handle(now, event)...)
		commands = append(commands, owner.gathered(now, event)...)
		if owner.chain != nil {
			commands = append(commands, owner.chain.Handle(now, event)...)
			commands = append(commands, owner.refill(now, event)...)
			commands = append(commands, owner.told(event)...)
		}
	case index.Persisted:
		commands = append(commands, owner.index.Handle(now, event)...)
	case chain.Persisted:
		commands = append(commands, owner.chain.Handle(now, event)...)
	case Leave:
		commands = append(commands, owner.Neighbours.AnnounceLeave()...)
	case contract.OperatorRequest:
		commands = append(commands, owner.ask(now, event)...)
	default:
		commands = append(commands, owner.shardEvent(now, event)...)
	}
	return owner.absorb(now, commands)
}

func (owner *Owner) tick(now time.Duration) []contract.Command {
	members := owner.Neighbours.Members(now)
	commands := []contract.Command{}
	owner.Neighbours.Blind(owner.shard.Blind() || owner.Neighbours.Isolated(now))
	if owner.chain != nil {
		owner.Neighbours.SetState(owner.Feed.Version().Position, owner.Feed.View().Number, owner.chain.DiskHealthy())
		commands = append(commands, owner.chain.Handle(now, chain.Membership{Members: owner.Neighbours.Members(now), NewestVersion: owner.Feed.Version(), View: owner.Feed.View()})...)
	}
	commands = append(commands, owner.askRefill(now, members)...)
	if owner.Feed.Known() {
		commands = append(commands, owner.tickShards(now, shard.ClusterState{Members: members, Manifest: owner.Feed.Manifest(), Revision: owner.Feed.Version().Position.Revision})...)
	}
	commands = append(commands, owner.index.Tick(now, owner.peers(members))...)
	commands = append(commands, owner.tickWrites(now)...)
	return append(commands, owner.tickGathers(now)...)
}

// askRefill asks any member for versions that the core itself has lost; every node keeps what passed through the feed. The feed is given
// what it lacks of the core's log: after a start it has the newest version alone, and feeds ask only feeds for older ones.
func (owner *Owner) askRefill(now time.Duration, members []contract.Member) []contract.Command {
	if owner.chain == nil || now < owner.refills {
		return nil
	}
	owner.refills = now + owner.Bounds.Round()
	owner.Feed.Restore(owner.chain.CommittedVersions(owner.Feed.Missing()))
	first := owner.chain.FirstMissing()
	member := members[owner.Random.IntN(len(members))]
	if first == 0 || member.Name == owner.Self().Name {
		return nil
	}
	return []contract.Command{contract.Send{To: member.Address, Kind: feed.MessageHistoryRequest, Body: feed.HistoryRequest{From: first, Address: owner.Self().Address, Base: owner.chain.DeltaBase()}}}
}

func (owner *Owner) refill(now time.Duration, message contract.Message) []contract.Command {
	var kept feed.HistoryReply
	if message.Kind != feed.MessageHistoryReply || json.Unmarshal(message.Body, &kept) != nil {
		return nil
	}
	return owner.chain.Restore(now, kept.Records)
}

// absorb turns what the chain decided into news for the feed and answers for operators.
func (owner *Owner) absorb(now time.Duration, commands []contract.Command) []contract.Command {
	out := []contract.Command{}
	for len(commands) > 0 {
		command := commands[0]
		commands = commands[1:]
		switch command := command.(type) {
		case chain.Committed:
			version := command.Version
			commands = append(owner.Feed.Apply(feed.Change{Versions: []contract.Version{version}}, owner.Neighbours.ActiveAddresses()), commands...)
			owner.committed(now, version)
		case chain.ViewInstalled:
			view := command.View
			commands = append(owner.Feed.Apply(feed.Change{View: &view}, owner.Neighbours.ActiveAddresses()), commands...)
		case chain.Confirmed:
			commands = append(owner.vouched(now, command), commands...)
		case contract.VersionAdopted:
			out = append(out, contract.Log{Message: "manifest in force", Attributes: []any{"revision", command.Version.Position.Revision}})
		default:
			out = append(out, command)
		}
	}
	return out
}

// Identity is that of this core member, or nothing on a node without a data folder.
func (owner *Owner) Identity() string {
	if owner.chain == nil {
		return ""
	}
	return owner.chain.Self().Identity()
}

func (owner *Owner) authority(ask contract.OperatorRequest) bool {
	node, there := ask.AuthoritativeNode(owner.Feed.View())
	return there && node.Identity() == owner.Identity()
}

func (owner *Owner) ask(now time.Duration, ask contract.OperatorRequest) []contract.Command {
	if ask.Verb == contract.VerbWhy {
		return owner.why(now, ask)
	}
	if ask.Verb == contract.VerbGone {
		return owner.gone(now, ask)
	}
	if ask.Verb == contract.VerbPlace {
		return owner.place(now, ask)
	}
	if !owner.authority(ask) {
		node, there := ask.AuthoritativeNode(owner.Feed.View())
		if !there || ask.Forwarded {
			return []contract.Command{contract.ErrorResponse(ask.Token, 503, "no authority is known here yet; nothing was done", owner.Bounds.Round())}
		}
		ask.Forwarded = true
		return []contract.Command{contract.Forward{Request: ask, Address: node.Address}}
	}
	switch ask.Verb {
	case contract.VerbGet, contract.VerbHistory:
		token := owner.whenVouched(func(_ time.Duration, fine bool) []contract.Command { return owner.answerRead(ask, fine) })
		return owner.chain.ConfirmTail(now, token)
	case contract.VerbMembers:
		return []contract.Command{contract.Response{Token: ask.Token, Status: 200, Body: map[string]any{
			"members": owner.Neighbours.Members(now), "silent": owner.Neighbours.Suspected(now)}}}
	case contract.VerbChain:
		return []contract.Command{contract.Response{Token: ask.Token, Status: 200, Body: map[string]any{
			"view": owner.chain.View(), "committed": owner.chain.Committed(), "sealed": owner.chain.Sealed(), "open": owner.chain.AcceptsWrites()}}}
	case contract.VerbShards, contract.VerbRetirements:
		return owner.shards(now, ask)
	case contract.VerbCache:
		return owner.cache(now, ask)
	case contract.VerbOperation:
		return owner.operation(now, ask)
	}
	return owner.write(now, ask, nil)
}

// Restore takes up what a disk kept of the index and has it saved there from now on.
func (owner *Owner) Restore(snapshot index.Snapshot) { owner.index.Restore(snapshot) }

func (owner *Owner) peers(members []contract.Member) []contract.Member {
	peers := []contract.Member{}
	for _, member := range members {
		if member.Kind == contract.KindControl && member.Name != owner.Self().Name {
			peers = append(peers, member)
		}
	}
	return peers
}

// place says where a prompt belongs; any control node that is asked answers, since a wrong place costs reading alone.
func (owner *Owner) place(now time.Duration, ask contract.OperatorRequest) []contract.Command {
	var asked index.Ask
	if json.Unmarshal(ask.Body, &asked) != nil {
		return []contract.Command{contract.ErrorResponse(ask.Token, 400, "not a question for a place", 0)}
	}
	place, there := owner.index.Place(now, asked)
	if !there && asked.Known {
		return []contract.Command{contract.ErrorResponse(ask.Token, 404, "this place is not known here", 0)}
	}
	if !there {
		return []contract.Command{contract.ErrorResponse(ask.Token, 404, "no candidate for this place", 0)}
	}
	commands := []contract.Command{contract.Response{Token: ask.Token, Status: 200, Body: place}, contract.SetGauge{Name: "index_places", Value: int64(owner.index.Len())}}
	if asked.Known {
		commands = append(commands, contract.AddCounter{Name: "index_known_given", Delta: 1})
	}
	return commands
}

// gone tells every live core machine what an operator knows: there may be no authority left to tell.
func (owner *Owner) gone(now time.Duration, ask contract.OperatorRequest) []contract.Command {
	word, commands := Gone{Name: ask.Subject + "-" + contract.KindControl}, []contract.Command{}
	if owner.Neighbours.Alive(now, word.Name) {
		return []contract.Command{contract.ErrorResponse(ask.Token, 409, "this machine is alive", 0)}
	}
	told := []string{}
	for _, member := range owner.Neighbours.Live(now, func(member contract.Member) bool { return member.Core }) {
		told = append(told, member.Name)
		commands = append(commands, contract.Send{To: member.Address, Kind: MessageGone, Body: word})
	}
	return append(commands, contract.Response{Token: ask.Token, Status: 200, Body: map[string]any{"told": told}})
}

func (owner *Owner) told(message contract.Message) []contract.Command {
	var word Gone
	if message.Kind == MessageGone && json.Unmarshal(message.Body, &word) == nil && owner.chain.DeclareGone(word.Name) {
		return []contract.Command{contract.Log{Message: "declared gone", Attributes: []any{"machine", word.Name}}}
	}
	return nil
}

// whenVouched keeps what follows a majority's word and gives the token to ask for it with.
func (owner *Owner) whenVouched(then func(now time.Duration, fine bool) []contract.Command) int64 {
	owner.token++
	owner.vouches[owner.token] = then
	return owner.token
}

func (owner *Owner) vouched(now time.Duration, vouched chain.Confirmed) []contract.Command {
	then, there := owner.vouches[vouched.Token]
	if !there {
		return nil
	}
	delete(owner.vouches, vouched.Token)
	return then(now, vouched.Granted)
}

func (owner *Owner) answerRead(ask contract.OperatorRequest, fine bool) []contract.Command {
	if !fine {
		return []contract.Command{contract.AddCounter{Name: "reads_without_quorum", Delta: 1},
			contract.ErrorResponse(ask.Token, 503, "the core cannot vouch for its view now", owner.Bounds.Round())}
	}
	if ask.Verb == contract.VerbHistory {
		return []contract.Command{contract.Response{Token: ask.Token, Status: 200, Body: map[string]any{"revisions": owner.chain.History()}}}
	}
	revision := ask.Revision
	if revision == 0 {
		revision = owner.chain.Committed()
	}
	version, there := owner.chain.CommittedVersion(revision)
	if !there {
		return []contract.Command{contract.ErrorResponse(ask.Token, 404, "no such revision is kept", 0)}
	}
	return []contract.Command{contract.Response{Token: ask.Token, Status: 200, Body: version}}
}

// Leave hands the duties over when this process stops on purpose.
type Leave struct{}

// Kept gives an accepted version that this core machine holds.
func (owner *Owner) Kept(revision int64) (contract.Version, bool) {
	if owner.chain == nil {
		return contract.Version{}, false
	}
	return owner.chain.CommittedVersion(revision)
}
