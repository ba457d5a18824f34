package shard

import (
	"encoding/json"
	"time"

	"github.com/cedarreel/cedarreel/contract"
	"github.com/cedarreel/cedarreel/manifest"
)

const (
	MessageAgesAsk  = "ages-ask"
	MessageAgesTold = "ages-told"
)

// Ages is what a control node knows of servers that came back lately; one that has just started asks its peers for it, or it
// would take a cold server that has already served a little for a warm one.
type Ages struct {
	Address string                   `json:"address,omitempty"`
	Since   map[string]time.Duration `json:"since,omitempty"`
}

func ageKey(name, incarnation string) string { return name + "@" + incarnation }

func (owner *Owner) askAges(now time.Duration) {
	if now-owner.started > owner.bounds.Deliver() && !owner.rising(now) || now < owner.nextAges {
		return
	}
	owner.nextAges = now + owner.bounds.Round()/2
	for _, member := range owner.seen.Members {
		if member.Kind == contract.KindControl && member.Region == owner.self.Region && member.Name != owner.self.Name {
			owner.emit(contract.Send{To: member.Address, Kind: MessageAgesAsk, Body: Ages{Address: owner.self.Address}})
		}
	}
}

// rising holds while this node is about to take a shard over, or has just done so.
func (owner *Owner) rising(now time.Duration) bool {
	for _, held := range owner.duties {
		if held.firstSince >= 0 && (!held.owning || now-held.taken < owner.bounds.Lease()) {
			return true
		}
	}
	return false
}

func (owner *Owner) tellAges(now time.Duration, message contract.Message) {
	var ages Ages
	if json.Unmarshal(message.Body, &ages) != nil {
		return
	}
	ramp := owner.seen.Manifest.Retirement.Ramp
	if message.Kind == MessageAgesAsk {
		told := Ages{Since: map[string]time.Duration{}}
		for name, known := range owner.servers {
			from := known.listedFrom
			if known.ramping {
				from = max(from, known.rampFrom)
			}
			if from >= 0 && now-from < ramp {
				told.Since[ageKey(name, known.incarnation)] = now - from
			}
		}
		owner.emit(contract.Send{To: ages.Address, Kind: MessageAgesTold, Body: told})
		return
	}
	for _, key := range manifest.SortedKeys(ages.Since) {
		owner.ages[key] = max(owner.ages[key], now-ages.Since[key])
	}
	for name := range owner.servers {
		owner.grow(now, name)
	}
}

// grow puts a server on the ramp that a peer saw it begin.
func (owner *Owner) grow(now time.Duration, name string) {
	known := owner.servers[name]
	from, there := owner.ages[ageKey(name, known.incarnation)]
	if !there || now-from >= owner.seen.Manifest.Retirement.Ramp || known.listedFrom >= from {
		return
	}
	known.listedFrom = from
	if known.good && !known.ramping {
		known.ramping, known.rampFrom = true, from
	}
}
