package chain

import "github.com/cedarreel/cedarreel/contract"

func (owner *Owner) aliveCore(node contract.CoreNode) bool {
	if node.Identity() == owner.self.Identity() {
		return true
	}
	for _, member := range owner.seen.Members {
		if member.CoreNode().Identity() == node.Identity() {
			return true
		}
	}
	return false
}

func (owner *Owner) fitCore(node contract.CoreNode) bool {
	if node.Identity() == owner.self.Identity() {
		return owner.fit
	}
	for _, member := range owner.seen.Members {
		if member.CoreNode().Identity() == node.Identity() {
			return member.Core
		}
	}
	return false
}

// strangers are live core machines that the view does not know by this identity.
func (owner *Owner) strangers() []contract.CoreNode {
	strangers := []contract.CoreNode{}
	for _, member := range owner.seen.Members {
		node := member.CoreNode()
		if _, there := owner.view.Node(node.Identity()); member.Core && !there {
			strangers = append(strangers, node)
		}
	}
	return strangers
}

// compose builds the next view: survivors keep their order, missing core machines give place, those caught up join at the tail.
func (owner *Owner) compose() (contract.View, bool) {
	promises := owner.campaign.promises
	fits := func(identity string) bool {
		_, doubted := owner.doubts[identity]
		promise, answered := promises[identity]
		return answered && promise.Fit && !doubted
	}
	view := contract.View{Number: owner.view.Number + 1}
	for _, identity := range owner.view.Proposers() {
		if len(view.Chain) > 0 && owner.view.ChainIndex(identity) < 0 {
			break
		}
		if promise := promises[identity]; fits(identity) && promise.Vote && owner.linked(view.Chain, identity) {
			view.Chain = append(view.Chain, identity)
		}
	}
	if len(view.Chain) == 0 {
		return view, false
	}
	strangers := []contract.CoreNode{}
	for _, stranger := range owner.strangers() {
		if promise, answered := promises[stranger.Identity()]; answered && owner.caughtUp(promise) {
			strangers = append(strangers, stranger)
		}
	}
	for _, node := range owner.view.Core {
		if _, answered := promises[node.Identity()]; !answered && !owner.aliveCore(node) && len(strangers) > 0 {
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
	for owner.small() && len(view.Core) < owner.coreSize && len(strangers) > 0 {
		view.Core, strangers = append(view.Core, strangers[0]), strangers[1:]
	}
	for _, node := range view.Core {
		identity := node.Identity()
		if view.ChainIndex(identity) < 0 && fits(identity) && owner.caughtUp(promises[identity]) && owner.linked(view.Chain, identity) {
			view.Chain = append(view.Chain, identity)
		}
	}
	view.Holders = view.Chain
	if len(view.Chain) == 1 {
		view.Holders = owner.view.Holders
	}
	return view, true
}

func (owner *Owner) caughtUp(promise Promise) bool {
	lacks, _ := owner.lacks()
	return promise.Fit && promise.Top >= owner.top && promise.Digest == owner.versions[owner.top].Digest && promise.Lacks <= lacks
}
