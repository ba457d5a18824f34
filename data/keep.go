package data

import (
	"time"

	"github.com/cedarreel/cedarreel/call"
	"github.com/cedarreel/cedarreel/contract"
	"github.com/cedarreel/cedarreel/manifest"
)

const (
	MessageClaim    = "keep-hold"
	MessageClaimed  = "keep-held"
	MessageFinish   = "keep-finish"
	MessageRelease  = "keep-free"
	MessageFind     = "keep-find"
	MessageFound    = "keep-found"
	MessageExport   = "keep-share"
	MessageExported = "keep-shared"
	keeperMost      = 8
	backersMost     = 2
)

type Claim struct {
	Record  call.Record `json:"record"`
	Address string      `json:"address"`
}

type Claimed struct {
	Token     int64       `json:"token"`
	ScopedKey string      `json:"scoped"`
	Fine      bool        `json:"fine"`
	Full      bool        `json:"full"`
	Settled   bool        `json:"settled"`
	Record    call.Record `json:"record"`
}

type Find struct {
	Token     int64         `json:"token"`
	ScopedKey string        `json:"scoped"`
	Age       time.Duration `json:"age"`
	Address   string        `json:"address"`
}

type Found struct {
	Token     int64        `json:"token"`
	CoversAge bool         `json:"firm"`
	Record    *call.Record `json:"record,omitempty"`
}

func (owner *Owner) record(job *job) call.Record {
	self := owner.Self()
	return call.Record{ScopedKey: job.call.ScopedKey(), Digest: job.call.Digest, Node: self.Name, Region: self.Region, Boot: self.Boot, Token: job.token, Outcome: call.Running, Remaining: job.deadline - job.arrived}
}

// votersOf names the data nodes of the home region's roster that say whether a call may go: all of them, or in a large region some.
func (owner *Owner) votersOf(scoped string) []string {
	ordered := contract.Ordered("keep/"+scoped, owner.roster(owner.Self().Region))
	return ordered[:min(keeperMost, len(ordered))]
}

// keepersOf gives those of them that are alive.
func (owner *Owner) keepersOf(now time.Duration, voters []string) map[string]contract.Member {
	keepers := map[string]contract.Member{}
	for _, name := range voters {
		if member, there := owner.Neighbours.Look(name); there && owner.Neighbours.Alive(now, name) {
			keepers[name] = member
		}
	}
	return keepers
}

func (owner *Owner) roster(region string) []string {
	names := []string{}
	for _, name := range owner.Feed.Manifest().Regions[region].Machines {
		names = append(names, name+"-"+contract.KindData)
	}
	return names
}

func (owner *Owner) startHold(now time.Duration, job *job) {
	job.phase, job.asked = phaseHolding, now
	job.granted, job.refused, job.voters = map[string]bool{}, 0, owner.votersOf(job.call.ScopedKey())
	job.outer, job.vouched = nil, map[string]bool{}
	job.keepers, job.backers = owner.keepersOf(now, job.voters), owner.backersOf(now, job.call.ScopedKey())
	record := owner.record(job)
	if _, fine, full := owner.table.Claim(now, record); !fine {
		err := "the call is held by another"
		if full {
			err = "the records are full"
		}
		owner.refuse(now, job, 503, err, owner.jitter(owner.Bounds.Round()))
		return
	}
	if _, self := job.keepers[owner.Self().Name]; self && owner.settled(now) {
		job.granted[owner.Self().Name] = true
	}
	owner.tellKeepers(job, MessageClaim, Claim{Record: record, Address: owner.Self().Address})
	owner.checkHold(now, job)
}

// holdAgain asks the keepers once more that another call stood in the way at.
func (owner *Owner) holdAgain(job *job) {
	job.contested = false
	hold := Claim{Record: owner.record(job), Address: owner.Self().Address}
	for _, name := range manifest.SortedKeys(job.keepers) {
		if !job.granted[name] {
			owner.emit(contract.Send{To: job.keepers[name].Address, Kind: MessageClaim, Body: hold})
		}
	}
}

func (owner *Owner) tellKeepers(job *job, kind string, body any) {
	for _, name := range manifest.SortedKeys(job.keepers) {
		if name != owner.Self().Name {
			owner.emit(contract.Send{To: job.keepers[name].Address, Kind: kind, Body: body})
		}
	}
	for _, address := range job.backers {
		owner.emit(contract.Send{To: address, Kind: kind, Body: body})
	}
	for _, name := range manifest.SortedKeys(job.outer) {
		owner.emit(contract.Send{To: job.outer[name].Address, Kind: kind, Body: body})
	}
}

