package data

import (
	"time"

	"github.com/cedarreel/cedarreel/call"
	"github.com/cedarreel/cedarreel/contract"
	"github.com/cedarreel/cedarreel/manifest"
)

// Kinds of the messages that replicate idempotency records between data-plane nodes.
const (
	// MessageClaim asks a node to store the claim of a call, MessageClaimReply answers it. MessageFinish reports the outcome of a claimed
	// call, MessageRelease withdraws the claim of a call that did not run. MessageFind asks for the record of a call, MessageFindReply
	// answers it. MessageExport asks for all records after a restart, MessageExportReply carries them.
	MessageClaim       = "keep-hold"
	MessageClaimReply  = "keep-held"
	MessageFinish      = "keep-finish"
	MessageRelease     = "keep-free"
	MessageFind        = "keep-find"
	MessageFindReply   = "keep-found"
	MessageExport      = "keep-share"
	MessageExportReply = "keep-shared"
	// maxVoters bounds the nodes of the home region that take part in a claim.
	maxVoters = 8
	// maxRemoteReplicas bounds the nodes of other regions that store a copy of a record.
	maxRemoteReplicas = 2
)

// Claim asks a node to grant and store the claim of a call. Address is where the reply goes.
type Claim struct {
	Record  call.Record `json:"record"`
	Address string      `json:"address"`
}

// ClaimReply answers a Claim. Granted means that the record is stored, Full that there is no room for it. If neither is set, Record is
// the earlier claim that stands. A grant counts only with CaughtUp: a node that was just started may have forgotten a claim. Token and
// ScopedKey are those of the claim.
type ClaimReply struct {
	Token     int64       `json:"token"`
	ScopedKey string      `json:"scoped"`
	Granted   bool        `json:"fine"`
	Full      bool        `json:"full"`
	CaughtUp  bool        `json:"settled"`
	Record    call.Record `json:"record"`
}

// Find asks a node for the record of a call that was first sent Age ago. Address is where the reply goes.
type Find struct {
	Token     int64         `json:"token"`
	ScopedKey string        `json:"scoped"`
	Age       time.Duration `json:"age"`
	Address   string        `json:"address"`
}

// FindReply answers a Find. Record is nil if the node has none; if CoversAge is set as well, the node would have it if the call had
// been claimed there.
type FindReply struct {
	Token     int64        `json:"token"`
	CoversAge bool         `json:"firm"`
	Record    *call.Record `json:"record,omitempty"`
}

// newRecord returns the idempotency record of a call that runs here.
func (router *Router) newRecord(job *job) call.Record {
	self := router.Self()
	return call.Record{ScopedKey: job.call.ScopedKey(), Digest: job.call.Digest, Node: self.Name, Region: self.Region, Boot: self.Boot, Token: job.token, Outcome: call.Running, Remaining: job.deadline - job.arrivedAt}
}

// votersFor names the data nodes whose grants allow the dispatch of a call: those of this region's roster, or in a large region
// maxVoters of them, chosen by the key. Every node computes the same voters for a call.
func (router *Router) votersFor(scopedKey string) []string {
	ordered := contract.RendezvousOrder("keep/"+scopedKey, router.roster(router.Self().Region))
	return ordered[:min(maxVoters, len(ordered))]
}

// liveReplicas returns those voters that are alive, by name.
func (router *Router) liveReplicas(now time.Duration, voters []string) map[string]contract.Member {
	replicas := map[string]contract.Member{}
	for _, name := range voters {
		if member, exists := router.Neighbours.Lookup(name); exists && router.Neighbours.Alive(now, name) {
			replicas[name] = member
		}
	}
	return replicas
}

// roster names the data nodes that the manifest lists for a region.
func (router *Router) roster(region string) []string {
	names := []string{}
	for _, name := range router.Feed.Manifest().Regions[region].Machines {
		names = append(names, name+"-"+contract.KindData)
	}
	return names
}

