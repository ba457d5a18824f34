// Package control implements the state machine of a control node, the process cedarcp. It combines the membership protocol, the manifest feed,
// the replication chain of a core member, the shards that the node may own and the cache index, and it answers operator requests.
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

// Kinds of messages between control nodes, and from control nodes to data nodes, with the type of their body.
const (
	MessageStatusRequest = "status-ask" // StatusRequest, for the status of shards or of the cache index
	MessageStatusReply   = "status"     // StatusReply
	MessageTraceRequest  = "why-ask"    // StatusRequest, for the traces of a call
	MessageTraceReply    = "why"        // StatusReply
	MessageDeclareGone   = "core-gone"  // DeclareGone
)

// DeclareGone is an operator's statement that the core member of the given name will never return.
type DeclareGone struct {
	Name string `json:"name"`
}

// StatusRequest asks a node for its status. The reply goes to Address with the same Token. Call is the call whose traces are wanted from a data
// node. Cache asks a control node for the status of the cache index in place of that of its shards.
type StatusRequest struct {
	Token   int64  `json:"token"`
	Address string `json:"address"`
	Call    string `json:"call,omitempty"`
	Cache   bool   `json:"cache,omitempty"`
}

// StatusReply answers a StatusRequest. Body depends on what was asked for.
type StatusReply struct {
	Token int64           `json:"token"`
	Node  string          `json:"node"`
	Body  json.RawMessage `json:"body"`
}

// Controller is the state machine of a control node. chain is nil on a node without a data folder.
type Controller struct {
	*machine.Node
	chain     *chain.Replica
	ownShards *shard.Manager
	index     *index.CacheIndex
	// standInShards are the shards of other regions, which this node owns while those regions have no live control node. They are kept up to date
	// so that a takeover is quick.
	standInShards map[string]*shard.Manager
	allRegions    bool
	listingReadAt time.Duration
	pendingWrites map[int64]*pendingWrite
	queries       map[int64]*query
	// confirmations are the continuations that wait until a majority confirms the view, by token.
	confirmations map[int64]func(now time.Duration, fine bool) []contract.Command
	// pendingRefusals wait until the version that they are based on is committed, by token.
	pendingRefusals map[int64]refusal
	token           int64
	nextRestore     time.Duration
	// latest is the latest version that was parsed.
	latest parsedVersion
}

// New returns the state machine of a control node. boot identifies the run of the process. recovered is the content of the data folder, or nil
// on a machine without one.
func New(settings env.Env, boot string, recovered *chain.Recovered, random *rand.Rand) *Controller {
	node := machine.New(settings, contract.KindControl, boot, random)
	controller := &Controller{Node: node, ownShards: shard.New(node.Self(), settings.Bounds), index: index.New(settings.Bounds.Return(), settings.Bounds.Withdraw()/2),
		standInShards: map[string]*shard.Manager{}, allRegions: settings.Wide, listingReadAt: -settings.Bounds.PlatformPoll(),
		pendingWrites: map[int64]*pendingWrite{}, queries: map[int64]*query{}, pendingRefusals: map[int64]refusal{},
		confirmations: map[int64]func(time.Duration, bool) []contract.Command{}}
	if recovered != nil {
		self := contract.CoreNode{Name: node.Self().Name, ID: boot, Address: node.Self().Address}
		controller.chain = chain.New(self, boot, int(settings.CoreSize), settings.Bounds, *recovered, random)
		controller.chain.AllowBootstrap(!settings.Joins)
		node.Neighbours.SetIdentity(controller.chain.Self().ID)
		controller.chain.SetFounders(settings.Founders)
		if newest, found := recovered.NewestCommitted(); found && settings.Wide {
			controller.Feed.Apply(feed.Update{Versions: []contract.Version{newest}}, nil)
		}
	}
	controller.ownShards.SetAdvisoryLeases(settings.Wide)
	return controller
}

// MemberRecord returns the record of this core member as its folder should hold it. The node must be a core member.
func (controller *Controller) MemberRecord() chain.MemberRecord { return controller.chain.Record() }

// Handle processes an event and returns the commands to carry out. See contract.StateMachine.
func (controller *Controller) Handle(now time.Duration, event contract.Event) []contract.Command {
	return controller.HandleRelayed(now, event, controller.handle)
}

