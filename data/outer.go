package data

import (
	"time"

	"github.com/cedarreel/cedarreel/contract"
	"github.com/cedarreel/cedarreel/manifest"
)

// outer names the region whose word decides when just half of a home region's voters can be asked: the first other one, for all alike.
func (owner *Owner) outer() string {
	for _, name := range manifest.SortedKeys(owner.Feed.Manifest().Regions) {
		if name != owner.Self().Region {
			return name
		}
	}
	return ""
}

// outerNodes gives the data nodes of that region's roster that are known here.
func (owner *Owner) outerNodes() map[string]contract.Member {
	nodes := map[string]contract.Member{}
	for _, name := range owner.roster(owner.outer()) {
		if member, there := owner.Neighbours.Look(name); there {
			nodes[name] = member
		}
	}
	return nodes
}

// most tells whether so many are a majority of the outer region's roster, so that any two majorities share a node.
func (owner *Owner) most(count int) bool {
	roster := len(owner.roster(owner.outer()))
	return roster > 0 && count*2 > roster
}

// widen asks the outer region to keep a call too, when just half of the voters have granted it.
func (owner *Owner) widen(job *job) {
	if job.outer != nil {
		return
	}
	owner.count("calls_widened")
	job.outer = owner.outerNodes()
	hold := Claim{Record: owner.record(job), Address: owner.Self().Address}
	for _, name := range manifest.SortedKeys(job.outer) {
		owner.emit(contract.Send{To: job.outer[name].Address, Kind: MessageClaim, Body: hold})
	}
}

// vouched takes the word of a node of the outer region; one that may have forgotten vouches for nothing.
func (owner *Owner) vouched(now time.Duration, job *job, from string, held Claimed) {
	if _, asked := job.outer[from]; asked && held.Fine && held.Settled {
		job.vouched[from] = true
		owner.checkHold(now, job)
	}
}

// quorum holds when more than half of the voters granted, or half of them and most of the outer region vouch. Any two of these share a
// node, so whoever else asks for the same call meets one that knows of it.
func (owner *Owner) quorum(job *job) bool {
	granted := len(job.granted) * 2
	return granted > len(job.voters) || granted == len(job.voters) && owner.most(len(job.vouched))
}
