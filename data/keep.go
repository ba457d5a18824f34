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

// record returns the idempotency record of a call that runs here.
func (owner *Owner) record(job *job) call.Record {
	self := owner.Self()
	return call.Record{ScopedKey: job.call.ScopedKey(), Digest: job.call.Digest, Node: self.Name, Region: self.Region, Boot: self.Boot, Token: job.token, Outcome: call.Running, Remaining: job.deadline - job.arrivedAt}
}

// votersFor names the data nodes whose grants allow the dispatch of a call: those of this region's roster, or in a large region
// maxVoters of them, chosen by the key. Every node computes the same voters for a call.
func (owner *Owner) votersFor(scopedKey string) []string {
	ordered := contract.RendezvousOrder("keep/"+scopedKey, owner.roster(owner.Self().Region))
	return ordered[:min(maxVoters, len(ordered))]
}

// liveReplicas returns those voters that are alive, by name.
func (owner *Owner) liveReplicas(now time.Duration, voters []string) map[string]contract.Member {
	replicas := map[string]contract.Member{}
	for _, name := range voters {
		if member, exists := owner.Neighbours.Look(name); exists && owner.Neighbours.Alive(now, name) {
			replicas[name] = member
		}
	}
	return replicas
}

// roster names the data nodes that the manifest lists for a region.
func (owner *Owner) roster(region string) []string {
	names := []string{}
	for _, name := range owner.Feed.Manifest().Regions[region].Machines {
		names = append(names, name+"-"+contract.KindData)
	}
	return names
}

// startClaim stores the claim of a call here and asks the other replicas to grant it.
func (owner *Owner) startClaim(now time.Duration, job *job) {
	job.phase, job.claimedAt = phaseClaiming, now
	job.granted, job.refusals, job.voters = map[string]bool{}, 0, owner.votersFor(job.call.ScopedKey())
	job.witness, job.witnessed = nil, map[string]bool{}
	job.replicas, job.remoteReplicas = owner.liveReplicas(now, job.voters), owner.remoteReplicasFor(now, job.call.ScopedKey())
	record := owner.record(job)
	if _, ok, full := owner.table.Claim(now, record); !ok {
		err := "the call is held by another"
		if full {
			err = "the records are full"
		}
		owner.refuse(now, job, 503, err, owner.jitter(owner.Bounds.Round()))
		return
	}
	if _, self := job.replicas[owner.Self().Name]; self && owner.caughtUp(now) {
		job.granted[owner.Self().Name] = true
	}
	owner.sendToReplicas(job, MessageClaim, Claim{Record: record, Address: owner.Self().Address})
	owner.checkClaim(now, job)
}

// claimAgain repeats a contested claim at the replicas that have not granted it.
func (owner *Owner) claimAgain(job *job) {
	job.contested = false
	claim := Claim{Record: owner.record(job), Address: owner.Self().Address}
	for _, name := range manifest.SortedKeys(job.replicas) {
		if !job.granted[name] {
			owner.emit(contract.Send{To: job.replicas[name].Address, Kind: MessageClaim, Body: claim})
		}
	}
}

// sendToReplicas sends a message to all other nodes that store a call's record.
func (owner *Owner) sendToReplicas(job *job, kind string, body any) {
	for _, name := range manifest.SortedKeys(job.replicas) {
		if name != owner.Self().Name {
			owner.emit(contract.Send{To: job.replicas[name].Address, Kind: kind, Body: body})
		}
	}
	for _, address := range job.remoteReplicas {
		owner.emit(contract.Send{To: address, Kind: kind, Body: body})
	}
	for _, name := range manifest.SortedKeys(job.witness) {
		owner.emit(contract.Send{To: job.witness[name].Address, Kind: kind, Body: body})
	}
}

// claim answers another node's claim of a call.
func (owner *Owner) claim(now time.Duration, claim Claim) {
	known, ok, full := owner.table.Claim(now, claim.Record)
	owner.emit(contract.Send{To: claim.Address, Kind: MessageClaimReply, Body: ClaimReply{Token: claim.Record.Token, ScopedKey: claim.Record.ScopedKey, Granted: ok, Full: full, CaughtUp: owner.caughtUp(now), Record: known}})
}

// claimReply handles an answer to a claim of this node.
func (owner *Owner) claimReply(now time.Duration, from string, claimReply ClaimReply) {
	job, exists := owner.jobs[claimReply.Token]
	if !exists || job.phase != phaseClaiming || job.call.ScopedKey() != claimReply.ScopedKey {
		return
	}
	if _, keeper := job.replicas[from]; !keeper && (claimReply.Granted || claimReply.Full) {
		owner.witnessed(now, job, from, claimReply)
		return
	}
	switch {
	case claimReply.Granted:
		if claimReply.CaughtUp {
			job.granted[from] = true
		}
		owner.checkClaim(now, job)
	case claimReply.Full:
		if job.refusals++; (len(job.replicas)-job.refusals)*2 < len(job.voters) {
			owner.refuse(now, job, 503, "the records are full", owner.jitter(owner.Bounds.Round()))
			return
		}
		owner.checkClaim(now, job)
	case owner.takesPrecedence(now, job, claimReply.Record):
		job.contested = true
	default:
		owner.release(job)
		owner.answerFromRecord(now, job, claimReply.Record)
	}
}

