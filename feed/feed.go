// Package feed brings committed manifests and views to every node: news are pushed, changes are pulled from a place on.
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
	MessageNews   = "feed-news"
	MessageAsk    = "feed-ask"
	MessageChange = "feed-change"
	MessageLack   = "feed-lack"
	MessageKept   = "feed-kept"
	mostChanges   = 32
	// packedMost is from how many versions on the way to the newest one is kept packed.
	packedMost = 4
)

type News struct {
	Place contract.Position `json:"place"`
	View  int64             `json:"view"`
	From  string            `json:"from"`
	// Brief asks for news alone where the answer is large: whoever asks many at once wants it from one of them.
	Brief bool `json:"brief,omitempty"`
}

// Change is what is new: versions and a view.
type Change struct {
	Versions []contract.Version
	View     *contract.View
}

// Delivery carries the versions that follow the one that the asker holds, each as a change, or only the newest one as a change of that
// where there are many; an asker whose version is not kept here gets the newest one whole.
type Delivery struct {
	Records []contract.Record `json:"records,omitempty"`
	// Packed stands for records that are large: a keeper packs them once for all that ask.
	Packed   []byte            `json:"packed,omitempty"`
	PackedOf contract.Position `json:"packedOf,omitzero"`
	View     *contract.View    `json:"view,omitempty"`
}

// Lack asks for older versions from a revision on; Kept hands them over. Base is a version that the asker holds: the first one comes as
// the change of that.
type Lack struct {
	From    int64             `json:"from"`
	Address string            `json:"address"`
	Base    contract.Position `json:"base,omitzero"`
}

type Kept struct {
	Records []contract.Record `json:"records"`
}

type Owner struct {
	bounds  env.Bounds
	address string
	version contract.Version
	read    manifest.Manifest
	view    contract.View
	kept    map[int64]contract.Version
	// keptFrom is a revision below which nothing is kept, since those above it are as many bytes of changes as may be kept.
	keptFrom  int64
	keptBytes int64
	asked     time.Duration
	told      time.Duration
	began     time.Duration
	lacked    time.Duration
	gained    bool
	// wantsWhole holds after a version came that could not be put together: the next question is for a whole one.
	wantsWhole bool
	// packed is what leads from other versions to the newest one, of the place packedOf, as it was packed for others.
	packed   map[contract.Position][]byte
	packedOf contract.Position
}

func New(address string, bounds env.Bounds) *Owner {
	return &Owner{address: address, bounds: bounds, kept: map[int64]contract.Version{}, asked: -bounds.GossipInterval(), told: -bounds.GossipInterval(), began: -bounds.GossipInterval()}
}

func (owner *Owner) Version() contract.Version   { return owner.version }
func (owner *Owner) Manifest() manifest.Manifest { return owner.read }
func (owner *Owner) View() contract.View         { return owner.view }
func (owner *Owner) Known() bool                 { return owner.version.Position.Revision > 0 }

func (owner *Owner) behind(place contract.Position, view int64) bool {
	return place.Revision > owner.version.Position.Revision || view > owner.view.Number
}

// Handle reads messages of the feed; news are told to the neighbours by the caller.
func (owner *Owner) Handle(now time.Duration, event contract.Event, neighbours []string) []contract.Command {
	message, fine := event.(contract.Message)
	if !fine {
		return nil
	}
	switch message.Kind {
	case MessageNews:
		var news News
		if json.Unmarshal(message.Body, &news) == nil && owner.behind(news.Place, news.View) && now-owner.told >= owner.bounds.GossipInterval() {
			owner.told = now
			return []contract.Command{owner.ask(news.From, false)}
		}
	case MessageAsk:
		var news News
		if json.Unmarshal(message.Body, &news) == nil {
			return owner.tell(news)
		}
	case MessageLack:
		var lack Lack
		if json.Unmarshal(message.Body, &lack) == nil {
			return []contract.Command{contract.Send{To: lack.Address, Kind: MessageKept, Body: owner.hand(lack)}}
		}
	case MessageKept:
		var kept Kept
		if json.Unmarshal(message.Body, &kept) == nil {
			owner.regain(kept.Records)
		}
	case MessageChange:
		var delivery Delivery
		if json.Unmarshal(message.Body, &delivery) == nil {
			owner.told = now - owner.bounds.GossipInterval()
			return owner.receive(message, delivery, neighbours)
		}
	}
	return nil
}

