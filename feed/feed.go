// Package feed brings committed manifests and views to every node: news are pushed, changes are pulled from a place on.
package feed

import (
	"cmp"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cedarreel/cedarreel/contract"
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
)

type News struct {
	Place contract.Place `json:"place"`
	View  int64          `json:"view"`
	From  string         `json:"from"`
	// Brief asks for news alone where the answer is large: whoever asks many at once wants it from one of them.
	Brief bool `json:"brief,omitempty"`
}

// Change carries the numbered versions from a place on, or only the newest ones when the asker is too far behind.
type Change struct {
	Versions []contract.Version `json:"versions,omitempty"`
	// Packed stands for the newest version alone: a keeper packs it once for all that ask.
	Packed   []byte         `json:"packed,omitempty"`
	PackedOf contract.Place `json:"packedOf,omitzero"`
	View     *contract.View `json:"view,omitempty"`
}

// Lack asks for older versions that a core machine has lost; Kept hands them over.
type Lack struct {
	From    int64  `json:"from"`
	Address string `json:"address"`
}

type Kept struct {
	Versions []contract.Version `json:"versions"`
}

type Owner struct {
	bounds  env.Bounds
	address string
	version contract.Version
	read    manifest.Manifest
	view    contract.View
	kept    map[int64]contract.Version
	asked   time.Duration
	told    time.Duration
	began   time.Duration
	lacked  time.Duration
	gained  bool
	// packed is the newest version as it was packed for others, of the place packedOf.
	packed   []byte
	packedOf contract.Place
}

func New(address string, bounds env.Bounds) *Owner {
	return &Owner{address: address, bounds: bounds, kept: map[int64]contract.Version{}, asked: -bounds.Gossip(), told: -bounds.Gossip(), began: -bounds.Gossip()}
}

func (owner *Owner) Version() contract.Version   { return owner.version }
func (owner *Owner) Manifest() manifest.Manifest { return owner.read }
func (owner *Owner) View() contract.View         { return owner.view }
func (owner *Owner) Known() bool                 { return owner.version.Place.Revision > 0 }

func (owner *Owner) behind(place contract.Place, view int64) bool {
	return place.Revision > owner.version.Place.Revision || view > owner.view.Number
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
		if json.Unmarshal(message.Body, &news) == nil && owner.behind(news.Place, news.View) && now-owner.told >= owner.bounds.Gossip() {
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
			return []contract.Command{contract.Send{To: lack.Address, Kind: MessageKept, Body: Kept{owner.from(lack.From, false)}}}
		}
	case MessageKept:
		var kept Kept
		if json.Unmarshal(message.Body, &kept) == nil {
			owner.regain(kept.Versions)
		}
	case MessageChange:
		var change Change
		if json.Unmarshal(message.Body, &change) == nil {
			if len(change.Packed) > 0 && change.PackedOf.Revision > owner.version.Place.Revision {
				if version, failure := decompress(change.Packed); failure == nil {
					change.Versions = append(change.Versions, version)
				}
			}
			owner.told = now - owner.bounds.Gossip()
			return owner.Take(change, neighbours)
		}
	}
	return nil
}

