// Package feed distributes committed manifests and views to every node: notices of new versions are pushed, versions are pulled.
package feed

import (
	"cmp"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cedarreel/cedarreel/contract"
	"github.com/cedarreel/cedarreel/document"
	"github.com/cedarreel/cedarreel/env"
	"github.com/cedarreel/cedarreel/manifest"
)

const (
	// MessageNotice announces a version and view (VersionNotice), MessageRequest asks for what is newer than the sender's (VersionNotice),
	// MessageDelivery carries it (Delivery). MessageHistoryRequest and MessageHistoryReply exchange older versions.
	MessageNotice         = "feed-news"
	MessageRequest        = "feed-ask"
	MessageDelivery       = "feed-change"
	MessageHistoryRequest = "feed-lack"
	MessageHistoryReply   = "feed-kept"
	// maxChanges bounds the versions in one delivery or history reply.
	maxChanges = 32
	// maxPackedBases is for how many base versions the compressed way to the newest version is cached.
	maxPackedBases = 4
)

// VersionNotice tells which version and view the node at the address From has.
type VersionNotice struct {
	Position contract.Position `json:"place"`
	View     int64             `json:"view"`
	From     string            `json:"from"`
	// NoticeIfLarge asks for a notice in place of a large delivery: a node that asks many peers at once wants the version from one only.
	NoticeIfLarge bool `json:"brief,omitempty"`
}

// Update is a set of new versions, and a new view or nil.
type Update struct {
	Versions []contract.Version
	View     *contract.View
}

// Delivery carries the versions after the one that the requester has, each as a change of the one before, or only the newest one as a
// change of the requester's version if there are many. If that version is not kept here, it carries the newest one whole.
type Delivery struct {
	Records []contract.Record `json:"records,omitempty"`
	// Packed is the compressed form of large records, leading to the version PackedOf; it is computed once for all requesters.
	Packed   []byte            `json:"packed,omitempty"`
	PackedOf contract.Position `json:"packedOf,omitzero"`
	View     *contract.View    `json:"view,omitempty"`
}

// HistoryRequest asks the receiver to send older versions, from the revision From on, to Address. Base is a version that the requester
// has; the first record may be a change of it.
type HistoryRequest struct {
	From    int64             `json:"from"`
	Address string            `json:"address"`
	Base    contract.Position `json:"base,omitzero"`
}

// HistoryReply carries the versions that a HistoryRequest asked for.
type HistoryReply struct {
	Records []contract.Record `json:"records"`
}

// Replicator is one node's part of the feed: its current version and view, and the older versions that it keeps for others.
type Replicator struct {
	bounds         env.Bounds
	address        string
	version        contract.Version
	parsedManifest manifest.Manifest
	view           contract.View
	history        map[int64]contract.Version
	// historyStart is the revision below which nothing is kept, since the versions from it on fill the allowed bytes of changes.
	historyStart       int64
	historyBytes       int64
	catchUpAt          time.Duration // last request to a member that is ahead
	requestedAt        time.Duration // last request that a notice caused
	bootstrapAt        time.Duration // last Bootstrap
	historyRequestedAt time.Duration // last history request
	historyGained      bool          // the last history request filled gaps
	// wantsFullVersion is set when a received version could not be reconstructed: the next request is for a whole one.
	wantsFullVersion bool
	// compressedRecords has, by base version, the compressed records that lead to the newest version, which is compressedPosition.
	compressedRecords  map[contract.Position][]byte
	compressedPosition contract.Position
}

// New returns the feed of the node at an address, without any version.
func New(address string, bounds env.Bounds) *Replicator {
	return &Replicator{address: address, bounds: bounds, history: map[int64]contract.Version{}, catchUpAt: -bounds.GossipInterval(), requestedAt: -bounds.GossipInterval(), bootstrapAt: -bounds.GossipInterval()}
}

// Version returns the version in force here, the zero value if none is known.
func (replicator *Replicator) Version() contract.Version { return replicator.version }

// Manifest returns the parsed manifest of the version in force.
func (replicator *Replicator) Manifest() manifest.Manifest { return replicator.parsedManifest }

// View returns the newest view of the core that is known here.
func (replicator *Replicator) View() contract.View { return replicator.view }

// HasVersion reports whether this node has any version.
func (replicator *Replicator) HasVersion() bool { return replicator.version.Position.Revision > 0 }

func (replicator *Replicator) isBehind(position contract.Position, view int64) bool {
	return position.Revision > replicator.version.Position.Revision || view > replicator.view.Number
}

