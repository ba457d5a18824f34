// Package feed brings committed manifests and views to every node: news are pushed, changes are pulled from a place on.
package feed

import (
	"encoding/json"
	"time"

	"github.com/cedarreel/cedarreel/contract"
	"github.com/cedarreel/cedarreel/env"
	"github.com/cedarreel/cedarreel/manifest"
)

const (
	LetterNews   = "feed-news"
	LetterAsk    = "feed-ask"
	LetterChange = "feed-change"
)

type News struct {
	Place contract.Place `json:"place"`
	View  int64          `json:"view"`
	From  string         `json:"from"`
}

type Change struct {
	Version *contract.Version `json:"version,omitempty"`
	View    *contract.View    `json:"view,omitempty"`
}

type Owner struct {
	bounds  env.Bounds
	address string
	version contract.Version
	read    manifest.Manifest
	view    contract.View
	asked   time.Duration
}

func New(address string, bounds env.Bounds) *Owner {
	return &Owner{address: address, bounds: bounds, asked: -bounds.Gossip()}
}

func (owner *Owner) Version() contract.Version   { return owner.version }
func (owner *Owner) Manifest() manifest.Manifest { return owner.read }
func (owner *Owner) View() contract.View         { return owner.view }
func (owner *Owner) Known() bool                 { return owner.version.Place.Revision > 0 }

func (owner *Owner) behind(place contract.Place, view int64) bool {
	return place.Revision > owner.version.Place.Revision || view > owner.view.Number
}

// Handle reads letters of the feed; news are told to the neighbours by the caller.
func (owner *Owner) Handle(now time.Duration, event contract.Event, neighbours []string) []contract.Command {
	letter, fine := event.(contract.Letter)
	if !fine {
		return nil
	}
	switch letter.Kind {
	case LetterNews:
		var news News
		if json.Unmarshal(letter.Body, &news) == nil && owner.behind(news.Place, news.View) {
			return []contract.Command{owner.ask(news.From)}
		}
	case LetterAsk:
		var news News
		if json.Unmarshal(letter.Body, &news) == nil {
			return owner.tell(news)
		}
	case LetterChange:
		var change Change
		if json.Unmarshal(letter.Body, &change) == nil {
			return owner.Take(change, neighbours)
		}
	}
	return nil
}

// Catch asks a member that is seen to hold more.
func (owner *Owner) Catch(now time.Duration, members []contract.Member) []contract.Command {
	if now-owner.asked < owner.bounds.Gossip() {
		return nil
	}
	for _, member := range members {
		if owner.behind(member.Place, member.View) {
			owner.asked = now
			return []contract.Command{owner.ask(member.Address)}
		}
	}
	return nil
}

func (owner *Owner) ask(address string) contract.Command {
	return contract.Send{To: address, Kind: LetterAsk, Body: News{owner.version.Place, owner.view.Number, owner.address}}
}

func (owner *Owner) tell(news News) []contract.Command {
	change := Change{}
	if owner.version.Place.Revision > news.Place.Revision {
		version := owner.version
		change.Version = &version
	}
	if owner.view.Number > news.View {
		view := owner.view
		change.View = &view
	}
	if change.Version == nil && change.View == nil {
		return nil
	}
	return []contract.Command{contract.Send{To: news.From, Kind: LetterChange, Body: change}}
}

// Take adopts what is newer and passes the news on; a lower revision or view never replaces a higher one.
func (owner *Owner) Take(change Change, neighbours []string) []contract.Command {
	commands, moved := []contract.Command{}, false
	if change.View != nil && change.View.Number > owner.view.Number {
		owner.view, moved = *change.View, true
		commands = append(commands, contract.Say{What: "view adopted", Detail: []any{"view", owner.view.Number}})
	}
	if version := change.Version; version != nil && version.Place.Revision > owner.version.Place.Revision {
		read, mishap := manifest.Read(version.Manifest)
		if mishap != nil || contract.Digest(version.Manifest) != version.Digest {
			return append(commands, contract.Count{Name: "feed_refused", By: 1})
		}
		owner.version, owner.read, moved = *version, read, true
		commands = append(commands, contract.Adopted{Version: *version})
	}
	if moved {
		for _, address := range neighbours {
			commands = append(commands, contract.Send{To: address, Kind: LetterNews, Body: News{owner.version.Place, owner.view.Number, owner.address}})
		}
	}
	return commands
}