// Catch asks two of the members that are seen to hold more, others each time: one of those that speak with this node, and
// one of all, for links may be cut either way.
func (owner *Owner) Catch(now time.Duration, members, near []contract.Member, random *rand.Rand) []contract.Command {
	if now-owner.asked < owner.bounds.Gossip() {
		return nil
	}
	commands := owner.lack(now, near, random)
	for _, group := range [][]contract.Member{near, members} {
		ahead := []string{}
		for _, member := range group {
			if owner.behind(member.Place, member.View) {
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
	newest, missing, gaps := owner.version.Place.Revision, []int64{}, []int64{}
	for revision := max(1, newest-owner.bounds.History+1); revision < newest; revision++ {
		if _, there := owner.kept[revision]; !there {
			if len(missing) == 0 || missing[len(missing)-1] != revision-1 {
				gaps = append(gaps, revision)
			}
			missing = append(missing, revision)
		}
	}
	if len(missing) == 0 {
		return nil
	}
	owner.lacked, owner.gained = now, false
	lack := Lack{From: missing[random.IntN(len(missing))], Address: owner.address}
	if random.IntN(2) == 0 {
		lack.From = gaps[random.IntN(len(gaps))]
	}
	return []contract.Command{contract.Send{To: near[random.IntN(len(near))].Address, Kind: MessageLack, Body: lack}}
}

func (owner *Owner) regain(versions []contract.Version) {
	for _, version := range versions {
		_, there := owner.kept[version.Place.Revision]
		if !there && version.Place.Revision < owner.version.Place.Revision && contract.Digest(version.Manifest) == version.Digest {
			owner.kept[version.Place.Revision], owner.gained = version, true
		}
	}
}

// Begin asks all the given for what there is: a node that knows nothing need not wait until it hears who knows more.
func (owner *Owner) Begin(now time.Duration, addresses []string) []contract.Command {
	if owner.Known() || now-owner.began < owner.bounds.Gossip() {
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
	return contract.Send{To: address, Kind: MessageAsk, Body: News{Place: owner.version.Place, View: owner.view.Number, From: owner.address, Brief: brief}}
}

func (owner *Owner) news() News {
	return News{Place: owner.version.Place, View: owner.view.Number, From: owner.address}
}

// tell gives what the asker has not: a snapshot, the newest version alone, to one that has nothing yet and wants to serve.
func (owner *Owner) tell(news News) []contract.Command {
	change := Change{}
	if news.Place.Revision > 0 {
		change.Versions = owner.from(news.Place.Revision+1, true)
	} else if owner.Known() {
		change.Versions = []contract.Version{owner.version}
	}
	if owner.view.Number > news.View {
		view := owner.view
		change.View = &view
	}
	if len(change.Versions) == 0 && change.View == nil {
		return nil
	}
	if len(change.Versions) == 1 && change.Versions[0].Place == owner.version.Place && len(owner.version.Manifest) >= compressFrom {
		if owner.packedOf != owner.version.Place {
			owner.packed, owner.packedOf = compress(owner.version), owner.version.Place
		}
		if news.Brief {
			return []contract.Command{contract.Send{To: news.From, Kind: MessageNews, Body: owner.news()}}
		}
		change.Versions, change.Packed, change.PackedOf = nil, owner.packed, owner.version.Place
	}
	return []contract.Command{contract.Send{To: news.From, Kind: MessageChange, Body: change}}
}

// from gives kept versions in order: the first ones from a place on, or the newest ones.
func (owner *Owner) from(place int64, newest bool) []contract.Version {
	revisions := []int64{}
	for revision := range owner.kept {
		if revision >= place {
			revisions = append(revisions, revision)
		}
	}
	slices.Sort(revisions)
	if len(revisions) > mostChanges && newest {
		revisions = revisions[len(revisions)-mostChanges:]
	}
	versions := []contract.Version{}
	for _, revision := range revisions[:min(len(revisions), mostChanges)] {
		versions = append(versions, owner.kept[revision])
	}
	return contract.Fit(versions, newest)
}

// Take adopts what is newer and passes the news on; a lower revision or view never replaces a higher one.
func (owner *Owner) Take(change Change, neighbours []string) []contract.Command {
	commands, moved, fresh := []contract.Command{}, false, []contract.Version{}
	if change.View != nil && change.View.Number > owner.view.Number {
		owner.view, moved = *change.View, true
		commands = append(commands, contract.Say{What: "view adopted", Detail: []any{"view", owner.view.Number}})
	}
	for _, version := range change.Versions {
		if contract.Digest(version.Manifest) != version.Digest {
			commands = append(commands, contract.Count{Name: "feed_refused", By: 1})
			continue
		}
		if _, there := owner.kept[version.Place.Revision]; !there {
			owner.kept[version.Place.Revision] = version
		}
		fresh = append(fresh, version)
	}
	slices.SortFunc(fresh, func(left, right contract.Version) int { return cmp.Compare(right.Place.Revision, left.Place.Revision) })
	for _, version := range fresh {
		if version.Place.Revision <= owner.version.Place.Revision {
			break
		}
		read, err := manifest.Read(version.Manifest)
		if err != nil {
			commands = append(commands, contract.Count{Name: "feed_refused", By: 1})
			continue
		}
		for revision := owner.version.Place.Revision; revision < version.Place.Revision; revision++ {
			delete(owner.kept, revision+1-owner.bounds.History)
		}
		owner.version, owner.read, moved = version, read, true
		commands = append(commands, contract.Adopted{Version: version})
		break
	}
	if moved {
		for _, address := range neighbours {
			commands = append(commands, contract.Send{To: address, Kind: MessageNews, Body: owner.news()})
		}
	}
	return commands
}