// Handle processes messages of the feed. The neighbours are the addresses that are notified of a new version or view.
func (replicator *Replicator) Handle(now time.Duration, event contract.Event, neighbours []string) []contract.Command {
	message, ok := event.(contract.Message)
	if !ok {
		return nil
	}
	switch message.Kind {
	case MessageNotice:
		var notice VersionNotice
		if json.Unmarshal(message.Body, &notice) == nil && replicator.isBehind(notice.Position, notice.View) && now-replicator.requestedAt >= replicator.bounds.GossipInterval() {
			replicator.requestedAt = now
			return []contract.Command{replicator.request(notice.From, false)}
		}
	case MessageRequest:
		var notice VersionNotice
		if json.Unmarshal(message.Body, &notice) == nil {
			return replicator.handleNotice(notice)
		}
	case MessageHistoryRequest:
		var historyRequest HistoryRequest
		if json.Unmarshal(message.Body, &historyRequest) == nil {
			return []contract.Command{contract.Send{To: historyRequest.Address, Kind: MessageHistoryReply, Body: replicator.historyFor(historyRequest)}}
		}
	case MessageHistoryReply:
		var historyReply HistoryReply
		if json.Unmarshal(message.Body, &historyReply) == nil {
			replicator.restoreRecords(historyReply.Records)
		}
	case MessageDelivery:
		var delivery Delivery
		if json.Unmarshal(message.Body, &delivery) == nil {
			replicator.requestedAt = now - replicator.bounds.GossipInterval()
			return replicator.receive(message, delivery, neighbours)
		}
	}
	return nil
}

// receive applies a delivery. If its versions cannot be reconstructed here, the newest version is requested whole.
func (replicator *Replicator) receive(message contract.Message, delivery Delivery, neighbours []string) []contract.Command {
	if len(delivery.Packed) > 0 && delivery.PackedOf.Revision > replicator.version.Position.Revision {
		if records, err := decompress(delivery.Packed); err == nil {
			delivery.Records = append(delivery.Records, records...)
		}
	}
	versions, err := contract.DecodeRecords(delivery.Records, replicator.versionAt)
	commands := replicator.Apply(Update{Versions: versions, View: delivery.View}, neighbours)
	if err != nil {
		replicator.wantsFullVersion = true
		commands = append(commands, contract.AddCounter{Name: "feed_refused", Delta: 1}, contract.Log{Message: "versions not taken", Attributes: []any{"from", message.From, "error", err}})
	}
	return commands
}

// versionAt returns a kept version by its position.
func (replicator *Replicator) versionAt(position contract.Position) (contract.Version, bool) {
	if version, found := replicator.history[position.Revision]; found && version.Position == position {
		return version, true
	}
	return contract.Version{}, false
}

// CatchUp asks two members that are ahead, chosen again each time: one of those that this node hears from directly, and one of all
// members, since links may be cut in either direction.
func (replicator *Replicator) CatchUp(now time.Duration, members, near []contract.Member, random *rand.Rand) []contract.Command {
	if now-replicator.catchUpAt < replicator.bounds.GossipInterval() {
		return nil
	}
	commands := replicator.historyRequest(now, near, random)
	for _, group := range [][]contract.Member{near, members} {
		ahead := []string{}
		for _, member := range group {
			if replicator.isBehind(member.Position, member.View) {
				ahead = append(ahead, member.Address)
			}
		}
		if len(ahead) > 0 {
			replicator.catchUpAt = now
			commands = append(commands, replicator.request(ahead[random.IntN(len(ahead))], false))
		}
	}
	return commands
}

// historyRequest asks a neighbour for older versions that are missing here, so that a restarted node keeps its full history again. It
// starts at any missing revision, since a gap that no node can fill must not hide the versions after it. If nothing is gained, it asks
// less often.
func (replicator *Replicator) historyRequest(now time.Duration, near []contract.Member, random *rand.Rand) []contract.Command {
	interval := replicator.bounds.Return()
	if replicator.historyGained {
		interval = replicator.bounds.Round()
	}
	if !replicator.HasVersion() {
		return nil
	}
	if replicator.historyRequestedAt == 0 {
		replicator.historyRequestedAt = now + time.Duration(random.Int64N(int64(interval/2)))
	}
	if now-replicator.historyRequestedAt < interval || len(near) == 0 {
		return nil
	}
	missing, gaps := replicator.Missing(), []int64{}
	for index, revision := range missing {
		if index == 0 || missing[index-1] != revision-1 {
			gaps = append(gaps, revision)
		}
	}
	if len(missing) == 0 {
		return nil
	}
	replicator.historyRequestedAt, replicator.historyGained = now, false
	historyRequest := HistoryRequest{From: missing[random.IntN(len(missing))], Address: replicator.address, Base: replicator.version.Position}
	if random.IntN(2) == 0 {
		historyRequest.From = gaps[random.IntN(len(gaps))]
	}
	return []contract.Command{contract.Send{To: near[random.IntN(len(near))].Address, Kind: MessageHistoryRequest, Body: historyRequest}}
}

// Missing returns the revisions below the newest one that should be kept here and are not, in ascending order.
func (replicator *Replicator) Missing() []int64 {
	newest, missing := replicator.version.Position.Revision, []int64{}
	for revision := max(1, newest-replicator.bounds.History+1, replicator.historyStart); revision < newest; revision++ {
		if _, found := replicator.history[revision]; !found {
			missing = append(missing, revision)
		}
	}
	return missing
}

