package chain

import (
	"time"

	"github.com/cedarreel/cedarreel/contract"
)

// FoundedAsk asks a member whether it has synced its yes to a first view; FoundedHeld answers with the view that it agreed to.
//
// Members that restart before any of them has written the view down that all agreed to would wait for ever otherwise. A majority that
// still holds the same yes is enough: another first view would need the yes of each of these members to that one instead.
type FoundedAsk struct {
	Node contract.CoreNode `json:"node"`
}

type FoundedHeld struct {
	Node contract.CoreNode `json:"node"`
	View contract.View     `json:"view"`
}

func (owner *Owner) askFounded(now time.Duration) {
	accepted := owner.syncedFoundation()
	if accepted == nil || now-owner.foundAsked < owner.bounds.Round() || now-owner.started < owner.bounds.Lease() {
		return
	}
	owner.foundAsked, owner.foundHeld = now, map[string]bool{owner.self.Identity(): true}
	owner.sendOthers(accepted.View.Core, MessageFoundedAsk, FoundedAsk{Node: owner.self})
}

// syncedFoundation gives the first view that this member's folder agrees to, or nothing.
func (owner *Owner) syncedFoundation() *Foundation {
	if accepted := owner.foundAccepted; accepted != nil && owner.foundSynced == accepted.Ballot {
		return accepted
	}
	return nil
}

func (owner *Owner) foundedAsk(ask FoundedAsk) {
	if owner.view.Number > 0 {
		owner.send(ask.Node, MessageNews, owner.view)
		return
	}
	if accepted := owner.syncedFoundation(); accepted != nil {
		owner.send(ask.Node, MessageFoundedHeld, FoundedHeld{Node: owner.self, View: accepted.View})
	}
}

func (owner *Owner) foundedHeld(now time.Duration, held FoundedHeld) {
	accepted := owner.syncedFoundation()
	if accepted == nil || held.View.Number != accepted.View.Number || !sameCore(held.View, accepted.View) {
		return
	}
	owner.foundHeld[held.Node.Identity()] = true
	if len(owner.foundHeld) >= accepted.View.Majority() {
		owner.begin(now, *accepted)
	}
}
