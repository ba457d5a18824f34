package chain

import "github.com/cedarreel/cedarreel/contract"

// isAlive reports whether the membership protocol knows a member with this identity to be alive.
func (replica *Replica) isAlive(node contract.CoreNode) bool {
	if node.Identity() == replica.self.Identity() {
		return true
	}
	for _, member := range replica.membership.Members {
		if member.CoreNode().Identity() == node.Identity() {
			return true
		}
	}
	return false
}

// hasHealthyDisk reports whether a member says that its data folder works.
func (replica *Replica) hasHealthyDisk(node contract.CoreNode) bool {
	if node.Identity() == replica.self.Identity() {
		return replica.diskHealthy
	}
	for _, member := range replica.membership.Members {
		if member.CoreNode().Identity() == node.Identity() {
			return member.Core
		}
	}
	return false
}

// spares returns the live core machines whose identity is not in the view.
func (replica *Replica) spares() []contract.CoreNode {
	spares := []contract.CoreNode{}
	for _, member := range replica.membership.Members {
		node := member.CoreNode()
		if _, found := replica.view.Node(node.Identity()); member.Core && !found {
			spares = append(spares, node)
		}
	}
	return spares
}

// composeView builds the next view from the promises: surviving members of the chain keep their order, spares replace members of the core
// that are gone, and members that have caught up join at the tail. It fails if no member with a complete log answered.
func (replica *Replica) composeView() (contract.View, bool) {
	promises := replica.campaign.promises
	eligible := func(identity string) bool {
		_, excluded := replica.excludedUntil[identity]
		promise, answered := promises[identity]
		return answered && promise.DiskHealthy && !excluded
	}
	view := contract.View{Number: replica.view.Number + 1}
	for _, identity := range replica.view.Proposers() {
		if len(view.Chain) > 0 && replica.view.ChainIndex(identity) < 0 {
			break
		}
		if promise := promises[identity]; eligible(identity) && promise.Granted && replica.connectedToAll(view.Chain, identity) {
			view.Chain = append(view.Chain, identity)
		}
	}
	if len(view.Chain) == 0 {
		return view, false
	}
	spares := []contract.CoreNode{}
	for _, spare := range replica.spares() {
		if promise, answered := promises[spare.Identity()]; answered && replica.caughtUp(promise) {
			spares = append(spares, spare)
		}
	}
	for _, node := range replica.view.Core {
		if _, answered := promises[node.Identity()]; !answered && !replica.isAlive(node) && len(spares) > 0 {
			chosen := 0
			for index, spare := range spares {
				if spare.Name == node.Name {
					chosen = index
				}
			}
			node = spares[chosen]
			spares = append(spares[:chosen], spares[chosen+1:]...)
		}
		view.Core = append(view.Core, node)
	}
	for replica.belowTargetSize() && len(view.Core) < replica.coreSize && len(spares) > 0 {
		view.Core, spares = append(view.Core, spares[0]), spares[1:]
	}
	for _, node := range view.Core {
		identity := node.Identity()
		if view.ChainIndex(identity) < 0 && eligible(identity) && replica.caughtUp(promises[identity]) && replica.connectedToAll(view.Chain, identity) {
			view.Chain = append(view.Chain, identity)
		}
	}
	view.Holders = view.Chain
	if len(view.Chain) == 1 {
		view.Holders = replica.view.Holders
	}
	return view, true
}

// caughtUp reports whether a member has the same log as this one, and can join the chain.
func (replica *Replica) caughtUp(promise Promise) bool {
	lacks, _ := replica.missing()
	return promise.DiskHealthy && promise.LastSynced >= replica.lastSynced && promise.Digest == replica.versions[replica.lastSynced].Digest && promise.Missing <= lacks
}