// startClaim stores the claim of a call here and asks the other replicas to grant it.
func (router *Router) startClaim(now time.Duration, job *job) {
	job.phase, job.claimedAt = phaseClaiming, now
	job.granted, job.refusals, job.voters = map[string]bool{}, 0, router.votersFor(job.call.ScopedKey())
	job.witnesses, job.witnessed = nil, map[string]bool{}
	job.replicas, job.remoteReplicas = router.liveReplicas(now, job.voters), router.remoteReplicasFor(now, job.call.ScopedKey())
	record := router.newRecord(job)
	if _, ok, full := router.table.Claim(now, record); !ok {
		err := "the call is held by another"
		if full {
			err = "the records are full"
		}
		router.refuse(now, job, 503, err, router.jitter(router.Bounds.Round()))
		return
	}
	if _, self := job.replicas[router.Self().Name]; self && router.caughtUp(now) {
		job.granted[router.Self().Name] = true
	}
	router.sendToReplicas(job, MessageClaim, Claim{Record: record, Address: router.Self().Address})
	router.checkClaim(now, job)
}

// claimAgain repeats a contested claim at the replicas that have not granted it.
func (router *Router) claimAgain(job *job) {
	job.hasConflict = false
	claim := Claim{Record: router.newRecord(job), Address: router.Self().Address}
	for _, name := range manifest.SortedKeys(job.replicas) {
		if !job.granted[name] {
			router.emit(contract.Send{To: job.replicas[name].Address, Kind: MessageClaim, Body: claim})
		}
	}
}

// sendToReplicas sends a message to all other nodes that store a call's record.
func (router *Router) sendToReplicas(job *job, kind string, body any) {
	for _, name := range manifest.SortedKeys(job.replicas) {
		if name != router.Self().Name {
			router.emit(contract.Send{To: job.replicas[name].Address, Kind: kind, Body: body})
		}
	}
	for _, address := range job.remoteReplicas {
		router.emit(contract.Send{To: address, Kind: kind, Body: body})
	}
	for _, name := range manifest.SortedKeys(job.witnesses) {
		router.emit(contract.Send{To: job.witnesses[name].Address, Kind: kind, Body: body})
	}
}

// handleClaim answers another node's claim of a call.
func (router *Router) handleClaim(now time.Duration, claim Claim) {
	known, ok, full := router.table.Claim(now, claim.Record)
	router.emit(contract.Send{To: claim.Address, Kind: MessageClaimReply, Body: ClaimReply{Token: claim.Record.Token, ScopedKey: claim.Record.ScopedKey, Granted: ok, Full: full, CaughtUp: router.caughtUp(now), Record: known}})
}

// handleClaimReply handles an answer to a claim of this node.
func (router *Router) handleClaimReply(now time.Duration, from string, claimReply ClaimReply) {
	job, exists := router.jobs[claimReply.Token]
	if !exists || job.phase != phaseClaiming || job.call.ScopedKey() != claimReply.ScopedKey {
		return
	}
	if _, replica := job.replicas[from]; !replica && (claimReply.Granted || claimReply.Full) {
		router.handleWitnessReply(now, job, from, claimReply)
		return
	}
	switch {
	case claimReply.Granted:
		if claimReply.CaughtUp {
			job.granted[from] = true
		}
		router.checkClaim(now, job)
	case claimReply.Full:
		if job.refusals++; (len(job.replicas)-job.refusals)*2 < len(job.voters) {
			router.refuse(now, job, 503, "the records are full", router.jitter(router.Bounds.Round()))
			return
		}
		router.checkClaim(now, job)
	case router.takesPrecedence(now, job, claimReply.Record):
		job.hasConflict = true
	default:
		router.releaseClaim(job)
		router.answerFromRecord(now, job, claimReply.Record)
	}
}

// takesPrecedence reports whether this node persists with its claim against another node's concurrent claim of the same call. The node
// with the lower name persists and the other gives way, so that one of the two calls runs.
func (router *Router) takesPrecedence(now time.Duration, job *job, other call.Record) bool {
	window := router.Bounds.ReplicationTimeout() / 2
	return other.Outcome == call.Running && other.Age < window && now-job.claimedAt < window && router.Self().Name < other.Node
}