func (controller *Controller) handle(now time.Duration, event contract.Event) []contract.Command {
	commands := []contract.Command{}
	if gap := controller.DetectFreeze(now); gap > 0 {
		controller.resumeShards(now)
		commands = append(commands, contract.AddCounter{Name: "woken", Delta: 1}, contract.Log{Message: "woken from a freeze", Attributes: []any{"ms", gap.Milliseconds()}})
	}
	commands = append(commands, controller.Node.Handle(now, event)...)
	switch event := event.(type) {
	case contract.Tick:
		commands = append(commands, controller.tick(now)...)
	case contract.Message:
		commands = append(commands, controller.shardEvent(now, event)...)
		commands = append(commands, controller.index.Handle(now, event)...)
		commands = append(commands, controller.handleQueryMessage(now, event)...)
		if controller.chain != nil {
			commands = append(commands, controller.chain.Handle(now, event)...)
			commands = append(commands, controller.restoreVersions(now, event)...)
			commands = append(commands, controller.handleDeclareGone(event)...)
		}
	case index.Persisted:
		commands = append(commands, controller.index.Handle(now, event)...)
	case chain.Persisted:
		commands = append(commands, controller.chain.Handle(now, event)...)
	case Leave:
		commands = append(commands, controller.Neighbours.AnnounceLeave()...)
	case contract.OperatorRequest:
		commands = append(commands, controller.handleRequest(now, event)...)
	default:
		commands = append(commands, controller.shardEvent(now, event)...)
	}
	return controller.applyChainCommands(now, commands)
}

func (controller *Controller) tick(now time.Duration) []contract.Command {
	members := controller.Neighbours.Members(now)
	commands := []contract.Command{}
	controller.Neighbours.SetImpaired(controller.ownShards.PlatformUnreadable() || controller.Neighbours.Isolated(now))
	if controller.chain != nil {
		controller.Neighbours.SetState(controller.Feed.Version().Position, controller.Feed.View().Number, controller.chain.DiskHealthy())
		commands = append(commands, controller.chain.Handle(now, chain.Membership{Members: controller.Neighbours.Members(now), NewestVersion: controller.Feed.Version(), View: controller.Feed.View()})...)
	}
	commands = append(commands, controller.requestMissingVersions(now, members)...)
	if controller.Feed.HasVersion() {
		commands = append(commands, controller.tickShards(now, shard.ClusterState{Members: members, Manifest: controller.Feed.Manifest(), Revision: controller.Feed.Version().Position.Revision})...)
	}
	commands = append(commands, controller.index.Tick(now, controller.otherControlNodes(members))...)
	commands = append(commands, controller.tickWrites(now)...)
	return append(commands, controller.tickQueries(now)...)
}

// requestMissingVersions asks a random member for a version that the core itself has lost, since every node keeps the versions of the feed. It
// also gives the feed the versions that it lacks from the log: after a start the feed has only the newest one, and feeds request older ones
// only from each other.
func (controller *Controller) requestMissingVersions(now time.Duration, members []contract.Member) []contract.Command {
	if controller.chain == nil || now < controller.nextRestore {
		return nil
	}
	controller.nextRestore = now + controller.Bounds.Round()
	controller.Feed.Restore(controller.chain.CommittedVersions(controller.Feed.Missing()))
	first := controller.chain.FirstMissing()
	member := members[controller.Random.IntN(len(members))]
	if first == 0 || member.Name == controller.Self().Name {
		return nil
	}
	return []contract.Command{contract.Send{To: member.Address, Kind: feed.MessageHistoryRequest, Body: feed.HistoryRequest{From: first, Address: controller.Self().Address, Base: controller.chain.DeltaBase()}}}
}

// restoreVersions adds versions that another node kept to the log.
func (controller *Controller) restoreVersions(now time.Duration, message contract.Message) []contract.Command {
	var kept feed.HistoryReply
	if message.Kind != feed.MessageHistoryReply || json.Unmarshal(message.Body, &kept) != nil {
		return nil
	}
	return controller.chain.Restore(now, kept.Records)
}