// receive opens what another node sent. Where that can't be put together here, the newest version is asked for whole.
func (owner *Owner) receive(message contract.Message, delivery Delivery, neighbours []string) []contract.Command {
	if len(delivery.Packed) > 0 && delivery.PackedOf.Revision > owner.version.Position.Revision {
		if records, failure := decompress(delivery.Packed); failure == nil {
			delivery.Records = append(delivery.Records, records...)
		}
	}
	versions, failure := contract.DecodeRecords(delivery.Records, owner.at)
	commands := owner.Take(Change{Versions: versions, View: delivery.View}, neighbours)
	if failure != nil {
		owner.wantsWhole = true
		commands = append(commands, contract.AddCounter{Name: "feed_refused", Delta: 1}, contract.Log{Message: "versions not taken", Attributes: []any{"from", message.From, "error", failure}})
	}
	return commands
}

// at gives a version that is kept, by its place.
func (owner *Owner) at(place contract.Position) (contract.Version, bool) {
	if version, there := owner.kept[place.Revision]; there && version.Position == place {
		return version, true
	}
	return contract.Version{}, false
}

// Catch asks two of the members that are seen to hold more, others each time: one of those that speak with this node, and
// one of all, for links may be cut either way.
func (owner *Owner) Catch(now time.Duration, members, near []contract.Member, random *rand.Rand) []contract.Command {
	if now-owner.asked < owner.bounds.GossipInterval() {
		return nil
	}
	commands := owner.lack(now, near, random)
	for _, group := range [][]contract.Member{near, members} {
		ahead := []string{}
		for _, member := range group {
			if owner.behind(member.Position, member.View) {
				ahead = append(ahead, member.Address)
			}
		}
		if len(ahead) > 0 {
			owner.asked = now
			commands = append(commands, owner.ask(ahead[random.IntN(len(ahead))], false))
		}
	}
	return commands
}

// lack asks a neighbour for older versions that this node has not, from any of them on, since a gap that nobody can fill must not
// hide what follows it: whoever restarted keeps again what it should have had. While nothing comes of it, it asks seldom.
func (owner *Owner) lack(now time.Duration, near []contract.Member, random *rand.Rand) []contract.Command {
	pause := owner.bounds.Return()
	if owner.gained {
		pause = owner.bounds.Round()
	}
	if !owner.Known() {
		return nil
	}
	if owner.lacked == 0 {
		owner.lacked = now + time.Duration(random.Int64N(int64(pause/2)))
	}
	if now-owner.lacked < pause || len(near) == 0 {
		return nil
	}
	missing, gaps := owner.Missing(), []int64{}
	for place, revision := range missing {
		if place == 0 || missing[place-1] != revision-1 {
			gaps = append(gaps, revision)
		}
	}
	if len(missing) == 0 {
		return nil
	}
	owner.lacked, owner.gained = now, false
	lack := Lack{From: missing[random.IntN(len(missing))], Address: owner.address, Base: owner.version.Position}
	if random.IntN(2) == 0 {
		lack.From = gaps[random.IntN(len(gaps))]
	}
	return []contract.Command{contract.Send{To: near[random.IntN(len(near))].Address, Kind: MessageLack, Body: lack}}
}

// Missing gives the revisions below the newest one that should be kept here and are not, in order.
func (owner *Owner) Missing() []int64 {
	newest, missing := owner.version.Position.Revision, []int64{}
	for revision := max(1, newest-owner.bounds.History+1, owner.keptFrom); revision < newest; revision++ {
		if _, there := owner.kept[revision]; !there {
			missing = append(missing, revision)
		}
	}
	return missing
}

func (owner *Owner) regain(records []contract.Record) {
	versions, _ := contract.DecodeRecords(records, owner.at)
	owner.Restore(versions)
}