func (owner *Owner) hold(now time.Duration, hold Claim) {
	known, fine, full := owner.table.Claim(now, hold.Record)
	owner.emit(contract.Send{To: hold.Address, Kind: MessageClaimed, Body: Claimed{Token: hold.Record.Token, ScopedKey: hold.Record.ScopedKey, Fine: fine, Full: full, Settled: owner.settled(now), Record: known}})
}

func (owner *Owner) held(now time.Duration, from string, held Claimed) {
	job, there := owner.jobs[held.Token]
	if !there || job.phase != phaseHolding || job.call.ScopedKey() != held.ScopedKey {
		return
	}
	if _, keeper := job.keepers[from]; !keeper && (held.Fine || held.Full) {
		owner.vouched(now, job, from, held)
		return
	}
	switch {
	case held.Fine:
		if held.Settled {
			job.granted[from] = true
		}
		owner.checkHold(now, job)
	case held.Full:
		if job.refused++; (len(job.keepers)-job.refused)*2 < len(job.voters) {
			owner.refuse(now, job, 503, "the records are full", owner.jitter(owner.Bounds.Round()))
			return
		}
		owner.checkHold(now, job)
	case owner.precedes(now, job, held.Record):
		job.contested = true
	default:
		owner.free(job)
		owner.meet(now, job, held.Record)
	}
}

// precedes holds for a call that another node asked to hold at the same moment: the node first by name asks on, the other
// gives way, so that one of the two runs.
func (owner *Owner) precedes(now time.Duration, job *job, other call.Record) bool {
	brief := owner.Bounds.ReplicationTimeout() / 2
	return other.Outcome == call.Running && other.Age < brief && now-job.asked < brief && owner.Self().Name < other.Node
}

// checkHold lets a call go when every live keeper has said that it never saw it. One that says nothing is waited for a moment;
// then a quorum does, with a node that is old enough to remember while there is one. A grant counts only of a node that has been
// handed what the others kept for it.
func (owner *Owner) checkHold(now time.Duration, job *job) {
	all := len(job.granted)+job.refused >= len(job.keepers)
	half := len(job.granted)*2 >= len(job.voters) && len(job.granted) > 0
	if job.contested || !half || !all && now-job.asked < owner.Bounds.ReplicationTimeout()/4 {
		return
	}
	if !owner.quorum(job) {
		owner.widen(job)
		return
	}
	if all || owner.remembered(job) {
		owner.enter(now, job)
	}
}

// remembered holds when a grant is of a keeper up for longer than a record lives, or there is none such.
func (owner *Owner) remembered(job *job) bool {
	old := int64(owner.Bounds.RecordRetention() / owner.Bounds.GossipInterval())
	any := false
	for name, keeper := range job.keepers {
		if keeper.Heartbeat >= old {
			any = true
			if job.granted[name] {
				return true
			}
		}
	}
	return !any
}

// meet answers a call whose key is known: it is never run again.
func (owner *Owner) meet(now time.Duration, job *job, record call.Record) {
	job.keepers = nil
	if record.Outcome == call.Running && record.Node != owner.Self().Name && !job.searched {
		owner.startFind(now, job)
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
		owner.finish(now, job, call.Done, contract.Answer{Token: job.token, Status: 200, Body: Reply{Chunks: record.Chunks}})
	case record.Outcome == call.Done:
		owner.trouble(now, job, 410, call.Done, "the call was done; its reply is no longer kept", 0)
	case record.Outcome == call.Interrupted:
		owner.trouble(now, job, 502, call.Interrupted, "the call was interrupted", 0)
	case record.Outcome == call.Running && record.Remaining > 0 && owner.stillRuns(now, record):
		after := min(max(owner.lines.Service(job.call.Route)/2, owner.Bounds.Round()), record.Remaining+owner.Bounds.Round())
		owner.trouble(now, job, 409, call.Running, "the call is still running", owner.jitter(after))
	default:
		owner.trouble(now, job, 502, call.Unknown, "the call was taken and its end is not known", 0)
	}
}

func (owner *Owner) stillRuns(now time.Duration, record call.Record) bool {
	member, there := owner.Neighbours.Look(record.Node)
	return there && member.Boot == record.Boot && owner.Neighbours.Alive(now, record.Node)
}

func (owner *Owner) free(job *job) {
	record := owner.record(job)
	owner.table.Release(record)
	owner.tellKeepers(job, MessageRelease, record)
	job.keepers = nil
}

// settleRecord tells the keepers how a call ended; a call that did not run is forgotten, so that a repeat may run.
func (owner *Owner) settleRecord(job *job, outcome call.Outcome, pieces []string) {
	if job.call.IsLookup || job.keepers == nil {
		return
	}
	if outcome == call.NotRun {
		owner.free(job)
		return
	}
	record := owner.record(job)
	record.Outcome, record.Chunks = outcome, pieces
	owner.table.Finish(record)
	owner.tellKeepers(job, MessageFinish, record)
	job.keepers = nil
}