// takesPrecedence reports whether this node persists with its claim against another node's concurrent claim of the same call. The node
// with the lower name persists and the other gives way, so that one of the two calls runs.
func (owner *Owner) takesPrecedence(now time.Duration, job *job, other call.Record) bool {
	window := owner.Bounds.ReplicationTimeout() / 2
	return other.Outcome == call.Running && other.Age < window && now-job.claimedAt < window && owner.Self().Name < other.Node
}

// checkClaim queues a call once every live replica has granted its claim. After a short wait for silent replicas a quorum is enough,
// which must include a replica that was up for longer than a record lives, if there is one. If exactly half of the voters granted it,
// the witness region is asked too.
func (owner *Owner) checkClaim(now time.Duration, job *job) {
	all := len(job.granted)+job.refusals >= len(job.replicas)
	half := len(job.granted)*2 >= len(job.voters) && len(job.granted) > 0
	if job.contested || !half || !all && now-job.claimedAt < owner.Bounds.ReplicationTimeout()/4 {
		return
	}
	if !owner.quorum(job) {
		owner.askWitnesses(job)
		return
	}
	if all || owner.grantedByOldReplica(job) {
		owner.enqueue(now, job)
	}
}

// grantedByOldReplica reports whether a replica that was up for longer than a record lives granted the claim, or there is no such replica.
func (owner *Owner) grantedByOldReplica(job *job) bool {
	old := int64(owner.Bounds.RecordRetention() / owner.Bounds.GossipInterval())
	any := false
	for name, keeper := range job.replicas {
		if keeper.Heartbeat >= old {
			any = true
			if job.granted[name] {
				return true
			}
		}
	}
	return !any
}

// answerFromRecord answers a call whose key has a record; the call is not run again. A running record of another node is searched for
// once more first, since its outcome may be known elsewhere.
func (owner *Owner) answerFromRecord(now time.Duration, job *job, record call.Record) {
	job.replicas = nil
	if record.Outcome == call.Running && record.Node != owner.Self().Name && !job.searched {
		owner.startSearch(now, job)
		return
	}
	if record.Digest != job.call.Digest {
		owner.refuse(now, job, 422, "this key was used with another body", 0)
		return
	}
	owner.count("repeats_met")
	job.trace.Error = "met the record of " + record.Node + ": " + string(record.Outcome)
	switch {
	case record.Outcome == call.Done && record.ReplyKept:
		owner.finish(now, job, call.Done, contract.Response{Token: job.token, Status: 200, Body: Reply{Chunks: record.Chunks}})
	case record.Outcome == call.Done:
		owner.fail(now, job, 410, call.Done, "the call was done; its reply is no longer kept", 0)
	case record.Outcome == call.Interrupted:
		owner.fail(now, job, 502, call.Interrupted, "the call was interrupted", 0)
	case record.Outcome == call.Running && record.Remaining > 0 && owner.stillRuns(now, record):
		after := min(max(owner.queues.MeanDuration(job.call.Route)/2, owner.Bounds.Round()), record.Remaining+owner.Bounds.Round())
		owner.fail(now, job, 409, call.Running, "the call is still running", owner.jitter(after))
	default:
		owner.fail(now, job, 502, call.Unknown, "the call was taken and its end is not known", 0)
	}
}

// stillRuns reports whether the node that claimed a call is alive and has not restarted since.
func (owner *Owner) stillRuns(now time.Duration, record call.Record) bool {
	member, exists := owner.Neighbours.Look(record.Node)
	return exists && member.Boot == record.Boot && owner.Neighbours.Alive(now, record.Node)
}

// release withdraws the claim of a call that did not run.
func (owner *Owner) release(job *job) {
	record := owner.record(job)
	owner.table.Release(record)
	owner.sendToReplicas(job, MessageRelease, record)
	job.replicas = nil
}

// recordOutcome tells the replicas how a call ended. The claim of a call that did not run is withdrawn instead, so that a retry may run.
func (owner *Owner) recordOutcome(job *job, outcome call.Outcome, pieces []string) {
	if job.call.IsLookup || job.replicas == nil {
		return
	}
	if outcome == call.NotRun {
		owner.release(job)
		return
	}
	record := owner.record(job)
	record.Outcome, record.Chunks = outcome, pieces
	owner.table.Finish(record)
	owner.sendToReplicas(job, MessageFinish, record)
	job.replicas = nil
}