// Restore keeps committed versions that are older than the newest one, for others to ask for. What is kept already stays as it is.
func (owner *Owner) Restore(versions []contract.Version) {
	for _, version := range versions {
		_, there := owner.kept[version.Position.Revision]
		if !there && version.Position.Revision < owner.version.Position.Revision && version.Position.Revision >= owner.keptFrom {
			owner.keep(version)
			owner.gained = true
		}
	}
}

// Begin asks all the given for what there is: a node that knows nothing need not wait until it hears who knows more.
func (owner *Owner) Begin(now time.Duration, addresses []string) []contract.Command {
	if owner.Known() || now-owner.began < owner.bounds.GossipInterval() {
		return nil
	}
	owner.began = now
	commands := []contract.Command{}
	for _, address := range addresses {
		if address != owner.address {
			commands = append(commands, owner.ask(address, true))
		}
	}
	return commands
}

func (owner *Owner) ask(address string, brief bool) contract.Command {
	news := owner.news()
	news.Brief = brief
	if owner.wantsWhole {
		news.Place, owner.wantsWhole = contract.Position{}, false
	}
	return contract.Send{To: address, Kind: MessageAsk, Body: news}
}

func (owner *Owner) news() News {
	return News{Place: owner.version.Position, View: owner.view.Number, From: owner.address}
}

// readNext reads a newer version; what it has in common with the one in force is not read again.
func (owner *Owner) readNext(version contract.Version) (manifest.Manifest, error) {
	if !owner.Known() {
		return manifest.FromDocument(version.Document())
	}
	change := version.Change
	if version.Base != owner.version.Position {
		change = document.Diff(owner.version.Document(), version.Document())
	}
	return owner.read.Next(version.Document(), change)
}

// keep keeps a version, unless there is one under its revision.
func (owner *Owner) keep(version contract.Version) {
	if _, there := owner.kept[version.Position.Revision]; !there {
		owner.kept[version.Position.Revision] = version
		owner.keptBytes += version.RetainedBytes()
	}
}

func (owner *Owner) drop(revision int64) {
	if version, there := owner.kept[revision]; there {
		owner.keptBytes -= version.RetainedBytes()
		delete(owner.kept, revision)
	}
}

// trim forgets the oldest versions while all that are kept are too many bytes of changes; the newest one always stays.
func (owner *Owner) trim() {
	if owner.keptBytes <= owner.bounds.HistoryBytes {
		return
	}
	for _, version := range owner.from(0) {
		if owner.keptBytes <= owner.bounds.HistoryBytes || version.Position.Revision >= owner.version.Position.Revision {
			return
		}
		owner.drop(version.Position.Revision)
		owner.keptFrom = max(owner.keptFrom, version.Position.Revision+1)
	}
}

// Take adopts what is newer and passes the news on; a lower revision or view never replaces a higher one.
func (owner *Owner) Take(change Change, neighbours []string) []contract.Command {
	commands, moved, fresh := []contract.Command{}, false, []contract.Version{}
	if change.View != nil && change.View.Number > owner.view.Number {
		owner.view, moved = *change.View, true
		commands = append(commands, contract.Log{Message: "view adopted", Attributes: []any{"view", owner.view.Number}})
	}
	for _, version := range change.Versions {
		owner.keep(version)
		fresh = append(fresh, version)
	}
	slices.SortFunc(fresh, func(left, right contract.Version) int {
		return cmp.Compare(right.Position.Revision, left.Position.Revision)
	})
	for _, version := range fresh {
		if version.Position.Revision <= owner.version.Position.Revision {
			break
		}
		read, err := owner.readNext(version)
		if err != nil {
			commands = append(commands, contract.AddCounter{Name: "feed_refused", Delta: 1})
			continue
		}
		for revision := owner.version.Position.Revision; revision < version.Position.Revision; revision++ {
			owner.drop(revision + 1 - owner.bounds.History)
		}
		owner.version, owner.read, moved = version, read, true
		owner.trim()
		commands = append(commands, contract.VersionAdopted{Version: version})
		break
	}
	if moved {
		for _, address := range neighbours {
			commands = append(commands, contract.Send{To: address, Kind: MessageNews, Body: owner.news()})
		}
	}
	return commands
}
