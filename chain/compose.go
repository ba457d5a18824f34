package chain

import "github.com/cedarreel/cedarreel/contract"

func (owner *Replica) isAlive(node contract.CoreNode) bool {
	if node.Identity() == owner.self.Identity() {
		return true
	}
	for _, member := range owner.membership.Members {
		if member.CoreNode().Identity() == node.Identity() {
			return true
		}
	}
	return false
}

func (owner *Replica) hasHealthyDisk(node contract.CoreNode) bool {
	if node.Identity() == owner.self.Identity() {
		return owner.diskHealthy
	}
	for _, member := range owner.membership.Members {
		if member.CoreNode().Identity() == node.Identity() {
			return member.Core
		}
	}
	return false
}

// strangers are live core machines that the view does not know by this identity.
func (owner *Replica) spares() []contract.CoreNode {
	strangers := []contract.CoreNode{}
	for _, member := range owner.membership.Members {
		node := member.CoreNode()
		if _, there := owner.view.Node(node.Identity()); member.Core && !there {
			strangers = append(strangers, node)
		}
	}
	return strangers
}

// compose builds the next view: survivors keep their order, missing core machines give place, those caught up join at the tail.
func (owner *Replica) composeView() (contract.View, bool) {
	promises := owner.campaign.promises
	fits := func(identity string) bool {
		_, doubted := owner.excludedUntil[identity]
		promise, answered := promises[identity]
		return answered && promise.DiskHealthy && !doubted
	}
	view := contract.View{Number: owner.view.Number + 1}
	for _, identity := range owner.view.Proposers() {
		if len(view.Chain) > 0 && owner.view.ChainIndex(identity) < 0 {
			break
		}
		if promise := promises[identity]; fits(identity) && promise.Granted && owner.connectedToAll(view.Chain, identity) {
			view.Chain = append(view.Chain, identity)
		}
	}
	if len(view.Chain) == 0 {
		return view, false
	}
	strangers := []contract.CoreNode{}
	for _, stranger := range owner.spares() {
		if promise, answered := promises[stranger.Identity()]; answered && owner.caughtUp(promise) {
			strangers = append(strangers, stranger)
		}
	}
	for _, node := range owner.view.Core {
		if _, answered := promises[node.Identity()]; !answered && !owner.isAlive(node) && len(strangers) > 0 {
			place := 0
			for index, stranger := range strangers {
				if stranger.Name == node.Name {
					place = index
				}
			}
			node = strangers[place]
			strangers = append(strangers[:place], strangers[place+1:]...)
		}
		view.Core = append(view.Core, node)
	}
	for owner.belowTargetSize() && len(view.Core) < owner.coreSize && len(strangers) > 0 {
		view.Core, strangers = append(view.Core, strangers[0]), strangers[1:]
	}
	for _, node := range view.Core {
		identity := node.Identity()
		if view.ChainIndex(identity) < 0 && fits(identity) && owner.caughtUp(promises[identity]) && owner.connectedToAll(view.Chain, identity) {
			view.Chain = append(view.Chain, identity)
		}
	}
	view.Holders = view.Chain
	if len(view.Chain) == 1 {
		view.Holders = owner.view.Holders
	}
	return view, true
}

func (owner *Replica) caughtUp(promise Promise) bool {
	lacks, _ := owner.missing()
	return promise.DiskHealthy && promise.LastSynced >= owner.lastSynced && promise.Digest == owner.versions[owner.lastSynced].Digest && promise.Missing <= lacks
}