// applyChainCommands hands the decisions of the chain to the feed and to waiting requests, and returns the other commands.
func (controller *Controller) applyChainCommands(now time.Duration, commands []contract.Command) []contract.Command {
	out := []contract.Command{}
	for len(commands) > 0 {
		command := commands[0]
		commands = commands[1:]
		switch command := command.(type) {
		case chain.Committed:
			version := command.Version
			commands = append(controller.Feed.Apply(feed.Update{Versions: []contract.Version{version}}, controller.Neighbours.ActiveAddresses()), commands...)
			controller.markCommitted(now, version)
		case chain.ViewInstalled:
			view := command.View
			commands = append(controller.Feed.Apply(feed.Update{View: &view}, controller.Neighbours.ActiveAddresses()), commands...)
		case chain.Confirmed:
			commands = append(controller.handleConfirmed(now, command), commands...)
		case contract.VersionAdopted:
			out = append(out, contract.Log{Message: "manifest in force", Attributes: []any{"revision", command.Version.Position.Revision}})
		default:
			out = append(out, command)
		}
	}
	return out
}

// Identity returns the identity of this core member. It is empty on a node without a data folder.
func (controller *Controller) Identity() string {
	if controller.chain == nil {
		return ""
	}
	return controller.chain.Self().Identity()
}

func (controller *Controller) isAuthoritative(request contract.OperatorRequest) bool {
	node, found := request.AuthoritativeNode(controller.Feed.View())
	return found && node.Identity() == controller.Identity()
}

// handleRequest answers an operator request, or forwards it to the authoritative node. A trace, a lost machine and a cache lookup are handled by
// any node.
func (controller *Controller) handleRequest(now time.Duration, request contract.OperatorRequest) []contract.Command {
	if request.Verb == contract.VerbWhy {
		return controller.answerTrace(now, request)
	}
	if request.Verb == contract.VerbGone {
		return controller.declareGone(now, request)
	}
	if request.Verb == contract.VerbPlace {
		return controller.answerPlacement(now, request)
	}
	if !controller.isAuthoritative(request) {
		node, found := request.AuthoritativeNode(controller.Feed.View())
		if !found || request.Forwarded {
			return []contract.Command{contract.ErrorResponse(request.Token, 503, "no authority is known here yet; nothing was done", controller.Bounds.Round())}
		}
		request.Forwarded = true
		return []contract.Command{contract.Forward{Request: request, Address: node.Address}}
	}
	switch request.Verb {
	case contract.VerbGet, contract.VerbHistory:
		token := controller.onConfirmed(func(_ time.Duration, ok bool) []contract.Command { return controller.answerRead(request, ok) })
		return controller.chain.ConfirmTail(now, token)
	case contract.VerbMembers:
		return []contract.Command{contract.Response{Token: request.Token, Status: 200, Body: map[string]any{
			"members": controller.Neighbours.Members(now), "silent": controller.Neighbours.Suspected(now)}}}
	case contract.VerbChain:
		return []contract.Command{contract.Response{Token: request.Token, Status: 200, Body: map[string]any{
			"view": controller.chain.View(), "committed": controller.chain.Committed(), "sealed": controller.chain.Sealed(), "open": controller.chain.AcceptsWrites()}}}
	case contract.VerbShards, contract.VerbRetirements:
		return controller.answerShards(now, request)
	case contract.VerbCache:
		return controller.answerCache(now, request)
	case contract.VerbOperation:
		return controller.answerOperation(now, request)
	}
	return controller.write(now, request, nil)
}

// RestoreIndex restores the cache index from a snapshot and turns on further snapshots.
func (controller *Controller) RestoreIndex(snapshot index.Snapshot) {
	controller.index.Restore(snapshot)
}

func (controller *Controller) otherControlNodes(members []contract.Member) []contract.Member {
	peers := []contract.Member{}
	for _, member := range members {
		if member.Kind == contract.KindControl && member.Name != controller.Self().Name {
			peers = append(peers, member)
		}
	}
	return peers
}

