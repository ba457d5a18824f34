package data

import (
	"slices"
	"sort"
	"time"

	"github.com/cedarreel/cedarreel/contract"
	"github.com/cedarreel/cedarreel/manifest"
	"github.com/cedarreel/cedarreel/shard"
)

// grant is what this node holds of one shard: the newest licence and the highest epoch ever seen.
type grant struct {
	licence contract.Licence
	highest contract.Epoch
	asked   time.Duration
	expires time.Duration
	hint    string
}

func (owner *Owner) askLicences(now time.Duration) {
	if now < owner.nextAsk || !owner.Feed.Known() {
		return
	}
	owner.nextAsk = now + owner.Bounds.Ask()
	region := owner.Self().Region
	names := []string{}
	for _, member := range owner.Neighbours.Members(now) {
		if member.Kind == contract.KindControl && member.Region == region {
			names = append(names, member.Name)
		}
	}
	for index := 0; index < owner.Feed.Manifest().Regions[region].Shards; index++ {
		held, there := owner.grants[index]
		if !there {
			held = &grant{}
			owner.grants[index] = held
		}
		targets := map[string]bool{held.hint: true, held.licence.Epoch.Node: true}
		if ordered := contract.Ordered(shard.Subject(region, index), names); len(ordered) > 0 {
			targets[ordered[0]] = true
		}
		ask := contract.LicenceAsk{Node: owner.Self().Name, Boot: owner.Self().Boot, Address: owner.Self().Address, Region: region, Shard: index,
			Asked: now, Highest: held.highest, Number: held.licence.Number, Calls: owner.callsOn(index)}
		for _, name := range manifest.SortedKeys(targets) {
			if member, there := owner.Neighbours.Look(name); there && member.Kind == contract.KindControl && owner.Neighbours.Alive(now, name) {
				owner.emit(contract.Send{To: member.Address, Kind: shard.LetterAsk, Body: ask})
			}
		}
	}
}

func (owner *Owner) callsOn(index int) map[string]int64 {
	shards := owner.Feed.Manifest().Regions[owner.Self().Region].Shards
	calls := map[string]int64{}
	for name, usage := range owner.usages {
		if usage.Own > 0 && contract.ShardOf(name, shards) == index {
			calls[name] = usage.Own
		}
	}
	return calls
}

// licence takes a pick list unless a higher epoch was seen; its life counts from this node's own asking.
func (owner *Owner) licence(now time.Duration, licence contract.Licence) {
	held, there := owner.grants[licence.Shard]
	if !there || licence.Region != owner.Self().Region {
		return
	}
	if licence.Epoch.Before(held.highest) {
		owner.count("licences_refused")
		return
	}
	same := licence.Epoch == held.highest
	if licence.Asked > now || same && (licence.Number < held.licence.Number || licence.Asked < held.asked) {
		owner.count("licences_late")
		return
	}
	if now >= held.expires {
		owner.turned = map[string]rest{}
	}
	former := held.licence.Withdraw
	held.highest, held.licence, held.asked, held.hint = licence.Epoch, licence, licence.Asked, ""
	held.expires = licence.Asked + licence.Life
	for _, candidate := range licence.Servers {
		usage := owner.usages[candidate.Name]
		if usage.Report != candidate.Report {
			usage.Report, usage.AtReport = candidate.Report, usage.Own
			owner.usages[candidate.Name] = usage
		}
	}
	for _, name := range licence.Withdraw {
		if !slices.Contains(former, name) {
			owner.sessions.leave(name)
		}
	}
	owner.recall(licence.Recall)
	owner.serve(now)
}

func (owner *Owner) notOwner(hint contract.NotOwner) {
	if held, there := owner.grants[hint.Shard]; there && hint.Region == owner.Self().Region {
		held.hint = hint.Owner
	}
}

// candidates gives the servers under licences that have not lapsed, and the shards that cannot be picked from now.
func (owner *Owner) candidates(now time.Duration) ([]contract.Candidate, []int) {
	candidates, lapsed := []contract.Candidate{}, []int{}
	for _, index := range owner.shardIndexes() {
		held := owner.grants[index]
		if now >= held.expires {
			lapsed = append(lapsed, index)
			continue
		}
		candidates = append(candidates, held.licence.Servers...)
	}
	return candidates, lapsed
}

// licensed tells until when a server may be sent what was picked for it.
func (owner *Owner) licensed(server string) time.Duration {
	shards := owner.Feed.Manifest().Regions[owner.Self().Region].Shards
	if held, there := owner.grants[contract.ShardOf(server, shards)]; there {
		return held.expires
	}
	return 0
}

func (owner *Owner) shardIndexes() []int {
	indexes := []int{}
	for index := range owner.grants {
		indexes = append(indexes, index)
	}
	sort.Ints(indexes)
	return indexes
}

type affinity struct {
	most   int
	server map[string]string
	order  []string
}

func newAffinity(most int) *affinity { return &affinity{most: most, server: map[string]string{}} }

func (affinity *affinity) set(key, server string) {
	if _, there := affinity.server[key]; !there {
		affinity.order = append(affinity.order, key)
		for len(affinity.order) > affinity.most {
			delete(affinity.server, affinity.order[0])
			affinity.order = affinity.order[1:]
		}
	}
	affinity.server[key] = server
}

// leave moves every session and prefix off a withdrawn server: the next turn goes where it is picked.
func (affinity *affinity) leave(server string) {
	kept := affinity.order[:0]
	for _, key := range affinity.order {
		if affinity.server[key] == server {
			delete(affinity.server, key)
			continue
		}
		kept = append(kept, key)
	}
	affinity.order = kept
}

// Tale is why a call went where it went.
type Tale struct {
	Call     string        `json:"call"`
	Caller   string        `json:"caller"`
	Route    string        `json:"route"`
	Node     string        `json:"node"`
	Home     string        `json:"home"`
	Revision int64         `json:"revision"`
	Lists    []TaleList    `json:"lists"`
	Attempts []TaleAttempt `json:"attempts"`
	Outcome  string        `json:"outcome"`
	Status   int           `json:"status,omitempty"`
	Mishap   string        `json:"mishap,omitempty"`
	TookMs   int64         `json:"tookMs"`
	arrived  time.Duration
}

type TaleList struct {
	Shard  int            `json:"shard"`
	Epoch  contract.Epoch `json:"epoch"`
	Number int64          `json:"number"`
	Lapsed bool           `json:"lapsed"`
}

type TaleAttempt struct {
	Server   string `json:"server"`
	Verdicts any    `json:"candidates"`
	Proof    string `json:"proof"`
	Mishap   string `json:"mishap,omitempty"`
}

type tales struct {
	most  int
	known map[string][]*Tale
	order []string
}

func newTales(most int) *tales { return &tales{most: most, known: map[string][]*Tale{}} }

func (tales *tales) add(tale *Tale) {
	tales.known[tale.Call] = append(tales.known[tale.Call], tale)
	tales.order = append(tales.order, tale.Call)
	for len(tales.order) > tales.most {
		oldest := tales.order[0]
		tales.order = tales.order[1:]
		if tales.known[oldest] = tales.known[oldest][1:]; len(tales.known[oldest]) == 0 {
			delete(tales.known, oldest)
		}
	}
}

func (tales *tales) find(key string) []*Tale { return tales.known[key] }
