// Package pick chooses the server for a call among those that the owners of the shards list, with a lease for this node.
package pick

import (
	"math/rand/v2"

	"github.com/cedarreel/cedarreel/contract"
	"github.com/cedarreel/cedarreel/manifest"
)

// Shares of a server's slots, in parts of slotParts: calls with long prompts may use longPromptSlots, and servers of the own zone are preferred while
// less than spillSlots are taken.
const (
	longPromptSlots = 3
	spillSlots      = 3
	slotParts       = 4
)

// Usage is what this node knows of its own calls at a server, beyond the server's last report.
type Usage struct {
	// InFlight is the number of this node's calls at the server, InFlightAtReport what it was when the server last reported, and Report that report's
	// number.
	InFlight         int64
	InFlightAtReport int64
	Report           int64
	// Lingering is the number of calls that this node gave up: the server may still work on them for a while.
	Lingering int64
}

// Request is what a call asks for.
type Request struct {
	// Pool is the name of the servers' pool, and Class that of the prompt length (manifest.ClassShort or manifest.ClassLong).
	Pool  string
	Class string
	// Zone is this node's zone, whose servers are preferred.
	Zone string
	// Session identifies the conversation that the call belongs to, and Prefix the shared start of its prompt; each is empty without one.
	Session string
	Prefix  string
	// Tried are the servers that the call was sent to before; Resting are those that rejected a call a moment ago. Neither gets the call.
	Tried   map[string]bool
	Resting map[string]bool
}

// Verdict tells for one candidate why it was chosen or passed over; it is part of the trace of a call. The field "why" holds the reason.
type Verdict struct {
	Server string `json:"server"`
	Reason string `json:"why"`
	Load   int64  `json:"load"`
}

// Load estimates the number of calls at a server: those that it reported, and those that this node has sent since.
func (usage Usage) Load(candidate contract.Candidate) int64 {
	return candidate.Running + candidate.Waiting + max(0, usage.InFlight-usage.InFlightAtReport)
}

// hasRoom reports whether a server may take one more call of a class, and otherwise the reason why not.
func hasRoom(candidate contract.Candidate, usage Usage, class string) (bool, string) {
	limit := candidate.Slots
	if class == manifest.ClassLong {
		limit = max(1, limit*longPromptSlots/slotParts)
	}
	if candidate.Share >= 0 && usage.InFlight+usage.Lingering >= candidate.Share {
		return false, "ramping, this node's share is used"
	}
	if usage.Load(candidate) >= limit {
		return false, "no room"
	}
	return true, ""
}

// Choose returns the server for a call, with a verdict for each candidate of the pool; it is false if none may take the call. The server of the
// session comes first, then a server that holds the prefix or was sent it last; otherwise the less loaded of two random servers, in the own zone
// unless its servers are nearly full. Sessions maps a session, or "prefix/" and a prefix, to the server that its last call went to.
func Choose(request Request, candidates []contract.Candidate, usages map[string]Usage, sessions map[string]string, random *rand.Rand) (contract.Candidate, []Verdict, bool) {
	verdicts, eligible := []Verdict{}, []contract.Candidate{}
	for _, candidate := range candidates {
		usage := usages[candidate.Name]
		verdict := Verdict{Server: candidate.Name, Load: usage.Load(candidate)}
		ok, reason := hasRoom(candidate, usage, request.Class)
		switch {
		case candidate.Pool != request.Pool:
			continue
		case request.Tried[candidate.Name]:
			verdict.Reason = "tried before"
		case request.Resting[candidate.Name]:
			verdict.Reason = "turned a call away a moment ago"
		case !ok:
			verdict.Reason = reason
		default:
			eligible = append(eligible, candidate)
			continue
		}
		verdicts = append(verdicts, verdict)
	}
	if len(eligible) == 0 {
		return contract.Candidate{}, verdicts, false
	}
	chosen, reason := prefer(request, eligible, usages, sessions, random)
	for _, candidate := range eligible {
		verdict := Verdict{Server: candidate.Name, Load: usages[candidate.Name].Load(candidate), Reason: "others were better placed"}
		if candidate.Name == chosen.Name {
			verdict.Reason = "chosen: " + reason
		}
		verdicts = append(verdicts, verdict)
	}
	return chosen, verdicts, true
}

// prefer returns the best of the eligible servers, and the reason.
func prefer(request Request, eligible []contract.Candidate, usages map[string]Usage, sessions map[string]string, random *rand.Rand) (contract.Candidate, string) {
	for _, candidate := range eligible {
		if request.Session != "" && sessions[request.Session] == candidate.Name {
			return candidate, "holds the session"
		}
	}
	if request.Session != "" && request.Prefix == "" {
		return sessionHome(request.Session, eligible), "is the session's in the agreed order"
	}
	inZone, holding := []contract.Candidate{}, []contract.Candidate{}
	for _, candidate := range eligible {
		if candidate.Zone == request.Zone && usages[candidate.Name].Load(candidate)*slotParts < candidate.Slots*spillSlots {
			inZone = append(inZone, candidate)
		}
		if request.Prefix != "" && HoldsPrefix(candidate, request.Prefix) {
			holding = append(holding, candidate)
		}
	}
	if len(holding) > 0 {
		return lessLoaded(holding, usages, random), "holds the prefix"
	}
	if request.Prefix != "" {
		if kept, found := byName(eligible, sessions["prefix/"+request.Prefix]); found {
			return kept, "was sent the prefix last"
		}
	}
	if len(inZone) > 0 {
		return lessLoaded(inZone, usages, random), "in the own zone"
	}
	return lessLoaded(eligible, usages, random), "spilled to another zone"
}

// sessionHome returns the server that every node chooses for a new session, so that its calls meet wherever they arrive.
func sessionHome(session string, eligible []contract.Candidate) contract.Candidate {
	names := []string{}
	for _, candidate := range eligible {
		names = append(names, candidate.Name)
	}
	chosen, _ := byName(eligible, contract.RendezvousOrder("session/"+session, names)[0])
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

// lessLoaded returns the less loaded of two random servers, relative to their slots.
func lessLoaded(candidates []contract.Candidate, usages map[string]Usage, random *rand.Rand) contract.Candidate {
	first := candidates[random.IntN(len(candidates))]
	second := candidates[random.IntN(len(candidates))]
	if usages[second.Name].Load(second)*first.Slots < usages[first.Name].Load(first)*second.Slots {
		return second
	}
	return first
}

// HoldsPrefix reports whether a server reports that it has a prefix in its cache.
func HoldsPrefix(candidate contract.Candidate, prefix string) bool {
	for _, held := range candidate.Prefixes {
		if held == prefix {
			return true
		}
	}
	return false
}
