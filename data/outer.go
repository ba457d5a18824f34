package data

import (
	"time"

	"github.com/cedarreel/cedarreel/contract"
	"github.com/cedarreel/cedarreel/manifest"
)

// witnessRegion names the region that breaks the tie when exactly half of this region's voters can be reached: the first other one in
// order of names, so that all nodes of this region choose the same. It is empty if there is no other region.
func (router *Router) witnessRegion() string {
	for _, name := range manifest.SortedKeys(router.Feed.Manifest().Regions) {
		if name != router.Self().Region {
			return name
		}
	}
	return ""
}

// witnessNodes returns the data nodes of the witness region's roster that are known here, by name.
func (router *Router) witnessNodes() map[string]contract.Member {
	nodes := map[string]contract.Member{}
	for _, name := range router.roster(router.witnessRegion()) {
		if member, exists := router.Neighbours.Lookup(name); exists {
			nodes[name] = member
		}
	}
	return nodes
}

// witnessMajority reports whether count is a majority of the witness region's roster; any two majorities share a node.
func (router *Router) witnessMajority(count int) bool {
	roster := len(router.roster(router.witnessRegion()))
	return roster > 0 && count*2 > roster
}

// askWitnesses asks the witness region to grant the claim as well, once exactly half of the voters have granted it.
func (router *Router) askWitnesses(job *job) {
	if job.witnesses != nil {
		return
	}
	router.count("calls_widened")
	job.witnesses = router.witnessNodes()
	claim := Claim{Record: router.newRecord(job), Address: router.Self().Address}
	for _, name := range manifest.SortedKeys(job.witnesses) {
		router.emit(contract.Send{To: job.witnesses[name].Address, Kind: MessageClaim, Body: claim})
	}
}

// handleWitnessReply handles a witness's answer to a claim. The grant of one that may have forgotten records after a restart does not count.
func (router *Router) handleWitnessReply(now time.Duration, job *job, from string, claimReply ClaimReply) {
	if _, wasAsked := job.witnesses[from]; wasAsked && claimReply.Granted && claimReply.CaughtUp {
		job.witnessed[from] = true
		router.checkClaim(now, job)
	}
}

// hasQuorum reports whether more than half of the voters granted the claim, or exactly half of them and a majority of the witness region.
// Any two such sets share a node, so a second claim of the same call reaches a node that knows of the first.
func (router *Router) hasQuorum(job *job) bool {
	granted := len(job.granted) * 2
	return granted > len(job.voters) || granted == len(job.voters) && router.witnessMajority(len(job.witnessed))
}