// answerPlacement answers which server a prompt should go to. Any control node may answer, since a wrong server only costs the time to process
// the prompt again.
func (controller *Controller) answerPlacement(now time.Duration, request contract.OperatorRequest) []contract.Command {
	var lookup index.PlacementRequest
	if json.Unmarshal(request.Body, &lookup) != nil {
		return []contract.Command{contract.ErrorResponse(request.Token, 400, "not a question for a place", 0)}
	}
	place, found := controller.index.Place(now, lookup)
	if !found && lookup.Known {
		return []contract.Command{contract.ErrorResponse(request.Token, 404, "this place is not known here", 0)}
	}
	if !found {
		return []contract.Command{contract.ErrorResponse(request.Token, 404, "no candidate for this place", 0)}
	}
	commands := []contract.Command{contract.Response{Token: request.Token, Status: 200, Body: place}, contract.SetGauge{Name: "index_places", Value: int64(controller.index.Len())}}
	if lookup.Known {
		commands = append(commands, contract.AddCounter{Name: "index_known_given", Delta: 1})
	}
	return commands
}

// declareGone sends a declaration to every live core machine, since there may be no authoritative node left. A live machine is not declared
// gone.
func (controller *Controller) declareGone(now time.Duration, request contract.OperatorRequest) []contract.Command {
	declaration, commands := DeclareGone{Name: request.Subject + "-" + contract.KindControl}, []contract.Command{}
	if controller.Neighbours.Alive(now, declaration.Name) {
		return []contract.Command{contract.ErrorResponse(request.Token, 409, "this machine is alive", 0)}
	}
	told := []string{}
	for _, member := range controller.Neighbours.Live(now, func(member contract.Member) bool { return member.Core }) {
		told = append(told, member.Name)
		commands = append(commands, contract.Send{To: member.Address, Kind: MessageDeclareGone, Body: declaration})
	}
	return append(commands, contract.Response{Token: request.Token, Status: 200, Body: map[string]any{"told": told}})
}

func (controller *Controller) handleDeclareGone(message contract.Message) []contract.Command {
	var declaration DeclareGone
	if message.Kind == MessageDeclareGone && json.Unmarshal(message.Body, &declaration) == nil && controller.chain.DeclareGone(declaration.Name) {
		return []contract.Command{contract.Log{Message: "declared gone", Attributes: []any{"machine", declaration.Name}}}
	}
	return nil
}

// onConfirmed registers a continuation for when a majority has confirmed the view or could not, and returns the token for the confirmation.
func (controller *Controller) onConfirmed(continuation func(now time.Duration, fine bool) []contract.Command) int64 {
	controller.token++
	controller.confirmations[controller.token] = continuation
	return controller.token
}

func (controller *Controller) handleConfirmed(now time.Duration, confirmed chain.Confirmed) []contract.Command {
	continuation, found := controller.confirmations[confirmed.Token]
	if !found {
		return nil
	}
	delete(controller.confirmations, confirmed.Token)
	return continuation(now, confirmed.Granted)
}

// answerRead answers a read from the committed log, if the core has confirmed that this node is still the tail.
func (controller *Controller) answerRead(request contract.OperatorRequest, ok bool) []contract.Command {
	if !ok {
		return []contract.Command{contract.AddCounter{Name: "reads_without_quorum", Delta: 1},
			contract.ErrorResponse(request.Token, 503, "the core cannot vouch for its view now", controller.Bounds.Round())}
	}
	if request.Verb == contract.VerbHistory {
		return []contract.Command{contract.Response{Token: request.Token, Status: 200, Body: map[string]any{"revisions": controller.chain.History()}}}
	}
	revision := request.Revision
	if revision == 0 {
		revision = controller.chain.Committed()
	}
	version, found := controller.chain.CommittedVersion(revision)
	if !found {
		return []contract.Command{contract.ErrorResponse(request.Token, 404, "no such revision is kept", 0)}
	}
	return []contract.Command{contract.Response{Token: request.Token, Status: 200, Body: version}}
}

// Leave is the event that the process is being stopped. The node then announces its departure, so that others take over its shards at once.
type Leave struct{}

// CommittedVersion returns a committed version that this core machine holds.
func (controller *Controller) CommittedVersion(revision int64) (contract.Version, bool) {
	if controller.chain == nil {
		return contract.Version{}, false
	}
	return controller.chain.CommittedVersion(revision)
}
