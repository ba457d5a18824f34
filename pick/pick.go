// Package pick chooses a server for a call among those that the shards' owners granted a lease for.
package pick

import (
	"math/rand/v2"

	"github.com/cedarreel/cedarreel/contract"
	"github.com/cedarreel/cedarreel/manifest"
)

const (
	longShare  = 3
	spillShare = 3
	ofShares   = 4
)

// Usage is what this node adds to what a server's last report could show. Calls that were given up linger: the server may be at
// them for a while.
type Usage struct {
	Own       int64
	AtReport  int64
	Report    int64
	Lingering int64
}

type Want struct {
	Pool    string
	Class   string
	Zone    string
	Session string
	Prefix  string
	Avoid   map[string]bool
	Resting map[string]bool
}

// Verdict tells of one candidate why it was chosen or passed over.
type Verdict struct {
	Server string `json:"server"`
	Why    string `json:"why"`
	Load   int64  `json:"load"`
}

func (usage Usage) Load(candidate contract.Candidate) int64 {
	return candidate.Running + candidate.Waiting + max(0, usage.Own-usage.AtReport)
}

func room(candidate contract.Candidate, usage Usage, class string) (bool, string) {
	limit := candidate.Slots
	if class == manifest.ClassLong {
		limit = max(1, limit*longShare/ofShares)
	}
	if candidate.Share >= 0 && usage.Own+usage.Lingering >= candidate.Share {
		return false, "ramping, this node's share is used"
	}
	if usage.Load(candidate) >= limit {
		return false, "no room"
	}
	return true, ""
}

// Choose gives the server for a call: session first, then prefix, then the better of two at random, in the own zone before others.
func Choose(want Want, candidates []contract.Candidate, usages map[string]Usage, sessions map[string]string, random *rand.Rand) (contract.Candidate, []Verdict, bool) {
	verdicts, open := []Verdict{}, []contract.Candidate{}
	for _, candidate := range candidates {
		usage := usages[candidate.Name]
		verdict := Verdict{Server: candidate.Name, Load: usage.Load(candidate)}
		fine, why := room(candidate, usage, want.Class)
		switch {
		case candidate.Pool != want.Pool:
			continue
		case want.Avoid[candidate.Name]:
			verdict.Why = "tried before"
		case want.Resting[candidate.Name]:
			verdict.Why = "turned a call away a moment ago"
		case !fine:
			verdict.Why = why
		default:
			open = append(open, candidate)
			continue
		}
		verdicts = append(verdicts, verdict)
	}
	if len(open) == 0 {
		return contract.Candidate{}, verdicts, false
	}
	chosen, why := prefer(want, open, usages, sessions, random)
	for _, candidate := range open {
		verdict := Verdict{Server: candidate.Name, Load: usages[candidate.Name].Load(candidate), Why: "others were better placed"}
		if candidate.Name == chosen.Name {
			verdict.Why = "chosen: " + why
		}
		verdicts = append(verdicts, verdict)
	}
	return chosen, verdicts, true
}

func prefer(want Want, open []contract.Candidate, usages map[string]Usage, sessions map[string]string, random *rand.Rand) (contract.Candidate, string) {
	for _, candidate := range open {
		if want.Session != "" && sessions[want.Session] == candidate.Name {
			return candidate, "holds the session"
		}
	}
	if want.Session != "" && want.Prefix == "" {
		return first(want.Session, open), "is the session's in the agreed order"
	}
	near, holding := []contract.Candidate{}, []contract.Candidate{}
	for _, candidate := range open {
		if candidate.Zone == want.Zone && usages[candidate.Name].Load(candidate)*ofShares < candidate.Slots*spillShare {
			near = append(near, candidate)
		}
		if want.Prefix != "" && Holds(candidate, want.Prefix) {
			holding = append(holding, candidate)
		}
	}
	if len(holding) > 0 {
		return better(holding, usages, random), "holds the prefix"
	}
	if want.Prefix != "" {
		if kept, there := byName(open, sessions["prefix/"+want.Prefix]); there {
			return kept, "was sent the prefix last"
		}
	}
	if len(near) > 0 {
		return better(near, usages, random), "in the own zone"
	}
	return better(open, usages, random), "spilled to another zone"
}

// first gives the server that every node would give to a new session, so that its turns meet wherever they arrive.
func first(session string, open []contract.Candidate) contract.Candidate {
	names := []string{}
	for _, candidate := range open {
		names = append(names, candidate.Name)
	}
	chosen, _ := byName(open, contract.RendezvousOrder("session/"+session, names)[0])
	return chosen
}

func byName(candidates []contract.Candidate, name string) (contract.Candidate, bool) {
	for _, candidate := range candidates {
		if candidate.Name == name {
			return candidate, true
		}
	}
	return contract.Candidate{}, false
}

func better(candidates []contract.Candidate, usages map[string]Usage, random *rand.Rand) contract.Candidate {
	first := candidates[random.IntN(len(candidates))]
	second := candidates[random.IntN(len(candidates))]
	if usages[second.Name].Load(second)*first.Slots < usages[first.Name].Load(first)*second.Slots {
		return second
	}
	return first
}

func Holds(candidate contract.Candidate, prefix string) bool {
	for _, held := range candidate.Prefixes {
		if held == prefix {
			return true
		}
	}
	return false
}