func (replicator *Replicator) restoreRecords(records []contract.Record) {
	versions, _ := contract.DecodeRecords(records, replicator.versionAt)
	replicator.Restore(versions)
}

// Restore keeps committed versions that are older than the newest one, for other nodes to request. Versions already kept are unchanged.
func (replicator *Replicator) Restore(versions []contract.Version) {
	for _, version := range versions {
		_, found := replicator.history[version.Position.Revision]
		if !found && version.Position.Revision < replicator.version.Position.Revision && version.Position.Revision >= replicator.historyStart {
			replicator.store(version)
			replicator.historyGained = true
		}
	}
}

// Bootstrap asks all the given addresses for the current version, so a node that knows none need not wait until it hears who has one.
func (replicator *Replicator) Bootstrap(now time.Duration, addresses []string) []contract.Command {
	if replicator.HasVersion() || now-replicator.bootstrapAt < replicator.bounds.GossipInterval() {
		return nil
	}
	replicator.bootstrapAt = now
	commands := []contract.Command{}
	for _, address := range addresses {
		if address != replicator.address {
			commands = append(commands, replicator.request(address, true))
		}
	}
	return commands
}

func (replicator *Replicator) request(address string, noticeIfLarge bool) contract.Command {
	notice := replicator.notice()
	notice.NoticeIfLarge = noticeIfLarge
	if replicator.wantsFullVersion {
		notice.Position, replicator.wantsFullVersion = contract.Position{}, false
	}
	return contract.Send{To: address, Kind: MessageRequest, Body: notice}
}

func (replicator *Replicator) notice() VersionNotice {
	return VersionNotice{Position: replicator.version.Position, View: replicator.view.Number, From: replicator.address}
}

// parseNext parses a newer version; parts that it shares with the one in force are not parsed again.
func (replicator *Replicator) parseNext(version contract.Version) (manifest.Manifest, error) {
	if !replicator.HasVersion() {
		return manifest.FromDocument(version.Document())
	}
	change := version.Change
	if version.Base != replicator.version.Position {
		change = document.Diff(replicator.version.Document(), version.Document())
	}
	return replicator.parsedManifest.Next(version.Document(), change)
}

// store keeps a version, unless one with its revision is kept already.
func (replicator *Replicator) store(version contract.Version) {
	if _, found := replicator.history[version.Position.Revision]; !found {
		replicator.history[version.Position.Revision] = version
		replicator.historyBytes += version.RetainedBytes()
	}
}

func (replicator *Replicator) drop(revision int64) {
	if version, found := replicator.history[revision]; found {
		replicator.historyBytes -= version.RetainedBytes()
		delete(replicator.history, revision)
	}
}

// trim drops the oldest versions while the kept ones exceed the allowed bytes of changes; the newest one always stays.
func (replicator *Replicator) trim() {
	if replicator.historyBytes <= replicator.bounds.HistoryBytes {
		return
	}
	for _, version := range replicator.versionsFrom(0) {
		if replicator.historyBytes <= replicator.bounds.HistoryBytes || version.Position.Revision >= replicator.version.Position.Revision {
			return
		}
		replicator.drop(version.Position.Revision)
		replicator.historyStart = max(replicator.historyStart, version.Position.Revision+1)
	}
}

// Apply adopts newer versions and views and notifies the neighbours. A lower revision or view never replaces a higher one.
func (replicator *Replicator) Apply(change Update, neighbours []string) []contract.Command {
	commands, changed, newVersions := []contract.Command{}, false, []contract.Version{}
	if change.View != nil && change.View.Number > replicator.view.Number {
		replicator.view, changed = *change.View, true
		commands = append(commands, contract.Log{Message: "view adopted", Attributes: []any{"view", replicator.view.Number}})
	}
	for _, version := range change.Versions {
		replicator.store(version)
		newVersions = append(newVersions, version)
	}
	slices.SortFunc(newVersions, func(left, right contract.Version) int {
		return cmp.Compare(right.Position.Revision, left.Position.Revision)
	})
	for _, version := range newVersions {
		if version.Position.Revision <= replicator.version.Position.Revision {
			break
		}
		parsed, err := replicator.parseNext(version)
		if err != nil {
			commands = append(commands, contract.AddCounter{Name: "feed_refused", Delta: 1})
			continue
		}
		for revision := replicator.version.Position.Revision; revision < version.Position.Revision; revision++ {
			replicator.drop(revision + 1 - replicator.bounds.History)
		}
		replicator.version, replicator.parsedManifest, changed = version, parsed, true
		replicator.trim()
		commands = append(commands, contract.VersionAdopted{Version: version})
		break
	}
	if changed {
		for _, address := range neighbours {
			commands = append(commands, contract.Send{To: address, Kind: MessageNotice, Body: replicator.notice()})
		}
	}
	return commands
}