// checkClaim queues a call once every live replica has granted its claim. After a short wait for silent replicas a quorum is enough,
// which must include a replica that was up for longer than a record lives, if there is one. If exactly half of the voters granted it,
// the witness region is asked too.
func (router *Router) checkClaim(now time.Duration, job *job) {
	all := len(job.granted)+job.refusals >= len(job.replicas)
	half := len(job.granted)*2 >= len(job.voters) && len(job.granted) > 0
	if job.hasConflict || !half || !all && now-job.claimedAt < router.Bounds.ReplicationTimeout()/4 {
		return
	}
	if !router.hasQuorum(job) {
		router.askWitnesses(job)
		return
	}
	if all || router.grantedByOldReplica(job) {
		router.enqueue(now, job)
	}
}

// grantedByOldReplica reports whether a replica that was up for longer than a record lives granted the claim, or there is no such replica.
func (router *Router) grantedByOldReplica(job *job) bool {
	old := int64(router.Bounds.RecordRetention() / router.Bounds.GossipInterval())
	granted := false
	for name, replica := range job.replicas {
		if replica.Heartbeat >= old {
			granted = true
			if job.granted[name] {
				return true
			}
		}
	}
	return !granted
}

// answerFromRecord answers a call whose key has a record; the call is not run again. A running record of another node is searched for
// once more first, since its outcome may be known elsewhere.
func (router *Router) answerFromRecord(now time.Duration, job *job, record call.Record) {
	job.replicas = nil
	if record.Outcome == call.Running && record.Node != router.Self().Name && !job.searched {
		router.startSearch(now, job)
		return
	}
	if record.Digest != job.call.Digest {
		router.refuse(now, job, 422, "this key was used with another body", 0)
		return
	}
	router.count("repeats_met")
	job.trace.Error = "met the record of " + record.Node + ": " + string(record.Outcome)
	switch {
	case record.Outcome == call.Done && record.ReplyKept:
		router.finish(now, job, call.Done, contract.Response{Token: job.token, Status: 200, Body: Reply{Chunks: record.Chunks}})
	case record.Outcome == call.Done:
		router.fail(now, job, 410, call.Done, "the call was done; its reply is no longer kept", 0)
	case record.Outcome == call.Interrupted:
		router.fail(now, job, 502, call.Interrupted, "the call was interrupted", 0)
	case record.Outcome == call.Running && record.Remaining > 0 && router.stillRuns(now, record):
		after := min(max(router.queues.MeanDuration(job.call.Route)/2, router.Bounds.Round()), record.Remaining+router.Bounds.Round())
		router.fail(now, job, 409, call.Running, "the call is still running", router.jitter(after))
	default:
		router.fail(now, job, 502, call.Unknown, "the call was taken and its end is not known", 0)
	}
}

// stillRuns reports whether the node that claimed a call is alive and has not restarted since.
func (router *Router) stillRuns(now time.Duration, record call.Record) bool {
	member, exists := router.Neighbours.Lookup(record.Node)
	return exists && member.Boot == record.Boot && router.Neighbours.Alive(now, record.Node)
}

// releaseClaim withdraws the claim of a call that did not run.
func (router *Router) releaseClaim(job *job) {
	record := router.newRecord(job)
	router.table.Release(record)
	router.sendToReplicas(job, MessageRelease, record)
	job.replicas = nil
}

// recordOutcome tells the replicas how a call ended. The claim of a call that did not run is withdrawn instead, so that a retry may run.
func (router *Router) recordOutcome(job *job, outcome call.Outcome, pieces []string) {
	if job.call.IsLookup || job.replicas == nil {
		return
	}
	if outcome == call.NotRun {
		router.releaseClaim(job)
		return
	}
	record := router.newRecord(job)
	record.Outcome, record.Chunks = outcome, pieces
	router.table.Finish(record)
	router.sendToReplicas(job, MessageFinish, record)
	job.replicas = nil
}
